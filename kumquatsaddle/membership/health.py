"""Local health: how far an instance can trust its own view of its peers.

References
----------
Dadgar, Phillips and Currey, Lifeguard: Local Health Awareness for More Accurate
Failure Detection, 2018.
"""

from collections import deque

__all__ = ["LocalHealth", "make_local_health"]

# The suspicion timeout is multiplied by 1 plus the score.
_MAX_SCORE = 4
# Lag of the event loop above which an instance does not rely on its own timers.
MAX_LAG_SECONDS = 0.25
# Recent probes that make up the failure ratio, and the fewest for which it is computed.
_WINDOW_PROBES = 12
_MIN_PROBES = 5


class LocalHealth:
    """Score of how little an instance can trust its own view of its peers.

    A failed probe or a late timer raises the score, an answered probe lowers it. At 0
    the instance trusts its view fully, at 4 the least.
    """

    def __init__(self):
        self.score = 0
        self._results = deque(maxlen=_WINDOW_PROBES)

    @property
    def suspicion_timeout_factor(self):
        """Factor of the suspicion timeout, from 1 to 5."""
        return 1 + self.score

    @property
    def failure_ratio(self):
        """Ratio of failed to all recent probes; 0 with fewer than 5 probes."""
        if len(self._results) < _MIN_PROBES:
            return 0.0
        return self._results.count(False) / len(self._results)

    def record_probe(self, answered):
        """Record whether a probe was answered."""
        self._results.append(answered)
        self._adjust_score(-1 if answered else 1)

    def record_lag(self, lag):
        """Record the lag of a timer, in seconds."""
        if lag > MAX_LAG_SECONDS:
            self._adjust_score(1)

    def _adjust_score(self, amount):
        self.score = min(_MAX_SCORE, max(0, self.score + amount))


def make_local_health():
    """Return a `LocalHealth` without recorded probes."""
    return LocalHealth()
