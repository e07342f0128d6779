"""The backend servers of one service at one instance, and the requests that wait."""

import trio

from kumquatsaddle.balance.budget import RepeatBudget
from kumquatsaddle.balance.choice import choose_server, is_explorable
from kumquatsaddle.balance.servers import BalancedServer

__all__ = ["BalancedPool"]

# Time in seconds between looks at waiting requests: their limits grow with time.
_LOOK_INTERVAL = 0.1
# Share of the servers of a service in this zone that are kept in use, those aside that
# probably fail still, and the time in seconds for which a use counts.
_LEAST_USED_SHARE, _USED_TIME = 0.75, 1.7
# Time in seconds for which the servers in use are not counted again while no request is
# sent.
_COUNTED_TIME = 0.1


class _Waiter:
    __slots__ = ("request", "excluded", "event", "server")

    def __init__(self, request, excluded):
        self.request = request
        self.excluded = excluded
        self.event = trio.Event()
        self.server = None

    @property
    def kind(self):
        """What decides, beside the time waited, which servers fit."""
        request = self.request
        return request.rank, request.idempotent, request.attempts_left, self.excluded


class BalancedPool:
    """Servers and waiting requests of one service.

    Parameters
    ----------
    zone : ZoneId
        Of this instance.
    protocol : BackendProtocol
    terms : RepeatTerms
    times : RouteTimes

    Attributes
    ----------
    unattended : frozenset of ZoneId
        Zones without an instance; their servers are tried from here.
    """

    def __init__(self, zone, protocol, terms, times):
        self.servers = {}
        self.unattended = frozenset()
        self.budget = RepeatBudget(terms)
        self._zone = zone
        self._protocol = protocol
        self._times = times
        self._waiters = []
        self._looked_at = float("-inf")
        self._ordered = ()
        self._explores = False
        self._counted_at = float("-inf")

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
        self._ordered = sorted(
            self.servers.values(), key=lambda server: server.record.zone != self._zone
        )
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
        if not any(
            server.is_listed() and name not in excluded
            for name, server in self.servers.items()
        ):
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
        """Give servers to waiting requests, in their order.

        Requests of one kind that come later are not looked at once one finds no
        server: a look at each of them, at each change, takes all of the processor
        while many wait.
        """
        self._looked_at = trio.current_time()
        blocked = set()
        for waiter in list(self._waiters):
            if waiter.kind in blocked:
                continue
            server = self._choose(waiter.request, waiter.excluded)
            if server is None:
                blocked.add(waiter.kind)
            else:
                self._waiters.remove(waiter)
                waiter.server = server
                waiter.event.set()

    def _must_explore(self, now):
        """Return whether servers that are not in use have to be tried.

        A server that recovered is not seen to be sound until it is tried, so the
        floor of servers in use could fall for lack of evidence alone.
        """
        if now - self._counted_at >= _COUNTED_TIME:
            self._counted_at = now
            self._explores = self._is_below_floor(now)
        return self._explores

    def _is_below_floor(self, now):
        usable = [
            server
            for server in self.servers.values()
            if server.record.zone == self._zone
            and server.is_open(now)
            and is_explorable(server, now)
        ]
        used = sum(now - server.used_at < _USED_TIME for server in usable)
        return used < _LEAST_USED_SHARE * len(usable)

    def waiting(self):
        """Return how many requests wait."""
        return len(self._waiters)

    async def _wait(self, waiter, until):
        with trio.move_on_at(until):
            try:
                while not waiter.event.is_set():
                    with trio.move_on_after(_LOOK_INTERVAL):
                        await waiter.event.wait()
                    is_due = trio.current_time() - self._looked_at >= _LOOK_INTERVAL
                    if is_due and not waiter.event.is_set():
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
            self._ordered,
            request,
            now,
            self._zone,
            excluded,
            explores=self._must_explore(now),
            unattended=self.unattended,
        )
        if server is None:
            return None
        # Counted at once: the task of a waiting request runs only later.
        server.begin(id(request), now, self._times.measure(request.route))
        self._counted_at = float("-inf")
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
