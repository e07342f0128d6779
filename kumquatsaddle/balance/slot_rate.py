"""The rates at which work starts from the queue of one service and arrives at it.

Handles a queue with a few to some tens of starts a second: the rates are averages over
some seconds, with the uncertainty that so few starts leave.
"""

from dataclasses import dataclass
from math import exp, sqrt

from kumquatsaddle.types import Rank

__all__ = ["Forecast", "SlotRate"]

# Time over which the slot rate is counted while requests wait. A burst lasts 3 to 6 s.
_RATE_SECONDS = 4.0
# The rate is forgotten over this time without waiting requests: servers come and go.
_RATE_IDLE_SECONDS = 30.0
# Time with waiting requests before the rate is used.
_MIN_BUSY_SECONDS = 1.0
# Time over which the usual arrivals are counted.
_USUAL_SECONDS = 60.0
# A shortage counts as ended after this time without a waiting request.
_BUSY_GAP_SECONDS = 1.0
# Work of a request assumed where no start was seen.
_DEFAULT_WORK_SECONDS = 0.2


class SlotRate:
    """The work that a queue starts and gets while requests wait, per second."""

    def __init__(self):
        self._updated_at = None
        self._busy_seconds = 0.0
        self._starts = 0.0
        self._started_work = 0.0
        self._arrivals = dict.fromkeys(Rank, 0.0)
        self._arrived_work = dict.fromkeys(Rank, 0.0)
        self._usual_seconds = 0.0
        self._usual_work = dict.fromkeys(Rank, 0.0)
        self._busy_since = None
        self._idle_seconds = 0.0

    def advance(self, now, is_busy):
        """Count the time until `now`, in which requests waited or not."""
        if self._updated_at is None:
            self._updated_at = now
        elapsed = now - self._updated_at
        if elapsed <= 0.0:
            return
        self._updated_at = now
        kept = exp(-elapsed / (_RATE_SECONDS if is_busy else _RATE_IDLE_SECONDS))
        self._busy_seconds *= kept
        if is_busy:
            self._busy_seconds += (1.0 - kept) * _RATE_SECONDS
            self._idle_seconds = 0.0
            if self._busy_since is None:
                self._busy_since = now - elapsed
        else:
            self._idle_seconds += elapsed
            if self._idle_seconds >= _BUSY_GAP_SECONDS:
                self._busy_since = None
        self._starts *= kept
        self._started_work *= kept
        usual_kept = exp(-elapsed / _USUAL_SECONDS)
        self._usual_seconds *= usual_kept
        self._usual_seconds += (1.0 - usual_kept) * _USUAL_SECONDS
        for rank in Rank:
            self._arrivals[rank] *= kept
            self._arrived_work[rank] *= kept
            self._usual_work[rank] *= usual_kept

    def add_start(self, work):
        """Count a request that started while others waited."""
        self._starts += 1.0
        self._started_work += work

    def add_arrival(self, rank, work, is_busy):
        """Count a request that arrived while others waited or not."""
        self._usual_work[rank] += work
        if is_busy:
            self._arrivals[rank] += 1.0
            self._arrived_work[rank] += work

    def compute_busy_age(self, now):
        """Return for how long requests have waited without a pause, in seconds."""
        return 0.0 if self._busy_since is None else now - self._busy_since

    def is_known(self):
        """Return whether requests have waited for long enough."""
        return self._busy_seconds >= _MIN_BUSY_SECONDS

    def estimate(self, optimism=0.0):
        """Return the work started in a second, in seconds.

        Parameters
        ----------
        optimism : float, default=0.0
            Standard deviations of the number of starts that are added to it.
        """
        starts = self._starts + optimism * (1.0 + sqrt(self._starts))
        work = _DEFAULT_WORK_SECONDS
        if self._starts >= 1.0:
            work = self._started_work / self._starts
        return starts * work / self._busy_seconds

    def estimate_arrivals(self, ranks, optimism=0.0):
        """Return the work of some ranks that arrives in a second, in seconds.

        Parameters
        ----------
        ranks : iterable of Rank
        optimism : float, default=0.0
            Standard deviations of the number of arrivals that are subtracted from it.
        """
        count = sum(self._arrivals[rank] for rank in ranks)
        if not count:
            return 0.0
        work = sum(self._arrived_work[rank] for rank in ranks)
        return max(0.0, 1.0 - optimism / sqrt(count)) * work / self._busy_seconds

    def estimate_usual_arrivals(self, ranks):
        """Return the work of some ranks that usually arrives in a second."""
        work = sum(self._usual_work[rank] for rank in ranks)
        return work / max(self._usual_seconds, 1.0)


@dataclass(frozen=True, slots=True)
class Forecast:
    """When the work before a request will have started.

    Nothing tells when a shortage ends. The present arrivals are expected to last for a
    share of the time for which the shortage has lasted, and the usual ones after that.

    Parameters
    ----------
    free_rate, later_free_rate : float
        Slot rate less the arrivals that go first, in the shortage and after it.
    horizon : float
        Time until the shortage ends, in seconds.
    """

    free_rate: float
    later_free_rate: float
    horizon: float

    def estimate(self, work):
        """Return the time until `work` seconds have started, in seconds."""
        if not work:
            return 0.0
        left = work - self.free_rate * self.horizon
        if left <= 0.0:
            return work / self.free_rate
        if self.later_free_rate <= 0.0:
            return float("inf")
        return self.horizon + left / self.later_free_rate
