"""The member table and the rules by which news of members is merged.

News of a later incarnation replaces that of an earlier one. Within an incarnation the
higher revision wins; only the member itself raises its revision. At the same revision
the more severe state wins, so that a suspicion holds until the member refutes it.

References
----------
Das, Gupta and Motivala, SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol, 2002.
"""

from dataclasses import dataclass, replace

from kumquatsaddle.types import (
    IncarnationId,
    InstanceId,
    InstanceState,
    RegionId,
    ZoneId,
)

__all__ = ["Member", "MemberTable", "make_table"]

_STATES = tuple(InstanceState)
_SEVERITY = {state: index for index, state in enumerate(_STATES)}
# Time in seconds for which a dead member stays in the table, so that late news of it
# cannot bring it back.
_DEAD_RETENTION = 600.0


@dataclass(frozen=True, slots=True)
class Member:
    """What is known of one instance.

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

    def supersedes(self, other):
        """Return whether this news replaces `other` of the same instance."""
        mine = (self.started_at, self.incarnation)
        theirs = (other.started_at, other.incarnation)
        if mine != theirs:
            return mine > theirs
        if self.revision != other.revision:
            return self.revision > other.revision
        return _SEVERITY[self.state] > _SEVERITY[other.state]


class MemberTable:
    """The members seen by one instance, itself included.

    Parameters
    ----------
    own : Member
    """

    def __init__(self, own):
        self.own = own
        self.members = {own.name: own}
        self.changed_at = {own.name: 0.0}
        # Increases with each change of a member; placements compare it.
        self.generation = 1

    def merge(self, news, now):
        """Merge news of a member.

        Parameters
        ----------
        news : Member
        now : float
            Time in seconds.

        Returns
        -------
        Member or None
            The news to spread further: the news itself, a refutation where it is
            about this instance, or None if it was known.
        """
        if news.name == self.own.name:
            return self._refute(news, now)
        known = self.members.get(news.name)
        if known is not None and not news.supersedes(known):
            return None
        self._set(news, now)
        return news

    def set_own_state(self, state, now):
        """Change the state of this instance; return the news to spread, or None."""
        if state is self.own.state:
            return None
        self._set_own(
            replace(self.own, state=state, revision=self.own.revision + 1), now
        )
        return self.own

    def suspect(self, name, now):
        """Mark a member as SUSPECT; return the news to spread, or None."""
        member = self.members.get(name)
        if member is None or member.state in (
            InstanceState.SUSPECT,
            InstanceState.DEAD,
        ):
            return None
        return self.merge(replace(member, state=InstanceState.SUSPECT), now)

    def expire(self, now, suspicion_timeout):
        """Turn old suspicions into deaths and forget old deaths.

        Returns
        -------
        list of Member
            News to spread.
        """
        news = []
        for name, member in list(self.members.items()):
            age = now - self.changed_at[name]
            if member.state is InstanceState.SUSPECT and age >= suspicion_timeout:
                dead = replace(member, state=InstanceState.DEAD)
                self._set(dead, now)
                news.append(dead)
            elif member.state is InstanceState.DEAD and age >= _DEAD_RETENTION:
                del self.members[name], self.changed_at[name]
        return news

    def peers(self, *states):
        """Return the other members in one of the states, in the order of names."""
        return [
            self.members[name]
            for name in sorted(self.members)
            if name != self.own.name and self.members[name].state in states
        ]

    def find_incarnation(self, incarnation):
        """Return the member of an incarnation, or None."""
        for member in self.members.values():
            if member.incarnation == incarnation:
                return member
        return None

    def _refute(self, news, now):
        same = news.incarnation == self.own.incarnation
        if same and news.supersedes(self.own):
            self._set_own(replace(self.own, revision=news.revision + 1), now)
            return self.own
        return None

    def _set_own(self, own, now):
        self.own = own
        self._set(own, now)

    def _set(self, member, now):
        self.members[member.name] = member
        self.changed_at[member.name] = now
        self.generation += 1


def make_table(own):
    """Return a table that knows only `own`."""
    return MemberTable(own)


def read_member(reader):
    """Return the `Member` of a message.

    Raises
    ------
    ValueError
        If its state is unknown.
    """
    if reader.state >= len(_STATES):
        raise ValueError(f"unknown state {reader.state}")
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
