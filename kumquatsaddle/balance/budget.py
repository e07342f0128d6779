"""The retry budget of one service.

The bound holds over all instances without a message before a retry: each instance takes
a part of the fixed allowance, see `kumquatsaddle.balance.allowance`, and a share of the
requests that it received itself.
"""

from collections import deque

import trio

__all__ = ["SlidingRetryBudget"]


class SlidingRetryBudget:
    """Counts requests and retries of one service in a sliding window.

    Parameters
    ----------
    limits : RetryLimits
        Shared by all services; may change.
    clock : callable, default=trio.current_time
    """

    def __init__(self, limits, clock=trio.current_time):
        self._limits = limits
        self._clock = clock
        self._requests = deque()
        self._retries = deque()

    def __len__(self):
        return len(self._requests) + len(self._retries)

    def add_request(self):
        """Count a request that a caller sent."""
        now = self._clock()
        self._drop_expired(now)
        self._requests.append(now)

    def has_room(self):
        """Return whether the budget allows a retry now."""
        self._drop_expired(self._clock())
        limit = self._limits.compute_max_retries(len(self._requests))
        return len(self._retries) + 1 <= limit

    def try_withdraw(self):
        """Count a retry if the budget allows one; return whether it does."""
        if not self.has_room():
            return False
        self._retries.append(self._clock())
        return True

    def _drop_expired(self, now):
        """Remove the requests and retries that are older than the window."""
        start = now - self._limits.window
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()


class RetryLimits:
    """Limits on the retries of one service at one instance.

    Parameters
    ----------
    share : float
        Retries allowed for each request.
    allowance : float
        Further retries allowed in each window, over all instances together.
    window : float
        In seconds.

    Attributes
    ----------
    fraction : float
        Part of the allowance that this instance may use, 0 to 1.
    """

    def __init__(self, share, allowance, window):
        self.share = share
        self.allowance = allowance
        self.window = window
        self.fraction = 1.0

    def compute_max_retries(self, requests):
        """Return the retries allowed for a number of requests in a window.

        An instance that has just started counts few requests, so it stays below the
        bound of the fleet.
        """
        return self.share * requests + self.allowance * self.fraction
