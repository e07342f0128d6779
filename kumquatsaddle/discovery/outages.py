"""Outages of the store, told apart from failures of the path of one instance.

A server whose entry expired during an outage of the store may still run and write it
again. An entry that expired while any instance could read the store belongs to a server
that has left. One failed call therefore proves nothing: an outage is a time in which
the store answered no instance, and it has to be long enough for an entry to expire. An
instance that heard of no other one in that time was cut off or paused itself, and knows
nothing of the store.
"""

from kumquatsaddle.logs import log_event

__all__ = ["RETURN_GRACE_SECONDS", "StoreOutages"]

# How long after an outage, or after the store came back from a copy, servers may take
# to write their entries again.
RETURN_GRACE_SECONDS = 2.2
# Longer than the store is normally unread when the instance that reads it changes, and
# together with the next one shorter than it takes until an entry expires.
_MIN_OUTAGE_SECONDS = 2.2
# Time in which the reader of a zone would have reported an answer of the store.
_CONFIRMATION_SECONDS = 0.6


class StoreOutages:
    """The latest outage of the store, as far as this instance knows.

    Notes
    -----
    All times are on the clock of trio, in seconds.
    """

    def __init__(self):
        # Latest known answer, but not before this instance began to listen.
        self._answered_at = float("-inf")
        # Since when other instances have reported that they got none either.
        self._unanswered_since = None
        self._has_peers = False
        self._ended_at = float("-inf")

    def record_own_answer(self, now):
        """Record that the store has answered this instance."""
        self._record_answer(now, now)

    def record_peer_answer(self, time, now):
        """Record when the store last answered another instance, by its report.

        Parameters
        ----------
        time : float
            When it answered.
        now : float
            When the report came.
        """
        self._has_peers = True
        if self._answered_at == float("-inf"):
            time = now
        if time > self._answered_at:
            self._record_answer(time, now)
        elif now - self._answered_at > _MIN_OUTAGE_SECONDS:
            if self._unanswered_since is None:
                self._unanswered_since = now

    def is_out(self, now):
        """Return whether the store has answered no instance for too long."""
        if self._answered_at == float("-inf"):
            return False
        if now - self._answered_at <= _MIN_OUTAGE_SECONDS:
            return False
        if not self._has_peers:
            return True
        since = self._unanswered_since
        return since is not None and now - since >= _CONFIRMATION_SECONDS

    def get_return_deadline(self, now):
        """Return when the servers have written their entries again.

        Returns
        -------
        float
            In the past if there was no outage recently. During an outage it is the
            earliest time that is still possible.
        """
        ended_at = now if self.is_out(now) else self._ended_at
        return ended_at + RETURN_GRACE_SECONDS

    def _record_answer(self, time, now):
        if self.is_out(now) and time - self._answered_at > _MIN_OUTAGE_SECONDS:
            self._ended_at = time
            outage = round(time - self._answered_at, 2)
            log_event("store_outage_ended", level="WARNING", seconds=outage)
        self._answered_at = max(self._answered_at, time)
        self._unanswered_since = None
