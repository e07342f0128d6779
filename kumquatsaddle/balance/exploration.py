"""Whether the requests of a service try servers that are not in use."""

from kumquatsaddle.balance.choice import (
    MAX_EXPLORABLE_FAILURE,
    NO_EXPLORATION,
    is_explorable,
)

__all__ = ["Exploration"]

# Share of the explorable servers of this zone below which the service explores.
_MIN_USED_SHARE = 0.75
# Time after a request for which its server counts as in use.
_USED_WINDOW_SECONDS = 1.7
# How long only repeatable requests try unused servers, if there are such requests.
_REPEATABLE_FIRST_SECONDS = 1.0
# Shortest time between counts of the servers in use while no request is sent.
_USE_COUNT_INTERVAL_SECONDS = 0.1


class Exploration:
    """Keeps enough servers of one service in use that their evidence is recent.

    Parameters
    ----------
    servers : dict of BackendId to BalancedServer
        Of the service; it may change.
    zone : ZoneId
        Of this instance.
    """

    def __init__(self, servers, zone):
        self._servers = servers
        self._zone = zone
        self._explores = False
        self._use_counted_at = float("-inf")
        self._explores_since = float("-inf")
        self._repeatable_at = float("-inf")

    def record_start(self):
        """Count the servers in use again at the next request."""
        self._use_counted_at = float("-inf")

    def compute_max_failure(self, request, now):
        """Return the failure probability up to which a request tries unused servers.

        A server that is tried may still be faulty, which costs a repeatable request
        only a retry. Where there are such requests, the others leave it to them for a
        while.
        """
        is_repeatable = request.idempotent and request.attempts_left > 0
        if is_repeatable:
            self._repeatable_at = now
        if not self._is_needed(now):
            return NO_EXPLORATION
        others_wait = (
            now - self._repeatable_at < _REPEATABLE_FIRST_SECONDS
            and now - self._explores_since < _REPEATABLE_FIRST_SECONDS
        )
        if others_wait and not is_repeatable:
            return NO_EXPLORATION
        return MAX_EXPLORABLE_FAILURE

    def _is_needed(self, now):
        """Return whether servers that are not in use have to be tried.

        A server that recovered counts as faulty until it is tried, so that without
        exploration too few servers could stay in use for lack of evidence alone.
        """
        if now - self._use_counted_at >= _USE_COUNT_INTERVAL_SECONDS:
            self._use_counted_at = now
            explored_before = self._explores
            self._explores = self._has_too_few_in_use(now)
            if self._explores and not explored_before:
                self._explores_since = now
        return self._explores

    def _has_too_few_in_use(self, now):
        usable = [
            server
            for server in self._servers.values()
            if server.record.zone == self._zone
            and server.is_available(now)
            and is_explorable(server, now, MAX_EXPLORABLE_FAILURE)
        ]
        used = sum(now - server.used_at < _USED_WINDOW_SECONDS for server in usable)
        return used < _MIN_USED_SHARE * len(usable)
