"""Sends routed requests to backend servers and decides what is sent again.

A request that may not repeat is sent a second time only after a server said that it
had not run it, or when no byte of it was written. What may repeat is sent again after
any failure, within the budget of its service.
"""

from dataclasses import dataclass
from enum import Enum

import trio

from kumquatsaddle.balance.baseline import RouteTimes
from kumquatsaddle.balance.budget import RepeatTerms
from kumquatsaddle.balance.pool import BalancedPool
from kumquatsaddle.dispatch.connections import ExchangeError
from kumquatsaddle.dispatch.retries import choose_answer
from kumquatsaddle.exchange import Answer
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import Outcome, RefusalReason, RetryReason

__all__ = ["BalancedDispatcher", "make_balanced_dispatcher"]

# Shortest time in seconds in which a server can answer; a request with less left is
# not sent any more.
_SHORTEST_ATTEMPT = 0.02
# Share of the usual time of an answer that has to be left for a request to start.
_START_SHARE = 0.8
# Pause in seconds for a server that refused a request for lack of room.
_FULL_PAUSE = 0.15
_MISDIRECTED = 421
_GATEWAY_TIMEOUT = 504
# Time in seconds before a deadline in which a server's 504 is due to it.
_DEADLINE_MARGIN = 0.1


class Verdict(Enum):
    """What an attempt came to."""

    SERVED = "served"
    FAILED = "failed"
    # The server may have run it; its answer is lost.
    LOST = "lost"
    # The server said that it did not run it.
    SHED = "shed"
    MISDIRECTED = "misdirected"
    # No byte was written.
    UNREACHABLE = "unreachable"
    LATE = "late"
    # The server gave up at the deadline that it was told.
    TIMED_OUT = "timed_out"


_NOT_RUN = (Verdict.SHED, Verdict.MISDIRECTED, Verdict.UNREACHABLE)
_RETRY_REASONS = {
    Verdict.FAILED: RetryReason.BACKEND_ERROR,
    Verdict.LOST: RetryReason.ANSWER_TRUNCATED,
    Verdict.SHED: RetryReason.BACKEND_SHED,
    Verdict.MISDIRECTED: RetryReason.ANSWER_MISMATCH,
    Verdict.UNREACHABLE: RetryReason.CONNECT_FAILED,
    Verdict.LATE: RetryReason.ANSWER_LATE,
    Verdict.TIMED_OUT: RetryReason.ANSWER_LATE,
}


@dataclass(frozen=True, slots=True)
class Attempt:
    """Result of one attempt.

    Parameters
    ----------
    verdict : Verdict
    answer : Answer
    """

    verdict: Verdict
    answer: Answer


class BalancedDispatcher:
    """Dispatches the requests of one instance.

    Parameters
    ----------
    zone : ZoneId
    protocol : BackendProtocol
    terms : RepeatTerms
    metrics : Metrics
    max_answer : int
        Longest body of an answer, in bytes.

    Attributes
    ----------
    on_load : callable
        Called with a server when its load at this instance changes.
    on_answer : callable
        Called with a server and the `Observation` of an answer, or None.
    """

    def __init__(self, zone, protocol, terms, metrics, max_answer):
        self.pools = {}
        self.protocol = protocol
        self.terms = terms
        self.metrics = metrics
        self.max_answer = max_answer
        self.times = RouteTimes()
        self.on_load = lambda server: None
        self.on_answer = lambda server, observation: None
        self._zone = zone
        self._unattended = frozenset()

    async def update_servers(self, records):
        """Take over the list of backend servers.

        Parameters
        ----------
        records : iterable of ServerRecord
        """
        by_service = {}
        for record in records:
            by_service.setdefault(record.service, {})[record.name] = record
        for service in set(self.pools) | set(by_service):
            pool = self._find_pool(service)
            for server in pool.update(by_service.get(service, {})):
                await server.close()

    def set_unattended(self, zones):
        """Take note of the zones that have no instance.

        Parameters
        ----------
        zones : frozenset of ZoneId
        """
        if zones == self._unattended:
            return
        log_event(
            "zones_unattended",
            zones=",".join(sorted(zones)),
            before=",".join(sorted(self._unattended)),
        )
        self._unattended = zones
        for pool in self.pools.values():
            pool.unattended = zones

    def find_server(self, name):
        """Return a server by its id, or None."""
        for pool in self.pools.values():
            if name in pool.servers:
                return pool.servers[name]
        return None

    def list_servers(self):
        """Yield all servers."""
        for pool in self.pools.values():
            yield from pool.servers.values()

    async def dispatch(self, request):
        """Run a request on a backend server and return the answer.

        Parameters
        ----------
        request : RoutedRequest

        Returns
        -------
        Answer
            NOT_RUN only if no server can have started the request.
        """
        pool = self._find_pool(request.service)
        pool.budget.add_request()
        size = len(request.body) + self.times.measure_size(request.route)
        request.kilobytes = size / 1000
        trail, answer, verdict = [], None, None
        excluded, sent = frozenset(), 0
        while sent < request.route.max_attempts:
            if verdict is not None and not self._may_repeat(pool, request, verdict):
                break
            request.attempts_left = request.route.max_attempts - sent - 1
            server = await self._take_server(pool, request, excluded)
            if server is None:
                answer = answer or Answer.refuse(RefusalReason.NO_BACKEND)
                break
            if verdict is not None:
                self.metrics.count_retry(_RETRY_REASONS[verdict])
            attempt = await self._attempt(pool, server, request, trail)
            verdict = attempt.verdict
            answer = choose_answer(answer, attempt.answer)
            if verdict is not Verdict.UNREACHABLE:
                sent += 1
            excluded |= {server.name}
            if verdict is Verdict.SERVED:
                break
        self._log(request, pool, trail, answer)
        return answer

    def _find_pool(self, service):
        pool = self.pools.get(service)
        if pool is None:
            pool = BalancedPool(self._zone, self.protocol, self.terms, self.times)
            pool.unattended = self._unattended
            self.pools[service] = pool
        return pool

    def _may_repeat(self, pool, request, verdict):
        """Return whether a request may be sent again, and take it from the budget."""
        if verdict not in _NOT_RUN and not request.idempotent:
            return False
        if trio.current_time() + _SHORTEST_ATTEMPT >= request.deadline:
            return False
        if verdict is Verdict.UNREACHABLE:
            # Nothing arrived, so nothing is repeated.
            return True
        if pool.budget.take():
            return True
        self.metrics.count("retries_denied", reason=_RETRY_REASONS[verdict].value)
        return False

    async def _take_server(self, pool, request, excluded):
        expected = self.times.measure(request.route)
        until = request.deadline - _START_SHARE * expected
        return await pool.take_server(request, excluded, until)

    async def _attempt(self, pool, server, request, trail):
        started = trio.current_time()
        self.on_load(server)
        sick, load = server.belief.measure_sick(started), server.load
        attempt = None
        try:
            attempt = await self._exchange(server, request, started)
        finally:
            pool.release(server, request)
            self.on_load(server)
            verdict = attempt.verdict.value if attempt else "cancelled"
            elapsed = trio.current_time() - started
            trail.append(
                f"{server.name}:{verdict}:{elapsed * 1000:.0f}ms"
                f":sick={sick:.2f}:load={load}"
            )
        self._judge(pool, server, request, attempt, started)
        return attempt

    async def _exchange(self, server, request, started):
        connection = raw = None
        written = False

        def note_written():
            nonlocal written
            if trio.current_time() >= request.deadline:
                raise ExchangeError(RefusalReason.DEADLINE, False)
            written = True

        try:
            with trio.move_on_at(request.deadline):
                connection = await server.take_connection(request.idempotent)
                raw = await connection.exchange(
                    request.method,
                    request.target,
                    self._make_headers(server, request),
                    request.body,
                    self.max_answer,
                    note_written,
                )
        except ExchangeError as error:
            if error.written:
                return Attempt(Verdict.LOST, Answer.refuse(error.reason))
            if error.reason is RefusalReason.DEADLINE:
                return Attempt(Verdict.LATE, Answer.refuse(RefusalReason.NO_BACKEND))
            return Attempt(Verdict.UNREACHABLE, Answer.refuse(error.reason))
        finally:
            if connection is not None:
                if raw is not None:
                    await server.return_connection(connection)
                else:
                    await connection.close()
        if raw is None:
            reason = RefusalReason.ANSWER_LATE if written else RefusalReason.NO_BACKEND
            return Attempt(Verdict.LATE, Answer.refuse(reason))
        return self._read_answer(request, raw)

    def _read_answer(self, request, raw):
        protocol = self.protocol
        if raw.status == _MISDIRECTED:
            refusal = Answer.refuse(RefusalReason.BACKEND_UNREACHABLE)
            return Attempt(Verdict.MISDIRECTED, refusal)
        if protocol.unprocessed and raw.get_header(protocol.unprocessed) is not None:
            refusal = Answer.refuse(RefusalReason.BACKEND_SHED)
            return Attempt(Verdict.SHED, refusal)
        signed = not protocol.signature or raw.get_header(protocol.signature)
        if raw.status < 300 and not signed:
            lost = Answer.refuse(RefusalReason.ANSWER_MISMATCH)
            return Attempt(Verdict.LOST, lost)
        answer = Answer(Outcome.DONE, raw.status, tuple(raw.headers), raw.body)
        if raw.status < 500:
            return Attempt(Verdict.SERVED, answer)
        left = request.deadline - trio.current_time()
        if raw.status == _GATEWAY_TIMEOUT and left < _DEADLINE_MARGIN:
            return Attempt(Verdict.TIMED_OUT, answer)
        return Attempt(Verdict.FAILED, answer)

    def _judge(self, pool, server, request, attempt, started):
        """Add what an attempt says to the evidence on the server."""
        now, verdict = trio.current_time(), attempt.verdict
        expected = self.times.measure(request.route)
        if verdict is Verdict.UNREACHABLE:
            server.note_unreachable(now)
        elif verdict is Verdict.SHED:
            server.note_full(now, _FULL_PAUSE)
        elif verdict is Verdict.MISDIRECTED:
            server.gone = True
        elif verdict in (Verdict.LATE, Verdict.TIMED_OUT):
            server.note_pace(now, (now - started) / expected)
        else:
            failed = verdict is not Verdict.SERVED
            observation = server.observe_answer(now, started, expected, failed)
            if not failed:
                server.note_pace(now, (now - started) / expected)
                self.times.note_answer(request.route, now - started)
                self.times.note_size(request.route, len(attempt.answer.body))
            self.on_answer(server, observation)
            pool.wake()

    def _make_headers(self, server, request):
        protocol = self.protocol
        own = {protocol.deadline, protocol.expected_server, b"content-length"}
        remaining = max(1, int((request.deadline - trio.current_time()) * 1000))
        headers = [item for item in request.headers if item[0] not in own]
        headers.append((protocol.deadline, str(remaining).encode()))
        if protocol.expected_server:
            headers.append((protocol.expected_server, server.name.encode()))
        if request.body or not request.idempotent:
            headers.append((b"content-length", str(len(request.body)).encode()))
        return headers

    def _log(self, request, pool, trail, answer):
        now = trio.current_time()
        served = answer.outcome is Outcome.DONE and answer.status < 500
        log_event(
            "request",
            level="INFO" if served else "WARNING",
            id=request.request_id.decode("latin-1"),
            route=request.route.name,
            service=request.service,
            outcome=answer.outcome.value,
            status=answer.status,
            reason=answer.reason.value if answer.reason else "",
            ms=round((now - request.arrived) * 1000),
            attempts=";".join(trail),
            waiting=pool.waiting(),
        )


def make_balanced_dispatcher(
    zone, protocol, metrics, max_answer, share=0.1, allowance=10.0, window=10.0
):
    """Return a dispatcher without servers; see `BalancedDispatcher`.

    Parameters
    ----------
    share, allowance, window : float
        See `RepeatTerms`.
    """
    terms = RepeatTerms(share, allowance, window)
    return BalancedDispatcher(zone, protocol, terms, metrics, max_answer)
