"""Detects that the process was paused or its event loop was blocked.

Bytes that are read right after a pause may have arrived at any time during it, so the
deadline of a request that is read then must be counted from the start of the pause.
Otherwise an instance that resumes would run requests whose callers have already timed
out.
"""

import time

import trio

__all__ = ["PauseDetector", "get_boot_time", "make_pause_detector"]

# Default interval between two ticks, and the shortest gap between ticks that counts as
# a pause at this interval. At another interval it is 3 ticks as well.
_TICK_SECONDS = 0.05
_MIN_PAUSE_SECONDS = 0.15
# Time after a pause within which bytes that arrived during it are read.
_CATCH_UP_SECONDS = 0.25


class PauseDetector:
    """Detects pauses by the gaps between periodic ticks.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    tick_seconds : float, optional
        Time in seconds between two ticks. Gaps of at least three ticks are pauses.
    """

    def __init__(self, clock=trio.current_time, tick_seconds=_TICK_SECONDS):
        self._clock = clock
        self._interval = tick_seconds
        self._min_pause = _MIN_PAUSE_SECONDS / _TICK_SECONDS * tick_seconds
        self._last_tick = None
        self._pause = 0.0
        self._pause_end = 0.0

    async def run(self):
        """Tick until cancelled."""
        while True:
            self.tick()
            await trio.sleep(self._interval)

    def tick(self):
        """Record that the event loop is running."""
        self._update_pause(self._clock())

    def get_arrival_delay(self):
        """Return how long ago bytes that are read now may have arrived, in seconds.

        This is the length of the last pause if it has only just ended, else 0.
        """
        now = self._clock()
        self._update_pause(now)
        return self._pause if now - self._pause_end < _CATCH_UP_SECONDS else 0.0

    def _update_pause(self, now):
        if self._last_tick is not None and now - self._last_tick >= self._min_pause:
            self._pause = now - self._last_tick
            self._pause_end = now
        self._last_tick = now


def make_pause_detector(tick_seconds=_TICK_SECONDS):
    """Return a pause detector that uses the clock of trio; see `PauseDetector`."""
    return PauseDetector(tick_seconds=tick_seconds)


def get_boot_time():
    """Return seconds on a clock that includes the time in which we are suspended.

    The monotonic clock, which trio uses, does not advance while the machine is frozen.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
