"""When to report that a suspect server has not failed fast.

A fast failure of a request is known soon after its start. Once that time has passed, a
report of the request in flight shows the other instances that the server did not fail
it fast.
"""

__all__ = ["SurvivalReports"]

# Servers above this estimated failure probability are suspect.
_SUSPECT_FAILURE_PROBABILITY = 0.04
_REPORT_DELAY_SECONDS = 0.075


class SurvivalReports:
    """The suspect servers with requests of this instance that are to be reported."""

    def __init__(self):
        # Time of the report on the clock of trio in seconds, by server name.
        self._due = {}

    def add(self, server, now):
        """Note a change of the load of a server.

        Parameters
        ----------
        server : BalancedServer
        now : float
            On the clock of trio, in seconds.
        """
        if not server.own_in_flight:
            return
        probability = server.belief.compute_failure_probability(now)
        if probability > _SUSPECT_FAILURE_PROBABILITY:
            self._due.setdefault(server.name, now + _REPORT_DELAY_SECONDS)

    def get_next_due(self):
        """Return the time of the next report, or infinity."""
        return min(self._due.values(), default=float("inf"))

    def pop_due(self, now):
        """Return the names of the servers to report now, and forget them."""
        due = {name for name, time in self._due.items() if time <= now}
        for name in due:
            del self._due[name]
        return due
