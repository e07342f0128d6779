"""Rate limits of backend servers in the reports between instances.

An instance reports to its peers the limits that answers to its own requests stated.
What others reported it passes on only to an instance that has just started and, as zone
leader, to other zones, so that a statement never returns to where it came from.

The newest statement holds everywhere, so its age must not look younger than it is. It
includes the time in which the machine was suspended, and that for which a report may
have waited to be read while the process was paused.
"""

import trio

from kumquatsaddle.clocks import read_elapsed_time
from kumquatsaddle.sharing.messages import StatedLimit

__all__ = ["SharedLimits"]

# A limit that no instance has reported for this time is dropped: it may have ended
# while this instance was cut off.
_EXPIRY_SECONDS = 30.0
# How long the end of a limit is reported.
_END_REPORTED_SECONDS = 10.0
# Limits in one datagram, so that they fit into it beside the loads of a zone.
_MAX_LIMITS = 600


class SharedLimits:
    """The limits that one instance reports.

    Parameters
    ----------
    dispatcher : BalancedDispatcher
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher
        self._changed = set()
        # When the limit ended, or None while it is in force, by server name.
        self._ended_at = {}
        # When another instance last reported a limit, by server name.
        self._reported_at = {}

    def track(self, server):
        """Note that the limit of a server has changed.

        Parameters
        ----------
        server : BalancedServer
        """
        limit = server.rate_limit
        self._ended_at[server.name] = (
            None if limit.rate is not None else trio.current_time()
        )
        if limit.is_first_hand:
            self._changed.add(server.name)

    def pop_changes(self):
        """Return the `StatedLimit` of the limits that changed here; forget them."""
        changed, self._changed = self._changed, set()
        return self._make_limits(self._find_servers(changed))

    def list_first_hand(self):
        """Return the limits that answers to this instance stated."""
        servers = self._list_tracked()
        return self._make_limits(
            server for server in servers if server.rate_limit.is_first_hand
        )

    def list_all(self, is_included=lambda server: True):
        """Return the known limits of the servers for which `is_included` is true."""
        return self._make_limits(filter(is_included, self._list_tracked()))

    def apply(self, limits):
        """Apply the limits of a report, as far as they are newer than the known ones.

        Parameters
        ----------
        limits : iterable of StatedLimit
        """
        now, arrived_at = trio.current_time(), self._dispatcher.get_arrival_time()
        for limit in limits:
            server = self._dispatcher.find_server(limit.server)
            if server is None:
                continue
            stated_at = arrived_at - limit.age
            if stated_at > server.rate_limit.stated_at:
                self._dispatcher.state_rate_limit(
                    server, limit.rate, stated_at, is_first_hand=False
                )
            if limit.rate is not None:
                self._reported_at[server.name] = now

    def expire(self):
        """End the limits that no instance reports and no request here can renew."""
        for server in self._list_tracked():
            limit = server.rate_limit
            is_old = self._compute_report_age(server) > _EXPIRY_SECONDS
            is_renewed = limit.is_first_hand and limit.has_share
            if is_old and limit.rate is not None and not is_renewed:
                self._dispatcher.state_rate_limit(
                    server, None, limit.stated_at, is_first_hand=False
                )

    def _compute_report_age(self, server):
        """Return the time since the limit of a server was last reported, in seconds."""
        reported_at = self._reported_at.get(server.name)
        if reported_at is None:
            return read_elapsed_time() - server.rate_limit.stated_at
        return trio.current_time() - reported_at

    def _list_tracked(self):
        oldest = trio.current_time() - _END_REPORTED_SECONDS
        self._ended_at = {
            name: ended_at
            for name, ended_at in self._ended_at.items()
            if ended_at is None or ended_at > oldest
        }
        self._reported_at = {
            name: reported_at
            for name, reported_at in self._reported_at.items()
            if name in self._ended_at
        }
        return self._find_servers(self._ended_at)

    def _find_servers(self, names):
        """Return the servers whose limit is known; a replaced one has stated none."""
        servers = [self._dispatcher.find_server(name) for name in names]
        return [server for server in servers if server and server.rate_limit.is_stated]

    def _make_limits(self, servers):
        now = read_elapsed_time()
        limits = [
            StatedLimit(
                server.name, server.rate_limit.rate, now - server.rate_limit.stated_at
            )
            for server in servers
        ]
        return tuple(limits[:_MAX_LIMITS])
