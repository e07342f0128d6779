"""The usual latency of a service, from its servers here and from the other homes.

Each server has its own quantiles, and the service has the lower median of these. A
minority of slow servers therefore cannot raise the limit that they are judged by,
and when most servers become slower the limit follows.
"""

__all__ = ["LatencyBaseline", "make_baseline"]

# Latest answers of each server, about 4 s at 30 requests/s.
_SAMPLES = 128
# Samples of one server between two computations of its quantiles.
_REFRESH = 16
# Limits relative to the median and to the 99th percentile above which an answer
# counts as slow.
_MEDIAN_FACTOR = 4.0
_P99_FACTOR = 1.5
# Limit in seconds before there are samples.
_FIRST_LIMIT = 1.0
# Smallest limit in seconds; below it the delays of the event loop dominate.
_SMALLEST_LIMIT = 0.01


class _ServerLatency:
    __slots__ = ("values", "median", "p99", "_next", "_since")

    def __init__(self):
        self.values = []
        self.median = 0.0
        self.p99 = 0.0
        self._next = 0
        self._since = 0

    def add(self, latency):
        """Add a latency; return whether the quantiles changed."""
        if len(self.values) < _SAMPLES:
            self.values.append(latency)
        else:
            self.values[self._next] = latency
            self._next = (self._next + 1) % _SAMPLES
        self._since += 1
        if self._since < _REFRESH:
            return False
        self._since = 0
        ordered = sorted(self.values)
        self.median = ordered[len(ordered) // 2]
        self.p99 = ordered[int(len(ordered) * 0.99)]
        return True


class LatencyBaseline:
    """Quantiles over the latest answers of the servers of one service.

    Attributes
    ----------
    median, p99 : float
        Of the servers at this home, in seconds; 0 without samples. Digests tell these.
    peer_median : float
        Lower median of the medians of the other homes, in seconds; 0 if unknown.
    slow_limit : float
        Latency in seconds above which an answer counts as slow.
    """

    def __init__(self):
        self._servers = {}
        self._peers = ()
        self.median = 0.0
        self.p99 = 0.0
        self.peer_median = 0.0
        self.slow_limit = _FIRST_LIMIT

    @property
    def samples(self):
        """Number of answers that the quantiles are taken from."""
        return sum(len(server.values) for server in self._servers.values())

    def add(self, name, latency):
        """Add the latency of an answer of a server, in seconds."""
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = _ServerLatency()
        if server.add(latency):
            self._refresh()

    def forget(self, name):
        """Drop the answers of a server that is ejected or gone."""
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
        self._peers = tuple(pair for pair in quantiles if pair[0] > 0)
        self.peer_median = _lower_median([pair[0] for pair in self._peers])
        self._refresh()

    def _refresh(self):
        known = [server for server in self._servers.values() if server.median]
        if not known and not self._peers:
            # The last limit is better than none.
            return
        medians = [server.median for server in known]
        p99s = [server.p99 for server in known]
        self.median = _lower_median(medians)
        self.p99 = _lower_median(p99s)
        median = _lower_median(medians + [pair[0] for pair in self._peers])
        p99 = _lower_median(p99s + [pair[1] for pair in self._peers])
        limit = max(_MEDIAN_FACTOR * median, _P99_FACTOR * p99)
        self.slow_limit = max(_SMALLEST_LIMIT, limit)


def make_baseline():
    """Return an empty baseline."""
    return LatencyBaseline()


def _lower_median(values):
    return sorted(values)[(len(values) - 1) // 2] if values else 0.0
