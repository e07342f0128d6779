"""Detects that the process was paused or its event loop was blocked.

Bytes that are read right after a pause may have arrived at any time during it, so the
deadline of a request that is read then must be counted from the start of the pause.
Otherwise an instance that resumes would run requests whose callers have already timed
out.
"""

import trio

from kumquatsaddle.clocks import read_elapsed_time

__all__ = ["PauseDetector", "make_pause_detector"]

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

    def __init__(self, clock=read_elapsed_time, tick_seconds=_TICK_SECONDS):
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
    """Return a pause detector that also detects suspensions of the machine.

    See Also
    --------
    PauseDetector
    """
    return PauseDetector(read_elapsed_time, tick_seconds)
