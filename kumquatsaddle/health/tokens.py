"""Ejection and return of backend servers within the ejection tokens of a group.

The ejection tokens of a group are the number of its members that may be unhealthy at a
time. An ejection needs a free token of the group. Members that are unhealthy for
another reason (draining, cold, unreachable, gone) use a token each, too, and have
precedence. An ejected member uses its token until it is HEALTHY again.
"""

from kumquatsaddle.types import BackendState

__all__ = ["choose_returns", "may_eject"]

# States after an ejection, least unhealthy first.
_STATES_BY_SEVERITY = (
    BackendState.WARMING,
    BackendState.PROBATION,
    BackendState.EJECTED,
)


def may_eject(health, members, tokens):
    """Return whether a member may be ejected.

    Parameters
    ----------
    health : ServerHealth
    members : iterable of ServerHealth
        The members of its group.
    tokens : int
        Number of members of the group that may be unhealthy.
    """
    used = sum(_uses_token(member) for member in members if member is not health)
    return used < tokens


def choose_returns(members, tokens):
    """Return the ejected members that no token covers, least unhealthy first.

    Parameters
    ----------
    members : sequence of ServerHealth
        The members of one group.
    tokens : int
        Number of members of the group that may be unhealthy.

    Returns
    -------
    list of ServerHealth
    """
    excess = sum(_uses_token(member) for member in members) - tokens
    if excess <= 0:
        return []
    ejected = [member for member in members if member.recovering]
    return sorted(ejected, key=_return_priority)[:excess]


def _uses_token(health):
    return health.state is not BackendState.HEALTHY or health.unreachable


def _return_priority(health):
    return _STATES_BY_SEVERITY.index(health.state), health.bad_share, health.name
