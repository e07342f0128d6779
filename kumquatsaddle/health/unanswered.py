"""Tracks unanswered requests and finds those that exceed the slow limit."""

__all__ = ["UnansweredRequests"]


class UnansweredRequests:
    """The unanswered requests of one service, oldest first.

    All of them share the slow limit of the service, so that the oldest request is
    always the next one to exceed it and a check costs nothing while none is late.
    """

    def __init__(self):
        self._unanswered = {}
        self._counted_keys = set()

    def __len__(self):
        return len(self._unanswered)

    def begin(self, key, server, now):
        """Track a request that is sent to a server at the time `now`, in seconds."""
        self._unanswered[key] = (server, now)

    def end(self, key):
        """Stop tracking a request."""
        self._unanswered.pop(key, None)
        self._counted_keys.discard(key)

    def end_answered(self, key):
        """Stop tracking an answered request; return whether it counted as slow."""
        counted = key in self._counted_keys
        self.end(key)
        return counted

    def pop_late(self, now, limit):
        """Return the servers of the requests that exceed the limit since the last call.

        Parameters
        ----------
        now : float
            Current time in seconds.
        limit : float
            Slow limit in seconds.
        """
        late = []
        for key, (server, started) in self._unanswered.items():
            if now - started <= limit:
                break
            late.append((key, server))
        for key, _ in late:
            del self._unanswered[key]
            self._counted_keys.add(key)
        return [server for _, server in late]
