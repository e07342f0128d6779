"""Moving averages of the response time and size of the answers of each route."""

from kumquatsaddle.balance.work import WorkEstimates

__all__ = ["RouteAverages"]

# Weight of the latest answer in an average.
_LATEST_WEIGHT = 0.05
# Response time assumed for a route without answers, unless half its objective is less.
_DEFAULT_TIME_SECONDS = 0.5
_MIN_TIME_SECONDS = 0.01
# Body size assumed for a route without answers.
_DEFAULT_SIZE_BYTES = 3000


class RouteAverages:
    """Moving averages of the response time and size of served requests, by route.

    Attributes
    ----------
    work : WorkEstimates
        Distributions of the response time.
    """

    def __init__(self):
        self.work = WorkEstimates()
        self._mean_seconds = {}
        self._mean_bytes = {}

    def estimate_seconds(self, route):
        """Return the expected response time of a route in seconds."""
        default = min(_DEFAULT_TIME_SECONDS, route.objective / 2)
        return max(_MIN_TIME_SECONDS, self._mean_seconds.get(route.name, default))

    def add_seconds(self, route, seconds):
        """Add the response time of a served request."""
        self.work.add(route, seconds)
        mean = self._mean_seconds.get(route.name)
        if mean is None:
            self._mean_seconds[route.name] = seconds
        else:
            # Bounded, so that one slow answer does not move the average far.
            self._mean_seconds[route.name] += _LATEST_WEIGHT * (
                min(seconds, 4 * mean) - mean
            )

    def retain_routes(self, names):
        """Remove the averages of routes that are not among `names`."""
        self.work.retain_routes(names)
        for values in (self._mean_seconds, self._mean_bytes):
            for name in set(values) - set(names):
                del values[name]

    def estimate_bytes(self, route):
        """Return the expected body size of an answer of a route in bytes."""
        return self._mean_bytes.get(route.name, _DEFAULT_SIZE_BYTES)

    def add_bytes(self, route, size):
        """Add the body size of a served request in bytes."""
        mean = self._mean_bytes.get(route.name, size)
        self._mean_bytes[route.name] = mean + _LATEST_WEIGHT * (size - mean)
