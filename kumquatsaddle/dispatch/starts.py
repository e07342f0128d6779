"""Which requests an instance still starts while it stops as planned.

A request that is cut off by the end of the process may have run, and its caller gets no
answer. One that is refused in time is sent to another instance.
"""

import trio

__all__ = ["StartLimit"]


class StartLimit:
    """Until when a dispatcher starts requests."""

    def __init__(self):
        self._ends_at = float("inf")
        self._starts = True

    def plan_stop(self, ends_at):
        """Set when the process ends, on the clock of trio in seconds."""
        self._ends_at = ends_at

    def close(self):
        """Allow no further start."""
        self._starts = False

    def compute_latest_start(self, duration):
        """Return the latest time at which a request may start.

        Parameters
        ----------
        duration : float
            Time in seconds within which the request should be answered.

        Returns
        -------
        float
            On the clock of trio, in seconds.
        """
        return self._ends_at - duration if self._starts else float("-inf")

    def allows(self, duration):
        """Return whether a request that takes `duration` seconds may start now."""
        return trio.current_time() < self.compute_latest_start(duration)
