"""What an instance tells of backend servers, and what peers and other zones tell it.

Reports hold running totals of observations, so that a lost one is made good by the
next: what counts as new is the difference to the totals that were told before.
"""

import trio

from kumquatsaddle.sharing.messages import COUNTED, ServerLoad

__all__ = ["OwnLoads", "ToldLoads"]

# Time in seconds for which a server is reported after its last change.
_REPORTED_TIME = 2.0
# Loads in one datagram; the busiest servers go first.
_MOST_LOADS = 200
# Observations of one kind in one report that count as evidence on a server.
_MOST_COUNTED = 5
_NOTHING = (0,) * len(COUNTED)


class OwnLoads:
    """The loads that this instance tells.

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

    def note_change(self, server, now):
        """Note that the load of a server or the evidence on it has changed."""
        self.changed.add(server.name)
        self._changed_at[server.name] = now

    def take_changes(self):
        """Return the `ServerLoad` of the servers that have changed, once."""
        changed, self.changed = self.changed, set()
        now = trio.current_time()
        servers = (self._dispatcher.find_server(name) for name in changed)
        return [_make_load(server, now) for server in servers if server]

    def list_recent(self):
        """Return the `ServerLoad` of the servers in use."""
        now = trio.current_time()
        self._changed_at = {
            name: time
            for name, time in self._changed_at.items()
            if time > now - _REPORTED_TIME
        }
        return self._list_loads(
            lambda server: server.own_load or server.name in self._changed_at, now
        )

    def list_whole(self):
        """Return the `ServerLoad` of all servers that were ever used."""
        return self._list_loads(
            lambda server: server.own_load or any(server.counts.values()),
            trio.current_time(),
        )

    def _list_loads(self, is_told, now):
        servers = filter(is_told, self._dispatcher.list_servers())
        loads = [_make_load(server, now) for server in servers]
        if len(loads) > _MOST_LOADS:
            loads.sort(key=lambda load: -load.in_flight)
        return loads[:_MOST_LOADS]


class ToldLoads:
    """The loads that were told last, by peer or zone.

    Parameters
    ----------
    dispatcher : BalancedDispatcher
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher
        # Servers at which each peer or zone last told of requests in flight.
        self._loaded = {}

    def apply(self, key, counts, report, now):
        """Take over the loads of a peer or zone.

        Parameters
        ----------
        key : str
            Of the peer or zone.
        counts : dict of BackendId to tuple of int
            The totals that it told before; brought up to date.
        report : Report
        now : float
            On the clock of trio, in seconds.

        Returns
        -------
        list of (BalancedServer, Observation, int)
            Its new observations and their numbers.
        """
        woken, observed = False, []
        before = self._loaded.get(key, frozenset())
        loaded = {load.server for load in report.loads if load.in_flight}
        named = {load.server for load in report.loads}
        self._loaded[key] = before | loaded if report.partial else loaded
        for load in report.loads:
            server = self._dispatcher.find_server(load.server)
            if server is None:
                continue
            woken |= server.set_peer_load(key, load.in_flight, load.started)
            observed += _apply_counts(counts, server, load, now)
        if not report.partial:
            for name in before - named:
                server = self._dispatcher.find_server(name)
                if server is not None:
                    woken |= server.set_peer_load(key, 0)
        if woken or observed:
            self._wake_all()
        return observed

    def drop(self, key):
        """Drop the loads of a peer or zone that has fallen silent."""
        self._loaded.pop(key, None)
        for server in self._dispatcher.list_servers():
            server.set_peer_load(key, 0)
        self._wake_all()

    def _wake_all(self):
        for pool in self._dispatcher.pools.values():
            if pool.waiting():
                pool.wake()


def _make_load(server, now):
    return ServerLoad(
        server.name,
        server.own_load,
        tuple(server.counts[kind] for kind in COUNTED),
        server.count_own_started(now),
    )


def _apply_counts(known, server, load, now):
    """Observe what another instance or zone has seen since its last report.

    Returns
    -------
    list of (BalancedServer, Observation, int)
    """
    before = known.get(load.server, _NOTHING)
    if before == load.counts:
        return []
    known[load.server] = load.counts
    if any(a < b for a, b in zip(load.counts, before, strict=True)):
        new = load.counts
    else:
        new = [a - b for a, b in zip(load.counts, before, strict=True)]
    observed = []
    for kind, number in zip(COUNTED, new, strict=True):
        number = min(number, _MOST_COUNTED)
        for _ in range(number):
            server.observe(now, kind)
        if number:
            observed.append((server, kind, number))
    return observed
