"""The choice of a backend server for one request.

The cost of a server adds up its probability of failing the request, its load, its
slowdown and the transfer between zones. The cheapest server with a free slot is chosen.
"""

from dataclasses import dataclass

from kumquatsaddle.types import Rank

__all__ = [
    "CHOICE_WEIGHTS",
    "MAX_EXPLORABLE_FAILURE",
    "NO_EXPLORATION",
    "choose_server",
    "compute_cost",
    "is_short_of_slots",
    "is_explorable",
]


@dataclass(frozen=True, slots=True)
class ChoiceWeights:
    """Weights of the cost terms, in units of failure probability.

    Parameters
    ----------
    load : float
        Cost of a server whose slots are all taken; less in proportion to its load.
    other_zone, other_zone_kilobyte : float
        Cost of a server in another zone, and of each kilobyte that crosses zones.
    max_transfer : float
        Bound on the cost of crossing zones. Without it, a large answer would rather be
        fetched from a gray server of this zone than from a healthy one elsewhere.
    slow : float
        Cost per unit of slowdown above 1.5 times the expected response time.
    cold : float
        Cost of a server that has just started.
    untried : float
        Cost of a server that was added and has had no request yet. It is negative, so
        that each new server is tried soon.
    idempotent_factor : float
        Factor on the failure probability of an idempotent request that has another
        attempt left.
    max_cost : float
        A request waits rather than go to a server of a higher cost.
    max_cost_until : float
        Share of the time from arrival to deadline during which `max_cost` applies;
        later any server is accepted. A server that fails fast always has free slots
        and would drain the queue without this limit.
    local_wait : float
        Cost of waiting for a slot in this zone rather than crossing zones, for the
        whole time from arrival to deadline.
    exploration : float
        Cost per second, beyond the first, in which a server got no request while the
        service explores or while the server's zone has no instance. It is negative, so
        that enough servers stay in use even when the evidence on them is old.
    """

    load: float = 0.05
    other_zone: float = 0.06
    other_zone_kilobyte: float = 0.018
    max_transfer: float = 0.3
    slow: float = 0.15
    cold: float = 0.1
    untried: float = -0.2
    idempotent_factor: float = 0.4
    max_cost: float = 0.5
    max_cost_until: float = 0.8
    local_wait: float = 2.0
    exploration: float = -0.5


CHOICE_WEIGHTS = ChoiceWeights()
# Failure probability up to which an unused server is explored. It falls below this
# about 5 s after a fast failure.
MAX_EXPLORABLE_FAILURE = 0.4
# Failure probability that no server falls below, so that none is explored.
NO_EXPLORATION = 0.0
# Costs are rounded to this step: requests spread over all servers of about the same
# cost, so that the evidence on each stays recent.
_COST_RESOLUTION = 0.03
# Time without a request after which a server is explored.
_UNUSED_GRACE_SECONDS = 1.0
# Longest time after the grace period that adds to the exploration term.
_MAX_UNUSED_SECONDS = 1.2
# Free slots of doubtful servers, as a share of all, from which on requests wait for
# evidence and not for slots. Single gray servers do not end a shortage.
_MIN_DOUBTFUL_SHARE = 0.25
# Requests sent to a server beyond its slots, by rank; they wait at the server.
_EXTRA_REQUESTS_BY_RANK = {Rank.URGENT: 2, Rank.STANDARD: 0, Rank.BULK: 0}


def compute_cost(
    server,
    request,
    now,
    zone,
    weights=CHOICE_WEIGHTS,
    max_explored_failure=NO_EXPLORATION,
    unattended=frozenset(),
):
    """Return the cost of sending a request to a server.

    Parameters
    ----------
    server : BalancedServer
    request : RoutedRequest
    now : float
        On the clock of trio, in seconds.
    zone : ZoneId
        Of this instance.
    weights : ChoiceWeights, optional
    max_explored_failure : float, optional
        Failure probability up to which servers of this zone that are not in use have to
        be tried; default: none are.
    unattended : frozenset of ZoneId
        Zones without an instance, whose servers only other zones can explore.
    """
    record = server.record
    cost = server.belief.compute_failure_probability(
        now, server.count_past_fast_failure(now)
    )
    if request.idempotent and request.attempts_left:
        cost *= weights.idempotent_factor
    cost += weights.load * server.in_flight / record.slots
    cost += weights.slow * max(0.0, server.estimate_slowdown(now) - 1.5)
    if record.zone != zone:
        cost += _compute_transfer_cost(request, weights)
        is_unattended = record.zone in unattended
        max_explored_failure = (
            MAX_EXPLORABLE_FAILURE if is_unattended else NO_EXPLORATION
        )
    unused = now - server.used_at - _UNUSED_GRACE_SECONDS
    if unused > 0 and is_explorable(server, now, max_explored_failure):
        cost += weights.exploration * min(unused, _MAX_UNUSED_SECONDS)
    if now < server.cold_until:
        cost += weights.cold
    elif server.untried:
        cost += weights.untried
    return cost


def is_explorable(server, now, max_failure):
    """Return whether a server is healthy enough for a request that explores it.

    Parameters
    ----------
    server : BalancedServer
    now : float
        On the clock of trio, in seconds.
    max_failure : float
        Highest failure probability of such a server.
    """
    return server.belief.compute_failure_probability(now) <= max_failure


def choose_server(
    servers,
    request,
    now,
    zone,
    excluded=(),
    weights=CHOICE_WEIGHTS,
    max_explored_failure=NO_EXPLORATION,
    unattended=frozenset(),
):
    """Return the cheapest server for a request, or None if it has to wait.

    Parameters
    ----------
    servers : iterable of BalancedServer
        Servers of this zone should come first: then most others can be skipped.
    request : RoutedRequest
    now : float
        On the clock of trio, in seconds.
    zone : ZoneId
        Of this instance.
    excluded : collection of BackendId
        Servers to which the request was sent already.
    weights : ChoiceWeights, optional
    max_explored_failure : float, optional
        Failure probability up to which servers of this zone that are not in use have to
        be tried; default: none are.
    unattended : frozenset of ZoneId
        Zones without an instance.
    """
    best, best_key, best_cost, full_local = None, None, 0.0, []
    elapsed_share = _compute_elapsed_share(request, now)
    limit = weights.max_cost if elapsed_share < weights.max_cost_until else float("inf")
    extra_requests = _EXTRA_REQUESTS_BY_RANK[request.rank]
    # Lower bound of the cost of a server in another zone. At the target fleet size it
    # skips most servers before their cost is computed.
    min_cross_zone_cost = _compute_transfer_cost(request, weights)
    for server in servers:
        record = server.record
        is_full = server.in_flight >= record.slots + extra_requests
        if is_full and record.zone != zone:
            continue
        if server.name in excluded or not server.is_available(now):
            continue
        if is_full:
            full_local.append(server)
            continue
        if (
            best is not None
            and record.zone != zone
            and not server.untried
            and record.zone not in unattended
            and round(min_cross_zone_cost / _COST_RESOLUTION) > best_key[0]
        ):
            continue
        cost = compute_cost(
            server, request, now, zone, weights, max_explored_failure, unattended
        )
        if cost > limit:
            continue
        key = (round(cost / _COST_RESOLUTION), server.used_at)
        if best_key is None or key < best_key:
            best, best_key, best_cost = server, key, cost
    if best is not None and best.record.zone != zone:
        for server in full_local:
            cost = compute_cost(
                server, request, now, zone, weights, max_explored_failure, unattended
            )
            if cost + weights.local_wait * elapsed_share < best_cost:
                return None
    return best


def is_short_of_slots(servers, now):
    """Return whether requests wait for slots, rather than for a healthy server.

    Parameters
    ----------
    servers : iterable of BalancedServer
    now : float
        On the clock of trio, in seconds.
    """
    slots = doubtful = 0
    for server in servers:
        if not server.is_in_service():
            continue
        slots += server.record.slots
        free = server.record.slots - server.in_flight
        if free > 0 and server.is_available(now):
            if is_explorable(server, now, MAX_EXPLORABLE_FAILURE):
                return False
            doubtful += free
    return doubtful < _MIN_DOUBTFUL_SHARE * slots


def _compute_transfer_cost(request, weights):
    """Return the cost of sending a request to another zone."""
    transfer = weights.other_zone_kilobyte * request.kilobytes
    return min(weights.other_zone + transfer, weights.max_transfer)


def _compute_elapsed_share(request, now):
    """Return the share of the time from arrival to deadline that has passed."""
    return (now - request.arrived) / max(request.deadline - request.arrived, 0.001)
