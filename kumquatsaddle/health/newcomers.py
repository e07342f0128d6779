"""Backend servers that are new in the platform's list."""

__all__ = ["Newcomers"]

# Time in seconds for which a server counts as new: the list and the placement have
# reached its home by then.
_NEW_TIME = 30.0


class Newcomers:
    """Remembers when each backend server was listed first."""

    def __init__(self):
        self._seen = None

    def update(self, names, now):
        """Take over a list; the servers of the first one are not new.

        Parameters
        ----------
        names : iterable of BackendId
        now : float
            In seconds.
        """
        if self._seen is None:
            self._seen = dict.fromkeys(names, float("-inf"))
            return
        self._seen = {name: self._seen.get(name, now) for name in names}

    def current(self, now):
        """Return the servers that are new at `now`, in seconds.

        Returns
        -------
        frozenset of BackendId
        """
        seen = self._seen or {}
        return frozenset(name for name, time in seen.items() if now - time < _NEW_TIME)
