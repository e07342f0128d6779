"""Incarnations of backend servers that have said in an answer that they leave.

What a server has said holds for its incarnation, whatever the list of servers says
later: an entry that is removed and read again does not bring the server back.
"""

__all__ = ["Departures"]

# The oldest ones are forgotten beyond this number, which bounds the memory to 1 MB.
_MAX_DEPARTURES = 5000


class Departures:
    """The incarnations that leave, in the order in which they were recorded."""

    def __init__(self):
        self._incarnations = {}

    def add(self, name, started_at_ms):
        """Record that an incarnation leaves; return whether that is new.

        Parameters
        ----------
        name : BackendId
        started_at_ms : int
            Start of the server in milliseconds since the epoch.
        """
        key = name, started_at_ms
        if key in self._incarnations:
            return False
        self._incarnations[key] = None
        if len(self._incarnations) > _MAX_DEPARTURES:
            del self._incarnations[next(iter(self._incarnations))]
        return True

    def includes(self, record):
        """Return whether the incarnation of a `ServerRecord` leaves."""
        return (record.name, record.started_at_ms) in self._incarnations
