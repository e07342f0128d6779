"""The budget of repeated requests of one service.

The bound holds over all instances without agreement: each instance takes a share of
the fixed part, and a share of the requests that it received itself.
"""

from collections import deque

import trio

__all__ = ["RepeatBudget"]


class RepeatBudget:
    """Counts requests and repeats of one service in a sliding window.

    Parameters
    ----------
    terms : RepeatTerms
        Shared by all services; may change.
    clock : callable, default=trio.current_time
    """

    def __init__(self, terms, clock=trio.current_time):
        self._terms = terms
        self._clock = clock
        self._requests = deque()
        self._repeats = deque()

    def __len__(self):
        return len(self._requests) + len(self._repeats)

    def add_request(self):
        """Count a request that a caller sent."""
        now = self._clock()
        self._forget(now)
        self._requests.append(now)

    def take(self):
        """Count a repeat if the budget allows one; return whether it does."""
        now = self._clock()
        self._forget(now)
        if len(self._repeats) + 1 > self._terms.allow(len(self._requests)):
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now):
        """Drop what is older than the window."""
        start = now - self._terms.window
        for times in (self._requests, self._repeats):
            while times and times[0] < start:
                times.popleft()


class RepeatTerms:
    """How many repeats one instance may make.

    Parameters
    ----------
    share : float
        Repeats for each request.
    allowance : float
        Repeats of the whole fleet beside these, in each window.
    window : float
        In seconds.
    """

    def __init__(self, share, allowance, window):
        self.share = share
        self.allowance = allowance
        self.window = window
        self.instances = 1

    def allow(self, requests):
        """Return the repeats of one instance for a number of requests in a window.

        An instance that has just started counts few requests, so it stays below the
        bound of the fleet.
        """
        return self.share * requests + self.allowance / max(1, self.instances)
