"""The usual latency of a service, from the answers of its backend servers."""

__all__ = ["LatencyBaseline", "make_baseline"]

_SAMPLES = 512
# Samples between two computations of the quantiles.
_REFRESH = 32
# Limits relative to the median and to the 99th percentile above which an answer
# counts as slow.
_MEDIAN_FACTOR = 4.0
_P99_FACTOR = 1.5
# Limit in seconds before there are samples.
_FIRST_LIMIT = 1.0


class LatencyBaseline:
    """Quantiles over the latest answers of one service."""

    def __init__(self):
        self._ring = []
        self._next = 0
        self._since = 0
        self.median = 0.0
        self.p99 = 0.0

    @property
    def samples(self):
        """Number of answers that the quantiles are taken from."""
        return len(self._ring)

    @property
    def slow_limit(self):
        """Latency in seconds above which an answer counts as slow."""
        if not self.median:
            return _FIRST_LIMIT
        return max(_MEDIAN_FACTOR * self.median, _P99_FACTOR * self.p99)

    def add(self, latency):
        """Add the latency of an answer, in seconds."""
        if len(self._ring) < _SAMPLES:
            self._ring.append(latency)
        else:
            self._ring[self._next] = latency
            self._next = (self._next + 1) % _SAMPLES
        self._since += 1
        if self._since >= _REFRESH:
            self._refresh()

    def _refresh(self):
        self._since = 0
        ordered = sorted(self._ring)
        self.median = ordered[len(ordered) // 2]
        self.p99 = ordered[int(len(ordered) * 0.99)]


def make_baseline():
    """Return an empty baseline."""
    return LatencyBaseline()
