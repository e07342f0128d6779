"""Finds out whether servers ended under requests, and blocks those requests."""

import trio

from kumquatsaddle.balance.attempts import AttemptOutcome
from kumquatsaddle.balance.fatal_requests import FatalRequests, ServerEnd
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import BackendId

__all__ = ["EndRecords"]


class EndRecords:
    """Records the ends of servers that an instance sees or hears of.

    Parameters
    ----------
    metrics : Metrics

    Attributes
    ----------
    fatal_requests : FatalRequests
    on_end : callable
        Called with each `ServerEnd` that this instance saw itself.
    """

    def __init__(self, metrics):
        self.fatal_requests = FatalRequests()
        self.on_end = lambda end: None
        self._metrics = metrics

    def is_blocked(self, request):
        """Return whether a request must not be sent to a server."""
        if not self.fatal_requests:
            return False
        return self.fatal_requests.is_blocked(request.digest, trio.current_time())

    def describe_digest(self, request):
        """Return the digest of a request as text if servers ended under it, else ""."""
        if self.fatal_requests and self.fatal_requests.is_suspect(request.digest):
            return f"{request.digest:016x}"
        return ""

    async def observe(self, server, request, attempt, started_at):
        """Record what an attempt shows of the content of its request.

        Parameters
        ----------
        server : BalancedServer
        request : RoutedRequest
        attempt : AttemptResult
        started_at : float
            On the clock of trio, in seconds.
        """
        now = trio.current_time()
        if attempt.is_unanswered:
            if not await server.is_listening():
                self._metrics.count("backend_ends")
                self.share(ServerEnd(request.digest, server.name, started_at, now))
        elif attempt.outcome is AttemptOutcome.SERVED and self.fatal_requests:
            if self.fatal_requests.is_suspect(request.digest):
                self.clear(request.digest)

    def clear(self, digest):
        """Forget the ends under a digest, here and at the other instances.

        Parameters
        ----------
        digest : RequestDigest

        Returns
        -------
        bool
            Whether there were any.
        """
        now = trio.current_time()
        return self.share(ServerEnd(digest, BackendId(""), now, now))

    def share(self, end):
        """Add a `ServerEnd` and tell the others; return whether it is new."""
        is_new = self.add(end)
        if is_new:
            log_event(
                "request_cleared" if end.clears else "backend_ended",
                level="WARNING",
                digest=f"{end.digest:016x}",
                backend=end.server,
                counted=self._describe_servers(end.digest),
            )
            self.on_end(end)
        return is_new

    def add(self, end):
        """Add a `ServerEnd` that any instance saw; return whether it is new."""
        now = trio.current_time()
        was_blocked = self.fatal_requests.is_blocked(end.digest, now)
        if not self.fatal_requests.add(end, now):
            return False
        if not was_blocked and self.fatal_requests.is_blocked(end.digest, now):
            log_event(
                "request_blocked",
                level="WARNING",
                digest=f"{end.digest:016x}",
                counted=self._describe_servers(end.digest),
            )
        return True

    def _describe_servers(self, digest):
        return ",".join(self.fatal_requests.list_servers(digest))
