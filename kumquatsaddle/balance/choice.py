"""The choice of a backend server for one request.

Each server has a cost: its chance to fail the request, its load, its slowness and
whether the answer has to cross zones. The cheapest server with a free slot is chosen.
"""

from dataclasses import dataclass

from kumquatsaddle.types import Rank

__all__ = ["CHOICE_WEIGHTS", "choose_server", "is_explorable", "measure_cost"]


@dataclass(frozen=True, slots=True)
class ChoiceWeights:
    """Costs beside the chance of a failure, in the same unit.

    Parameters
    ----------
    load : float
        Of a server whose slots are all taken.
    other_zone, other_zone_kilobyte : float
        Of a server in another zone, and of each kilobyte that crosses zones.
    slow : float
        For each multiple of the usual time above the first.
    cold : float
        Of a server that has just started.
    untried : float
        Of a server that was added and has had no request yet. It is negative, so
        that each new server is tried soon.
    repeatable : float
        Factor on the chance of a failure of a request that may be sent again.
    most_acceptable : float
        Cost above which a request rather waits.
    patience : float
        Share of the time of a request after which any server is acceptable: a server
        that fails at once always has free slots, and would drain the queue.
    waiting : float
        Of waiting for a slot in this zone rather than crossing zones, for the whole
        time of a request.
    unused : float
        For each second beyond the first that a server got nothing while the service
        explores, or while its zone has no instance. It is negative: the floor of
        servers in use is kept also when the evidence on them is old.
    """

    load: float = 0.05
    other_zone: float = 0.06
    other_zone_kilobyte: float = 0.018
    slow: float = 0.15
    cold: float = 0.1
    untried: float = -0.2
    repeatable: float = 0.4
    most_acceptable: float = 0.5
    patience: float = 0.8
    waiting: float = 2.0
    unused: float = -0.5


CHOICE_WEIGHTS = ChoiceWeights()
# Costs that differ by less are the same: work spreads over all servers that are about
# equally sure, so that the evidence on each stays recent.
_COST_STEP = 0.03
# Time in seconds that a server may be unused while its service explores, and the
# longest that counts beyond it.
_UNUSED_TIME, _LONGEST_UNUSED = 1.0, 1.2
# Chance of a failure up to which an unused server is explored. A server that failed at
# once falls below it after about 5 s.
_EXPLORABLE = 0.4
# Requests beyond the slots that a server is given, by rank: they wait at the server.
_OVERCOMMIT = {Rank.URGENT: 2, Rank.STANDARD: 0, Rank.BULK: 0}


def measure_cost(
    server,
    request,
    now,
    zone,
    weights=CHOICE_WEIGHTS,
    explores=False,
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
    explores : bool, default=False
        Whether servers that are not in use have to be tried.
    unattended : frozenset of ZoneId
        Zones without an instance; nobody there tries their servers.
    """
    record = server.record
    cost = server.belief.measure_failure(now, server.count_started(now))
    if request.idempotent and request.attempts_left:
        cost *= weights.repeatable
    cost += weights.load * server.load / record.slots
    cost += weights.slow * max(0.0, server.measure_pace(now) - 1.5)
    if record.zone != zone:
        cost += weights.other_zone + weights.other_zone_kilobyte * request.kilobytes
        explores = record.zone in unattended
    if explores and is_explorable(server, now):
        unused = max(0.0, now - server.used_at - _UNUSED_TIME)
        cost += weights.unused * min(unused, _LONGEST_UNUSED)
    if now < server.cold_until:
        cost += weights.cold
    elif server.untried:
        cost += weights.untried
    return cost


def is_explorable(server, now):
    """Return whether a server is worth a request for the sake of the evidence."""
    return server.belief.measure_failure(now) <= _EXPLORABLE


def choose_server(
    servers,
    request,
    now,
    zone,
    excluded=(),
    weights=CHOICE_WEIGHTS,
    explores=False,
    unattended=frozenset(),
):
    """Return the cheapest server for a request, or None if it has to wait.

    Parameters
    ----------
    servers : iterable of BalancedServer
        Fastest if those of this zone come first.
    request : RoutedRequest
    now : float
        On the clock of trio, in seconds.
    zone : ZoneId
        Of this instance.
    excluded : collection of BackendId
        Servers that the request was sent to already.
    weights : ChoiceWeights, optional
    explores : bool, default=False
        Whether servers that are not in use have to be tried.
    unattended : frozenset of ZoneId
        Zones without an instance.
    """
    best, best_order, best_cost, full_here = None, None, 0.0, []
    waited = _measure_waited(request, now)
    limit = weights.most_acceptable if waited < weights.patience else float("inf")
    most_beyond = _OVERCOMMIT[request.rank]
    # The least that a server of another zone costs; at the target size most servers are
    # passed over by it.
    crossing = weights.other_zone + weights.other_zone_kilobyte * request.kilobytes
    for server in servers:
        record = server.record
        is_full = server.load >= record.slots + most_beyond
        if is_full and record.zone != zone:
            continue
        if server.name in excluded or not server.is_open(now):
            continue
        if is_full:
            full_here.append(server)
            continue
        if (
            best is not None
            and record.zone != zone
            and not server.untried
            and record.zone not in unattended
            and round(crossing / _COST_STEP) > best_order[0]
        ):
            continue
        cost = measure_cost(server, request, now, zone, weights, explores, unattended)
        if cost > limit:
            continue
        order = (round(cost / _COST_STEP), server.used_at)
        if best_order is None or order < best_order:
            best, best_order, best_cost = server, order, cost
    if best is not None and best.record.zone != zone:
        for server in full_here:
            cost = measure_cost(
                server, request, now, zone, weights, explores, unattended
            )
            if cost + weights.waiting * waited < best_cost:
                return None
    return best


def _measure_waited(request, now):
    """Return the share of the time of a request that has passed."""
    return (now - request.arrived) / max(request.deadline - request.arrived, 0.001)
