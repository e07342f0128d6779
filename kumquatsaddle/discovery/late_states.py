"""Rows of backend servers that are older than what is known, and may be the truth.

The store performed such a row late, or it comes from the copy from which the store
returned. A server that says something else writes its entry again at its next
heartbeat, and the entry of one that is silent expires after three. A row that still
stands after that is no late one: the clock of the server went back, or another writer
set a higher count before.
"""

__all__ = ["LateStates"]

# Longer than the entry of a silent server stays.
_HOLD_SECONDS = 6.0


class LateStates:
    """The rows that are held, by key."""

    def __init__(self):
        self._rows = {}
        self._held_until = {}

    def hold(self, row, now):
        """Hold a row in place of the one held for its entry.

        Parameters
        ----------
        row : ListedRow
        now : float
            In seconds.
        """
        self._rows[row.key] = row
        self._held_until[row.key] = now + _HOLD_SECONDS

    def find(self, key):
        """Return the row that is held for an entry, or None."""
        return self._rows.get(key)

    def list_newer(self, after):
        """Return the rows with a version above `after`."""
        return [row for row in self._rows.values() if row.version > after]

    def drop(self, key):
        """Drop the row that is held for an entry; return whether there was one."""
        self._held_until.pop(key, None)
        return self._rows.pop(key, None) is not None

    def clear(self):
        """Drop all rows."""
        self._rows.clear()
        self._held_until.clear()

    def pop_due(self, time):
        """Return the rows held long enough at a time, and hold them no longer."""
        due = [row for key, row in self._rows.items() if self._held_until[key] <= time]
        for row in due:
            self.drop(row.key)
        return due
