"""Sends requests to the backend servers whose home is this instance.

One queue a service joins waiting requests and free slots. Requests that may run more
than once are retried on another server within a budget; others are retried only when
no byte can have reached a server or the server refused them as unprocessed.
"""

import trio

from kumquatsaddle.admission.queue import Waiter
from kumquatsaddle.dispatch.connections import ExchangeError
from kumquatsaddle.dispatch.pools import make_pool
from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.exchange import Answer
from kumquatsaddle.types import Outcome, RefusalReason, RetryReason

__all__ = ["Dispatcher", "make_dispatcher"]

# Attempts on different backend servers, the first one included.
_MAX_ATTEMPTS = 2
# Headers that a backend server sends about itself.
_STATE_HEADER = b"backend-state"
_UNPROCESSED_HEADER = b"backend-unprocessed"
_DEADLINE_HEADER = b"kumquatsaddle-deadline-ms"
_OPERATION_HEADER = b"kumquatsaddle-operation"


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

    async def update_groups(self, services, groups, new=frozenset()):
        """Take over the groups whose home is this instance.

        Parameters
        ----------
        services : dict of ServiceName to Service
        groups : iterable of Group
        new : collection of BackendId
            See `ServicePool.update_groups`.
        """
        wanted = {}
        for group in groups:
            wanted.setdefault(group.service, []).append(group)
        for name, members in wanted.items():
            pool = self.pools.get(name)
            if pool is None:
                pool = self.pools[name] = make_pool(services[name], self.metrics)
            await pool.update_groups(services[name], members, new)
        for name in set(self.pools) - set(wanted):
            await self.pools[name].update_groups(self.pools[name].service, [])
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

    def describe_services(self):
        """Return the `ServiceDigest` of each service at this instance."""
        return [pool.describe() for pool in self.pools.values()]

    async def close(self):
        """Close all idle connections."""
        for pool in self.pools.values():
            for server in pool.servers.values():
                await server.close()

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
            with pool.watch_late(server):
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
            pool.record_unanswered(server, trio.current_time() - started)
            return Answer.refuse(RefusalReason.ANSWER_LATE, request.operation), None
        await server.return_connection(connection)
        return self._judge_answer(pool, server, request, raw, started)

    def _judge_error(self, pool, server, request, error):
        pool.record_failure(server, error.reason)
        answer = Answer.refuse(error.reason, request.operation)
        if not error.written:
            return answer, RetryReason.CONNECT_FAILED
        return answer, RetryReason.BACKEND_ERROR if request.idempotent else None

    def _judge_answer(self, pool, server, request, raw, started):
        latency = trio.current_time() - started
        if raw.get_header(_STATE_HEADER) == b"draining":
            pool.record_draining(server)
        if raw.status == 503 and raw.get_header(_UNPROCESSED_HEADER):
            server.note_shed()
            answer = Answer.refuse(RefusalReason.BACKEND_SHED, request.operation)
            return answer, RetryReason.BACKEND_SHED
        failed = raw.status >= 500
        pool.record_answer(server, latency, failed)
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
