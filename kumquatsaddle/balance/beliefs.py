"""The chance that a backend server fails its next request.

A server is sound, or sick in one of several ways, and changes between the states at
random times: a hidden Markov model [1]_. Each state has its own share of served
requests, of failures at once and of failures that took time. The filter carries the
probabilities of the states from one observation to the next; without observations
they return to the shares of time that servers spend in each state, so an old failure
counts for less and less.

References
----------
.. [1] L. R. Rabiner, "A tutorial on hidden Markov models and selected applications in
   speech recognition", Proceedings of the IEEE 77(2), 1989.
"""

from dataclasses import dataclass
from enum import Enum
from math import exp

__all__ = ["SICK_STATES", "Belief", "Observation", "SickState"]

# Lowest probability of a state relative to the likeliest; nothing becomes certain.
_LOWEST = 0.0005


class Observation(Enum):
    """What one request shows of the state of its server."""

    SERVED = "served"
    # The request has run for a while and has not failed at once.
    STARTED = "started"
    # Failed in a small part of the usual time.
    FAILED_FAST = "failed_fast"
    FAILED_SLOWLY = "failed_slowly"


@dataclass(frozen=True, slots=True)
class SickState:
    """One way in which servers are sick.

    Parameters
    ----------
    onset : float
        Rate at which a sound server becomes sick, per second.
    recovery : float
        Rate at which a sick server becomes sound, per second.
    shares : dict of Observation to float
        Share of the requests of such a server that show the observation.
    """

    onset: float
    recovery: float
    shares: dict[Observation, float]

    @property
    def prevalence(self):
        """Share of time that a server spends in the state."""
        return self.onset / (self.onset + self.recovery)

    @property
    def failures(self):
        """Share of its requests that a server in the state fails."""
        return 1.0 - self.shares[Observation.SERVED]


_SOUND_SHARES = {
    Observation.SERVED: 0.987,
    Observation.STARTED: 0.999,
    Observation.FAILED_FAST: 0.001,
    Observation.FAILED_SLOWLY: 0.012,
}
_SOUND_FAILURES = 1.0 - _SOUND_SHARES[Observation.SERVED]

SICK_STATES = (
    # Refuses or resets most requests at once.
    SickState(
        onset=0.02,
        recovery=0.14,
        shares={
            Observation.SERVED: 0.2,
            Observation.STARTED: 0.25,
            Observation.FAILED_FAST: 0.77,
            Observation.FAILED_SLOWLY: 0.03,
        },
    ),
    # Runs requests and loses a part of the answers.
    SickState(
        onset=0.003,
        recovery=0.2,
        shares={
            Observation.SERVED: 0.6,
            Observation.STARTED: 0.97,
            Observation.FAILED_FAST: 0.03,
            Observation.FAILED_SLOWLY: 0.37,
        },
    ),
)

# Rate of change, share of time and share of failures of each state: every choice of a
# server reads them for all servers.
_RATES = tuple(
    (state.onset + state.recovery, state.prevalence, state.failures)
    for state in SICK_STATES
)
# Shares of an observation: of a sound server, then in each sick state.
_SHARES = {
    observation: (
        _SOUND_SHARES[observation],
        *(state.shares[observation] for state in SICK_STATES),
    )
    for observation in Observation
}
_STARTED_SHARES = _SHARES[Observation.STARTED]


class Belief:
    """Probabilities of the states of one server.

    Parameters
    ----------
    now : float
        Time in seconds on any steady clock.
    prior : float, default=1.0
        Relative to the usual prevalence of the sick states.
    """

    __slots__ = ("_sick", "_updated")

    def __init__(self, now, prior=1.0):
        self._sick = [state.prevalence * prior for state in SICK_STATES]
        self._updated = now

    def measure_states(self, now):
        """Return the probability of each sick state at a time."""
        elapsed = max(0.0, now - self._updated)
        if not elapsed:
            return self._sick
        return [
            prevalence + (sick - prevalence) * exp(-rate * elapsed)
            for (rate, prevalence, _), sick in zip(_RATES, self._sick, strict=True)
        ]

    def measure_sick(self, now):
        """Return the probability that the server is sick at a time."""
        return sum(self.measure_states(now))

    def measure_failure(self, now, started=0):
        """Return the probability that the server fails a request at a time.

        Parameters
        ----------
        now : float
        started : int, default=0
            Requests in flight that have not failed at once; they count as
            observations until their answers come.
        """
        sick = self.measure_states(now)
        for _ in range(min(started, 2)):
            sick = _weigh(sick, _STARTED_SHARES)
        failure = _SOUND_FAILURES * max(0.0, 1.0 - sum(sick))
        for (_, _, failures), probability in zip(_RATES, sick, strict=True):
            failure += failures * probability
        return failure

    def observe(self, now, observation):
        """Add the observation of one request."""
        self._sick = _weigh(self.measure_states(now), _SHARES[observation])
        self._updated = max(now, self._updated)


def _weigh(sick, shares):
    """Return the probabilities of the sick states after an observation.

    Parameters
    ----------
    sick : list of float
    shares : tuple of float
        An entry of `_SHARES`.
    """
    sound = max(_LOWEST, 1.0 - sum(sick)) * shares[0]
    weights = [
        probability * share for probability, share in zip(sick, shares[1:], strict=True)
    ]
    # The floor is relative to the likeliest state, so that no state which has become
    # unlikely holds back the growth of another.
    lowest = _LOWEST * max(sound, *weights)
    sound = max(lowest, sound)
    weights = [max(lowest, weight) for weight in weights]
    total = sum(weights) + sound
    return [weight / total for weight in weights]
