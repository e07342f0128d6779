"""Sends requests to the backend servers whose home is this instance.

One queue a service joins waiting requests and free slots. Requests that may run more
than once are retried on another server within a budget; others are retried only when
no byte can have reached a server or the server refused them as unprocessed.
"""

import trio

from kumquatsaddle.admission.queue import Waiter, make_queue
from kumquatsaddle.dispatch.connections import ExchangeError
from kumquatsaddle.dispatch.servers import BackendServer
from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.exchange import Answer
from kumquatsaddle.health.baseline import make_baseline
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import BackendState, Outcome, RefusalReason, RetryReason

__all__ = ["Dispatcher", "make_dispatcher"]

# Attempts on different backend servers, the first one included.
_MAX_ATTEMPTS = 2
# Waiting requests of one rank for each slot of a service.
_WAITING_PER_SLOT = 64
# Headers that a backend server sends about itself.
_STATE_HEADER = b"backend-state"
_UNPROCESSED_HEADER = b"backend-unprocessed"
_DEADLINE_HEADER = b"kumquatsaddle-deadline-ms"
_OPERATION_HEADER = b"kumquatsaddle-operation"


class ServicePool:
    """The servers and the queue of one service at this instance."""

    def __init__(self, service):
        self.service = service
        self.baseline = make_baseline()
        self.servers = {}
        self.tokens = {}
        self.queue = make_queue(service.rank_floors, _WAITING_PER_SLOT * service.slots)

    def choose_server(self, waiter):
        """Return the least loaded server with room for a waiter, or None."""
        request = waiter.request
        best, best_load = None, None
        for server in self.servers.values():
            if server.name in waiter.excluded:
                continue
            if not server.has_room(request.idempotent):
                continue
            load = server.in_flight / server.limit
            if best is None or load < best_load:
                best, best_load = server, load
        return best

    def serve_waiting(self):
        """Give free slots to waiting requests."""
        while len(self.queue):
            waiter = self.queue.pop(lambda entry: self.choose_server(entry) is not None)
            if waiter is None:
                return
            server = self.choose_server(waiter)
            server.in_flight += 1
            waiter.slot = server
            waiter.event.set()

    def free_slots(self):
        """Return how many requests could start now."""
        return sum(
            max(0, int(server.limit) - server.in_flight)
            for server in self.servers.values()
            if server.has_room(True)
        )


class Dispatcher:
    """Dispatches the requests of one instance.

    Parameters
    ----------
    metrics : Metrics
    max_answer : int
        Longest body of an answer, in bytes.
    """

    def __init__(self, metrics, max_answer):
        self.metrics = metrics
        self.max_answer = max_answer
        self.pools = {}

    async def update_groups(self, services, groups):
        """Take over the groups whose home is this instance.

        Parameters
        ----------
        services : dict of ServiceName to Service
        groups : iterable of Group
        """
        wanted = {}
        for group in groups:
            wanted.setdefault(group.service, []).append(group)
        for name, members in wanted.items():
            pool = self.pools.get(name)
            if pool is None:
                pool = self.pools[name] = ServicePool(services[name])
            await self._update_pool(pool, services[name], members)
        for name in set(self.pools) - set(wanted):
            await self._update_pool(self.pools[name], self.pools[name].service, [])
            if not len(self.pools[name].queue):
                del self.pools[name]

    async def dispatch(self, request):
        """Run a request on a server of this instance and return the answer.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Answer
            NOT_RUN only if no server can have started the request.
        """
        excluded, answer = frozenset(), None
        for attempt in range(_MAX_ATTEMPTS):
            try:
                server = await self._take_slot(request, excluded)
            except RefusedError as error:
                # A failed attempt says more than the lack of another server.
                return answer or Answer.refuse(error.reason, request.operation)
            answer, retry = await self._attempt(server, request)
            if retry is None or attempt + 1 == _MAX_ATTEMPTS:
                return answer
            self.metrics.count_retry(retry)
            excluded |= {server.name}
        return answer

    def has_room(self, service):
        """Return whether a request of the service could start now."""
        pool = self.pools.get(service)
        return pool is not None and not len(pool.queue) and pool.free_slots() > 0

    async def close(self):
        """Close all idle connections."""
        for pool in self.pools.values():
            for server in pool.servers.values():
                await server.close()

    async def _update_pool(self, pool, service, groups):
        pool.service = service
        pool.tokens = {group.name: group.tokens for group in groups}
        backends = {member.name: member for group in groups for member in group.members}
        for name in set(pool.servers) - set(backends):
            await pool.servers.pop(name).close()
        for name, backend in backends.items():
            if name not in pool.servers:
                pool.servers[name] = BackendServer(
                    backend, service.slots, pool.baseline
                )
            server = pool.servers[name]
            if backend.leaving:
                server.health.state = BackendState.DRAINING
        self._group_of = {
            member.name: group for group in groups for member in group.members
        }
        pool.serve_waiting()

    async def _take_slot(self, request, excluded):
        pool = self.pools.get(request.service)
        if pool is None or not pool.servers:
            raise RefusedError(RefusalReason.NO_BACKEND, request.service)
        waiter = Waiter(request, excluded)
        server = None if len(pool.queue) else pool.choose_server(waiter)
        if server is not None:
            server.in_flight += 1
            return server
        dropped = pool.queue.push(waiter)
        if dropped is not None:
            dropped.refusal = RefusalReason.QUEUE_FULL
            dropped.event.set()
        with trio.move_on_at(request.deadline):
            await waiter.event.wait()
        if waiter.refusal is not None:
            raise RefusedError(waiter.refusal)
        if waiter.slot is None:
            pool.queue.remove(waiter)
            raise RefusedError(RefusalReason.DEADLINE)
        return waiter.slot

    async def _attempt(self, server, request):
        """Run one attempt; return the answer and the reason to retry, or None."""
        pool = self.pools[request.service]
        try:
            if trio.current_time() >= request.deadline:
                return Answer.refuse(RefusalReason.DEADLINE, request.operation), None
            return await self._exchange(pool, server, request)
        finally:
            server.in_flight -= 1
            pool.serve_waiting()

    async def _exchange(self, pool, server, request):
        written = False
        connection = None

        def note_written():
            nonlocal written
            written = True

        started = trio.current_time()
        try:
            connection = await server.take_connection()
            with trio.move_on_at(request.deadline) as scope:
                raw = await connection.exchange(
                    request.method,
                    request.target,
                    _backend_headers(server, request, trio.current_time()),
                    request.body,
                    self.max_answer,
                    note_written,
                )
        except ExchangeError as error:
            if connection is not None:
                await connection.close()
            return self._judge_error(pool, server, request, error)
        if scope.cancelled_caught:
            await connection.close()
            self._add_sample(pool, server, trio.current_time() - started, True)
            return Answer.refuse(RefusalReason.ANSWER_LATE, request.operation), None
        await server.return_connection(connection)
        return self._judge_answer(pool, server, request, raw, started)

    def _judge_error(self, pool, server, request, error):
        self._add_sample(pool, server, 0.0, True)
        answer = Answer.refuse(error.reason, request.operation)
        if not error.written:
            return answer, RetryReason.CONNECT_FAILED
        return answer, RetryReason.BACKEND_ERROR if request.idempotent else None

    def _judge_answer(self, pool, server, request, raw, started):
        latency = trio.current_time() - started
        if raw.get_header(_STATE_HEADER) == b"draining":
            server.health.state = BackendState.DRAINING
        if raw.status == 503 and raw.get_header(_UNPROCESSED_HEADER):
            server.note_shed()
            answer = Answer.refuse(RefusalReason.BACKEND_SHED, request.operation)
            return answer, RetryReason.BACKEND_SHED
        failed = raw.status >= 500
        self._add_sample(pool, server, latency, failed)
        answer = Answer(
            Outcome.DONE,
            raw.status,
            tuple(raw.headers),
            raw.body,
            None,
            request.operation,
        )
        if failed and request.idempotent:
            return answer, RetryReason.BACKEND_ERROR
        if not failed:
            server.note_answer()
        return answer, None

    def _add_sample(self, pool, server, latency, failed):
        health = server.health
        if not health.add_answer(latency, failed):
            return
        if health.state is not BackendState.HEALTHY:
            return
        ejected = sum(
            entry.health.state is BackendState.EJECTED
            for entry in pool.servers.values()
        )
        if ejected < sum(pool.tokens.values()):
            health.eject()
            log_event("backend_ejected", backend=server.name)


def make_dispatcher(metrics, max_answer):
    """Return a dispatcher without any server; see `Dispatcher`."""
    return Dispatcher(metrics, max_answer)


def _backend_headers(server, request, now):
    remaining = max(1, int((request.deadline - now) * 1000))
    headers = [(b"host", str(server.address).encode())]
    headers += request.headers
    headers.append((_DEADLINE_HEADER, str(remaining).encode()))
    if request.operation:
        headers.append((_OPERATION_HEADER, request.operation.encode()))
    if request.body or not request.idempotent:
        headers.append((b"content-length", str(len(request.body)).encode()))
    return headers
