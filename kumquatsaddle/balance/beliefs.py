"""The chance that a backend server fails its next request.

A server is sound or sick and changes between the two at random times: a hidden Markov
model with two states. Sound servers fail a small share of their requests, sick ones
most of them. The filter carries the probability that the server is sick from one
observation to the next [1]_. Without observations it returns to the share of time
that servers are sick, so an old failure counts for less and less.

References
----------
.. [1] L. R. Rabiner, "A tutorial on hidden Markov models and selected applications in
   speech recognition", Proceedings of the IEEE 77(2), 1989.
"""

from dataclasses import dataclass
from math import exp

__all__ = ["DEFAULT_RATES", "Belief", "FailureRates"]

# Bounds of the probability; no observation makes it certain.
_LOWEST, _HIGHEST = 0.001, 0.999


@dataclass(frozen=True, slots=True)
class FailureRates:
    """Parameters of the model.

    Parameters
    ----------
    onset : float
        Rate at which a sound server becomes sick, per second.
    recovery : float
        Rate at which a sick server becomes sound, per second.
    sound_failures, sick_failures : float
        Share of requests that a sound and a sick server fail.
    """

    onset: float
    recovery: float
    sound_failures: float
    sick_failures: float

    @property
    def share_sick(self):
        """Share of time that a server is sick."""
        return self.onset / (self.onset + self.recovery)


DEFAULT_RATES = FailureRates(
    onset=0.02, recovery=0.14, sound_failures=0.012, sick_failures=0.8
)


class Belief:
    """Probability that one server is sick.

    Parameters
    ----------
    now : float
        Time in seconds on any steady clock.
    rates : FailureRates, optional
    """

    __slots__ = ("rates", "_sick", "_updated")

    def __init__(self, now, rates=DEFAULT_RATES):
        self.rates = rates
        self._sick = rates.share_sick
        self._updated = now

    def measure_sick(self, now):
        """Return the probability that the server is sick at a time."""
        rates = self.rates
        elapsed = max(0.0, now - self._updated)
        mean = rates.share_sick
        kept = exp(-(rates.onset + rates.recovery) * elapsed)
        return mean + (self._sick - mean) * kept

    def measure_failure(self, now):
        """Return the probability that the server fails a request at a time."""
        sick, rates = self.measure_sick(now), self.rates
        return sick * rates.sick_failures + (1 - sick) * rates.sound_failures

    def note_answer(self, now, failed):
        """Add the observation of one answer."""
        rates, sick = self.rates, self.measure_sick(now)
        if failed:
            if_sick, if_sound = rates.sick_failures, rates.sound_failures
        else:
            if_sick, if_sound = 1 - rates.sick_failures, 1 - rates.sound_failures
        weight = sick * if_sick
        sick = weight / (weight + (1 - sick) * if_sound)
        self._sick = min(_HIGHEST, max(_LOWEST, sick))
        self._updated = max(now, self._updated)
