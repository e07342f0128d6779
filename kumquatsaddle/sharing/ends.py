"""Ends of backend servers under requests, in the reports between instances.

An instance reports what it saw itself, at once and for some seconds more in case a
datagram is lost. What others reported it passes on only to an instance that has just
started and, as zone leader, to other zones.
"""

import trio

from kumquatsaddle.balance.fatal_requests import ServerEnd
from kumquatsaddle.sharing.messages import EndAge

__all__ = ["SharedEnds"]

# How long an end is repeated in reports.
_REPORTED_SECONDS = 5.0
# Ends in one datagram, so that they fit into it beside the loads of a zone.
_MAX_ENDS = 100


class SharedEnds:
    """The ends of servers that one instance reports.

    Parameters
    ----------
    records : EndRecords
    """

    def __init__(self, records):
        self._records = records
        self._changed = []
        self._first_hand = []

    def track(self, end):
        """Note a `ServerEnd` that this instance saw."""
        self._changed.append(end)
        self._first_hand.append(end)

    def pop_changes(self):
        """Return the `EndAge` of what was noted since the last call."""
        changed, self._changed = self._changed, []
        return _compute_ages(changed)

    def list_first_hand(self):
        """Return what this instance saw in the last seconds."""
        since = trio.current_time() - _REPORTED_SECONDS
        self._first_hand = [end for end in self._first_hand if end.ended_at > since]
        return _compute_ages(self._first_hand)

    def list_recent(self):
        """Return what any instance saw in the last seconds."""
        since = trio.current_time() - _REPORTED_SECONDS
        return self._list_known(since)

    def list_all(self):
        """Return all that is known."""
        return self._list_known(float("-inf"))

    def apply(self, ends):
        """Apply the `EndAge` of a report; return whether any was new."""
        now, any_new = trio.current_time(), False
        for end in ends:
            any_new |= self._records.add(
                ServerEnd(
                    end.digest, end.server, now - end.started_ago, now - end.ended_ago
                )
            )
        return any_new

    def _list_known(self, since):
        return _compute_ages(self._records.fatal_requests.list_ends(since))


def _compute_ages(ends):
    now = trio.current_time()
    return tuple(
        EndAge(end.digest, end.server, now - end.started_at, now - end.ended_at)
        for end in ends[:_MAX_ENDS]
    )
