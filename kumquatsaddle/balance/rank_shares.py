"""How often requests of each rank of one service are served at one instance.

Handles the shortage of a burst: a more urgent rank must not be served less often than a
less urgent one, although the less urgent one may wait for longer than the burst lasts.
"""

from math import ceil, exp, log

from kumquatsaddle.types import Rank

__all__ = ["RankShares"]

# Time over which the served share of each rank is counted: at least a burst.
_SHARE_SECONDS = 10.0
# Losses of a more urgent rank, over that time, below which nothing follows from them.
_MIN_LOSSES = 0.5


class RankShares:
    """The share of the requests of each rank that started, of those that ended here."""

    def __init__(self):
        self._updated_at = None
        self._started = dict.fromkeys(Rank, 0.0)
        self._lost = dict.fromkeys(Rank, 0.0)

    def add_start(self, rank, now):
        """Count a request that started."""
        self._advance(now)
        self._started[rank] += 1.0

    def add_loss(self, rank, now):
        """Count a request that was refused for want of a slot."""
        self._advance(now)
        self._lost[rank] += 1.0

    def compute_recovery(self, rank, now):
        """Return the time until no more urgent rank counts as losing, in seconds."""
        self._advance(now)
        lost = max((self._lost[other] for other in Rank if other < rank), default=0.0)
        return _SHARE_SECONDS * log(max(1.0, lost / _MIN_LOSSES))

    def compute_share(self, rank, now):
        """Return the started share of a rank, 0 to 1; 1 without losses."""
        self._advance(now)
        lost = self._lost[rank]
        if lost < _MIN_LOSSES:
            return 1.0
        return self._started[rank] / (self._started[rank] + lost)

    def compute_least_share(self, rank, now):
        """Return the least share of the ranks more urgent than `rank`."""
        shares = [self.compute_share(other, now) for other in Rank if other < rank]
        return min(shares, default=1.0)

    def count_surplus(self, rank, waiting, now):
        """Return how many waiting requests of a rank would be served beyond its share.

        The share is that of the more urgent rank that is served least often.
        """
        least = self.compute_least_share(rank, now)
        if least >= 1.0:
            return 0
        served = self._started[rank] + waiting
        return max(0, ceil(served - least * (served + self._lost[rank]) - 1e-9))

    def _advance(self, now):
        if self._updated_at is not None and now > self._updated_at:
            kept = exp((self._updated_at - now) / _SHARE_SECONDS)
            for values in (self._started, self._lost):
                for rank in values:
                    values[rank] *= kept
        self._updated_at = now
