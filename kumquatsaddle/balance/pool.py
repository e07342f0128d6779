"""The backend servers of one service at one instance, and its queue of requests."""

import trio

from kumquatsaddle.balance.budget import SlidingRetryBudget
from kumquatsaddle.balance.choice import (
    MAX_EXPLORABLE_FAILURE,
    NO_EXPLORATION,
    choose_server,
    is_explorable,
)
from kumquatsaddle.balance.departures import Departures
from kumquatsaddle.balance.drain_rate import DrainRate
from kumquatsaddle.balance.servers import BalancedServer
from kumquatsaddle.dispatch.rate_limits import merge_delays
from kumquatsaddle.exceptions import BackendsPausedError, RateLimitedError

__all__ = ["BalancedPool"]

# Longest time between passes over the queue: a request that has waited longer accepts
# costlier servers.
_QUEUE_CHECK_INTERVAL_SECONDS = 0.1
# Share of the explorable servers of this zone below which the service explores.
_MIN_USED_SHARE = 0.75
# Time after a request for which its server counts as in use.
_USED_WINDOW_SECONDS = 1.7
# How long only repeatable requests try unused servers, if there are such requests.
_REPEATABLE_FIRST_SECONDS = 1.0
# Retry-After for a request that only servers could run which are left to others.
_OTHER_INSTANCES_RETRY_SECONDS = 1.0
# A request waits for a server that takes requests again this soon: its caller could
# not come back earlier.
_SHORT_PAUSE_SECONDS = 0.5
# Shortest time between counts of the servers in use while no request is sent.
_USE_COUNT_INTERVAL_SECONDS = 0.1


class _Waiter:
    __slots__ = ("request", "excluded", "until", "event", "server", "retry_after")

    def __init__(self, request, excluded, until):
        self.request = request
        self.excluded = excluded
        self.until = until
        self.event = trio.Event()
        self.server = None
        self.retry_after = None

    @property
    def selection_key(self):
        """What decides, apart from the time waited, which servers it accepts."""
        request = self.request
        return request.rank, request.idempotent, request.attempts_left, self.excluded


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

    Attributes
    ----------
    unattended : frozenset of ZoneId
        Zones without an instance, whose servers are explored from this zone.
    """

    def __init__(self, zone, protocol, retry_limits, averages, departures=None):
        self.servers = {}
        self.unattended = frozenset()
        self.budget = SlidingRetryBudget(retry_limits)
        self._zone = zone
        self._protocol = protocol
        self._averages = averages
        self._departures = departures or Departures()
        self._waiters = []
        self._drain_rate = DrainRate()
        self._assigned_at = float("-inf")
        self._local_first = ()
        self._explores = False
        self._use_counted_at = float("-inf")
        self._explores_since = float("-inf")
        self._repeatable_at = float("-inf")

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
        """
        if not any(
            server.is_in_service() and name not in excluded
            for name, server in self.servers.items()
        ):
            return None
        self._raise_if_paused(request, excluded)
        server = None
        if not self._must_queue(request):
            server = self._choose(request, excluded)
        if server is None:
            waiter = _Waiter(request, excluded, until)
            if not self._waiters:
                self._drain_rate.restart(trio.current_time())
            self._waiters.append(waiter)
            # By rank, the most urgent first; within a rank by deadline.
            self._waiters.sort(key=_compute_queue_order)
            self._refuse_limited()
            try:
                await self._wait(waiter, until)
            finally:
                if waiter in self._waiters:
                    self._waiters.remove(waiter)
            server = waiter.server
            if server is None:
                self._raise_if_paused(request, excluded)
                self._raise_if_limited(waiter)
        return server

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
        self._assigned_at = trio.current_time()
        if all(server.leaving or server.gone for server in self.servers.values()):
            self.refuse_waiting()
        blocked = set()
        for waiter in list(self._waiters):
            if self.compute_pause(waiter.excluded) is not None:
                self._waiters.remove(waiter)
                waiter.event.set()
                continue
            if waiter.selection_key in blocked:
                continue
            server = self._choose(waiter.request, waiter.excluded)
            if server is None:
                blocked.add(waiter.selection_key)
            else:
                self._waiters.remove(waiter)
                waiter.server = server
                waiter.event.set()
        if self._waiters:
            self._refuse_limited()

    def refuse_waiting(self, is_refused=lambda request: True):
        """Let the waiting requests go without a server.

        Parameters
        ----------
        is_refused : callable, optional
            Returns whether a `RoutedRequest` is let go; default: all are.
        """
        for waiter in list(self._waiters):
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
        for waiter in list(self._waiters):
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

    def _needs_exploration(self, now):
        """Return whether servers that are not in use have to be tried.

        A server that recovered counts as faulty until it is tried, so that without
        exploration too few servers could stay in use for lack of evidence alone.
        """
        if now - self._use_counted_at >= _USE_COUNT_INTERVAL_SECONDS:
            self._use_counted_at = now
            explored_before = self._explores
            self._explores = self._has_too_few_in_use(now)
            if self._explores and not explored_before:
                self._explores_since = now
        return self._explores

    def _compute_max_explored_failure(self, request, now):
        """Return the failure probability up to which a request tries unused servers.

        A server that is tried may still be faulty, which costs a repeatable request
        only a retry. Where there are such requests, the others leave it to them for a
        while.
        """
        is_repeatable = request.idempotent and request.attempts_left > 0
        if is_repeatable:
            self._repeatable_at = now
        if not self._needs_exploration(now):
            return NO_EXPLORATION
        others_wait = (
            now - self._repeatable_at < _REPEATABLE_FIRST_SECONDS
            and now - self._explores_since < _REPEATABLE_FIRST_SECONDS
        )
        if others_wait and not is_repeatable:
            return NO_EXPLORATION
        return MAX_EXPLORABLE_FAILURE

    def _has_too_few_in_use(self, now):
        usable = [
            server
            for server in self.servers.values()
            if server.record.zone == self._zone
            and server.is_available(now)
            and is_explorable(server, now, MAX_EXPLORABLE_FAILURE)
        ]
        used = sum(now - server.used_at < _USED_WINDOW_SECONDS for server in usable)
        return used < _MIN_USED_SHARE * len(usable)

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

    def _must_queue(self, request):
        """Return whether a request of the same or a more urgent rank already waits."""
        return any(item.request.rank <= request.rank for item in self._waiters)

    def _choose(self, request, excluded):
        now = trio.current_time()
        server = choose_server(
            self._local_first,
            request,
            now,
            self._zone,
            excluded,
            max_explored_failure=self._compute_max_explored_failure(request, now),
            unattended=self.unattended,
        )
        if server is None:
            return None
        # Added to the load here, because the task of a waiting request runs only later.
        server.begin(id(request), now, self._averages.estimate_seconds(request.route))
        if self._waiters:
            self._drain_rate.add_start(now)
        self._use_counted_at = float("-inf")
        return server


def _compute_queue_order(waiter):
    return waiter.request.rank, waiter.request.deadline


def _is_replaced(record, known):
    """Return whether the incarnation, address or service of a server has changed."""
    return (record.started_at_ms, record.address, record.service) != (
        known.started_at_ms,
        known.address,
        known.service,
    )
