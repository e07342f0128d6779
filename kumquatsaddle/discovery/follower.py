"""Keeps the published routes and the list of backend servers up to date.

One instance of each zone watches the store and tells the others its versions; they
fetch from it what changed. An instance that hears of no recent read watches the store
itself, so that the loss of any instances costs only calls.
"""

import trio

from kumquatsaddle.discovery.servers import ListedRow, ServerDirectory
from kumquatsaddle.discovery.store import RouteRow
from kumquatsaddle.exceptions import (
    ConfigurationError,
    HistoryLostError,
    MessageError,
    PlatformUnavailableError,
)
from kumquatsaddle.logs import log_event
from kumquatsaddle.sharing.messages import RowText, Update
from kumquatsaddle.sharing.schedule import RECENT_AGE

__all__ = ["Follower", "make_follower"]

# Longest time in seconds that the store holds a watch without a change. It is also
# the age of the view of an instance that watches.
_WATCH_TIME = 1.0
# Time in seconds by which each further instance of a zone waits longer before it
# watches the store itself.
_TURN = 0.12
_MOST_TURNS = 6
# Time in seconds between looks at the peers.
_LOOK_INTERVAL = 0.15
# Pause in seconds after a failed call, doubled up to the longest.
_SHORTEST_PAUSE, _LONGEST_PAUSE = 0.15, 0.6
# Shortest time in seconds between two calls for one table, so that changes in quick
# succession share a call.
_CALL_INTERVAL = 0.25
# Time in seconds after a loss of history for which reads are confirmed.
_CONFIRM_TIME = 8.0
# Time in seconds for a peer to answer a fetch.
_FETCH_TIMEOUT = 0.6
# Pause in seconds between two rounds of fetches.
_FETCH_PAUSE = 0.01


class _Table:
    """How one table is read: routes or servers."""

    def __init__(self, name, read, watch, confirm, apply_whole, apply_changes):
        self.name = name
        self.read = read
        self.watch = watch
        self.confirm = confirm
        self.apply_whole = apply_whole
        self.apply_changes = apply_changes
        self.version = None
        self.read_at = float("-inf")
        self.confirm_until = float("-inf")
        self.watching = False


class Follower:
    """Follows the store, directly or through a peer.

    Parameters
    ----------
    store : DiscoveryStore
    peers : PeerTable
    on_servers : callable
        Async; called with the list of `ServerRecord` when it has changed.
    on_routes : callable
        Called with the new `RouteTable`.
    clock : callable, default=trio.current_time
    """

    def __init__(self, store, peers, on_servers, on_routes, clock=trio.current_time):
        self.servers = ServerDirectory()
        self.routes = None
        self.routes_row = None
        self.exchange = None
        self._store = store
        self._peers = peers
        self._on_servers = on_servers
        self._on_routes = on_routes
        self._clock = clock
        self._store_works = True
        self._wanted = trio.Event()
        self._alone_since = None
        self._tables = (
            _Table(
                "routes",
                store.read_routes,
                store.watch_routes,
                store.confirm_routes,
                self._take_routes,
                self._take_routes,
            ),
            _Table(
                "servers",
                store.read_servers,
                store.watch_servers,
                lambda: store.confirm_servers(self.servers.list_keys()),
                self._take_whole_list,
                self._take_changes,
            ),
        )

    def is_ready(self):
        """Return whether requests can be answered."""
        return self.routes is not None and self.servers.version > 0

    def measure_read_age(self):
        """Return how old the view from the store itself is, in seconds."""
        return self._clock() - min(table.read_at for table in self._tables)

    def note_versions(self, peer):
        """Fetch from a peer if it knows something newer."""
        if self._is_newer(peer.report):
            self._wanted.set()

    def make_update(self, fetch):
        """Return the answer to a `Fetch` of a peer."""
        row = self.routes_row
        newer = row is not None and row.version > fetch.routes_after
        return Update(
            routes_version=row.version if row is not None else 0,
            routes=row.text if newer else b"",
            servers_version=self.servers.content_version,
            rows=tuple(
                RowText(row.key, row.version, row.removed, row.text)
                for row in self.servers.list_changes(fetch.servers_after)
            ),
            instances=tuple(self._peers.instances.values())
            if fetch.wants_instances
            else (),
        )

    async def run(self):
        """Follow the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_peers)
            while True:
                if self.servers.expire_lapsed(self._clock()):
                    await self._tell_servers()
                for table in self._tables:
                    if not table.watching and self._should_read(table):
                        table.watching = True
                        nursery.start_soon(self._watch, table)
                await trio.sleep(_LOOK_INTERVAL)

    async def _watch(self, table):
        """Watch a table of the store as long as no peer does so for this instance."""
        pause = _SHORTEST_PAUSE
        try:
            while self._should_read(table):
                started = self._clock()
                try:
                    await self._read(table)
                except PlatformUnavailableError as error:
                    self._note_failure(table, error)
                    await trio.sleep(pause)
                    pause = min(2 * pause, _LONGEST_PAUSE)
                    continue
                except HistoryLostError:
                    log_event(
                        "store_history_lost", table=table.name, after=table.version
                    )
                    table.version = None
                    table.confirm_until = self._clock() + _CONFIRM_TIME
                    await trio.sleep(_SHORTEST_PAUSE)
                    continue
                pause = _SHORTEST_PAUSE
                self._note_success(table)
                await trio.sleep(max(0.0, started + _CALL_INTERVAL - self._clock()))
        finally:
            table.watching = False

    async def _read(self, table):
        if table.version is None:
            snapshot = await table.read()
            await table.apply_whole(snapshot)
        else:
            snapshot = await table.watch(table.version, _WATCH_TIME)
            await table.apply_changes(snapshot)
        if table.confirm_until > self._clock():
            # The read after the loss of history may have been stale.
            await table.apply_changes(await table.confirm())
        table.version = max(table.version or 0, snapshot.version)

    def _should_read(self, table):
        """Return whether this instance has to watch the store itself."""
        if table.version is None or not self.is_ready():
            return True
        now = self._clock()
        alive = self._peers.list_alive()
        recent = [
            peer.record.name
            for peer in alive
            if peer.measure_read_age(now) < RECENT_AGE
        ]
        own = self._peers.own.name
        if any(name < own for name in recent):
            self._alone_since = None
            return False
        if recent and now - table.read_at > RECENT_AGE:
            # A later instance watches; it goes on, so that one loss moves no others.
            return False
        if not recent and now - table.read_at > RECENT_AGE:
            if self._alone_since is None:
                self._alone_since = now
            before = sum(peer.record.name < own for peer in alive)
            turn = min(before, _MOST_TURNS) * _TURN
            return now - self._alone_since >= turn
        return True

    def _note_failure(self, table, error):
        now = self._clock()
        self.servers.note_outage(now)
        if self._store_works:
            self._store_works = False
            log_event("store_lost", level="WARNING", table=table.name, error=error)

    def _note_success(self, table):
        now = self._clock()
        table.read_at = now
        if not self._store_works:
            self._store_works = True
            log_event("store_regained", table=table.name, version=table.version)
        self.servers.note_return(now)

    async def _take_whole_list(self, snapshot):
        if self.servers.apply_whole(snapshot.rows, snapshot.version, self._clock()):
            await self._tell_servers()
            self._tell_peers()

    async def _take_changes(self, snapshot):
        if self.servers.apply_changes(snapshot.rows, snapshot.version, self._clock()):
            await self._tell_servers()
            self._tell_peers()

    async def _tell_servers(self):
        await self._on_servers(self.servers.list_records())

    def _tell_peers(self):
        """Report what the store has just said; what a peer told, it reports itself."""
        if self.exchange is not None:
            self.exchange.report_now()

    async def _take_routes(self, snapshot):
        known = self.routes_row
        for row in snapshot.rows:
            self._apply_routes(row)
        if self.routes_row is not known:
            self._tell_peers()

    def _apply_routes(self, row):
        known = self.routes_row
        if known is not None and row.version <= known.version:
            return
        try:
            routes = self._store.parse_routes(row.text)
        except ConfigurationError as error:
            log_event("routes_refused", level="ERROR", version=row.version, error=error)
            return
        if self.routes is not None and routes.version <= self.routes.version:
            log_event(
                "routes_refused",
                level="ERROR",
                version=row.version,
                error=f"{routes.version} is not above {self.routes.version}",
            )
            return
        self.routes, self.routes_row = routes, row
        log_event("routes_in_force", version=routes.version, row=row.version)
        self._on_routes(routes)

    def _is_newer(self, report):
        if report.servers_version > self.servers.content_version:
            return True
        known = self.routes_row.version if self.routes_row is not None else 0
        return report.routes_version > known

    async def _follow_peers(self):
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            newer = [
                peer for peer in self._peers.list_alive() if self._is_newer(peer.report)
            ]
            for peer in newer:
                await self._fetch(peer.record.control)
                if not self._is_newer(peer.report):
                    break
            if newer:
                await trio.sleep(_FETCH_PAUSE)

    async def _fetch(self, address, wants_instances=False):
        """Take over what an instance knows; return whether it answered."""
        known = self.routes_row.version if self.routes_row is not None else 0
        after = self.servers.content_version
        try:
            update = await self.exchange.fetch(
                address, known, after, _FETCH_TIMEOUT, wants_instances
            )
        except MessageError as error:
            log_event("fetch_failed", level="WARNING", error=error)
            return False
        await self._apply_update(update)
        return True

    async def _apply_update(self, update):
        now = self._clock()
        for record in update.instances:
            self._peers.add_instance(record, now)
        if update.routes:
            self._apply_routes(RouteRow(update.routes_version, update.routes))
        rows = [self._parse_row(row) for row in update.rows]
        if self.servers.apply_changes(rows, update.servers_version, now):
            await self._tell_servers()

    def _parse_row(self, row):
        record = None
        if not row.removed:
            try:
                record = self._store.parse_server(row.key, row.text)
            except ConfigurationError as error:
                log_event("backend_entry_invalid", backend=row.key, error=error)
        return ListedRow(row.key, row.version, record, row.removed, row.text)

    async def join(self, addresses):
        """Take over the view of the first instance that answers."""
        for address in addresses:
            if await self._fetch(address, wants_instances=True):
                return True
        return False


def make_follower(store, peers, on_servers, on_routes):
    """Return a follower; see `Follower`."""
    return Follower(store, peers, on_servers, on_routes)
