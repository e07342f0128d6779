"""A trio clock that excludes the time its thread is runnable but not scheduled.

A test fleet runs its callers, instances and backend servers in one loop. On a busy
machine the loop gets less CPU time, and by the wall clock deadlines of some ten
milliseconds would pass before it can run. This clock counts the CPU time of the loop's
thread and the time spent waiting for I/O, so that a scenario takes longer on a busy
machine but has the same result.
"""

import time

import trio

__all__ = ["CpuTimeClock"]


class CpuTimeClock(trio.abc.Clock, trio.abc.Instrument):
    """Clock of one trio loop; pass it to `trio.run` as `clock` and in `instruments`.

    Examples
    --------
    >>> clock = CpuTimeClock()
    >>> trio.run(trio.sleep, 0.01, clock=clock, instruments=[clock])
    """

    def start_clock(self):
        """Start at zero; called in the thread of the loop."""
        self._started_at = time.thread_time()
        self._waited = 0.0

    def current_time(self):
        """Return the seconds of CPU time and of waiting for I/O since the start."""
        return time.thread_time() - self._started_at + self._waited

    def deadline_to_sleep_time(self, deadline):
        """Return the seconds from now to `deadline`."""
        return deadline - self.current_time()

    def before_io_wait(self, timeout):
        """Record the start of a wait for I/O."""
        self._wait_started_at = time.perf_counter()

    def after_io_wait(self, timeout):
        """Count the wait, without the time until the thread was scheduled again."""
        elapsed = time.perf_counter() - self._wait_started_at
        self._waited += min(elapsed, max(timeout, 0.0))
