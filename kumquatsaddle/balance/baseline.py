"""The usual time of the answers of each route."""

__all__ = ["RouteTimes"]

# Weight of the latest answer.
_WEIGHT = 0.05
# Time in seconds that is assumed for a route without answers, at most.
_FIRST_GUESS = 0.5
_SHORTEST = 0.01


class RouteTimes:
    """Moving averages of the time of good answers, by route."""

    def __init__(self):
        self._means = {}

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
