"""Requests for changes between instances and the encoding of their replies."""

import json
from dataclasses import asdict, dataclass

from kumquatsaddle.configuration.changes import parse_change
from kumquatsaddle.dispatch.peers import PeerError
from kumquatsaddle.exceptions import ConfigurationError
from kumquatsaddle.storage.interface import parse_instances
from kumquatsaddle.types import InstanceState

__all__ = [
    "ChangesReply",
    "GossipTransport",
    "dump_backends",
    "dump_change",
    "load_backends",
    "load_change",
    "read_changes_reply",
    "write_changes_reply",
]

_ANSWERING_STATES = (InstanceState.ALIVE, InstanceState.IMPAIRED, InstanceState.LEAVING)
# A reply may hold a snapshot, which is about 0.5 MB at the target size.
_REPLY_TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class ChangesReply:
    """Reply of an instance to a peer that asks for changes.

    Parameters
    ----------
    version : ConfigVersion
        Version in force at the sender.
    ready : bool
        Whether the sender has finished loading its own configuration.
    entries : tuple of bytes
        Changes as JSON, in order.
    snapshot : bytes
        Snapshot that the entries follow, or empty.
    backends : bytes
        The list of backend servers as JSON, or empty.
    listed_at : float
        When the list was read, in seconds since the epoch, by the platform's clock.
    """

    version: int
    ready: bool
    entries: tuple[bytes, ...] = ()
    snapshot: bytes = b""
    backends: bytes = b""
    listed_at: float = 0.0


class GossipTransport:
    """Announces versions to, and fetches changes from, the peers known by gossip.

    Parameters
    ----------
    table : MemberTable
    gossip : Gossip
    """

    def __init__(self, table, gossip):
        self._table = table
        self._gossip = gossip
        # Links to peers, set when the instance starts.
        self.links = None

    def addresses(self):
        """Return the control addresses of live peers and of seeds."""
        live = {member.control for member in self._table.peers(*_ANSWERING_STATES)}
        return sorted((live | self._gossip.seeds) - {self._table.own.control})

    def live_members(self):
        """Return the names of live peers and their control addresses."""
        return {
            member.name: member.control
            for member in self._table.peers(*_ANSWERING_STATES)
        }

    def address_of(self, name):
        """Return the control address of a member, or None."""
        member = self._table.members.get(name)
        return member.control if member is not None else None

    async def announce(self, count):
        """Send a datagram with the version in force to `count` random peers."""
        await self._gossip.announce(count)

    async def fetch(self, address, after, want_backends):
        """Ask a peer for the changes above a version.

        Returns
        -------
        ChangesReply

        Raises
        ------
        PeerError
        """
        if self.links is None:
            raise PeerError(False, "the links to peers are not started")

        def fill(envelope, number):
            body = envelope.init("fetchChanges")
            body.number = number
            body.after = after
            body.wantBackends = want_backends

        envelope = await self.links.request(address, fill, _REPLY_TIMEOUT_SECONDS)
        if str(envelope.which()) != "changes":
            raise PeerError(True, "the reply is not a changes message")
        return read_changes_reply(envelope)


def write_changes_reply(envelope, number, reply):
    """Fill a ``changes`` message from a `ChangesReply`."""
    body = envelope.init("changes")
    body.number = number
    body.version = reply.version
    body.ready = reply.ready
    entries = body.init("entries", len(reply.entries))
    for index, entry in enumerate(reply.entries):
        entries[index] = entry
    body.snapshot = reply.snapshot
    body.backends = reply.backends
    body.listedAt = reply.listed_at


def read_changes_reply(envelope):
    """Return the `ChangesReply` of a ``changes`` message."""
    body = envelope.changes
    return ChangesReply(
        version=body.version,
        ready=body.ready,
        entries=tuple(bytes(entry) for entry in body.entries),
        snapshot=bytes(body.snapshot),
        backends=bytes(body.backends),
        listed_at=body.listedAt,
    )


def dump_change(change):
    """Return a change as JSON bytes."""
    return json.dumps(asdict(change), separators=(",", ":")).encode()


def load_change(data):
    """Return the change that JSON bytes describe.

    Raises
    ------
    ConfigurationError
    """
    try:
        return parse_change(json.loads(data))
    except (ValueError, RecursionError):
        raise ConfigurationError("is not JSON", "change") from None


def dump_backends(backends):
    """Return listed backend servers as JSON bytes."""
    entries = [asdict(entry) for entry in backends]
    return json.dumps(entries, separators=(",", ":")).encode()


def load_backends(data):
    """Return the listed backend servers that JSON bytes describe.

    Raises
    ------
    ConfigurationError
    """
    try:
        return parse_instances(json.loads(data))
    except (ValueError, RecursionError):
        raise ConfigurationError("is not a JSON list", "backends") from None
