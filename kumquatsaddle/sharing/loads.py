"""Loads of backend servers as this instance, its peers and other zones report them.

Reports carry cumulative totals of observations, so a lost report is made up for by the
next one: the new observations are the difference from the totals reported before.
"""

import trio

from kumquatsaddle.sharing.messages import (
    REPORTED_OBSERVATIONS,
    ServerLoad,
)

__all__ = ["OwnLoads", "RemoteLoads"]

# How long a server is included in reports after its last change.
_REPORTED_AFTER_CHANGE_SECONDS = 2.0
# Loads in one datagram; the busiest servers are kept.
_MAX_LOADS = 200
# Observations of one kind in one report that are applied to a server.
_MAX_APPLIED_OBSERVATIONS = 5
_ZERO_COUNTS = (0,) * len(REPORTED_OBSERVATIONS)


class OwnLoads:
    """The loads that this instance reports.

    Parameters
    ----------
    dispatcher : BalancedDispatcher

    Attributes
    ----------
    changed : set of BackendId
        Servers that have changed since the last report.
    """

    def __init__(self, dispatcher):
        self.changed = set()
        self._dispatcher = dispatcher
        self._changed_at = {}

    def mark_changed(self, server, now):
        """Mark a server whose load or observations have changed."""
        self.changed.add(server.name)
        self._changed_at[server.name] = now

    def pop_changes(self):
        """Return the `ServerLoad` of the changed servers and clear the set."""
        changed, self.changed = self.changed, set()
        now = trio.current_time()
        servers = (self._dispatcher.find_server(name) for name in changed)
        return [_make_load(server, now) for server in servers if server]

    def list_recent(self):
        """Return the `ServerLoad` of the servers that are in use or changed lately."""
        now = trio.current_time()
        self._changed_at = {
            name: time
            for name, time in self._changed_at.items()
            if time > now - _REPORTED_AFTER_CHANGE_SECONDS
        }
        return self._list_loads(
            lambda server: server.own_in_flight or server.name in self._changed_at, now
        )

    def list_all_used(self):
        """Return the `ServerLoad` of all servers that this instance ever used."""
        return self._list_loads(
            lambda server: server.own_in_flight or any(server.counts.values()),
            trio.current_time(),
        )

    def _list_loads(self, is_reported, now):
        servers = filter(is_reported, self._dispatcher.list_servers())
        loads = [_make_load(server, now) for server in servers]
        if len(loads) > _MAX_LOADS:
            loads.sort(key=lambda load: -load.in_flight)
        return loads[:_MAX_LOADS]


class RemoteLoads:
    """The loads reported last by each peer or other zone.

    Parameters
    ----------
    dispatcher : BalancedDispatcher
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher
        # Servers at which a peer or zone last reported requests in flight, by its key.
        self._loaded_servers = {}

    def apply(self, key, counts, report, now):
        """Apply a report of a peer or zone to the dispatcher.

        Parameters
        ----------
        key : str
            Of the peer or zone.
        counts : dict of BackendId to tuple of int
            The totals that it reported before; updated in place.
        report : Report
        now : float
            On the clock of trio, in seconds.

        Returns
        -------
        list of (BalancedServer, Observation, int)
            The new observations of each server and kind, with their number.
        """
        wake_needed, observed = False, []
        before = self._loaded_servers.get(key, frozenset())
        loaded = {load.server for load in report.loads if load.in_flight}
        named = {load.server for load in report.loads}
        self._loaded_servers[key] = before | loaded if report.partial else loaded
        for load in report.loads:
            server = self._dispatcher.find_server(load.server)
            if server is None:
                continue
            wake_needed |= server.set_reported_in_flight(
                key, load.in_flight, load.past_fast_failure
            )
            observed += _apply_counts(counts, server, load, now)
        if not report.partial:
            for name in before - named:
                server = self._dispatcher.find_server(name)
                if server is not None:
                    wake_needed |= server.set_reported_in_flight(key, 0)
        if wake_needed or observed:
            self._wake_waiting_requests()
        return observed

    def drop(self, key):
        """Drop the loads of a peer or zone that has become silent."""
        self._loaded_servers.pop(key, None)
        for server in self._dispatcher.list_servers():
            server.set_reported_in_flight(key, 0)
        self._wake_waiting_requests()

    def _wake_waiting_requests(self):
        for pool in self._dispatcher.pools.values():
            if pool.count_waiting():
                pool.assign_waiting()


def _make_load(server, now):
    return ServerLoad(
        server.name,
        server.own_in_flight,
        tuple(server.counts[kind] for kind in REPORTED_OBSERVATIONS),
        server.count_own_past_fast_failure(now),
    )


def _apply_counts(known, server, load, now):
    """Apply the observations that a peer or zone made since its last report.

    Returns
    -------
    list of (BalancedServer, Observation, int)
    """
    before = known.get(load.server, _ZERO_COUNTS)
    if before == load.counts:
        return []
    known[load.server] = load.counts
    if any(a < b for a, b in zip(load.counts, before, strict=True)):
        # Totals that fell were counted from zero again, so all of them are new.
        new = load.counts
    else:
        new = [a - b for a, b in zip(load.counts, before, strict=True)]
    observed = []
    for kind, number in zip(REPORTED_OBSERVATIONS, new, strict=True):
        number = min(number, _MAX_APPLIED_OBSERVATIONS)
        for _ in range(number):
            server.observe(now, kind)
        if number:
            observed.append((server, kind, number))
    return observed
