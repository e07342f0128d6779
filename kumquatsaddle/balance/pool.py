"""The backend servers of one service at one instance, and the requests that wait."""

from collections import deque

import trio

from kumquatsaddle.balance.budget import RepeatBudget
from kumquatsaddle.balance.choice import choose_server
from kumquatsaddle.balance.servers import BalancedServer

__all__ = ["BalancedPool"]

# Time in seconds between looks at waiting requests: their limits grow with time.
_LOOK_INTERVAL = 0.05
# Share of failed requests from which a service explores, and the share of its servers
# in this zone that are kept in use, with the time in seconds for which a use counts.
_FAILING_SHARE = 0.06
_LEAST_USED_SHARE, _USED_TIME = 0.75, 1.7
# Time in seconds for which results count, and the fewest that say something.
_RESULTS_TIME = 3.0
_FEWEST_RESULTS = 5


class _Waiter:
    __slots__ = ("request", "excluded", "event", "server")

    def __init__(self, request, excluded):
        self.request = request
        self.excluded = excluded
        self.event = trio.Event()
        self.server = None


class BalancedPool:
    """Servers and waiting requests of one service.

    Parameters
    ----------
    zone : ZoneId
        Of this instance.
    protocol : BackendProtocol
    terms : RepeatTerms
    times : RouteTimes
    """

    def __init__(self, zone, protocol, terms, times):
        self.servers = {}
        self.budget = RepeatBudget(terms)
        self._zone = zone
        self._protocol = protocol
        self._times = times
        self._waiters = []
        self._results = deque()

    def update(self, records):
        """Take over the listed servers; return those that are gone.

        Parameters
        ----------
        records : dict of BackendId to ServerRecord
        """
        now = trio.current_time()
        gone, is_first = [], not self.servers
        for name, server in list(self.servers.items()):
            record = records.get(name)
            if record is None or _is_another(record, server.record):
                gone.append(self.servers.pop(name))
        for name, record in records.items():
            server = self.servers.get(name)
            if server is None:
                self.servers[name] = BalancedServer(
                    record, self._protocol, now, is_new=not is_first
                )
            elif record != server.record:
                server.update(record, now)
        self.wake()
        return gone

    async def take_server(self, request, excluded, until):
        """Wait for a server with room and count the request there.

        Parameters
        ----------
        request : RoutedRequest
        excluded : frozenset of BackendId
        until : float
            On the clock of trio, in seconds.

        Returns
        -------
        BalancedServer or None
            None if none had room in time, or at once if no server can be asked.
        """
        if not any(server.is_listed() for server in self.servers.values()):
            return None
        server = None
        if not self._is_behind(request):
            server = self._choose(request, excluded)
        if server is None:
            waiter = _Waiter(request, excluded)
            self._waiters.append(waiter)
            # Urgent first; within a rank the earliest deadline.
            self._waiters.sort(key=_order_waiter)
            try:
                await self._wait(waiter, until)
            finally:
                if waiter in self._waiters:
                    self._waiters.remove(waiter)
            server = waiter.server
        return server

    def release(self, server, request):
        """Note that a request at a server has ended."""
        server.end(id(request))
        self.wake()

    def wake(self):
        """Give servers to waiting requests, in their order."""
        for waiter in list(self._waiters):
            server = self._choose(waiter.request, waiter.excluded)
            if server is not None:
                self._waiters.remove(waiter)
                waiter.server = server
                waiter.event.set()

    def note_result(self, served):
        """Note whether a request of a caller was served."""
        self._results.append((trio.current_time(), served))

    def _must_explore(self, now):
        """Return whether servers that are not in use have to be tried.

        A server that recovered is not seen to be sound until it is tried, so the
        floor of servers in use could fall for lack of evidence alone.
        """
        if self._measure_failing(now) > _FAILING_SHARE:
            return True
        usable = [
            server
            for server in self.servers.values()
            if server.record.zone == self._zone and server.is_open(now)
        ]
        used = sum(now - server.used_at < _USED_TIME for server in usable)
        return used < _LEAST_USED_SHARE * len(usable)

    def _measure_failing(self, now):
        """Return the share of the latest requests that were not served."""
        while self._results and self._results[0][0] < now - _RESULTS_TIME:
            self._results.popleft()
        if len(self._results) < _FEWEST_RESULTS:
            return 0.0
        failed = sum(not served for _, served in self._results)
        return failed / len(self._results)

    def waiting(self):
        """Return how many requests wait."""
        return len(self._waiters)

    async def _wait(self, waiter, until):
        with trio.move_on_at(until):
            try:
                while not waiter.event.is_set():
                    with trio.move_on_after(_LOOK_INTERVAL):
                        await waiter.event.wait()
                    if not waiter.event.is_set():
                        self.wake()
            except trio.Cancelled:
                # A server may have been granted in the same moment.
                if waiter.server is not None:
                    self.release(waiter.server, waiter.request)
                    waiter.server = None
                raise

    def _is_behind(self, request):
        """Return whether others wait that come before a request."""
        return any(item.request.rank <= request.rank for item in self._waiters)

    def _choose(self, request, excluded):
        now = trio.current_time()
        server = choose_server(
            self.servers.values(),
            request,
            now,
            self._zone,
            excluded,
            explores=self._must_explore(now),
        )
        if server is None:
            return None
        # Counted at once: the task of a waiting request runs only later.
        server.begin(id(request), now, self._times.measure(request.route))
        return server


def _order_waiter(waiter):
    return waiter.request.rank, waiter.request.deadline


def _is_another(record, known):
    """Return whether a record is of another incarnation or address."""
    return (record.born, record.address, record.service) != (
        known.born,
        known.address,
        known.service,
    )
