"""The member table and the rules by which updates of members are merged.

A record is a `Member`; an update is a record that instances send each other. A record
of a later incarnation replaces one of an earlier incarnation. Within an incarnation the
higher revision wins; only the member itself raises its revision. At the same revision
the more severe state wins, so that a suspicion holds until the member refutes it.

References
----------
Das, Gupta and Motivala, SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol, 2002.
"""

from dataclasses import dataclass, replace
from functools import lru_cache
from hashlib import blake2b

from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.types import (
    ImpairmentReason,
    IncarnationId,
    InstanceId,
    InstanceState,
    RegionId,
    ZoneId,
)

__all__ = [
    "LIVE_STATES",
    "Member",
    "MemberTable",
    "is_suspect_or_dead",
    "make_table",
    "read_member",
    "to_socket_address",
    "write_member",
]

# States in order of severity. In messages a state is its index here, and a reason is
# its index + 1.
_STATES = tuple(InstanceState)
_SEVERITY = {state: index for index, state in enumerate(_STATES)}
_REASONS = tuple(ImpairmentReason)
# States of members that are probed.
LIVE_STATES = (
    InstanceState.JOINING,
    InstanceState.ALIVE,
    InstanceState.IMPAIRED,
    InstanceState.LEAVING,
    InstanceState.SUSPECT,
)
# Time for which a dead member stays in the table, so that late updates cannot revive it
# and both sides of a one-hour partition still know each other's addresses afterwards.
_DEAD_RETENTION_SECONDS = 7200.0
# Longest text in a member; bounds the size of a datagram.
_MAX_TEXT_BYTES = 64
# Added to the start time of the previous incarnation if that is later than the own one.
_START_STEP_SECONDS = 0.001
_HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class Member:
    """Record of one instance.

    Parameters
    ----------
    name : InstanceId
    incarnation : IncarnationId
    started_at : float
        Seconds since the epoch; orders the incarnations of an instance.
    revision : int
    state : InstanceState
    zone, region : str
    control, callers : str
        ``host:port``.
    impairment : ImpairmentReason, optional
        Why the instance is IMPAIRED.
    """

    name: InstanceId
    incarnation: IncarnationId
    started_at: float
    revision: int
    state: InstanceState
    zone: ZoneId
    region: RegionId
    control: str
    callers: str
    impairment: ImpairmentReason | None = None

    def supersedes(self, other):
        """Return whether this record replaces `other` of the same instance."""
        mine = (self.started_at, self.incarnation)
        theirs = (other.started_at, other.incarnation)
        if mine != theirs:
            return mine > theirs
        if self.revision != other.revision:
            return self.revision > other.revision
        return _SEVERITY[self.state] > _SEVERITY[other.state]

    def digest(self):
        """Return a 64-bit hash of the name and of what `supersedes` compares."""
        text = (
            f"{self.name} {self.started_at!r} {self.incarnation} "
            f"{self.revision} {self.state.value}"
        )
        digest = blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
        return int.from_bytes(digest, "big")


class MemberTable:
    """The members known to one instance, itself included.

    Parameters
    ----------
    own : Member
    """

    def __init__(self, own):
        self.own = own
        self.members = {own.name: own}
        self.changed_at = {own.name: 0.0}
        # XOR of the digests of all members that are not dead. Dead members are left out
        # because each instance removes them at another time.
        self.digest = own.digest()
        # Whether a record of a later incarnation of this instance was received.
        self.replaced = False
        # Increases with each change of a member; placements compare it.
        self.generation = 1

    def merge(self, update, now):
        """Merge the update of a member.

        Parameters
        ----------
        update : Member
        now : float
            Time on the clock of trio, in seconds.

        Returns
        -------
        Member or None
            The update to send to peers: the update itself, the own record if it
            refutes the update, or None if there is nothing to send.
        """
        if update.name == self.own.name:
            return self._merge_own(update, now)
        known = self.members.get(update.name)
        if known is not None and not update.supersedes(known):
            return None
        self._set_member(update, now)
        return update

    def set_own_state(self, state, now, impairment=None):
        """Change the state of this instance; return the update to send, or None."""
        if state is self.own.state and impairment is self.own.impairment:
            return None
        own = replace(
            self.own,
            state=state,
            impairment=impairment,
            revision=self.own.revision + 1,
        )
        self._set_own(own, now)
        return self.own

    def suspect(self, name, now):
        """Mark a member as SUSPECT; return the update to send, or None."""
        member = self.members.get(name)
        if member is None or member.state in (
            InstanceState.SUSPECT,
            InstanceState.DEAD,
        ):
            return None
        return self.merge(replace(member, state=InstanceState.SUSPECT), now)

    def expire(self, now, suspicion_timeout):
        """Declare members dead after the suspicion timeout and remove long dead ones.

        Returns
        -------
        list of Member
            Updates to send: the members that were declared dead.
        """
        updates = []
        for name, member in list(self.members.items()):
            age = now - self.changed_at[name]
            if member.state is InstanceState.SUSPECT and age >= suspicion_timeout:
                dead = replace(member, state=InstanceState.DEAD)
                self._set_member(dead, now)
                updates.append(dead)
            elif member.state is InstanceState.DEAD and age >= _DEAD_RETENTION_SECONDS:
                del self.members[name], self.changed_at[name]
        return updates

    def delay_suspicions(self, lag):
        """Extend all suspicions by `lag` seconds, after a pause of this process."""
        for member in self.peers(InstanceState.SUSPECT):
            self.changed_at[member.name] += lag

    def peers(self, *states):
        """Return the other members in one of the states, sorted by name."""
        return [
            self.members[name]
            for name in sorted(self.members)
            if name != self.own.name and self.members[name].state in states
        ]

    def find_by_incarnation(self, incarnation):
        """Return the member with this incarnation, or None."""
        for member in self.members.values():
            if member.incarnation == incarnation:
                return member
        return None

    def _merge_own(self, update, now):
        if not update.supersedes(self.own):
            return None
        if update.incarnation == self.own.incarnation:
            revision = max(self.own.revision, update.revision) + 1
            self._set_own(replace(self.own, revision=revision), now)
            return self.own
        if self.own.state is InstanceState.JOINING:
            # The previous incarnation ran on a machine whose clock is ahead.
            started_at = update.started_at + _START_STEP_SECONDS
            self._set_own(replace(self.own, started_at=started_at), now)
            return self.own
        self.replaced = True
        return None

    def _set_own(self, own, now):
        self.own = own
        self._set_member(own, now)

    def _set_member(self, member, now):
        self._toggle_digest(self.members.get(member.name))
        self._toggle_digest(member)
        self.members[member.name] = member
        self.changed_at[member.name] = now
        self.generation += 1

    def _toggle_digest(self, member):
        if member is not None and member.state is not InstanceState.DEAD:
            self.digest ^= member.digest()


def make_table(own):
    """Return a table whose only member is `own`."""
    return MemberTable(own)


def is_suspect_or_dead(member):
    """Return whether a member is SUSPECT or DEAD."""
    return member.state in (InstanceState.SUSPECT, InstanceState.DEAD)


def read_member(reader):
    """Return the `Member` of a message.

    Raises
    ------
    ValueError
        If its state or impairment is unknown, its start time is not finite, an address
        is malformed, or a text is longer than 64 bytes.
    """
    if reader.state >= len(_STATES):
        raise ValueError(f"member has unknown state {reader.state}")
    if reader.impairment > len(_REASONS):
        raise ValueError(f"member has unknown impairment {reader.impairment}")
    impairment = _REASONS[reader.impairment - 1] if reader.impairment else None
    if not abs(reader.startedAt) < float("inf"):
        raise ValueError(f"start time {reader.startedAt} of member is not finite")
    for text in (reader.name, reader.incarnation, reader.zone, reader.region):
        if len(text.encode()) > _MAX_TEXT_BYTES:
            raise ValueError(f"text of member is longer than {_MAX_TEXT_BYTES} bytes")
    for address in (reader.control, reader.callers):
        to_socket_address(address)
    return Member(
        name=InstanceId(reader.name),
        incarnation=IncarnationId(reader.incarnation),
        started_at=reader.startedAt,
        revision=reader.revision,
        state=_STATES[reader.state],
        zone=ZoneId(reader.zone),
        region=RegionId(reader.region),
        control=reader.control,
        callers=reader.callers,
        impairment=impairment,
    )


def write_member(builder, member):
    """Fill a message builder from a `Member`."""
    builder.name = member.name
    builder.incarnation = member.incarnation
    builder.startedAt = member.started_at
    builder.revision = member.revision
    builder.state = _SEVERITY[member.state]
    builder.zone = member.zone
    builder.region = member.region
    builder.control = member.control
    builder.callers = member.callers
    builder.impairment = (
        _REASONS.index(member.impairment) + 1 if member.impairment else 0
    )


@lru_cache(maxsize=4096)
def to_socket_address(address):
    """Return the host and port of a ``host:port`` text, the address form of sockets.

    Raises
    ------
    ValueError
        If it is malformed or longer than 64 bytes.
    """
    if len(address) > _MAX_TEXT_BYTES:
        raise ValueError(f"address is longer than {_MAX_TEXT_BYTES} bytes")
    parsed = parse_address(address)
    return parsed.host, parsed.port
