"""The state of one backend server, from the samples of its real work."""

from kumquatsaddle.health.sequential import make_error_test, make_slow_test
from kumquatsaddle.types import BackendState

__all__ = ["ServerHealth"]


class ServerHealth:
    """State and evidence of one backend server.

    Parameters
    ----------
    name : BackendId
    baseline : LatencyBaseline
        Of its service.
    """

    def __init__(self, name, baseline):
        self.name = name
        self.state = BackendState.HEALTHY
        self.warm_limit = 1
        self._baseline = baseline
        self._errors = make_error_test()
        self._slow = make_slow_test()

    @property
    def slow_limit(self):
        """Latency in seconds above which an answer counts as slow."""
        return self._baseline.slow_limit

    def add_answer(self, latency, failed):
        """Add the sample of an answer; return whether the server looks unhealthy.

        Parameters
        ----------
        latency : float
            In seconds.
        failed : bool
        """
        slow = latency > self.slow_limit
        if not failed:
            self._baseline.add(latency)
        errors = self._errors.add(failed)
        return self._slow.add(slow) or errors

    def add_late(self):
        """Add the sample of a request that passed the limit without an answer."""
        return self._slow.add(True)

    def eject(self):
        """Stop all traffic to the server."""
        self.state = BackendState.EJECTED
        self._errors.reset()
        self._slow.reset()
