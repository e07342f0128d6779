"""The backend servers of one service at one instance, and its queue of requests."""

from itertools import chain

import trio

from kumquatsaddle.balance.budget import SlidingRetryBudget
from kumquatsaddle.balance.choice import choose_server, is_short_of_slots
from kumquatsaddle.balance.departures import Departures
from kumquatsaddle.balance.drain_rate import DrainRate
from kumquatsaddle.balance.exploration import Exploration
from kumquatsaddle.balance.overload import make_queue_control
from kumquatsaddle.balance.queue_report import QueueReport
from kumquatsaddle.balance.servers import BalancedServer
from kumquatsaddle.dispatch.rate_limits import merge_delays
from kumquatsaddle.exceptions import (
    BackendsPausedError,
    QueueRefusedError,
    RateLimitedError,
)

__all__ = ["BalancedPool"]

# Longest time between passes over the queue: a request that has waited longer accepts
# costlier servers.
_QUEUE_CHECK_INTERVAL_SECONDS = 0.1
# Retry-After for a request that only servers could run which are left to others.
_OTHER_INSTANCES_RETRY_SECONDS = 1.0
# A request waits for a server that takes requests again this soon: its caller could
# not come back earlier.
_SHORT_PAUSE_SECONDS = 0.5
# Number of waiting requests up to which the queue is searched for those to refuse at
# each arrival. With more, it is searched at each pass only: a search looks at all.
_MAX_WAITING_SEARCHED_AT_ARRIVAL = 50


class BalancedPool:
    """Servers and waiting requests of one service.

    Parameters
    ----------
    zone : ZoneId
        Of this instance.
    protocol : BackendProtocol
    retry_limits : RetryLimits
    averages : RouteAverages
    departures : Departures, optional
        Servers that have said that they leave.
    policy : str, default="deadline"
        Setting ``[queue] policy``; a name in `queue_policies`.
    metrics : Metrics, optional
    service : ServiceName, optional
        Label of the metrics.

    Attributes
    ----------
    unattended : frozenset of ZoneId
        Zones without an instance, whose servers are explored from this zone.
    """

    def __init__(
        self,
        zone,
        protocol,
        retry_limits,
        averages,
        departures=None,
        policy="deadline",
        metrics=None,
        service="",
    ):
        self.servers = {}
        self.unattended = frozenset()
        self.budget = SlidingRetryBudget(retry_limits)
        self._zone = zone
        self._protocol = protocol
        self._averages = averages
        self._departures = departures or Departures()
        self._control = make_queue_control(policy, averages)
        self._waiters = self._control.queue
        self._report = QueueReport(metrics, service)
        self._searched_at = float("-inf")
        self._drain_rate = DrainRate()
        self._assigned_at = float("-inf")
        self._local_first = ()
        self._exploration = Exploration(self.servers, zone)

    def update(self, records):
        """Replace the list of servers; return those that are no longer in it.

        Parameters
        ----------
        records : dict of BackendId to ServerRecord
        """
        now = trio.current_time()
        removed, is_first = [], not self.servers
        for name, server in list(self.servers.items()):
            record = records.get(name)
            if record is None or _is_replaced(record, server.record):
                removed.append(self.servers.pop(name))
        for name, record in records.items():
            server = self.servers.get(name)
            if server is None:
                server = BalancedServer(
                    record, self._protocol, now, is_new=not is_first
                )
                server.leaving = self._departures.includes(record)
                self.servers[name] = server
            elif record != server.record:
                server.update(record, now)
        self._local_first = sorted(
            self.servers.values(), key=lambda server: server.record.zone != self._zone
        )
        self.assign_waiting()
        return removed

    async def acquire_server(self, request, excluded, until):
        """Wait for a server with a free slot and add the request to its load.

        Parameters
        ----------
        request : RoutedRequest
        excluded : frozenset of BackendId
        until : float
            When to stop waiting, on the clock of trio in seconds.

        Returns
        -------
        BalancedServer or None
            None if no acceptable server had a free slot in time, or immediately if no
            server in service is left to try.

        Raises
        ------
        RateLimitedError
            If the rate limits of the servers leave no room in time. It is raised as
            soon as this is known.
        BackendsPausedError
            If all servers have asked for a pause; it tells when the first one ends.
        QueueRefusedError
            If it is refused under scarcity.
        """
        if not any(
            server.is_in_service() and name not in excluded
            for name, server in self.servers.items()
        ):
            return None
        self._raise_if_paused(request, excluded)
        if not excluded:
            self._count_arrival(request)
        server = None
        if not self._waiters.has_waiting_up_to(request.rank):
            server = self._choose(request, excluded)
        return server or await self._wait_for_server(request, excluded, until)

    def _count_arrival(self, request):
        """Count a request not sent yet; raise `QueueRefusedError` if it is refused."""
        now = trio.current_time()
        self._control.record_arrival(request, now)
        refusal = self._control.check_arrival(request, now)
        if refusal is not None:
            self._control.record_loss(request, now)
            self._report.add_refusal(request, refusal, now)
            raise QueueRefusedError(refusal, request.service)

    async def _wait_for_server(self, request, excluded, until):
        now = trio.current_time()
        waiter = self._control.make_waiter(request, excluded, until, trio.Event(), now)
        if not self._waiters:
            self._drain_rate.restart(now)
        self._waiters.add(waiter)
        self._refuse_limited()
        if len(self._waiters) <= _MAX_WAITING_SEARCHED_AT_ARRIVAL:
            self._refuse_scarce()
        try:
            await self._wait(waiter, until)
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        if waiter.server is None:
            self._raise_if_paused(request, excluded)
            if waiter.refusal is not None:
                raise QueueRefusedError(waiter.refusal, request.service)
            self._raise_if_limited(waiter)
            now = trio.current_time()
            if now >= until and is_short_of_slots(self.servers.values(), now):
                self._control.record_loss(request, now)
        return waiter.server

    def release(self, server, request):
        """Remove a completed request from the load of its server."""
        server.end(id(request))
        self.assign_waiting()

    def assign_waiting(self):
        """Assign servers to waiting requests, in the order of the queue.

        Once a request finds no server, later requests with the same selection key are
        skipped: a choice for each of them, at each change, would take all of the
        processor time while many wait.
        """
        now = self._assigned_at = trio.current_time()
        if all(server.leaving or server.gone for server in self.servers.values()):
            self.refuse_waiting()
        if not self._waiters:
            self._report.update(self._control, now)
            return
        self._release_paused()
        self._assign_in_order(now)
        if self._waiters:
            self._refuse_limited()
        if now - self._searched_at >= _QUEUE_CHECK_INTERVAL_SECONDS:
            self._searched_at = now
            self._refuse_scarce()
            self._report.update(self._control, now)

    def _release_paused(self):
        """End the wait of the requests for which all servers are paused."""
        paused = {
            excluded
            for excluded in {key[-1] for key in self._waiters.list_selection_keys()}
            if self.compute_pause(excluded) is not None
        }
        if paused:
            for waiter in self._waiters.list_waiting():
                if waiter.excluded in paused:
                    self._waiters.remove(waiter)
                    waiter.event.set()

    def _assign_in_order(self, now):
        blocked = set()
        for waiter in chain.from_iterable(map(tuple, self._control.list_parts(now))):
            if len(blocked) == self._waiters.count_selection_keys():
                return
            if waiter.selection_key in blocked or waiter not in self._waiters:
                continue
            server = self._choose(waiter.request, waiter.excluded)
            if server is None:
                blocked.add(waiter.selection_key)
            else:
                self._waiters.remove(waiter)
                waiter.server = server
                waiter.event.set()

    def _refuse_scarce(self):
        """Refuse what the queue control chooses, in a shortage of slots only."""
        now = trio.current_time()
        if not (self._waiters and self._control.refuses_early):
            return
        if not is_short_of_slots(self.servers.values(), now):
            return
        for waiter, refusal in self._control.find_refusals(now):
            self._waiters.remove(waiter)
            waiter.refusal = refusal
            waiter.event.set()
            self._control.record_loss(waiter.request, now)
            self._report.add_refusal(waiter.request, refusal, now)

    def refuse_waiting(self, is_refused=lambda request: True):
        """End the wait of the waiting requests without a server.

        Parameters
        ----------
        is_refused : callable, optional
            Returns whether the wait of a `RoutedRequest` ends; default: of all.
        """
        for waiter in self._waiters.list_waiting():
            if is_refused(waiter.request):
                self._waiters.remove(waiter)
                waiter.event.set()

    def compute_pause(self, excluded=frozenset()):
        """Return the time until the first paused server may be used, in seconds.

        Parameters
        ----------
        excluded : collection of BackendId, optional
            Servers that do not count.

        Returns
        -------
        float or None
            None if some server is not paused, or only for a short time.
        """
        now, shortest = trio.current_time(), float("inf")
        for name, server in self.servers.items():
            if server.is_in_service() and name not in excluded:
                shortest = min(shortest, server.pause.until - now)
                if shortest <= _SHORT_PAUSE_SECONDS:
                    return None
        return shortest if shortest < float("inf") else None

    def _raise_if_paused(self, request, excluded):
        """Raise `BackendsPausedError` if all servers left to try are paused."""
        pause = self.compute_pause(excluded)
        if pause is not None:
            raise BackendsPausedError(pause, request.service)

    def _refuse_limited(self):
        """Refuse the waiting requests that the rate limits do not let start in time."""
        delays = self._iterate_delays()
        if delays is None:
            return
        delay = next(delays, None)
        latest_check = trio.current_time() + _QUEUE_CHECK_INTERVAL_SECONDS
        for waiter in self._waiters.list_in_order(trio.current_time()):
            if delay is not None and latest_check + delay <= waiter.until:
                delay = next(delays, None)
                continue
            self._waiters.remove(waiter)
            waiter.retry_after = delay or _OTHER_INSTANCES_RETRY_SECONDS
            waiter.event.set()

    def _raise_if_limited(self, waiter):
        """Raise `RateLimitedError` if limits kept a request from all servers."""
        retry_after = waiter.retry_after
        if retry_after is None:
            delays = self._iterate_delays()
            if delays is None:
                return
            retry_after = next(delays, None) or _OTHER_INSTANCES_RETRY_SECONDS
        raise RateLimitedError(retry_after, waiter.request.service)

    def _iterate_delays(self):
        """Return when waiting requests can start, as far as rate limits decide it.

        Servers without a limit take more when a slot becomes free. If there are such
        ones, the rate at which the queue drains tells how many.

        Returns
        -------
        iterator of float or None
            Ascending, in seconds; None if it is not known.
        """
        now = trio.current_time()
        limits = [server.rate_limit for server in self.list_in_service()]
        delays = merge_delays(limits, now)
        if delays is not None or all(limit.rate is None for limit in limits):
            return delays
        return self._drain_rate.iterate_delays(now)

    def list_in_service(self):
        """Return the servers that are neither gone, draining nor leaving."""
        return list(filter(BalancedServer.is_in_service, self.servers.values()))

    def count_waiting(self):
        """Return the number of waiting requests."""
        return len(self._waiters)

    async def _wait(self, waiter, until):
        with trio.move_on_at(until):
            try:
                while not waiter.event.is_set():
                    with trio.move_on_after(_QUEUE_CHECK_INTERVAL_SECONDS):
                        await waiter.event.wait()
                    is_due = (
                        trio.current_time() - self._assigned_at
                        >= _QUEUE_CHECK_INTERVAL_SECONDS
                    )
                    if is_due and not waiter.event.is_set():
                        self.assign_waiting()
            except trio.Cancelled:
                # A server may have been assigned just before the cancellation.
                if waiter.server is not None:
                    self.release(waiter.server, waiter.request)
                    waiter.server = None
                raise

    def _choose(self, request, excluded):
        now = trio.current_time()
        server = choose_server(
            self._local_first,
            request,
            now,
            self._zone,
            excluded,
            max_explored_failure=self._exploration.compute_max_failure(request, now),
            unattended=self.unattended,
        )
        if server is None:
            return None
        # Added to the load here, because the task of a waiting request runs only later.
        server.begin(id(request), now, self._averages.estimate_seconds(request.route))
        if self._waiters:
            self._drain_rate.add_start(now)
        self._control.record_start(request, now)
        self._exploration.record_start()
        return server


def _is_replaced(record, known):
    """Return whether the incarnation, address or service of a server has changed."""
    return (record.started_at_ms, record.address, record.service) != (
        known.started_at_ms,
        known.address,
        known.service,
    )
