"""When a request may be sent, and how it gets a server."""

from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.types import RefusalReason

__all__ = ["ServerAcquisition"]

# Share of the expected response time that has to be left when a request is sent.
_MIN_REMAINING_SHARE = 0.8
# A request is started in a planned stop only if this many times its expected response
# time is left.
_STOP_DURATION_FACTOR = 2.0


class ServerAcquisition:
    """Finds servers for requests that may be sent.

    Parameters
    ----------
    start_limit : StartLimit
    end_records : EndRecords
    averages : RouteAverages
    find_access_refusal : callable
        Returns the `RefusalReason` for which a request that was accepted may not be
        sent by the accounts in force, or None.
    """

    def __init__(self, start_limit, end_records, averages, find_access_refusal):
        self._start_limit = start_limit
        self._end_records = end_records
        self._averages = averages
        self._find_access_refusal = find_access_refusal

    async def acquire(self, pool, request, excluded):
        """Return a server with the request added to its load.

        Parameters
        ----------
        pool : BalancedPool
        request : RoutedRequest
        excluded : frozenset of BackendId
            Servers to which it was sent already.

        Raises
        ------
        RefusedError
            If the request gets no server or must not be sent.
        """
        self._check_start(request)
        duration = self._compute_stop_duration(request)
        expected = self._averages.estimate_seconds(request.route)
        until = min(
            request.deadline - _MIN_REMAINING_SHARE * expected,
            self._start_limit.compute_latest_start(duration),
        )
        try:
            server = await pool.acquire_server(request, excluded, until)
        except RefusedError:
            self._check_access(request)
            raise
        try:
            # These may have changed while the request waited.
            self._check_start(request)
        except RefusedError:
            if server is not None:
                pool.release(server, request)
            raise
        if server is None:
            raise RefusedError(RefusalReason.NO_BACKEND, request.service)
        return server

    def _check_start(self, request):
        """Raise `RefusedError` if a request must not be sent now."""
        if not self._start_limit.allows(self._compute_stop_duration(request)):
            raise RefusedError(RefusalReason.STOPPING)
        self._check_access(request)
        if self._end_records.is_blocked(request):
            raise RefusedError(RefusalReason.FATAL_REQUEST)

    def _check_access(self, request):
        """Raise `RefusedError` if the accounts in force do not let a request run."""
        refusal = self._find_access_refusal(request)
        if refusal is not None:
            raise RefusedError(refusal)

    def _compute_stop_duration(self, request):
        """Return the time that a request has to have until the end of the process."""
        return _STOP_DURATION_FACTOR * self._averages.estimate_seconds(request.route)
