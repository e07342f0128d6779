"""Failure detection and dissemination of member updates between instances, over UDP.

Each period one peer is probed directly and, when it does not answer, through other
members. Updates of members are piggybacked on the probes and their answers.

References
----------
Das, Gupta and Motivala, SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol, 2002.
"""

import random
from contextlib import contextmanager

import trio

from kumquatsaddle.dispatch.digests import read_digests, write_digests
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.health import make_local_health
from kumquatsaddle.membership.members import (
    LIVE_STATES,
    is_suspect_or_dead,
    read_member,
    to_socket_address,
    write_member,
)
from kumquatsaddle.membership.probes import (
    DIRECT_PROBE_FRACTION,
    ProbeResult,
    make_prober,
)
from kumquatsaddle.membership.reconcile import make_reconciler
from kumquatsaddle.membership.transport import open_datagrams
from kumquatsaddle.membership.update_queue import make_update_queue
from kumquatsaddle.messages.codec import get_rejection_reason
from kumquatsaddle.types import InstanceState, MessageRejection

__all__ = ["Gossip", "make_gossip"]

_MAX_DATAGRAM_BYTES = 65536
# Pings of one direct probe. At 20% datagram loss, about one round trip in three fails.
_PING_ATTEMPTS = 2
# Peers that are pinged at once when the record of this instance changes.
_ANNOUNCE_PEERS = 3
# Members accepted in one datagram, and indirect probes relayed for peers at a time.
_MAX_RECEIVED_UPDATES = 64
_MAX_RELAYS = 32
_SOCKET_ERROR_PAUSE_SECONDS = 0.05
_PROBE_KINDS = ("ping", "ack", "pingRequest")


class Gossip:
    """Maintains the member table of one instance.

    Parameters
    ----------
    table : MemberTable
    codec : MessageCodec
    metrics : Metrics
    probe_interval, suspicion_timeout : float
        In seconds.
    get_version : callable
        Returns the configuration version in force.
    on_version : callable
        Called with a member name and the configuration version it reported.
    rng : random.Random, optional
    open_socket : callable, optional
        Async; takes an address and returns a socket, see
        `kumquatsaddle.membership.transport`.

    Attributes
    ----------
    seeds : set of str
        Control addresses of the instances to join through.
    unreachable : set of InstanceId
        Live peers that answer indirect probes only.
    fetch_table : callable or None
        Async; takes a control address and the own member, and returns the members
        of that peer's table.
    on_service_digests : callable or None
        Called with a member name and a list of `ServiceDigest`.
    """

    def __init__(
        self,
        table,
        codec,
        metrics,
        probe_interval,
        suspicion_timeout,
        get_version,
        on_version,
        rng=None,
        open_socket=open_datagrams,
    ):
        self.table = table
        self.metrics = metrics
        self.health = make_local_health()
        self.seeds = set()
        self.unreachable = set()
        self.fetch_table = None
        self.on_service_digests = None
        self._codec = codec
        self._interval = probe_interval
        self._get_version = get_version
        self._on_version = on_version
        self._rng = rng or random.Random()
        self._open_socket = open_socket
        self._reconciler = make_reconciler(self, probe_interval, self._rng)
        self._prober = make_prober(self, probe_interval, suspicion_timeout, self._rng)
        self._socket = None
        self._nursery = None
        self._last_number = 0
        self._pending = {}
        self._updates = make_update_queue()
        self._active_relays = 0
        for reason in MessageRejection:
            metrics.count("messages_rejected", 0, reason=reason.value)

    async def run(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Bind the socket and maintain the table until cancelled.

        Raises
        ------
        OSError
            If the socket cannot be bound to the address.
        """
        self._socket = await self._open_socket(address)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self.enqueue_update(self.table.own)
                nursery.start_soon(self._receive)
                nursery.start_soon(self._prober.run)
                nursery.start_soon(self._reconciler.run)
                task_status.started()
        finally:
            self._nursery = None
            self._socket.close()

    def enqueue_update(self, update):
        """Queue the update of a member for the next datagrams; None is ignored."""
        if update is not None:
            self._updates.add(update, len(self.table.members))

    def merge_update(self, update, propagate=True):
        """Merge an update, and refute it if it is wrong about this instance.

        Parameters
        ----------
        update : Member
        propagate : bool
            Whether to queue updates of other members for the next datagrams.
        """
        before = self.table.members.get(update.name)
        merged = self.table.merge(update, trio.current_time())
        if merged is None:
            if self.table.replaced:
                # Another process runs under the same name.
                self.metrics.set_gauge("instance_replaced", 1)
            return
        if merged is self.table.own:
            self.metrics.count("refutations")
            self._publish_own()
            return
        if merged.state is InstanceState.DEAD:
            self.unreachable.discard(update.name)
        elif before is not None and before.incarnation != merged.incarnation:
            self.unreachable.discard(update.name)
        if propagate:
            self.enqueue_update(merged)

    def set_own_state(self, state, impairment=None):
        """Change the state of this instance and send it to peers."""
        now = trio.current_time()
        if self.table.set_own_state(state, now, impairment) is not None:
            self._publish_own()

    async def announce(self, count=None):
        """Send the queued updates to `count` random peers (default: all) at once."""
        peers = self.table.peers(*LIVE_STATES)
        if count is not None and count < len(peers):
            peers = self._rng.sample(peers, count)
        for peer in peers:
            await self.send_ping(peer.control)

    async def send_ping(self, address, priority_updates=()):
        """Send one ping without waiting for its answer.

        `priority_updates` are members whose records precede the queued updates.
        """
        await self._send(
            address,
            self._make_probe_message("ping", self._next_number(), priority_updates),
        )

    async def send_service_digests(self, name, digests):
        """Send a list of `ServiceDigest` to a live member; other names are ignored."""
        member = self.table.members.get(name)
        if member is not None and member.state in LIVE_STATES:
            envelope = self._codec.new_envelope(self._get_version())
            write_digests(envelope, digests)
            await self._send(member.control, envelope)

    async def ping(self, address, priority_updates=()):
        """Ping an address up to twice and return its `ProbeResult`."""
        with self.track_probe() as result:
            await self.ping_until_answered(result, address, priority_updates)
        return result

    @contextmanager
    def track_probe(self):
        """Yield a `ProbeResult` that collects the answers to one probe."""
        result = ProbeResult(self._next_number(), self._next_number())
        self._pending[result.number] = result
        self._pending[result.relayed_number] = result
        try:
            yield result
        finally:
            del self._pending[result.number], self._pending[result.relayed_number]

    async def ping_until_answered(self, result, address, priority_updates=()):
        """Ping an address up to twice, or until `result` has an answer."""
        timeout = self._interval * DIRECT_PROBE_FRACTION / _PING_ATTEMPTS
        for attempt in range(_PING_ATTEMPTS):
            # A peer that does not know this instance drops the first ping; the second
            # carries the record of this instance.
            updates = (
                [*priority_updates, self.table.own] if attempt else priority_updates
            )
            await self._send(
                address, self._make_probe_message("ping", result.number, updates)
            )
            with trio.move_on_after(timeout):
                await result.event.wait()
            if result.answered:
                return

    async def request_indirect_ping(self, result, helper, target):
        """Ask the member `helper` to ping the control address `target`."""
        message = self._make_probe_message("pingRequest", result.relayed_number)
        message.pingRequest.target = target
        await self._send(helper.control, message)

    async def _receive(self):
        while True:
            try:
                data, source = await self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError as error:
                log_event("datagram_not_received", level="DEBUG", error=error)
                await trio.sleep(_SOCKET_ERROR_PAUSE_SECONDS)
                continue
            self.metrics.count("control_bytes_received", len(data))
            try:
                await self._handle(self._codec.open(data), source)
            except MessageError as error:
                self.metrics.count(
                    "messages_rejected", reason=get_rejection_reason(error)
                )

    async def _handle(self, envelope, source):
        kind = envelope.which()
        if kind == "digest":
            self._check_sender(envelope)
            digests = read_digests(envelope)
            if self.on_service_digests is not None:
                self.on_service_digests(envelope.sender, digests)
        elif kind in _PROBE_KINDS:
            await self._handle_probe(kind, envelope, source)
        else:
            raise MessageError(MessageRejection.UNEXPECTED.value)
        self._on_version(envelope.sender, envelope.configVersion)

    async def _handle_probe(self, kind, envelope, source):
        body = getattr(envelope, kind)
        updates = _read_updates(body)
        result = self._pending.get(body.number) if kind == "ack" else None
        if result is None:
            self._check_sender(envelope, updates)
        for member in updates:
            self.merge_update(member)
        self._reconciler.record_digest_mismatch(envelope.sender, body.tableDigest)
        if kind == "ping":
            record = self.table.members.get(envelope.sender)
            priority_updates = (
                [record] if record is not None and is_suspect_or_dead(record) else ()
            )
            await self._send_datagram(
                source, self._make_probe_message("ack", body.number, priority_updates)
            )
        elif kind == "pingRequest":
            self._start_relay(body.target, body.number, source)
        elif result is not None:
            result.record(body.number, body.tableDigest)
        else:
            self.metrics.count("probe_answers_late")

    def _check_sender(self, envelope, updates=()):
        known = self.table.members.get(envelope.sender)
        for member in (known, *updates):
            if member is not None and member.name == envelope.sender:
                if member.incarnation == envelope.incarnation:
                    return
        raise MessageError(MessageRejection.UNKNOWN_SENDER.value)

    def _start_relay(self, target, number, source):
        try:
            to_socket_address(target)
        except ValueError as error:
            reason = MessageRejection.MALFORMED.value
            raise MessageError(f"{reason}: {error}") from None
        if self._active_relays >= _MAX_RELAYS:
            raise MessageError(MessageRejection.OVERLOAD.value)
        self._active_relays += 1
        self._nursery.start_soon(self._relay_probe, target, number, source)

    async def _relay_probe(self, target, number, source):
        try:
            result = await self.ping(target)
            if result.answered:
                await self._send_datagram(
                    source, self._make_probe_message("ack", number)
                )
        finally:
            self._active_relays -= 1

    def _publish_own(self):
        self.enqueue_update(self.table.own)
        if self._nursery is not None:
            self._nursery.start_soon(self.announce, _ANNOUNCE_PEERS)

    def _next_number(self):
        self._last_number = (self._last_number + 1) & 0xFFFFFFFF
        return self._last_number

    def _make_probe_message(self, kind, number, priority_updates=()):
        envelope = self._codec.new_envelope(self._get_version())
        body = envelope.init(kind)
        body.number = number
        body.tableDigest = self.table.digest
        selected = self._updates.get_next_batch(priority_updates)
        builders = body.init("updates", len(selected))
        for builder, member in zip(builders, selected, strict=True):
            write_member(builder, member)
        return envelope

    async def _send(self, address, envelope):
        await self._send_datagram(to_socket_address(address), envelope)

    async def _send_datagram(self, target, envelope):
        data = self._codec.seal(envelope)
        self.metrics.count("control_bytes_sent", len(data))
        try:
            await self._socket.sendto(data, target)
        except OSError as error:
            log_event("datagram_not_sent", level="DEBUG", target=target, error=error)


def make_gossip(table, codec, metrics, settings, get_version, on_version):
    """Return the `Gossip` of an instance."""
    return Gossip(
        table,
        codec,
        metrics,
        settings.get("membership", "probe_interval"),
        settings.get("membership", "suspicion_timeout"),
        get_version,
        on_version,
    )


def _read_updates(body):
    if len(body.updates) > _MAX_RECEIVED_UPDATES:
        raise MessageError(MessageRejection.TOO_LONG.value)
    try:
        return [read_member(reader) for reader in body.updates]
    except ValueError as error:
        reason = MessageRejection.MALFORMED.value
        raise MessageError(f"{reason}: {error}") from None
