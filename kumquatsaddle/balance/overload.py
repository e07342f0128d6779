"""Order of the requests that wait for a service, and which are refused under scarcity.

A refusal names the time after which the request may be repeated. Requests are refused
on arrival if they are beyond the usual load of their account, while they wait if they
cannot start in time, and at both if a more urgent rank is served less often.

Handles the queue of one instance, which gets its share of the slots of all servers: a
few to some tens of starts a second, and bursts of several seconds. Each decision is
made from what this queue has seen. Without estimates nothing is refused early.
"""

from random import Random

from kumquatsaddle.balance.account_profiles import AccountProfiles
from kumquatsaddle.balance.queue_refusals import QueueRefusal, QueueRule
from kumquatsaddle.balance.rank_shares import RankShares
from kumquatsaddle.balance.slot_rate import Forecast, SlotRate
from kumquatsaddle.balance.waiting import (
    DeadlineOrder,
    ValueOrder,
    Waiter,
    WaitingRequests,
)
from kumquatsaddle.registries import Registry
from kumquatsaddle.types import Rank

__all__ = [
    "DeadlineControl",
    "QueueRefusal",
    "QueueRule",
    "ValueControl",
    "make_queue_control",
    "queue_policies",
]

queue_policies = Registry("queue policy")

# Share of the requests of a route that is answered within the time that the order
# assumes for it.
_WORK_QUANTILE = 0.8
# Standard deviations by which a forecast counts more starts and fewer arrivals than
# were seen. With one, less urgent kinds lost up to 12% of their answers to wrong
# refusals.
_OPTIMISM = 2.0
# A shortage is expected to last for this share of the time that it has lasted. With all
# of it, requests with long deadlines were refused although the burst ended in time.
_HORIZON_SHARE = 0.5
# Share of the requests beyond the usual load that is refused, as a multiple of the
# share of those within it that are late or refused. From a tenth of these on, all
# requests beyond the usual load are refused.
_EXCESS_FACTOR = 10.0
# Part of the starts that go before a waiting less urgent rank and give it one start.
_FLOOR_SHARE = 0.05
_MAX_FLOOR_CREDIT = 1.0
# A rank gets its floor while its served share is below this part of that of each more
# urgent rank, which must not be served less often.
_FLOOR_RATIO = 0.5
# Time missing from the timeout of its route at which a request counts as sent before. A
# new one lacks only the time on the way.
_REPEATED_SECONDS = 0.1
# Bounds of a Retry-After.
_MIN_RETRY_SECONDS, _MAX_RETRY_SECONDS = 0.1, 10.0
# Range of the random factor of a Retry-After, which spreads the returning requests.
_RETRY_SPREAD = (0.8, 1.3)


@queue_policies.register("deadline")
class DeadlineControl:
    """Order by rank and deadline; a request waits until its latest start.

    Parameters
    ----------
    averages : RouteAverages
    random : Random, optional
        For policies that use chance.

    Attributes
    ----------
    refuses_early : bool
        Whether `find_refusals` may return any.
    """

    refuses_early = False

    def __init__(self, averages, random=None):
        self.queue = WaitingRequests(DeadlineOrder())
        self._averages = averages
        self._random = random or Random()

    def make_waiter(self, request, excluded, until, event, now):
        """Return a waiter for a request; see `Waiter`."""
        return Waiter(request, excluded, until, event)

    def list_parts(self, now):
        """Return lists of waiters in their order."""
        return self.queue.list_parts(now)

    def record_arrival(self, request, now):
        """Count a request that arrived."""

    def check_arrival(self, request, now):
        """Return the `QueueRefusal` of a request that must not start at once, or None.

        Call it for a request for which a slot may be free.
        """
        return None

    def record_start(self, request, now):
        """Count a request that started."""

    def record_loss(self, request, now):
        """Count a request that was refused for want of a slot."""

    def find_refusals(self, now):
        """Return the waiters to refuse with their `QueueRefusal`."""
        return []

    def estimate_wait(self, rank, now):
        """Return the wait of a new request of a rank in seconds, or None."""
        return None


@queue_policies.register("value")
class ValueControl(DeadlineControl):
    """Order by rank and value; refuses what cannot be served in time.

    Parameters
    ----------
    averages : RouteAverages
    random : Random, optional
        Spreads the Retry-After.
    """

    refuses_early = True

    def __init__(self, averages, random=None):
        super().__init__(averages, random)
        self.queue = WaitingRequests(ValueOrder())
        self._rate = SlotRate()
        self._shares = RankShares()
        self._profiles = AccountProfiles()
        # Of the requests within the usual load; those that start late count as lost.
        self._usual_shares = RankShares()
        self._excess_credit = 0.0
        self._forecasts_at, self._forecasts = None, {}
        self._credits = dict.fromkeys(Rank, 0.0)

    def make_waiter(self, request, excluded, until, event, now):
        """Return a waiter for a request; see `Waiter`."""
        return Waiter(
            request,
            excluded,
            until,
            event,
            self._averages.estimate_seconds(request.route),
            self._find_objective_start(request),
            request.is_excess,
        )

    def _find_objective_start(self, request):
        """Return the latest start for an answer within the objective, in seconds."""
        route = request.route
        usual = self._averages.work.estimate(route, _WORK_QUANTILE)
        if usual is None:
            usual = self._averages.estimate_seconds(route)
        return _find_first_sent(request) + route.objective - usual

    def record_arrival(self, request, now):
        """Count a request that arrived."""
        if request.account is not None:
            age = request.arrived - _find_first_sent(request)
            request.is_excess = self._profiles.add_arrival(
                request.account.name, now, age > _REPEATED_SECONDS
            )
        self._rate.advance(now, bool(self.queue))
        work = self._averages.estimate_seconds(request.route)
        self._rate.add_arrival(request.rank, work, bool(self.queue))

    def check_arrival(self, request, now):
        """Return the `QueueRefusal` of a request that must not start at once, or None.

        A less urgent one could find a slot here while more urgent ones are refused at
        other instances too.
        """
        waiting = self.queue.count_by_rank(request.rank)
        if self._shares.count_surplus(request.rank, waiting + 1, now):
            rule = QueueRule.RANK
        elif request.is_excess and self._refuses_excess(request.rank, now):
            rule = QueueRule.ACCOUNT
        else:
            return None
        waiter = self.make_waiter(request, frozenset(), request.deadline, None, now)
        work = self.queue.sum_work(request.rank)
        return self._make_refusal(rule, waiter, waiting, work, now)

    def _refuses_excess(self, rank, now):
        """Return whether the next request beyond the usual load is refused.

        Its order alone protects other accounts only from what waits in this queue; a
        flood takes slots through the queues of all instances.
        """
        lost = 1.0 - self._usual_shares.compute_share(rank, now)
        self._excess_credit += min(1.0, _EXCESS_FACTOR * lost)
        if self._excess_credit < 1.0:
            return False
        self._excess_credit -= 1.0
        return True

    def record_start(self, request, now):
        """Count a request that started."""
        self._shares.add_start(request.rank, now)
        if request.account is not None and not request.is_excess:
            if now <= self._find_objective_start(request):
                self._usual_shares.add_start(request.rank, now)
            else:
                self._usual_shares.add_loss(request.rank, now)
        self._rate.advance(now, bool(self.queue))
        if not self.queue:
            return
        self._rate.add_start(self._averages.estimate_seconds(request.route))
        for rank in Rank:
            if rank > request.rank and self.queue.count_by_rank(rank):
                credit = self._credits[rank] + _FLOOR_SHARE
                self._credits[rank] = min(_MAX_FLOOR_CREDIT, credit)
        if self.queue.has_waiting_up_to(request.rank - 1):
            # It passed a more urgent one by its floor.
            self._credits[request.rank] = 0.0

    def record_loss(self, request, now):
        """Count a request that was refused for want of a slot."""
        self._shares.add_loss(request.rank, now)
        if request.account is not None and not request.is_excess:
            self._usual_shares.add_loss(request.rank, now)

    def list_parts(self, now):
        """Return lists of waiters in their order; one may be in two of them."""
        parts = self.queue.list_parts(now)
        for rank in reversed(Rank):
            if self._credits[rank] >= _MAX_FLOOR_CREDIT and self._is_below_floor(
                rank, now
            ):
                first = next((part for part in parts if part[0].rank == rank), None)
                if first is not None:
                    return [first[:1], *parts]
        return parts

    def find_refusals(self, now):
        """Return the waiters to refuse with their `QueueRefusal`.

        Call it at most once for each arrival or pass over the queue, because it looks
        at all waiters, and only in a shortage of slots; see `is_short_of_slots`.
        """
        self._rate.advance(now, bool(self.queue))
        parts = self.queue.list_parts(now)
        refusals = self._find_hopeless(parts, now) if self._rate.is_known() else []
        return refusals + self._find_surplus(parts, refusals, now)

    def estimate_wait(self, rank, now):
        """Return the wait of a new request of a rank in seconds, or None."""
        self._rate.advance(now, bool(self.queue))
        if not self._rate.is_known():
            return None
        return self._estimate_wait(rank, now)

    def _is_below_floor(self, rank, now):
        least = self._shares.compute_least_share(rank, now)
        return self._shares.compute_share(rank, now) < _FLOOR_RATIO * least

    def _find_hopeless(self, parts, now):
        refusals, place, work_before = [], 0, 0.0
        forecasts = self._make_forecasts(now)
        for part in parts:
            for waiter in part:
                is_behind_newer = waiter.is_excess or waiter.objective_start < now
                wait = forecasts[waiter.rank, is_behind_newer].estimate(work_before)
                if not is_behind_newer and now + wait > waiter.objective_start:
                    # It will be late, and then newer requests go before it.
                    wait = forecasts[waiter.rank, True].estimate(work_before)
                if now + wait <= waiter.until:
                    place += 1
                    work_before += waiter.work
                    continue
                refusal = self._make_refusal(
                    QueueRule.HOPELESS, waiter, place, work_before, now
                )
                refusals.append((waiter, refusal))
        return refusals

    def _make_forecasts(self, now):
        """Return the forecasts by rank and whether newer requests of it go first.

        They err so that chance refuses little: by more starts and fewer arrivals.

        Returns
        -------
        dict of (Rank, bool) to Forecast
        """
        if self._forecasts_at == now:
            return self._forecasts
        rate = self._rate.estimate(_OPTIMISM)
        horizon = _HORIZON_SHARE * self._rate.compute_busy_age(now)
        forecasts = {}
        for rank in Rank:
            for is_behind_newer in (False, True):
                ahead = [
                    other
                    for other in Rank
                    if other < rank or (is_behind_newer and other == rank)
                ]
                arrivals = self._rate.estimate_arrivals(ahead, _OPTIMISM)
                usual = min(arrivals, self._rate.estimate_usual_arrivals(ahead))
                forecasts[rank, is_behind_newer] = Forecast(
                    rate - arrivals, rate - usual, horizon
                )
        self._forecasts_at, self._forecasts = now, forecasts
        return forecasts

    def _find_surplus(self, parts, refusals, now):
        """Return the waiters that would be served more often than more urgent ones."""
        refused = {waiter for waiter, _ in refusals}
        found = []
        for rank in list(Rank)[1:]:
            waiting = self.queue.count_by_rank(rank) - sum(
                waiter.rank == rank for waiter in refused
            )
            surplus = self._shares.count_surplus(rank, waiting, now) if waiting else 0
            if not surplus:
                continue
            remaining = [
                waiter
                for part in parts
                for waiter in part
                if waiter.rank == rank and waiter not in refused
            ]
            for place, waiter in list(enumerate(remaining))[-surplus:]:
                refusal = self._make_refusal(
                    QueueRule.RANK, waiter, place, self.queue.sum_work(rank), now
                )
                found.append((waiter, refusal))
        return found

    def _make_refusal(self, rule, waiter, place, work_before, now):
        known = self._rate.is_known()
        if rule is QueueRule.RANK:
            wait = self._shares.compute_recovery(waiter.rank, now)
        elif not known:
            wait = self._rate.compute_busy_age(now)
        else:
            wait = self._estimate_wait(waiter.rank, now)
        wait *= self._random.uniform(*_RETRY_SPREAD)
        return QueueRefusal(
            rule,
            place,
            work_before,
            self._rate.estimate() if known else None,
            waiter.until - now,
            max(_MIN_RETRY_SECONDS, min(_MAX_RETRY_SECONDS, wait)),
        )

    def _estimate_wait(self, rank, now):
        """Return the time until the waiting work of a rank has started, in seconds.

        Newer requests of the rank count as going first: one that returns has less time
        left than they have.
        """
        forecast = self._make_forecasts(now)[rank, True]
        wait = forecast.estimate(self.queue.sum_work(rank))
        # Without an end in sight, the shortage is expected to last as long again.
        return wait if wait < float("inf") else self._rate.compute_busy_age(now)


def _find_first_sent(request):
    """Return when the caller sent a request first, in seconds.

    A request that was refused before arrives with less than the timeout of its route.
    """
    return min(request.arrived, request.deadline - request.route.timeout)


def make_queue_control(policy, averages):
    """Return the control of an empty queue by the name of a policy.

    Parameters
    ----------
    policy : str
        A name in `queue_policies`.
    averages : RouteAverages

    Raises
    ------
    SettingsError
        If there is no such policy.
    """
    return queue_policies.get(policy)(averages)
