"""Sends routed requests to backend servers and decides which are retried.

A request that is not idempotent is retried only after a server said that it had not run
it, or when no byte of it was written. An idempotent request is retried after any
failure. Retries stay within the budget of the service.
"""

from dataclasses import replace

import trio

from kumquatsaddle.balance.acquisition import ServerAcquisition
from kumquatsaddle.balance.announcements import apply_announcements
from kumquatsaddle.balance.attempts import (
    NOT_RUN_OUTCOMES,
    RETRY_REASONS,
    UNSENT_OUTCOMES,
    AttemptOutcome,
    run_attempt,
)
from kumquatsaddle.balance.averages import RouteAverages
from kumquatsaddle.balance.budget import RetryLimits
from kumquatsaddle.balance.departures import Departures
from kumquatsaddle.balance.end_records import EndRecords
from kumquatsaddle.balance.pool import BalancedPool
from kumquatsaddle.balance.results import record_result
from kumquatsaddle.clocks import read_elapsed_time
from kumquatsaddle.dispatch.answers import AnswerMemory
from kumquatsaddle.dispatch.rate_limits import WHOLE_RATE
from kumquatsaddle.dispatch.retries import choose_answer
from kumquatsaddle.dispatch.starts import StartLimit
from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.exchange import Answer
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import Outcome, RefusalReason

__all__ = ["BalancedDispatcher", "make_balanced_dispatcher"]

# Shortest time in which a server can answer; a request is not retried with less left.
_MIN_ATTEMPT_SECONDS = 0.02
# Refusals that may come from the pauses of all servers.
_PAUSE_REASONS = (RefusalReason.BACKEND_SHED, RefusalReason.NO_BACKEND)
# Refusals that replace those of earlier attempts that have not run.
_ACCESS_REASONS = (RefusalReason.UNAUTHORIZED, RefusalReason.KEYS_STALE)


class BalancedDispatcher:
    """Sends the requests of one instance to backend servers.

    Parameters
    ----------
    zone : ZoneId
    protocol : BackendProtocol
    retry_limits : RetryLimits
    metrics : Metrics
    max_answer_bytes : int
        Longest body of an answer, in bytes.
    queue_policy : str, default="deadline"
        Setting ``[queue] policy``.

    Attributes
    ----------
    answer_memory : AnswerMemory
        Shared by all answers that are being received.
    on_load_changed : callable
        Called with a server when its load at this instance changes.
    on_answer : callable
        Called after each served, failed or lost attempt with its server and the
        `Observation`, or None if it showed nothing new.
    on_limit_changed : callable
        Called with a server when the rate limit that it states has changed.
    on_departure : callable
        Called with a server that has said that it leaves, and whether it said so to
        this instance.
    end_records : EndRecords
        Ends of servers under requests.
    find_access_refusal : callable
        Returns the `RefusalReason` for which a request that was accepted may not be
        sent by the accounts in force, or None; default: always None.
    get_arrival_delay : callable
        Returns how long ago an answer or a report that is read now may have arrived, in
        seconds; default: always 0.
    compute_limit_share : callable
        Returns the `RateShare` of this instance for a server with a limit and the
        zones in which its service has servers; default: all of it.
    """

    def __init__(
        self,
        zone,
        protocol,
        retry_limits,
        metrics,
        max_answer_bytes,
        queue_policy="deadline",
    ):
        self.pools = {}
        self.protocol = protocol
        self.retry_limits = retry_limits
        self.metrics = metrics
        self.max_answer_bytes = max_answer_bytes
        self.answer_memory = AnswerMemory()
        self.averages = RouteAverages()
        self.on_load_changed = lambda server: None
        self.on_answer = lambda server, observation: None
        self.on_limit_changed = lambda server: None
        self.on_departure = lambda server, is_first_hand: None
        self.find_access_refusal = lambda request: None
        self.get_arrival_delay = lambda: 0.0
        self.compute_limit_share = lambda server, supplied_zones: WHOLE_RATE
        self._zone = zone
        self._queue_policy = queue_policy
        self._unattended = frozenset()
        self._departures = Departures()
        self.end_records = EndRecords(metrics)
        self._start_limit = StartLimit()
        self._acquisition = ServerAcquisition(
            self._start_limit,
            self.end_records,
            self.averages,
            lambda request: self.find_access_refusal(request),
        )

    async def update_servers(self, records):
        """Replace the list of backend servers and close those no longer in it.

        Parameters
        ----------
        records : iterable of ServerRecord
        """
        by_service = {}
        for record in records:
            by_service.setdefault(record.service, {})[record.name] = record
        for service in set(self.pools) | set(by_service):
            pool = self._get_or_create_pool(service)
            removed = pool.update(by_service.get(service, {}))
            self._set_limit_shares(pool)
            for server in removed:
                await server.close()

    def set_unattended(self, zones):
        """Set the zones that have no instance.

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
        """Return the server with an id, or None."""
        for pool in self.pools.values():
            if name in pool.servers:
                return pool.servers[name]
        return None

    def list_servers(self):
        """Yield all servers."""
        for pool in self.pools.values():
            yield from pool.servers.values()

    def get_arrival_time(self):
        """Return when bytes that are read now may have arrived, at the earliest.

        It includes the time in which the machine was suspended; see
        `read_elapsed_time`.
        """
        return read_elapsed_time() - self.get_arrival_delay()

    def state_rate_limit(self, server, rate, stated_at, is_first_hand=True):
        """Set the rate limit of a server; see `BalancedServer.state_rate_limit`."""
        if server.state_rate_limit(rate, stated_at, is_first_hand):
            pool = self.pools[server.record.service]
            self._set_limit_shares(pool)
            self.on_limit_changed(server)
            pool.assign_waiting()

    def record_departure(self, name, started_at_ms, is_first_hand=True):
        """Send nothing more to a server that has said that it leaves.

        Parameters
        ----------
        name : BackendId
        started_at_ms : int
            Which incarnation said so, in milliseconds since the epoch; another one
            under the same name is not affected.
        is_first_hand : bool, default=True
            Whether it said so to this instance.
        """
        if not self._departures.add(name, started_at_ms):
            return
        server = self.find_server(name)
        if server is None or server.record.started_at_ms != started_at_ms:
            return
        server.leaving = True
        log_event(
            "backend_leaving",
            backend=name,
            service=server.record.service,
            first_hand=is_first_hand,
            draining=server.record.draining,
            load=server.in_flight,
        )
        self.on_departure(server, is_first_hand)
        self.pools[server.record.service].assign_waiting()

    def update_limit_shares(self):
        """Compute this instance's shares of all rate limits again."""
        for pool in self.pools.values():
            self._set_limit_shares(pool)
            pool.assign_waiting()

    def _set_limit_shares(self, pool):
        # Also of those that drain, which may come back.
        limited = [
            server
            for server in pool.servers.values()
            if server.rate_limit.rate is not None
        ]
        if not limited:
            return
        zones = {server.record.zone for server in pool.list_in_service()}
        for server in limited:
            share = self.compute_limit_share(server, zones)
            server.rate_limit.set_share(share, trio.current_time())

    async def dispatch(self, request):
        """Run a request on a backend server and return the answer.

        Parameters
        ----------
        request : RoutedRequest

        Returns
        -------
        Answer
            Its outcome is NOT_RUN only if no server can have run the request.
        """
        pool = self._get_or_create_pool(request.service)
        pool.budget.add_request()
        size = len(request.body) + self.averages.estimate_bytes(request.route)
        request.kilobytes = size / 1000
        attempt_summaries, answer, outcome = [], None, None
        excluded, sent = frozenset(), 0
        while sent < request.route.max_attempts:
            if outcome is not None and not self._reserve_retry(pool, request, outcome):
                break
            request.attempts_left = self._count_retries_left(pool, request, sent)
            try:
                server = await self._acquisition.acquire(pool, request, excluded)
            except RefusedError as error:
                refusal = Answer.from_reason(
                    error.reason, retry_after=error.retry_after
                )
                if error.reason in _ACCESS_REASONS:
                    answer = choose_answer(answer, refusal)
                answer = answer or refusal
                break
            if outcome is not None:
                self.metrics.count_retry(RETRY_REASONS[outcome])
            attempt = await self._attempt(pool, server, request, attempt_summaries)
            outcome = attempt.outcome
            answer = choose_answer(answer, attempt.answer)
            if outcome not in UNSENT_OUTCOMES:
                sent += 1
            excluded |= {server.name}
            if outcome is AttemptOutcome.SERVED:
                break
        answer = _state_pause(answer, pool)
        self._log_request(request, pool, attempt_summaries, answer)
        return answer

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
            pool.refuse_waiting()

    def refuse_revoked(self):
        """Refuse the waiting requests that the accounts in force do not let run."""
        for pool in self.pools.values():
            pool.refuse_waiting(self.find_access_refusal)

    def _get_or_create_pool(self, service):
        pool = self.pools.get(service)
        if pool is None:
            pool = BalancedPool(
                self._zone,
                self.protocol,
                self.retry_limits,
                self.averages,
                self._departures,
                self._queue_policy,
                self.metrics,
                service,
            )
            pool.unattended = self._unattended
            self.pools[service] = pool
        return pool

    def _count_retries_left(self, pool, request, sent):
        """Return how often a request may be sent again after its next attempt.

        A choice that counts on a retry loses the request if the budget denies it.
        """
        return request.route.max_attempts - sent - 1 if pool.budget.has_room() else 0

    def _reserve_retry(self, pool, request, outcome):
        """Return whether a request may be retried; count it in the budget if it may."""
        if outcome not in NOT_RUN_OUTCOMES and not request.idempotent:
            return False
        if trio.current_time() + _MIN_ATTEMPT_SECONDS >= request.deadline:
            return False
        if outcome in UNSENT_OUTCOMES:
            # No byte was written, so this does not count as a retry in the budget.
            return True
        if pool.budget.try_withdraw():
            return True
        self.metrics.count("retries_denied", reason=RETRY_REASONS[outcome].value)
        return False

    async def _attempt(self, pool, server, request, attempt_summaries):
        started_at = trio.current_time()
        self.on_load_changed(server)
        fault_probability, in_flight = (
            server.belief.compute_fault_probability(started_at),
            server.in_flight,
        )
        limit = server.rate_limit.rate
        attempt = None
        try:
            attempt = await run_attempt(
                server,
                request,
                self.protocol,
                self.max_answer_bytes,
                self.answer_memory,
                self.find_access_refusal,
            )
            apply_announcements(self, server, attempt)
        finally:
            pool.release(server, request)
            self.on_load_changed(server)
            outcome = attempt.outcome.value if attempt else "cancelled"
            elapsed = trio.current_time() - started_at
            attempt_summaries.append(
                f"{server.name}:{outcome}:{elapsed * 1000:.0f}ms"
                f":sick={fault_probability:.2f}:load={in_flight}"
                f"{'' if limit is None else f':limit={limit:g}'}"
            )
        record_result(self, pool, server, request, attempt, started_at)
        await self.end_records.observe(server, request, attempt, started_at)
        return attempt

    def _log_request(self, request, pool, attempt_summaries, answer):
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
            attempts=";".join(attempt_summaries),
            digest=self.end_records.describe_digest(request),
            waiting=pool.count_waiting(),
        )


def _state_pause(answer, pool):
    """Return a refusal with the time after which a paused service can be used again."""
    if answer.reason not in _PAUSE_REASONS or answer.retry_after is not None:
        return answer
    return replace(answer, retry_after=pool.compute_pause())


def make_balanced_dispatcher(
    zone,
    protocol,
    metrics,
    max_answer_bytes,
    share=0.1,
    allowance=10.0,
    window=10.0,
    queue_policy="deadline",
):
    """Return a dispatcher without servers; see `BalancedDispatcher`.

    Parameters
    ----------
    share, allowance, window : float
        See `RetryLimits`.
    queue_policy : str, default="deadline"
        A name in `kumquatsaddle.balance.overload.queue_policies`.
    """
    retry_limits = RetryLimits(share, allowance, window)
    return BalancedDispatcher(
        zone, protocol, retry_limits, metrics, max_answer_bytes, queue_policy
    )
