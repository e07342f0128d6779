"""How fast the queue of a service drains at one instance.

While some servers of a service have a rate limit, the others take what the limits
leave. The rate at which requests left the queue tells when a waiting one can start.
"""

from collections import deque
from itertools import count

__all__ = ["DrainRate"]

# Time over which the rate is counted.
_WINDOW_SECONDS = 2.0
# Delays are estimated for a queue that drains this much faster than it did: few
# requests in the window make the rate uncertain.
_TOLERANCE = 2.0


class DrainRate:
    """Counts the requests that leave a queue."""

    def __init__(self):
        self._empty_at = float("-inf")
        self._started_at = deque()

    def restart(self, now):
        """Begin to count at a queue that was empty until `now`."""
        self._empty_at = now
        self._started_at.clear()

    def add_start(self, now):
        """Count a request that starts while others wait."""
        self._drop_expired(now)
        self._started_at.append(now)

    def iterate_delays(self, now):
        """Return the seconds until each waiting request starts, at the earliest.

        Parameters
        ----------
        now : float
            On the clock of the other methods, in seconds.

        Returns
        -------
        iterator of float or None
            Ascending; None while requests have waited for less than the window.
        """
        if now - self._empty_at < _WINDOW_SECONDS:
            return None
        self._drop_expired(now)
        interval = _WINDOW_SECONDS / (_TOLERANCE * max(1, len(self._started_at)))
        return count(interval, interval)

    def _drop_expired(self, now):
        while self._started_at and self._started_at[0] < now - _WINDOW_SECONDS:
            self._started_at.popleft()
