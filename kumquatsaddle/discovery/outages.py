"""Outages of the store, told apart from failures of the path of one instance.

A server whose entry expired during an outage of the store may still run and write it
again. An entry that expired while any instance could read the store belongs to a server
that has left. One failed call therefore proves nothing: an outage is a time in which
the store answered no instance, and it has to be long enough for an entry to expire.
"""

from kumquatsaddle.logs import log_event

__all__ = ["StoreOutages"]

# How long after an outage servers may take to write their entries again.
_RETURN_GRACE_SECONDS = 2.2
# Longer than the store is normally unread when the instance that reads it changes, and
# shorter than it takes until an entry that is not renewed expires.
_MIN_OUTAGE_SECONDS = 2.2


class StoreOutages:
    """The latest outage of the store, as far as this instance knows.

    Notes
    -----
    All times are on the clock of trio, in seconds.
    """

    def __init__(self):
        self._answered_at = float("-inf")
        self._ended_at = float("-inf")

    def record_answer(self, time):
        """Record that the store answered this instance or another one.

        Parameters
        ----------
        time : float
            When it answered; may be older than the latest known answer.
        """
        if time <= self._answered_at:
            return
        if self.is_out(time):
            self._ended_at = time
            outage = round(time - self._answered_at, 2)
            log_event("store_outage_ended", level="WARNING", seconds=outage)
        self._answered_at = time

    def is_out(self, now):
        """Return whether the store has answered no instance for too long."""
        if self._answered_at == float("-inf"):
            return False
        return now - self._answered_at > _MIN_OUTAGE_SECONDS

    def get_return_deadline(self, now):
        """Return when the servers have written their entries again.

        Returns
        -------
        float
            In the past if there was no outage recently. During an outage it is the
            earliest time that is still possible.
        """
        ended_at = now if self.is_out(now) else self._ended_at
        return ended_at + _RETURN_GRACE_SECONDS
