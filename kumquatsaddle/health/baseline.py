"""Baseline latency of a service, and the limit above which an answer is slow.

Quantiles are computed for each server at this home. The baseline is the lower median
of these and of the quantiles of the other homes. A minority of slow servers therefore
cannot raise the limit, but the limit rises when most servers become slower.
"""

__all__ = ["LatencyBaseline", "make_baseline"]

# Latest answers kept of each server, about 4 s at 30 requests/s.
_SAMPLES_PER_SERVER = 128
# Samples of one server after which its quantiles are computed again.
_REFRESH_SAMPLES = 16
# Factors on the median and on the 99th percentile. The larger product is the limit.
_SLOW_MEDIAN_FACTOR = 4.0
_SLOW_P99_FACTOR = 1.5
# Slow limit before there are samples.
_INITIAL_SLOW_LIMIT_SECONDS = 1.0
# Below this limit the delays of the event loop dominate.
_MIN_SLOW_LIMIT_SECONDS = 0.01


class _LatencyWindow:
    """Ring buffer of the latest latencies of one server, with their quantiles."""

    __slots__ = ("values", "median", "p99", "_next_index", "_samples_since_refresh")

    def __init__(self):
        self.values = []
        self.median = 0.0
        self.p99 = 0.0
        self._next_index = 0
        self._samples_since_refresh = 0

    def add(self, latency):
        """Add a latency in seconds; return whether the quantiles were computed."""
        if len(self.values) < _SAMPLES_PER_SERVER:
            self.values.append(latency)
        else:
            self.values[self._next_index] = latency
            self._next_index = (self._next_index + 1) % _SAMPLES_PER_SERVER
        self._samples_since_refresh += 1
        if self._samples_since_refresh < _REFRESH_SAMPLES:
            return False
        self._samples_since_refresh = 0
        ordered = sorted(self.values)
        self.median = ordered[len(ordered) // 2]
        self.p99 = ordered[int(len(ordered) * 0.99)]
        return True


class LatencyBaseline:
    """Latency quantiles over the latest answers of the servers of one service.

    Attributes
    ----------
    median, p99 : float
        Of the servers at this home, in seconds; 0 without samples. They are sent to the
        other homes in digests.
    other_homes_median : float
        Lower median of the medians of the other homes, in seconds; 0 if unknown.
    slow_limit : float
        Latency in seconds above which an answer counts as slow.
    """

    def __init__(self):
        self._servers = {}
        self._other_homes_quantiles = ()
        self.median = 0.0
        self.p99 = 0.0
        self.other_homes_median = 0.0
        self.slow_limit = _INITIAL_SLOW_LIMIT_SECONDS

    @property
    def samples(self):
        """Number of answers that the quantiles are computed from."""
        return sum(len(server.values) for server in self._servers.values())

    def add(self, name, latency):
        """Add the latency of an answer of a server, in seconds."""
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = _LatencyWindow()
        if server.add(latency):
            self._refresh()

    def forget(self, name):
        """Discard the samples of a server that is ejected or gone."""
        if self._servers.pop(name, None) is not None:
            self._refresh()

    def set_peers(self, quantiles):
        """Replace the quantiles of the other homes.

        Parameters
        ----------
        quantiles : iterable of (float, float)
            Median and 99th percentile of each other home in seconds. Homes without
            samples, which have 0, are left out.
        """
        self._other_homes_quantiles = tuple(pair for pair in quantiles if pair[0] > 0)
        self.other_homes_median = _lower_median(
            [pair[0] for pair in self._other_homes_quantiles]
        )
        self._refresh()

    def _refresh(self):
        sampled = [server for server in self._servers.values() if server.median]
        if not sampled and not self._other_homes_quantiles:
            # Without any samples the previous limit stays in force.
            return
        medians = [server.median for server in sampled]
        p99s = [server.p99 for server in sampled]
        self.median = _lower_median(medians)
        self.p99 = _lower_median(p99s)
        median = _lower_median(
            medians + [pair[0] for pair in self._other_homes_quantiles]
        )
        p99 = _lower_median(p99s + [pair[1] for pair in self._other_homes_quantiles])
        limit = max(_SLOW_MEDIAN_FACTOR * median, _SLOW_P99_FACTOR * p99)
        self.slow_limit = max(_MIN_SLOW_LIMIT_SECONDS, limit)


def make_baseline():
    """Return a `LatencyBaseline` without samples."""
    return LatencyBaseline()


def _lower_median(values):
    return sorted(values)[(len(values) - 1) // 2] if values else 0.0
