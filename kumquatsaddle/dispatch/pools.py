"""The servers of one service at this instance: selection, evidence and ejection."""

from collections import Counter
from contextlib import contextmanager
from itertools import islice

import trio

from kumquatsaddle.admission.queue import make_queue
from kumquatsaddle.dispatch.digests import ServiceDigest
from kumquatsaddle.dispatch.rate_limits import WHOLE_RATE, merge_delays
from kumquatsaddle.dispatch.servers import BackendServer
from kumquatsaddle.exceptions import RateLimitedError
from kumquatsaddle.health.baseline import make_baseline
from kumquatsaddle.health.peers import is_service_slow
from kumquatsaddle.health.tokens import choose_returns, may_eject
from kumquatsaddle.health.unanswered import UnansweredRequests
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import (
    BackendState,
    EjectionCause,
    RefusalReason,
    ReturnCause,
)

__all__ = ["ServicePool", "make_pool"]

# Longest queue of one rank, for each slot of a server.
_QUEUE_LENGTH_PER_SLOT = 64
# Failed exchanges that are no evidence about the server, because this instance did not
# send the request or did not accept the answer.
_REASONS_WITHOUT_EVIDENCE = (
    RefusalReason.BAD_REQUEST,
    RefusalReason.ANSWER_TOO_LARGE,
    RefusalReason.DEADLINE,
)


class ServicePool:
    """The servers and the queue of one service at this instance.

    Parameters
    ----------
    service : Service
    metrics : Metrics, optional
        Without it, nothing is counted.
    clock : callable, default=trio.current_time
        Returns the time in seconds.
    """

    def __init__(self, service, metrics=None, clock=trio.current_time):
        self.service = service
        self.baseline = make_baseline()
        self.servers = {}
        self.groups = {}
        self.queue = make_queue(
            service.rank_floors, _QUEUE_LENGTH_PER_SLOT * service.slots
        )
        self._metrics = metrics
        self._clock = clock
        self._group_by_server = {}
        self._late_requests = UnansweredRequests()
        self._choice_count = 0
        for cause in EjectionCause:
            self._count("ejections", 0, cause=cause.value)
            self._count("ejections_withheld", 0, cause=cause.value)
        for cause in ReturnCause:
            self._count("returns", 0, cause=cause.value)

    async def update_groups(self, service, groups, new=frozenset()):
        """Set the groups of the service whose home is this instance.

        Parameters
        ----------
        service : Service
        groups : iterable of Group
        new : collection of BackendId
            Servers that were not in the first list; they start WARMING. Others that
            this instance did not have start HEALTHY with half of their slots.
        """
        self.service = service
        self.groups = {group.name: group for group in groups}
        self._group_by_server = {
            member.name: group
            for group in self.groups.values()
            for member in group.members
        }
        backends = {
            member.name: member
            for group in self.groups.values()
            for member in group.members
        }
        gone = self._remove_servers(backends)
        for name, backend in backends.items():
            if name in self.servers:
                self.servers[name].update(backend, service.slots)
            else:
                self._add_server(backend, name in new or name in gone)
            self.servers[name].health.drain.listed = backend.leaving
        self.advance()
        self.update_gauges()
        for server in gone.values():
            await server.close()

    def update_peers(self, digests):
        """Update the latency baseline with the digests of the other homes.

        Parameters
        ----------
        digests : iterable of ServiceDigest
        """
        self.baseline.set_peers((digest.median, digest.p99) for digest in digests)

    def choose_server(self, waiter):
        """Return the least loaded server with a free slot for a waiter, or None.

        Suspect servers, which could not be ejected for lack of tokens, come last.
        """
        candidates = [
            server for server in self.servers.values() if _can_serve(server, waiter)
        ]
        if not candidates:
            return None
        best = min(candidates, key=_compute_selection_key)
        self._choice_count += 1
        best.last_chosen = self._choice_count
        return best

    def assign_waiting(self):
        """Assign free slots to waiting requests."""
        while len(self.queue):
            waiter = self.queue.pop(self._has_server_for)
            if waiter is None:
                return
            server = self.choose_server(waiter)
            server.take_slot()
            waiter.slot = server
            waiter.event.set()

    def state_rate_limit(self, server, rate):
        """Set the rate in requests a second that an answer stated, or None."""
        before, now = server.rate_limit.rate, self._clock()
        if server.rate_limit.state(rate, now, now):
            if rate is not None:
                server.rate_limit.set_share(WHOLE_RATE, now)
            event = "backend_limited" if rate is not None else "backend_limit_ended"
            log_event(event, backend=server.name, rate=rate, before=before)

    def refuse_if_limited(self, rank, start_by):
        """Refuse a new request that the rate limits do not let start in time.

        Parameters
        ----------
        rank : Rank
        start_by : float
            Time in seconds by which it must start.

        Raises
        ------
        RateLimitedError
        """
        now = self._clock()
        limits = (server.rate_limit for server in self.servers.values())
        delays = merge_delays(limits, now)
        if delays is None:
            return
        delay = next(islice(delays, self.queue.count_ahead(rank), None), None)
        if delay is None or now + delay > start_by:
            raise RateLimitedError(delay, self.service.name)

    def count_free_slots(self):
        """Return how many requests could start now."""
        return sum(
            server.count_free_slots()
            for server in self.servers.values()
            if server.health.accepts(True)
        )

    @contextmanager
    def watch_request(self, server, key=None):
        """Watch a request; it counts as slow once it exceeds the slow limit unanswered.

        The task that runs the request enters this context and records the answer
        inside it, so that the request counts once.

        Parameters
        ----------
        server : BackendServer
        key : hashable, optional
            Of the request. Default: the current task.
        """
        key = _get_key_or_current_task(key)
        self.begin_request(server, key)
        try:
            yield
        finally:
            self._late_requests.end(key)

    def begin_request(self, server, key):
        """Watch a request for lateness until its answer is recorded with this key."""
        server.health.record_request()
        self._late_requests.begin(key, server, self._clock())

    def record_answer(self, server, latency, failed, key=None):
        """Add the sample of an answer to the evidence on a server.

        Parameters
        ----------
        server : BackendServer
        latency : float
            In seconds.
        failed : bool
        key : hashable, optional
            Of the request. Default: the current task.
        """
        counted = self._late_requests.end_answered(_get_key_or_current_task(key))
        self._eject_if_allowed(
            server, server.health.add_answer(latency, failed, counted)
        )

    def record_unanswered(self, server, latency, key=None):
        """Add the sample of a request that had no answer by its deadline.

        A latency up to the slow limit is no evidence about the server.
        """
        if latency > self.baseline.slow_limit:
            self.record_answer(server, latency, True, key)

    def record_failure(self, server, reason, key=None):
        """Add the sample of a failed exchange.

        Parameters
        ----------
        server : BackendServer
        reason : RefusalReason
        key : hashable, optional
            Of the request. Default: the current task.
        """
        if reason is RefusalReason.BACKEND_UNREACHABLE:
            self._late_requests.end_answered(_get_key_or_current_task(key))
            self._eject_if_allowed(server, server.health.add_unreachable())
            self._return_uncovered_servers(self._group_by_server.get(server.name))
        elif reason not in _REASONS_WITHOUT_EVIDENCE:
            self.record_answer(server, 0.0, True, key)

    def record_draining(self, server):
        """Stop sending requests to a server that reports draining in an answer."""
        server.health.drain.record_answer(self._clock())
        self._apply_drain(server)

    def record_probe(self, server, draining):
        """Record whether the health endpoint of a server reports draining."""
        server.health.drain.record_probe(draining)
        self._apply_drain(server)

    def is_idle(self):
        """Return whether no request waits or is in flight."""
        return not len(self._late_requests) and not len(self.queue)

    def advance(self):
        """Count late requests and apply the changes of state that are due."""
        late = self._late_requests.pop_late(self._clock(), self.baseline.slow_limit)
        for server in late:
            self._eject_if_allowed(server, server.health.add_late())
        for server in self.servers.values():
            self._apply_drain(server)
            cause = server.health.advance()
            if cause is not None:
                self._report_return(server.health, cause)
        for group in self.groups.values():
            self._return_uncovered_servers(group)
        self.assign_waiting()

    def update_gauges(self):
        """Set the gauges of the servers by state."""
        if self._metrics is None:
            return
        states = Counter(server.health.state for server in self.servers.values())
        for state in BackendState:
            self._metrics.set_gauge(
                "backend_servers",
                states[state],
                service=self.service.name,
                state=state.value,
            )

    def describe(self):
        """Return the `ServiceDigest` of this home."""
        return ServiceDigest(
            self.service.name,
            self.baseline.median,
            self.baseline.p99,
            self.baseline.samples,
            self.count_free_slots(),
            len(self.queue),
        )

    def _remove_servers(self, backends):
        """Remove and return the servers that are not listed or have a new address."""
        gone = {
            name: server
            for name, server in self.servers.items()
            if name not in backends or backends[name].address != server.backend.address
        }
        for name, server in gone.items():
            del self.servers[name]
            server.health.mark_gone()
        return gone

    def _add_server(self, backend, cold):
        server = BackendServer(
            backend, self.service.slots, self.baseline, clock=self._clock
        )
        if cold:
            server.health.start_warming()
        else:
            server.health.halve_slots_after_takeover()
        self.servers[backend.name] = server

    def _has_server_for(self, waiter):
        return any(_can_serve(server, waiter) for server in self.servers.values())

    def _eject_if_allowed(self, server, cause):
        """Eject a server for a cause if the tokens of its group allow it."""
        health, group = server.health, self._group_by_server.get(server.name)
        if cause is None or group is None:
            return
        if cause is EjectionCause.SLOW and self._is_service_slow(health):
            health.halve_slow_evidence()
        elif may_eject(health, self._list_health(group), group.tokens):
            health.eject()
            self._count("ejections", cause=cause.value)
            log_event("backend_ejected", backend=server.name, cause=cause.value)
        elif health.mark_suspect():
            self._count("ejections_withheld", cause=cause.value)
            log_event("ejection_withheld", backend=server.name, cause=cause.value)

    def _is_service_slow(self, health):
        peers = [server.health for server in self.servers.values()]
        return is_service_slow(health, peers, self.baseline, self._clock())

    def _return_uncovered_servers(self, group):
        """Return ejected servers to service that the tokens of a group do not cover."""
        if group is None:
            return
        for health in choose_returns(self._list_health(group), group.tokens):
            health.restore()
            self._report_return(health, ReturnCause.ALLOWANCE)

    def _list_health(self, group):
        return [self.servers[member.name].health for member in group.members]

    def _apply_drain(self, server):
        health = server.health
        was_draining = health.state is BackendState.DRAINING
        is_draining = health.drain.is_draining(self._clock())
        if is_draining == was_draining or health.state is BackendState.GONE:
            return
        if is_draining:
            health.start_draining()
            log_event("backend_draining", backend=server.name)
        else:
            health.drain.end()
            health.start_warming()
            log_event("backend_draining_ended", backend=server.name)
        self._return_uncovered_servers(self._group_by_server.get(server.name))

    def _report_return(self, health, cause):
        self._count("returns", cause=cause.value)
        log_event("backend_returned", backend=health.name, cause=cause.value)

    def _count(self, name, amount=1, **labels):
        if self._metrics is not None:
            self._metrics.count(name, amount, **labels)


def make_pool(service, metrics=None, clock=trio.current_time):
    """Return a pool without servers; see `ServicePool`."""
    return ServicePool(service, metrics, clock)


def _can_serve(server, waiter):
    return server.name not in waiter.excluded and server.has_room(
        waiter.request.idempotent
    )


def _compute_selection_key(server):
    return server.health.suspect, server.compute_utilization(), server.last_chosen


def _get_key_or_current_task(key):
    return trio.lowlevel.current_task() if key is None else key
