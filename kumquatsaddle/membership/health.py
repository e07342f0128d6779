"""The health of an instance as far as it concerns its judgement of others.

References
----------
Dadgar, Phillips and Currey, Lifeguard: Local Health Awareness for More Accurate
Failure Detection, 2018.
"""

from collections import deque

__all__ = ["LocalHealth", "make_local_health"]

# The suspicion timeout grows up to 1 plus this factor.
_MAX_SCORE = 4
# Lag of the event loop in seconds above which an instance distrusts its own timers.
LONGEST_LAG = 0.25
# Probes that the share of failures is taken from.
_WINDOW_PROBES = 12
_FEWEST_PROBES = 5


class LocalHealth:
    """Counts what speaks against an instance's own view of its peers.

    A failed probe or a late timer raises the score, a good probe lowers it.
    """

    def __init__(self):
        self.score = 0
        self._results = deque(maxlen=_WINDOW_PROBES)

    @property
    def multiplier(self):
        """Factor of the suspicion timeout, from 1 to 5."""
        return 1 + self.score

    @property
    def failing_share(self):
        """Share of the recent probes that failed; 0 with fewer than 5 probes."""
        if len(self._results) < _FEWEST_PROBES:
            return 0.0
        return self._results.count(False) / len(self._results)

    def note_probe(self, answered):
        """Record a finished probe."""
        self._results.append(answered)
        self._change(-1 if answered else 1)

    def note_lag(self, lag):
        """Record the lag of a timer, in seconds."""
        if lag > LONGEST_LAG:
            self._change(1)

    def _change(self, amount):
        self.score = min(_MAX_SCORE, max(0, self.score + amount))


def make_local_health():
    """Return the health of an instance without any probe."""
    return LocalHealth()
