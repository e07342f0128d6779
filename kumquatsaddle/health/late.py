"""Requests without an answer, each of which counts as slow once it passes the limit."""

__all__ = ["LateRequests"]


class LateRequests:
    """The unanswered requests of one service, oldest first.

    All share the limit of their service, so that the oldest is always the next one to
    pass it and a sweep costs nothing while none is late.
    """

    def __init__(self):
        self._waiting = {}
        self._counted = set()

    def __len__(self):
        return len(self._waiting)

    def begin(self, key, server, now):
        """Watch a request to a server from now on, in seconds."""
        self._waiting[key] = (server, now)

    def end(self, key):
        """Stop to watch a request."""
        self._waiting.pop(key, None)
        self._counted.discard(key)

    def answer(self, key):
        """Note an answer; return whether the request was counted as slow before."""
        counted = key in self._counted
        self.end(key)
        return counted

    def take_late(self, now, limit):
        """Return the servers of the requests that have just passed the limit.

        Parameters
        ----------
        now, limit : float
            In seconds.
        """
        late = []
        for key, (server, started) in self._waiting.items():
            if now - started <= limit:
                break
            late.append((key, server))
        for key, _ in late:
            del self._waiting[key]
            self._counted.add(key)
        return [server for _, server in late]
