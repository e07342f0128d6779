"""The state of one backend server, from the samples of its real work.

A `ServerHealth` judges one server. Whether the server may be ejected depends on its
group, which is why its pool decides that; see `kumquatsaddle.health.tokens`.
"""

import trio

from kumquatsaddle.health.draining import DrainEvidence
from kumquatsaddle.health.sequential import (
    ReverseTest,
    make_error_test,
    make_slow_test,
)
from kumquatsaddle.types import BackendState, EjectionCause, ReturnCause

__all__ = ["ServerHealth"]

# Time in seconds of the first ejection, and of the longest after doublings.
_FIRST_EJECTION = 5.0
_LONGEST_EJECTION = 300.0
# Time in seconds after a return within which the next ejection is a repeat.
_REPEAT_WINDOW = 600.0
# Shortest PROBATION in seconds. It covers both halves of a server that flaps every
# 0.5 s; 15 good answers alone fit into one good half.
_SHORTEST_PROBATION = 2.0
# Time in seconds without an idempotent request after which PROBATION ends.
_IDLE_PROBATION = 30.0
# Good answers after which the limit of a WARMING server doubles.
_WARM_ANSWERS = 20
# Time in seconds for which a server of a group taken over has half of its slots.
_TAKEOVER_TIME = 2.0
# Failed connections in a row after which a server counts as unreachable.
_UNREACHABLE_FAILURES = 3
# Weight of the newest sample in the share of bad samples.
_SEVERITY_WEIGHT = 0.1
_AFTER_EJECTION = (
    BackendState.EJECTED,
    BackendState.PROBATION,
    BackendState.WARMING,
)
_UNUSED = (BackendState.EJECTED, BackendState.DRAINING, BackendState.GONE)


class ServerHealth:
    """State and evidence of one backend server.

    Parameters
    ----------
    name : BackendId
    baseline : LatencyBaseline
        Of its service.
    slots : int, default=6
        Requests that the server runs at a time.
    clock : callable, default=trio.current_time
        Returns the time in seconds.

    Attributes
    ----------
    state : BackendState
    warm_limit : int
        Requests at a time while WARMING.
    cold : bool
        Whether a WARMING server takes requests that may run only once: it was not
        ejected before, or it has no other requests to recover with.
    returning : bool
        Whether the server was ejected and is not HEALTHY again.
    suspect : bool
        Whether the server looks unhealthy but no token was left to eject it.
    severity : float
        Weighted share of bad samples, 0 to 1.
    """

    def __init__(self, name, baseline, slots=6, clock=trio.current_time):
        self.name = name
        self.state = BackendState.HEALTHY
        self.slots = slots
        self.warm_limit = 1
        self.cold = False
        self.returning = False
        self.suspect = False
        self.severity = 0.0
        self.last_sample = -1.0
        self.slow_since = None
        self.drain = DrainEvidence()
        self._clock = clock
        self._baseline = baseline
        self._errors = make_error_test()
        self._slow = make_slow_test()
        self._reverse = ReverseTest()
        self._connect_failures = 0
        self._good = 0
        self._half_until = -1.0
        self._ejection_time = 0.0
        self._returned_at = None
        self._until = 0.0
        self._probation_from = 0.0
        self._asked_at = 0.0

    @property
    def slow_limit(self):
        """Latency in seconds above which an answer counts as slow."""
        return self._baseline.slow_limit

    @property
    def slow_evidence(self):
        """Value of the test for slow answers in nats."""
        return self._slow.value

    @property
    def ejection_time(self):
        """Length of the latest ejection in seconds."""
        return self._ejection_time

    @property
    def unreachable(self):
        """Whether the latest attempts to connect failed."""
        return self._connect_failures >= _UNREACHABLE_FAILURES

    def limit(self):
        """Return how many requests at a time the state allows."""
        if self.state is BackendState.HEALTHY:
            half = self._half_until > self._clock()
            return max(1, self.slots // 2) if half else self.slots
        if self.state is BackendState.WARMING:
            return self.warm_limit
        return 1 if self.state is BackendState.PROBATION else 0

    def accepts(self, idempotent):
        """Return whether the state allows a request of this kind."""
        if self.state in _UNUSED:
            return False
        if idempotent or self.state is BackendState.HEALTHY:
            return True
        if self.state is BackendState.PROBATION:
            return False
        return self.cold or 2 * self.warm_limit >= self.slots

    def add_answer(self, latency, failed, counted=False):
        """Add the sample of an answer; return the cause for an ejection, or None.

        Parameters
        ----------
        latency : float
            In seconds.
        failed : bool
        counted : bool, default=False
            Whether `add_late` counted the request as slow already.
        """
        if self.state in _UNUSED:
            return None
        self._connect_failures = 0
        slow = counted or latency > self.slow_limit
        if not failed:
            self._baseline.add(self.name, latency)
        if self.state is BackendState.PROBATION:
            return self._add_probation(failed, slow, counted)
        self._note_sample(failed or slow)
        errors = self._errors.add(failed)
        # A quick error says nothing about the time of complete answers.
        if not counted and (slow or not failed):
            self._add_slow(slow)
        self._count_good(failed or slow)
        return self._find_cause(errors)

    def add_unreachable(self):
        """Add a failed connection; return the cause for an ejection, or None."""
        if self.state in _UNUSED:
            return None
        self._connect_failures += 1
        if self.state is BackendState.PROBATION:
            return self._add_probation(True, False, False)
        self._note_sample(True)
        self._count_good(True)
        if self._errors.add(True):
            return EjectionCause.UNREACHABLE
        return None

    def add_late(self):
        """Add the sample of a request that passed the limit without an answer."""
        if self.state in _UNUSED:
            return None
        if self.state is BackendState.PROBATION:
            return self._add_probation(False, True, False)
        self._note_sample(True)
        self._add_slow(True)
        self._count_good(True)
        return self._find_cause(False)

    def note_request(self):
        """Note that a request was sent, which keeps a PROBATION from ending idle."""
        self._asked_at = self._clock()

    def excuse_slow(self):
        """Halve the evidence of slow answers because the whole service is slow."""
        self._slow.halve()

    def suspend(self):
        """Mark the server as unhealthy but in use; return whether that is new."""
        new = not self.suspect
        if new:
            self.suspect = True
            self._until = self._clock() + _FIRST_EJECTION
        return new

    def eject(self):
        """Stop all traffic to the server, longer after each repeat."""
        now = self._clock()
        repeat = (
            self._returned_at is not None and now - self._returned_at <= _REPEAT_WINDOW
        )
        doubled = min(_LONGEST_EJECTION, 2 * self._ejection_time)
        self._ejection_time = doubled if repeat else _FIRST_EJECTION
        self._until = now + self._ejection_time
        self.returning = True
        self._enter(BackendState.EJECTED)
        self._baseline.forget(self.name)

    def restore(self):
        """Put an ejected server back into use because its token is gone."""
        self._returned_at = self._clock()
        self._enter(BackendState.HEALTHY)
        self.suspend()

    def start_cold(self):
        """Start as a server that is new or comes back from draining."""
        self.returning = False
        self._enter(BackendState.WARMING)
        self.severity = 0.0
        self.warm_limit = 1
        self.cold = True

    def start_taken_over(self):
        """Start as a server whose former home may still send it work."""
        self._half_until = self._clock() + _TAKEOVER_TIME

    def start_draining(self):
        """Stop new work because the server says that it leaves."""
        self._enter(BackendState.DRAINING)

    def leave(self):
        """Stop new work for good because the server is no longer listed here."""
        self._enter(BackendState.GONE)
        self._baseline.forget(self.name)

    def advance(self):
        """Apply the changes of state that are due; return a `ReturnCause` or None."""
        now = self._clock()
        if self.suspect and now >= self._until:
            self.suspect = False
        if self.state is BackendState.EJECTED and now >= self._until:
            self._enter(BackendState.PROBATION)
            self._probation_from = self._asked_at = self._returned_at = now
        if self.state is not BackendState.PROBATION:
            return None
        if self._reverse.passed and now - self._probation_from >= _SHORTEST_PROBATION:
            return self._start_return(ReturnCause.PROBATION_PASSED)
        if now - self._asked_at >= _IDLE_PROBATION:
            return self._start_return(ReturnCause.PROBATION_IDLE)
        return None

    def _start_return(self, cause):
        self._enter(BackendState.WARMING)
        self._returned_at = self._clock()
        self.warm_limit = 1
        self.cold = cause is ReturnCause.PROBATION_IDLE
        return cause

    def _add_probation(self, failed, slow, counted):
        if not counted:
            self._reverse.add(failed or slow)
            self._note_sample(failed or slow)
        return EjectionCause.PROBATION_FAILED if self._reverse.failed else None

    def _add_slow(self, slow):
        self._slow.add(slow)
        if not self._slow.value:
            self.slow_since = None
        elif self.slow_since is None:
            self.slow_since = self._clock()

    def _find_cause(self, errors):
        if errors:
            return (
                EjectionCause.UNREACHABLE
                if self.unreachable
                else (EjectionCause.ERRORS)
            )
        full = self._slow.value >= self._slow.threshold
        return EjectionCause.SLOW if full else None

    def _note_sample(self, bad):
        self.last_sample = self._clock()
        self.severity += _SEVERITY_WEIGHT * (bad - self.severity)

    def _count_good(self, bad):
        if self.state is not BackendState.WARMING:
            return
        self._good = 0 if bad else self._good + 1
        if self._good < _WARM_ANSWERS:
            return
        self._good = 0
        self.warm_limit = min(self.slots, 2 * self.warm_limit)
        if self.warm_limit >= self.slots:
            self._enter(BackendState.HEALTHY)

    def _enter(self, state):
        self.state = state
        self.returning = self.returning and state in _AFTER_EJECTION
        self.suspect = False
        self.cold = False
        self.slow_since = None
        self._good = 0
        self._connect_failures = 0
        self._half_until = -1.0
        for test in (self._errors, self._slow, self._reverse):
            test.reset()
