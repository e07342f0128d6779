"""The usual time and size of the answers of each route."""

__all__ = ["RouteTimes"]

# Weight of the latest answer.
_WEIGHT = 0.05
# Time in seconds that is assumed for a route without answers, at most.
_FIRST_GUESS = 0.5
_SHORTEST = 0.01
# Size in bytes that is assumed for a route without answers.
_FIRST_SIZE = 3000


class RouteTimes:
    """Moving averages of the time and size of good answers, by route."""

    def __init__(self):
        self._means = {}
        self._sizes = {}

    def measure(self, route):
        """Return the usual time of an answer of a route in seconds."""
        guess = min(_FIRST_GUESS, route.objective / 2)
        return max(_SHORTEST, self._means.get(route.name, guess))

    def note_answer(self, route, seconds):
        """Add the time of a good answer."""
        mean = self._means.get(route.name)
        if mean is None:
            self._means[route.name] = seconds
        else:
            # Bounded, so that one slow answer does not move the average far.
            self._means[route.name] += _WEIGHT * (min(seconds, 4 * mean) - mean)

    def keep_routes(self, names):
        """Forget the routes that are not among `names`."""
        for values in (self._means, self._sizes):
            for name in set(values) - set(names):
                del values[name]

    def measure_size(self, route):
        """Return the usual size of an answer of a route in bytes."""
        return self._sizes.get(route.name, _FIRST_SIZE)

    def note_size(self, route, size):
        """Add the size of a good answer."""
        mean = self._sizes.get(route.name, size)
        self._sizes[route.name] = mean + _WEIGHT * (size - mean)
