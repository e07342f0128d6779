"""Sequential tests on Bernoulli samples.

Evidence is measured in nats, the unit of natural logarithms of likelihood ratios.

References
----------
Wald, Sequential Tests of Statistical Hypotheses, 1945.
Page, Continuous Inspection Schemes, Biometrika 41, 1954.
"""

import math

__all__ = ["Cusum", "ProbationTest", "make_error_test", "make_slow_test"]

# At 1% background errors and 30 requests/s, the sum of a server leaves zero about
# 26,000 times a day. Each time it reaches the threshold with a probability of about
# exp(-(20 - 3.4)), where 3.4 = ln(0.30 / 0.01) is the step of one error.
_CUSUM_THRESHOLD_NATS = 20.0
# Rates of errors and of slow answers of a healthy and of an unhealthy server.
_ERROR_RATES = (0.01, 0.30)
_SLOW_RATES = (0.02, 0.50)
# Evidence at which a PROBATION is passed or, with a negative sign, failed. 15 good
# answers in a row pass it, two bad ones at the start fail it.
_PROBATION_THRESHOLD_NATS = 5.0


class Cusum:
    """Cumulative sum of log-likelihood ratios, between zero and the threshold.

    The sum is limited to the threshold, so that it falls soon after the recovery of a
    server that could not be ejected.

    Parameters
    ----------
    healthy_rate, unhealthy_rate : float
        Rates of positive samples of a healthy and of an unhealthy server.
    threshold : float
        Value in nats at which the server counts as unhealthy.

    Examples
    --------
    >>> test = Cusum(0.01, 0.30, 20.0)
    >>> sum(test.add(True) for _ in range(6))
    1
    """

    __slots__ = ("value", "threshold", "_positive_step", "_negative_step")

    def __init__(self, healthy_rate, unhealthy_rate, threshold):
        if not 0 < healthy_rate < unhealthy_rate < 1:
            raise ValueError(
                f"healthy rate {healthy_rate} and unhealthy rate {unhealthy_rate} "
                "do not satisfy 0 < healthy rate < unhealthy rate < 1"
            )
        self._positive_step = math.log(unhealthy_rate / healthy_rate)
        self._negative_step = math.log((1 - unhealthy_rate) / (1 - healthy_rate))
        self.threshold = threshold
        self.value = 0.0

    def add(self, positive):
        """Add a sample; return whether the sum is at the threshold."""
        step = self._positive_step if positive else self._negative_step
        self.value = min(self.threshold, max(0.0, self.value + step))
        return self.value >= self.threshold

    def halve(self):
        """Halve the sum."""
        self.value /= 2

    def reset(self):
        """Start again from zero."""
        self.value = 0.0


class ProbationTest:
    """Sequential probability ratio test of a server in PROBATION.

    Tests the failure rate of a healthy server (1%) against that of an unhealthy one
    (30%). Slow answers count as failures.
    """

    __slots__ = ("value", "_good_step", "_bad_step")

    def __init__(self):
        healthy_rate, unhealthy_rate = _ERROR_RATES
        self._good_step = math.log((1 - healthy_rate) / (1 - unhealthy_rate))
        self._bad_step = math.log(healthy_rate / unhealthy_rate)
        self.value = 0.0

    @property
    def passed(self):
        """Whether the server is accepted as healthy."""
        return self.value >= _PROBATION_THRESHOLD_NATS

    @property
    def failed(self):
        """Whether the server is still unhealthy."""
        return self.value <= -_PROBATION_THRESHOLD_NATS

    def add(self, bad):
        """Add a sample."""
        step = self._bad_step if bad else self._good_step
        self.value = min(_PROBATION_THRESHOLD_NATS, self.value + step)

    def reset(self):
        """Start again from zero."""
        self.value = 0.0


def make_error_test():
    """Return the test for errors: 1% against 30%."""
    return Cusum(*_ERROR_RATES, _CUSUM_THRESHOLD_NATS)


def make_slow_test():
    """Return the test for slow answers: 2% against 50%."""
    return Cusum(*_SLOW_RATES, _CUSUM_THRESHOLD_NATS)
