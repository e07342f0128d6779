"""Passive health check of one backend server, from the results of its requests.

A `ServerHealth` finds causes for an ejection. Whether the server may be ejected depends
on the other members of its group, so that its pool decides on it; see
`kumquatsaddle.health.tokens`.
"""

import trio

from kumquatsaddle.health.draining import DrainStatus
from kumquatsaddle.health.sequential import (
    ProbationTest,
    make_error_test,
    make_slow_test,
)
from kumquatsaddle.types import BackendState, EjectionCause, ReturnCause

__all__ = ["ServerHealth"]

# The time of an ejection doubles on each repeat, from the first to the maximum.
_FIRST_EJECTION_SECONDS = 5.0
_MAX_EJECTION_SECONDS = 300.0
# Time after a return within which the next ejection counts as a repeat.
_REPEAT_WINDOW_SECONDS = 600.0
# Minimum length of a PROBATION. It covers good and bad phases of a server that
# alternates every 0.5 s. Without it, the 15 good answers that pass the test could all
# come from one good phase.
_MIN_PROBATION_SECONDS = 2.0
# Time without an idempotent request after which PROBATION ends.
_IDLE_PROBATION_SECONDS = 30.0
# Consecutive good answers after which the limit of a WARMING server doubles.
_ANSWERS_PER_WARM_STEP = 20
# Time for which a server of a group that this instance has taken over gets half of its
# slots.
_TAKEOVER_SECONDS = 2.0
# Consecutive failed connections after which a server counts as unreachable.
_UNREACHABLE_FAILURES = 3
# Weight of the newest sample in the moving average of bad samples.
_BAD_SHARE_WEIGHT = 0.1
_STATES_AFTER_EJECTION = (
    BackendState.EJECTED,
    BackendState.PROBATION,
    BackendState.WARMING,
)
_STATES_WITHOUT_TRAFFIC = (
    BackendState.EJECTED,
    BackendState.DRAINING,
    BackendState.GONE,
)


class ServerHealth:
    """State of one backend server and the tests that change it.

    Parameters
    ----------
    name : BackendId
    baseline : LatencyBaseline
        Latency of its service.
    slots : int, default=6
        Number of concurrent requests that the server runs.
    clock : callable, default=trio.current_time
        Returns the time in seconds.

    Attributes
    ----------
    state : BackendState
    warm_limit : int
        Number of concurrent requests while WARMING.
    accepts_non_idempotent : bool
        Whether a WARMING server gets requests that are not idempotent at any limit. It
        does if it was not ejected before, or if it got no idempotent requests during
        its PROBATION.
    recovering : bool
        Whether the server was ejected and is not HEALTHY again.
    suspect : bool
        Whether the server is unhealthy but in use, because no token was left to eject
        it.
    bad_share : float
        Moving average of bad samples, 0 to 1.
    last_sample_at : float
        Time of the latest sample in seconds; -1 without samples.
    slow_since : float or None
        Time in seconds at which the evidence of slow answers left zero.
    drain : DrainStatus
    """

    def __init__(self, name, baseline, slots=6, clock=trio.current_time):
        self.name = name
        self.state = BackendState.HEALTHY
        self.slots = slots
        self.warm_limit = 1
        self.accepts_non_idempotent = False
        self.recovering = False
        self.suspect = False
        self.bad_share = 0.0
        self.last_sample_at = -1.0
        self.slow_since = None
        self.drain = DrainStatus()
        self._clock = clock
        self._baseline = baseline
        self._error_test = make_error_test()
        self._slow_test = make_slow_test()
        self._probation_test = ProbationTest()
        self._consecutive_connect_failures = 0
        self._consecutive_good = 0
        self._half_slots_until = -1.0
        self._ejection_seconds = 0.0
        self._returned_at = None
        self._ejected_or_suspect_until = 0.0
        self._probation_started_at = 0.0
        self._last_request_at = 0.0

    @property
    def slow_limit(self):
        """Latency in seconds above which an answer counts as slow."""
        return self._baseline.slow_limit

    @property
    def slow_evidence(self):
        """Evidence of slow answers in nats."""
        return self._slow_test.value

    @property
    def ejection_time(self):
        """Length of the latest ejection in seconds."""
        return self._ejection_seconds

    @property
    def unreachable(self):
        """Whether the latest connection attempts failed."""
        return self._consecutive_connect_failures >= _UNREACHABLE_FAILURES

    def get_state_limit(self):
        """Return how many concurrent requests the state allows."""
        if self.state is BackendState.HEALTHY:
            half = self._half_slots_until > self._clock()
            return max(1, self.slots // 2) if half else self.slots
        if self.state is BackendState.WARMING:
            return self.warm_limit
        return 1 if self.state is BackendState.PROBATION else 0

    def accepts(self, idempotent):
        """Return whether the state allows a request, idempotent or not."""
        if self.state in _STATES_WITHOUT_TRAFFIC:
            return False
        if idempotent or self.state is BackendState.HEALTHY:
            return True
        if self.state is BackendState.PROBATION:
            return False
        return self.accepts_non_idempotent or 2 * self.warm_limit >= self.slots

    def add_answer(self, latency, failed, already_counted=False):
        """Add the sample of an answer; return an `EjectionCause` or None.

        Parameters
        ----------
        latency : float
            In seconds.
        failed : bool
        already_counted : bool, default=False
            Whether `add_late` has counted the request as slow.
        """
        if self.state in _STATES_WITHOUT_TRAFFIC:
            return None
        self._consecutive_connect_failures = 0
        slow = already_counted or latency > self.slow_limit
        if not failed:
            self._baseline.add(self.name, latency)
        if self.state is BackendState.PROBATION:
            return self._add_probation_sample(failed, slow, already_counted)
        self._record_sample(failed or slow)
        too_many_errors = self._error_test.add(failed)
        # The latency of a quick error is no evidence that the server is fast.
        if not already_counted and (slow or not failed):
            self._add_slow_sample(slow)
        self._advance_warming(failed or slow)
        return self._get_ejection_cause(too_many_errors)

    def add_unreachable(self):
        """Add a failed connection; return an `EjectionCause` or None."""
        if self.state in _STATES_WITHOUT_TRAFFIC:
            return None
        self._consecutive_connect_failures += 1
        if self.state is BackendState.PROBATION:
            return self._add_probation_sample(True, False, False)
        self._record_sample(True)
        self._advance_warming(True)
        if self._error_test.add(True):
            return EjectionCause.UNREACHABLE
        return None

    def add_late(self):
        """Add the sample of an unanswered request that exceeds the slow limit.

        Returns
        -------
        EjectionCause or None
        """
        if self.state in _STATES_WITHOUT_TRAFFIC:
            return None
        if self.state is BackendState.PROBATION:
            return self._add_probation_sample(False, True, False)
        self._record_sample(True)
        self._add_slow_sample(True)
        self._advance_warming(True)
        return self._get_ejection_cause(False)

    def record_request(self):
        """Record that a request was sent, so that PROBATION does not end as idle."""
        self._last_request_at = self._clock()

    def halve_slow_evidence(self):
        """Halve the evidence of slow answers because the whole service is slow."""
        self._slow_test.halve()

    def mark_suspect(self):
        """Mark the server as unhealthy but in use; return whether the mark is new."""
        new = not self.suspect
        if new:
            self.suspect = True
            self._ejected_or_suspect_until = self._clock() + _FIRST_EJECTION_SECONDS
        return new

    def eject(self):
        """Stop all traffic to the server; the time doubles on each repeat."""
        now = self._clock()
        repeat = (
            self._returned_at is not None
            and now - self._returned_at <= _REPEAT_WINDOW_SECONDS
        )
        doubled = min(_MAX_EJECTION_SECONDS, 2 * self._ejection_seconds)
        self._ejection_seconds = doubled if repeat else _FIRST_EJECTION_SECONDS
        self._ejected_or_suspect_until = now + self._ejection_seconds
        self.recovering = True
        self._enter_state(BackendState.EJECTED)
        self._baseline.forget(self.name)

    def restore(self):
        """Put an ejected server back into use because no token covers it any more."""
        self._returned_at = self._clock()
        self._enter_state(BackendState.HEALTHY)
        self.mark_suspect()

    def start_warming(self):
        """Start WARMING because the server is new or its draining has ended."""
        self.recovering = False
        self._enter_state(BackendState.WARMING)
        self.bad_share = 0.0
        self.warm_limit = 1
        self.accepts_non_idempotent = True

    def halve_slots_after_takeover(self):
        """Halve the slots for a time, as the former home may still send requests."""
        self._half_slots_until = self._clock() + _TAKEOVER_SECONDS

    def start_draining(self):
        """Stop new requests because the server is reported to be draining."""
        self._enter_state(BackendState.DRAINING)

    def mark_gone(self):
        """Stop new requests for good because the server left the list of this home."""
        self._enter_state(BackendState.GONE)
        self._baseline.forget(self.name)

    def advance(self):
        """Apply the state transitions that are due; return a `ReturnCause` or None."""
        now = self._clock()
        if self.suspect and now >= self._ejected_or_suspect_until:
            self.suspect = False
        if self.state is BackendState.EJECTED and now >= self._ejected_or_suspect_until:
            self._enter_state(BackendState.PROBATION)
            self._probation_started_at = self._last_request_at = self._returned_at = now
        if self.state is not BackendState.PROBATION:
            return None
        if (
            self._probation_test.passed
            and now - self._probation_started_at >= _MIN_PROBATION_SECONDS
        ):
            return self._start_return(ReturnCause.PROBATION_PASSED)
        if now - self._last_request_at >= _IDLE_PROBATION_SECONDS:
            return self._start_return(ReturnCause.PROBATION_IDLE)
        return None

    def _start_return(self, cause):
        self._enter_state(BackendState.WARMING)
        self._returned_at = self._clock()
        self.warm_limit = 1
        self.accepts_non_idempotent = cause is ReturnCause.PROBATION_IDLE
        return cause

    def _add_probation_sample(self, failed, slow, already_counted):
        if not already_counted:
            self._probation_test.add(failed or slow)
            self._record_sample(failed or slow)
        return EjectionCause.PROBATION_FAILED if self._probation_test.failed else None

    def _add_slow_sample(self, slow):
        self._slow_test.add(slow)
        if not self._slow_test.value:
            self.slow_since = None
        elif self.slow_since is None:
            self.slow_since = self._clock()

    def _get_ejection_cause(self, too_many_errors):
        if too_many_errors:
            return (
                EjectionCause.UNREACHABLE
                if self.unreachable
                else (EjectionCause.ERRORS)
            )
        too_slow = self._slow_test.value >= self._slow_test.threshold
        return EjectionCause.SLOW if too_slow else None

    def _record_sample(self, bad):
        self.last_sample_at = self._clock()
        self.bad_share += _BAD_SHARE_WEIGHT * (bad - self.bad_share)

    def _advance_warming(self, bad):
        if self.state is not BackendState.WARMING:
            return
        self._consecutive_good = 0 if bad else self._consecutive_good + 1
        if self._consecutive_good < _ANSWERS_PER_WARM_STEP:
            return
        self._consecutive_good = 0
        self.warm_limit = min(self.slots, 2 * self.warm_limit)
        if self.warm_limit >= self.slots:
            self._enter_state(BackendState.HEALTHY)

    def _enter_state(self, state):
        self.state = state
        self.recovering = self.recovering and state in _STATES_AFTER_EJECTION
        self.suspect = False
        self.accepts_non_idempotent = False
        self.slow_since = None
        self._consecutive_good = 0
        self._consecutive_connect_failures = 0
        self._half_slots_until = -1.0
        for test in (self._error_test, self._slow_test, self._probation_test):
            test.reset()
