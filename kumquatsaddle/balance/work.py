"""The time that requests of each route take at a backend server.

Handles the learning of a distribution from each answer, with bounded memory for each
route. Decisions under scarcity need its tail: with the mean, a request is started that
still misses its objective every other time.
"""

from array import array
from math import ceil, log

__all__ = ["WorkEstimates"]

# Times are counted in buckets whose bounds grow by this factor, from 1 ms to 100 s.
_BUCKET_FACTOR = 1.25
_FIRST_BOUND_SECONDS = 0.001
_BUCKET_COUNT = 53
_LOG_FACTOR = log(_BUCKET_FACTOR)
# All counts are halved at this total, so that the latest answers weigh most.
_MAX_COUNT = 256
# Answers of a route before its distribution is used. With 10 of them, the share of
# requests below the estimated quantile is known to within about 0.13.
_MIN_ANSWERS = 10


class _Distribution:
    __slots__ = ("counts", "total", "answers", "quantiles")

    def __init__(self):
        self.counts = array("f", bytes(4 * _BUCKET_COUNT))
        self.total = 0.0
        self.answers = 0
        # Computed since the last answer, by share.
        self.quantiles = {}

    def add(self, bucket):
        if self.total >= _MAX_COUNT:
            self.counts = array("f", (count / 2 for count in self.counts))
            self.total /= 2
        self.counts[bucket] += 1.0
        self.total += 1.0
        self.answers = min(self.answers + 1, _MIN_ANSWERS)
        self.quantiles.clear()

    def find_quantile(self, share):
        below, wanted = 0.0, share * self.total
        for bucket, count in enumerate(self.counts):
            if count and below + count >= wanted:
                part = (wanted - below) / count
                return _FIRST_BOUND_SECONDS * _BUCKET_FACTOR ** (bucket - 1 + part)
            below += count
        return _FIRST_BOUND_SECONDS * _BUCKET_FACTOR ** (_BUCKET_COUNT - 1)


class WorkEstimates:
    """Distributions of the response times of backend servers, by route.

    A route takes about 0.7 KB, of which 212 bytes are counts.
    """

    def __init__(self):
        self._by_route = {}

    def add(self, route, seconds):
        """Add the response time of a served request, in seconds."""
        distribution = self._by_route.get(route.name)
        if distribution is None:
            distribution = self._by_route[route.name] = _Distribution()
        distribution.add(_find_bucket(seconds))

    def estimate(self, route, share):
        """Return the time within which a share of the requests is answered.

        Parameters
        ----------
        route : PublishedRoute
        share : float
            0 to 1.

        Returns
        -------
        float or None
            In seconds; None for a route with too few answers.
        """
        distribution = self._by_route.get(route.name)
        if distribution is None or distribution.answers < _MIN_ANSWERS:
            return None
        seconds = distribution.quantiles.get(share)
        if seconds is None:
            seconds = distribution.find_quantile(share)
            distribution.quantiles[share] = seconds
        return seconds

    def retain_routes(self, names):
        """Remove the distributions of routes that are not among `names`."""
        names = set(names)
        for name in set(self._by_route) - names:
            del self._by_route[name]


def _find_bucket(seconds):
    if seconds <= _FIRST_BOUND_SECONDS:
        return 0
    bucket = ceil(log(seconds / _FIRST_BOUND_SECONDS) / _LOG_FACTOR)
    return min(bucket, _BUCKET_COUNT - 1)
