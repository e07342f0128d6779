"""Sequential tests on yes-or-no samples.

References
----------
Wald, Sequential Tests of Statistical Hypotheses, 1945.
Page, Continuous Inspection Schemes, Biometrika 41, 1954.
"""

import math

__all__ = ["Cusum", "ReverseTest", "make_error_test", "make_slow_test"]

# Threshold in nats. At 1% background errors a server shows about 26,000 excursions a
# day at 30 requests/s, each of which crosses with a probability of about
# exp(-(20 - 3.4)).
_THRESHOLD = 20.0
_ERROR_RATES = (0.01, 0.30)
_SLOW_RATES = (0.02, 0.50)
# Nats for and against a server in PROBATION. 15 good answers in a row pass it, two
# bad ones at the start fail it.
_REVERSE_THRESHOLD = 5.0


class Cusum:
    """Cumulative sum of log-likelihood ratios, between zero and the threshold.

    The cap lets the sum fall soon after a server that could not be ejected recovers.

    Parameters
    ----------
    good_rate, bad_rate : float
        Rates of positive samples of a healthy and of an unhealthy server.
    threshold : float
        Value in nats at which the server counts as unhealthy.

    Examples
    --------
    >>> test = Cusum(0.01, 0.30, 20.0)
    >>> sum(test.add(True) for _ in range(6))
    1
    """

    __slots__ = ("value", "threshold", "_positive", "_negative")

    def __init__(self, good_rate, bad_rate, threshold):
        if not 0 < good_rate < bad_rate < 1:
            raise ValueError(f"rates {good_rate} and {bad_rate} are not in order")
        self._positive = math.log(bad_rate / good_rate)
        self._negative = math.log((1 - bad_rate) / (1 - good_rate))
        self.threshold = threshold
        self.value = 0.0

    def add(self, positive):
        """Add a sample; return whether the sum has reached the threshold."""
        step = self._positive if positive else self._negative
        self.value = min(self.threshold, max(0.0, self.value + step))
        return self.value >= self.threshold

    def halve(self):
        """Take back half of the evidence."""
        self.value /= 2

    def reset(self):
        """Start again from zero."""
        self.value = 0.0


class ReverseTest:
    """Sequential probability ratio test of a server in PROBATION.

    Compares the failure rate of an unhealthy server (30%) with that of a healthy one
    (1%). Slow answers are failures.
    """

    __slots__ = ("value", "_good", "_bad")

    def __init__(self):
        good, bad = _ERROR_RATES
        self._good = math.log((1 - good) / (1 - bad))
        self._bad = math.log(good / bad)
        self.value = 0.0

    @property
    def passed(self):
        """Whether the evidence says that the server is healthy."""
        return self.value >= _REVERSE_THRESHOLD

    @property
    def failed(self):
        """Whether the evidence says that the server is still unhealthy."""
        return self.value <= -_REVERSE_THRESHOLD

    def add(self, bad):
        """Add a sample."""
        step = self._bad if bad else self._good
        self.value = min(_REVERSE_THRESHOLD, self.value + step)

    def reset(self):
        """Start again from zero."""
        self.value = 0.0


def make_error_test():
    """Return the test for errors: 1% against 30%."""
    return Cusum(*_ERROR_RATES, _THRESHOLD)


def make_slow_test():
    """Return the test for slow answers: 2% against 50%."""
    return Cusum(*_SLOW_RATES, _THRESHOLD)
