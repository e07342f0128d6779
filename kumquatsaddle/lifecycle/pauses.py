"""Notices that the process was paused or its event loop was blocked.

Bytes that are read right after a pause may have arrived at any time during it, so
the deadline of a request that is read then has to count from the start of the pause.
Otherwise an instance that goes on after a pause would run work that its callers have
given up long ago.
"""

import trio

__all__ = ["PauseWatch", "make_pause_watch"]

# Time in seconds between two ticks, and the gap between ticks that counts as a pause.
_TICK = 0.05
_SHORTEST_PAUSE = 0.15
# Time in seconds after a pause within which bytes that came during it are read.
_CATCH_UP = 0.25


class PauseWatch:
    """Ticks, and measures the gaps between the ticks.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    tick : float, optional
        Time in seconds between two ticks. Pauses of three ticks are noticed.
    """

    def __init__(self, clock=trio.current_time, tick=_TICK):
        self._clock = clock
        self._interval = tick
        self._shortest = _SHORTEST_PAUSE / _TICK * tick
        self._last_tick = None
        self._pause = 0.0
        self._ended = 0.0

    async def run(self):
        """Tick until cancelled."""
        while True:
            self.tick()
            await trio.sleep(self._interval)

    def tick(self):
        """Note that the event loop runs."""
        self._note(self._clock())

    def measure_age(self):
        """Return how long ago bytes that are read now may have arrived, in seconds."""
        now = self._clock()
        self._note(now)
        return self._pause if now - self._ended < _CATCH_UP else 0.0

    def _note(self, now):
        if self._last_tick is not None and now - self._last_tick >= self._shortest:
            self._pause = now - self._last_tick
            self._ended = now
        self._last_tick = now


def make_pause_watch(tick=_TICK):
    """Return a watch on the clock of trio; see `PauseWatch`."""
    return PauseWatch(tick=tick)
