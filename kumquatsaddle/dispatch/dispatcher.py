"""Sends requests to the backend servers whose home is this instance.

See `kumquatsaddle.dispatch` for homes and groups. Each service has one queue that
assigns free slots to waiting requests. Idempotent requests are retried on another
server within a retry budget; others are retried only if no byte can have reached a
server or the server refused them as unprocessed.
"""

from itertools import count

import trio

from kumquatsaddle.admission.queue import Waiter
from kumquatsaddle.dispatch.answers import AnswerMemory
from kumquatsaddle.dispatch.connections import REQUEST_ID_HEADER, ExchangeError
from kumquatsaddle.dispatch.pools import make_pool
from kumquatsaddle.dispatch.protocol import DEFAULT_PROTOCOL
from kumquatsaddle.dispatch.rate_limits import read_rate
from kumquatsaddle.dispatch.retries import (
    choose_answer,
    get_retry_reason,
    is_stale_connection_error,
    make_retry_budget,
)
from kumquatsaddle.dispatch.starts import StartLimit
from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.exchange import Answer
from kumquatsaddle.types import Outcome, RefusalReason, RetryReason

__all__ = ["Dispatcher", "make_dispatcher"]

# Attempts on different backend servers, the first one included.
_MAX_ATTEMPTS = 2
# Headers with which a backend server reports its state and refusals.
_STATE_HEADER = b"backend-state"
_UNPROCESSED_HEADER = b"backend-unprocessed"
_DEADLINE_HEADER = b"kumquatsaddle-deadline-ms"
_OPERATION_HEADER = b"kumquatsaddle-operation"
# Headers that the dispatcher sets; those of the caller's request are dropped.
_RESERVED_HEADERS = frozenset(
    {b"host", REQUEST_ID_HEADER, _DEADLINE_HEADER, _OPERATION_HEADER, b"content-length"}
)


class Dispatcher:
    """Dispatches the requests of one instance.

    Parameters
    ----------
    metrics : Metrics
    max_answer_bytes : int
        Longest body of an answer, in bytes.
    """

    def __init__(self, metrics, max_answer_bytes):
        self.metrics = metrics
        self.max_answer_bytes = max_answer_bytes
        self.answer_memory = AnswerMemory()
        self.pools = {}
        self._budgets = {}
        self._request_ids = count(1)
        self._start_limit = StartLimit()

    async def update_groups(self, services, groups, new=frozenset()):
        """Set the groups whose home is this instance.

        Parameters
        ----------
        services : dict of ServiceName to Service
        groups : iterable of Group
        new : collection of BackendId
            See `ServicePool.update_groups`.
        """
        groups_by_service = {}
        for group in groups:
            groups_by_service.setdefault(group.service, []).append(group)
        for name, members in groups_by_service.items():
            pool = self.pools.get(name)
            if pool is None:
                pool = self.pools[name] = make_pool(services[name], self.metrics)
            pool.queue.rank_floors = services[name].rank_floors
            await pool.update_groups(services[name], members, new)
        for name in set(self.pools) - set(groups_by_service):
            pool = self.pools.pop(name)
            pool.queue.refuse_all(RefusalReason.NO_BACKEND)
            self._budgets.pop(name, None)
            await pool.update_groups(pool.service, [])

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
        pool = self.pools.get(request.service)
        if pool is None:
            return Answer.from_reason(RefusalReason.NO_BACKEND, request.operation)
        budget = self._budgets.setdefault(request.service, make_retry_budget())
        budget.add_request()
        excluded, answer, retry = frozenset(), None, None
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            try:
                server = await self._acquire_slot(pool, request, excluded)
            except RefusedError as error:
                refusal = Answer.from_reason(
                    error.reason, request.operation, error.retry_after
                )
                # The answer of a failed attempt is more specific than a refusal
                # for lack of another server.
                return answer or refusal
            if attempt > 1:
                self.metrics.count_retry(retry)
            result, retry = await self._run_attempt(pool, server, request)
            answer = choose_answer(answer, result)
            excluded |= {server.name}
            if retry is None or attempt == _MAX_ATTEMPTS:
                return answer
            if not set(pool.servers) - excluded:
                return answer
            if not budget.try_withdraw():
                self.metrics.count("retries_denied", reason=retry.value)
                return answer
        return answer

    def has_room(self, service):
        """Return whether a request of the service could start now."""
        pool = self.pools.get(service)
        return pool is not None and not len(pool.queue) and pool.count_free_slots() > 0

    def describe_services(self):
        """Return the `ServiceDigest` of each service at this instance."""
        return [pool.describe() for pool in self.pools.values()]

    def plan_stop(self, ends_at):
        """Start no request that would outlast a planned stop.

        Parameters
        ----------
        ends_at : float
            When the process ends, on the clock of trio in seconds.
        """
        self._start_limit.plan_stop(ends_at)

    def stop_starting(self):
        """Refuse the requests that wait and all that come; others may end."""
        self._start_limit.close()
        for pool in self.pools.values():
            pool.queue.refuse_all(RefusalReason.STOPPING)

    async def close(self):
        """Close all idle connections."""
        # The pools may change while a connection closes.
        for pool in list(self.pools.values()):
            for server in list(pool.servers.values()):
                await server.close()

    async def _acquire_slot(self, pool, request, excluded):
        """Wait for a slot and return its server.

        Raises
        ------
        RefusedError
            If the service has no server here, or if the request is dropped from the
            queue or cannot start in time.
        """
        # A request with less time left than this is usually answered too late.
        pool.queue.service_time = min(pool.baseline.p99, 2 * pool.baseline.median)
        if not self._start_limit.allows(pool.queue.service_time):
            raise RefusedError(RefusalReason.STOPPING, request.service)
        if not pool.servers:
            raise RefusedError(RefusalReason.NO_BACKEND, request.service)
        waiter = Waiter(request, excluded)
        # The queue costs 20 us and is not needed while no request waits.
        server = None if len(pool.queue) else pool.choose_server(waiter)
        if server is not None:
            server.take_slot()
            return server
        start_by = request.deadline - pool.queue.service_time
        pool.refuse_if_limited(request.rank, start_by)
        dropped = pool.queue.push(waiter)
        if dropped is not None:
            dropped.refuse(RefusalReason.QUEUE_FULL)
        pool.assign_waiting()
        if not waiter.event.is_set():
            await self._wait_for_slot(pool, waiter)
        # The stop may have begun while the request waited.
        if not self._start_limit.allows(pool.queue.service_time):
            if waiter.slot is not None:
                _release_slot(pool, waiter.slot)
            raise RefusedError(RefusalReason.STOPPING, request.service)
        if waiter.slot is not None:
            return waiter.slot
        raise RefusedError(waiter.refusal or RefusalReason.DEADLINE)

    async def _wait_for_slot(self, pool, waiter):
        latest_start = self._start_limit.compute_latest_start(pool.queue.service_time)
        try:
            with trio.move_on_at(min(waiter.start_by, latest_start)):
                await waiter.event.wait()
        except trio.Cancelled:
            # The slot may have been granted in the same step of the event loop.
            if waiter.slot is not None:
                _release_slot(pool, waiter.slot)
            raise
        finally:
            pool.queue.remove(waiter)

    async def _run_attempt(self, pool, server, request):
        """Run one attempt; return the answer and the reason to retry, or None."""
        try:
            with pool.watch_request(server):
                return await self._exchange(pool, server, request)
        finally:
            _release_slot(pool, server)

    async def _exchange(self, pool, server, request):
        connection, raw, is_reused, written = None, None, False, False

        def check_deadline_before_write():
            # The process may have been paused since the slot was granted.
            nonlocal written
            if trio.current_time() >= request.deadline:
                raise ExchangeError(RefusalReason.DEADLINE, False)
            written = True

        started_at = trio.current_time()
        try:
            with trio.move_on_at(request.deadline):
                connection = await server.acquire_connection()
                is_reused = connection.exchange_count > 0
                raw = await connection.exchange(
                    request.method,
                    request.target,
                    self._build_headers(server, request, trio.current_time()),
                    request.body,
                    self.max_answer_bytes,
                    check_deadline_before_write,
                    self.answer_memory,
                )
        except ExchangeError as error:
            return self._handle_exchange_error(pool, server, request, error, is_reused)
        finally:
            if connection is not None:
                await _return_or_close_connection(pool, server, connection, raw)
        if raw is None:
            return self._handle_missing_answer(
                pool, server, request, started_at, written
            )
        return self._handle_answer(pool, server, request, raw, started_at)

    def _handle_missing_answer(self, pool, server, request, started_at, written):
        if not written:
            return Answer.from_reason(RefusalReason.DEADLINE, request.operation), None
        pool.record_unanswered(server, trio.current_time() - started_at)
        return Answer.from_reason(RefusalReason.ANSWER_LATE, request.operation), None

    def _handle_exchange_error(self, pool, server, request, error, is_reused):
        if not is_stale_connection_error(error, is_reused):
            pool.record_failure(server, error.reason)
        answer = Answer.from_reason(error.reason, request.operation)
        return answer, get_retry_reason(error, request.idempotent, is_reused)

    def _handle_answer(self, pool, server, request, raw, started_at):
        latency = trio.current_time() - started_at
        is_refused = raw.status == 503 and bool(raw.get_header(_UNPROCESSED_HEADER))
        rate = read_rate(
            raw,
            DEFAULT_PROTOCOL.rate_limit,
            server.rate_limit.rate,
            may_end=not is_refused,
        )
        pool.state_rate_limit(server, rate)
        is_draining = raw.get_header(_STATE_HEADER) == b"draining"
        if is_draining:
            pool.record_draining(server)
        if is_refused:
            if not is_draining:
                server.decrease_limit()
            answer = Answer.from_reason(RefusalReason.BACKEND_SHED, request.operation)
            return answer, RetryReason.BACKEND_SHED
        failed = raw.status >= 500
        pool.record_answer(server, latency, failed)
        answer = Answer(
            Outcome.DONE,
            raw.status,
            tuple(item for item in raw.headers if item[0] != REQUEST_ID_HEADER),
            raw.body,
            None,
            request.operation,
        )
        if failed and request.idempotent:
            return answer, RetryReason.BACKEND_ERROR
        if not failed:
            server.increase_limit()
        return answer, None

    def _build_headers(self, server, request, now):
        remaining = max(1, int((request.deadline - now) * 1000))
        headers = [(b"host", str(server.address).encode())]
        headers += [
            item for item in request.headers if item[0] not in _RESERVED_HEADERS
        ]
        headers.append((_DEADLINE_HEADER, str(remaining).encode()))
        headers.append((REQUEST_ID_HEADER, str(next(self._request_ids)).encode()))
        if request.operation:
            headers.append((_OPERATION_HEADER, request.operation.encode()))
        if request.body or not request.idempotent:
            headers.append((b"content-length", str(len(request.body)).encode()))
        return headers


def make_dispatcher(metrics, max_answer_bytes):
    """Return a dispatcher without any server; see `Dispatcher`."""
    return Dispatcher(metrics, max_answer_bytes)


def _release_slot(pool, server):
    """Release a slot and assign it to the next waiting request."""
    server.in_flight -= 1
    pool.assign_waiting()


async def _return_or_close_connection(pool, server, connection, raw):
    """Return a connection to its server after a whole answer; close it otherwise.

    A server that was removed from the pool during the exchange has already closed its
    idle connections, so a connection returned to it would stay open.
    """
    if raw is not None and pool.servers.get(server.name) is server:
        await server.release_connection(connection)
    else:
        await connection.close()
