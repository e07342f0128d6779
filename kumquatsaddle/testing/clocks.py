"""A trio clock that does not see the time in which its thread waits for a core.

A test fleet runs its callers, instances and backend servers in one loop. On a busy
machine that loop gets less processor time, while deadlines of some ten milliseconds
go on running by the wall clock. This clock counts the processor time of the loop's
thread and the time spent waiting for events, so that a scenario takes longer on a
busy machine but plays the same.
"""

import time

import trio

__all__ = ["ProcessorClock"]


class ProcessorClock(trio.abc.Clock, trio.abc.Instrument):
    """Clock of one loop; pass it to `trio.run` as `clock` and in `instruments`.

    Examples
    --------
    >>> clock = ProcessorClock()
    >>> trio.run(trio.sleep, 0.01, clock=clock, instruments=[clock])
    """

    def start_clock(self):
        """Start at zero, in the thread of the loop."""
        self._started_at = time.thread_time()
        self._waited = 0.0

    def current_time(self):
        """Return seconds of processor time and of waiting since the start."""
        return time.thread_time() - self._started_at + self._waited

    def deadline_to_sleep_time(self, deadline):
        """Return how long to wait for `deadline`, in seconds."""
        return deadline - self.current_time()

    def before_io_wait(self, timeout):
        """Note when a wait for events starts."""
        self._wait_started_at = time.perf_counter()

    def after_io_wait(self, timeout):
        """Count the wait, without the time until the thread got a core again."""
        elapsed = time.perf_counter() - self._wait_started_at
        self._waited += min(elapsed, max(timeout, 0.0))
