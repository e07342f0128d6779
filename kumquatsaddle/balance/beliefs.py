"""The probability that a backend server fails its next request.

Each server is modelled as a hidden Markov model [1]_: it is healthy or in one of
several fault states, and changes between them at random times. Each state has its own
probabilities of a served request, of a fast failure and of a slow failure. The filter
updates the state probabilities with each observation. Without observations they decay
to the stationary distribution, so an old failure counts for less and less.

References
----------
.. [1] L. R. Rabiner, "A tutorial on hidden Markov models and selected applications in
   speech recognition", Proceedings of the IEEE 77(2), 1989.
"""

from dataclasses import dataclass
from enum import Enum
from math import exp

__all__ = ["FAULT_STATES", "Belief", "FaultState", "Observation"]

# Lowest probability of a state relative to the likeliest, so that no state is ever
# ruled out.
_MIN_RELATIVE_PROBABILITY = 0.0005


class Observation(Enum):
    """What one request shows about the state of its server."""

    SERVED = "served"
    # The request is in flight and can no longer fail fast.
    STARTED = "started"
    # Failed within a small part of the expected response time.
    FAILED_FAST = "failed_fast"
    FAILED_SLOWLY = "failed_slowly"


@dataclass(frozen=True, slots=True)
class FaultState:
    """A fault state of the model.

    Parameters
    ----------
    onset_rate : float
        Rate at which a healthy server enters the state, per second.
    recovery_rate : float
        Rate at which a server in the state becomes healthy, per second.
    likelihoods : dict of Observation to float
        Probability of each observation on a request to a server in the state.
    """

    onset_rate: float
    recovery_rate: float
    likelihoods: dict[Observation, float]

    @property
    def prevalence(self):
        """Stationary probability of the state."""
        return self.onset_rate / (self.onset_rate + self.recovery_rate)

    @property
    def failure_probability(self):
        """Probability that a server in the state fails a request."""
        return 1.0 - self.likelihoods[Observation.SERVED]


_HEALTHY_LIKELIHOODS = {
    Observation.SERVED: 0.987,
    Observation.STARTED: 0.999,
    Observation.FAILED_FAST: 0.001,
    Observation.FAILED_SLOWLY: 0.012,
}
_HEALTHY_FAILURE_PROBABILITY = 1.0 - _HEALTHY_LIKELIHOODS[Observation.SERVED]

FAULT_STATES = (
    # Refuses or resets most requests at once.
    FaultState(
        onset_rate=0.02,
        recovery_rate=0.14,
        likelihoods={
            Observation.SERVED: 0.2,
            Observation.STARTED: 0.25,
            Observation.FAILED_FAST: 0.77,
            Observation.FAILED_SLOWLY: 0.03,
        },
    ),
    # Runs requests and loses some of the answers.
    FaultState(
        onset_rate=0.003,
        recovery_rate=0.2,
        likelihoods={
            Observation.SERVED: 0.6,
            Observation.STARTED: 0.97,
            Observation.FAILED_FAST: 0.03,
            Observation.FAILED_SLOWLY: 0.37,
        },
    ),
)

# Rate of change, prevalence and failure probability of each fault state, computed in
# advance because each choice of a server reads them for all servers.
_FAULT_PARAMETERS = tuple(
    (
        state.onset_rate + state.recovery_rate,
        state.prevalence,
        state.failure_probability,
    )
    for state in FAULT_STATES
)
# Likelihoods of each observation: in the healthy state, then in each fault state.
_LIKELIHOODS = {
    observation: (
        _HEALTHY_LIKELIHOODS[observation],
        *(state.likelihoods[observation] for state in FAULT_STATES),
    )
    for observation in Observation
}
_PAST_FAST_FAILURE_LIKELIHOODS = _LIKELIHOODS[Observation.STARTED]


class Belief:
    """State probabilities of one server.

    A fault is a state of the server; a failure is the result of one request to it.

    Parameters
    ----------
    now : float
        Time in seconds on any monotonic clock.
    prior_scale : float, default=1.0
        Initial probability of the fault states relative to their prevalence.
    """

    __slots__ = ("_faulty", "_updated_at")

    def __init__(self, now, prior_scale=1.0):
        self._faulty = [state.prevalence * prior_scale for state in FAULT_STATES]
        self._updated_at = now

    def predict_fault_states(self, now):
        """Return the probability of each fault state at a time."""
        elapsed = max(0.0, now - self._updated_at)
        if not elapsed:
            return self._faulty
        return [
            prevalence + (faulty - prevalence) * exp(-rate * elapsed)
            for (rate, prevalence, _), faulty in zip(
                _FAULT_PARAMETERS, self._faulty, strict=True
            )
        ]

    def compute_fault_probability(self, now):
        """Return the probability that the server is in any fault state at a time."""
        return sum(self.predict_fault_states(now))

    def compute_failure_probability(self, now, past_fast_failure=0):
        """Return the probability that the server fails a request sent at a time.

        Parameters
        ----------
        now : float
        past_fast_failure : int, default=0
            Requests in flight that can no longer fail fast. Up to two of them count as
            observations until they are answered.
        """
        faulty = self.predict_fault_states(now)
        for _ in range(min(past_fast_failure, 2)):
            faulty = _apply_observation(faulty, _PAST_FAST_FAILURE_LIKELIHOODS)
        failure = _HEALTHY_FAILURE_PROBABILITY * max(0.0, 1.0 - sum(faulty))
        for (_, _, failure_probability), probability in zip(
            _FAULT_PARAMETERS, faulty, strict=True
        ):
            failure += failure_probability * probability
        return failure

    def observe(self, now, observation):
        """Update the state probabilities with the observation of one request."""
        self._faulty = _apply_observation(
            self.predict_fault_states(now), _LIKELIHOODS[observation]
        )
        self._updated_at = max(now, self._updated_at)


def _apply_observation(faulty, likelihoods):
    """Return the probabilities of the fault states after an observation (Bayes' rule).

    Parameters
    ----------
    faulty : list of float
        Probabilities of the fault states before the observation.
    likelihoods : tuple of float
        An entry of `_LIKELIHOODS`.
    """
    healthy = max(_MIN_RELATIVE_PROBABILITY, 1.0 - sum(faulty)) * likelihoods[0]
    weights = [
        probability * likelihood
        for probability, likelihood in zip(faulty, likelihoods[1:], strict=True)
    ]
    # The minimum is relative to the likeliest state: an absolute one would let a state
    # that has become unlikely hold back the growth of another.
    lowest = _MIN_RELATIVE_PROBABILITY * max(healthy, *weights)
    healthy = max(lowest, healthy)
    weights = [max(lowest, weight) for weight in weights]
    total = sum(weights) + healthy
    return [weight / total for weight in weights]
