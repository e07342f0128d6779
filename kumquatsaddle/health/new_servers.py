"""Backend servers that were added to the platform's list recently."""

__all__ = ["NewServers"]

# Time for which a server counts as new. Its home has received the list and the
# placement by then.
_NEW_SERVER_SECONDS = 30.0


class NewServers:
    """Stores when each backend server was listed for the first time."""

    def __init__(self):
        self._first_listed_at = None

    def update(self, names, now):
        """Apply a list; the servers of the first list do not count as new.

        Parameters
        ----------
        names : iterable of BackendId
        now : float
            Current time in seconds.
        """
        if self._first_listed_at is None:
            self._first_listed_at = dict.fromkeys(names, float("-inf"))
            return
        self._first_listed_at = {
            name: self._first_listed_at.get(name, now) for name in names
        }

    def list_new(self, now):
        """Return the servers that count as new at the time `now`, in seconds.

        Returns
        -------
        frozenset of BackendId
        """
        first_listed_at = self._first_listed_at or {}
        return frozenset(
            name
            for name, time in first_listed_at.items()
            if now - time < _NEW_SERVER_SECONDS
        )
