"""Ejection within the tokens of a home group.

Members that are not healthy for another reason (draining, cold, unreachable, gone)
use up tokens first. An ejected member holds its token until it is HEALTHY again.
"""

from kumquatsaddle.types import BackendState

__all__ = ["choose_returns", "may_eject"]

# States that follow an ejection, from the least to the most unhealthy one.
_AFTER_EJECTION = (BackendState.WARMING, BackendState.PROBATION, BackendState.EJECTED)


def may_eject(health, members, tokens):
    """Return whether a member may be ejected.

    Parameters
    ----------
    health : ServerHealth
    members : iterable of ServerHealth
        The members of its group.
    tokens : int
    """
    used = sum(_is_lost(member) for member in members if member is not health)
    return used < tokens


def choose_returns(members, tokens):
    """Return the ejected members that must return, least unhealthy first.

    Parameters
    ----------
    members : sequence of ServerHealth
        The members of one group.
    tokens : int

    Returns
    -------
    list of ServerHealth
    """
    excess = sum(_is_lost(member) for member in members) - tokens
    if excess <= 0:
        return []
    ejected = [member for member in members if member.returning]
    return sorted(ejected, key=_unhealthiness)[:excess]


def _is_lost(health):
    return health.state is not BackendState.HEALTHY or health.unreachable


def _unhealthiness(health):
    return _AFTER_EJECTION.index(health.state), health.severity, health.name
