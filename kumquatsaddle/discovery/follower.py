"""Keeps the published routes and the list of backend servers up to date.

One instance of each zone watches the store and reports its versions to the others,
which fetch the changes from it. An instance that learns of no recent read by a peer
watches the store itself, so the loss of other instances only costs additional calls;
`kumquatsaddle.discovery.reading` says when. One that cannot fetch new routes reads them
from the store.
"""

from dataclasses import replace

import trio

from kumquatsaddle.clocks import read_suspended_seconds
from kumquatsaddle.discovery.contact import StoreContact
from kumquatsaddle.discovery.knowledge import StoreKnowledge
from kumquatsaddle.discovery.reading import (
    MIN_CALL_INTERVAL_SECONDS,
    StoreTable,
    WatchCycle,
    compute_check_pause,
    find_known_read,
    find_read_due,
    has_earlier_reader,
    log_reading_started,
)
from kumquatsaddle.exceptions import (
    HistoryLostError,
    MessageError,
    PlatformUnavailableError,
    StoreRestoredError,
)
from kumquatsaddle.logs import log_event
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.sharing.schedule import RECENT_AGE_SECONDS

__all__ = ["Follower", "make_follower"]

# The delay after a failed call doubles with each failure.
_MIN_RETRY_DELAY_SECONDS = 0.15
_MAX_RETRY_DELAY_SECONDS = 0.6
# How long reads are confirmed after a loss of history.
_CONFIRM_READS_SECONDS = 8.0
_FETCH_TIMEOUT_SECONDS = 0.6
# Between two rounds of fetches from peers.
_FETCH_PAUSE_SECONDS = 0.01


class Follower:
    """Follows changes of the store, either directly or through a peer.

    Parameters
    ----------
    store : DiscoveryStore
    peers : PeerTable
    on_servers : callable
        Async; called with the list of `ServerRecord` when it has changed.
    on_routes : callable
        Called with the new `RouteTable` when it has changed.
    clock : callable, default=trio.current_time
    metrics : Metrics, optional

    Attributes
    ----------
    knowledge : StoreKnowledge
    exchange : ZoneExchange or None
        Fetches from peers; set by the owner of the follower.
    contact : StoreContact
    """

    def __init__(
        self,
        store,
        peers,
        on_servers,
        on_routes,
        clock=trio.current_time,
        metrics=None,
    ):
        self._metrics = metrics or make_metrics()
        self.knowledge = StoreKnowledge(store, self._metrics, clock)
        self.exchange = None
        self.contact = StoreContact()
        self._store = store
        self._peers = peers
        self._on_servers = on_servers
        self._on_routes = on_routes
        self._clock = clock
        self._store_available = True
        self._fetch_needed = trio.Event()
        self._cycle = WatchCycle(clock)
        self._known_read_at = float("-inf")
        self._tables = (
            StoreTable(
                "routes",
                store.read_routes,
                store.watch_routes,
                store.confirm_routes,
                self._apply_route_snapshot,
                self._apply_route_snapshot,
            ),
            StoreTable(
                "servers",
                store.read_servers,
                store.watch_servers,
                self._confirm_servers,
                self._apply_server_snapshot,
                self._apply_server_changes,
            ),
        )

    @property
    def epoch(self):
        """The latest `StoreEpoch` that was heard of."""
        return self.knowledge.epoch

    @property
    def servers(self):
        """The `ServerDirectory`."""
        return self.knowledge.servers

    @property
    def route_directory(self):
        """The `RouteDirectory`."""
        return self.knowledge.routes

    @property
    def routes(self):
        """The `RouteTable` in force, or None."""
        return self.route_directory.table

    @property
    def routes_row(self):
        """The `RouteRow` of the routes in force, or None."""
        return self.route_directory.row

    def is_ready(self):
        """Return whether the routes and the list of servers are known."""
        return self.routes is not None and self.servers.is_known

    def get_read_age(self):
        """Return how long ago this instance last read both tables, in seconds."""
        now = self._clock() + read_suspended_seconds()
        return max(now - t.read_at - t.suspended_seconds for t in self._tables)

    def fetch_if_newer(self, peer):
        """Trigger a fetch if the report of a peer shows newer versions."""
        self.knowledge.hear_report(peer.report)
        self.record_peer_answer(peer.report)
        if self.knowledge.has_newer_versions(peer.report):
            self._fetch_needed.set()

    def record_peer_answer(self, report):
        """Record how long ago the store answered another instance."""
        now, age = self._clock(), report.read_age
        self.servers.outages.record_peer_answer(now - age, now)
        if report.store_epoch == self.epoch:
            has_newer_routes = self.knowledge.has_newer_routes(report)
            self.contact.record_peer_answer(age, has_newer_routes)

    def make_update(self, fetch):
        """Return the `Update` that answers a `Fetch` of a peer."""
        update = self.knowledge.make_update(fetch)
        if not fetch.wants_instances:
            return update
        return replace(update, instances=tuple(self._peers.instances.values()))

    async def run(self):
        """Follow the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._fetch_from_peers)
            while True:
                now, read_due = self._clock(), self._find_read_due()
                has_lapsed = self.servers.expire_kept(now)
                if self.servers.accept_late(self._known_read_at, now) or has_lapsed:
                    await self._publish_servers()
                for table in self._tables:
                    if not table.watching and self._should_read(table):
                        table.watching = True
                        nursery.start_soon(self._watch, table)
                remaining = read_due - self._clock()
                await trio.sleep(compute_check_pause(remaining))

    async def _watch(self, table):
        """Watch a table of the store until a peer reads it for this instance."""
        retry_delay = _MIN_RETRY_DELAY_SECONDS
        log_reading_started(table, self._peers, self._clock(), self._find_read_due())
        self._metrics.count("store_readings_started", table=table.name)
        try:
            while self._should_read(table):
                try:
                    answer = await self._read(table)
                except PlatformUnavailableError as error:
                    self._record_store_failure(table, error)
                    await trio.sleep(retry_delay)
                    retry_delay = min(2 * retry_delay, _MAX_RETRY_DELAY_SECONDS)
                    continue
                except StoreRestoredError:
                    # The whole table is read at once.
                    self._count_call(table, "restored")
                    continue
                except HistoryLostError:
                    is_first = table.position is not None
                    self._count_call(table, "history_lost")
                    log_event(
                        "store_history_lost",
                        table=table.name,
                        after=table.position.version if is_first else None,
                    )
                    table.position = None
                    table.confirm_until = self._clock() + _CONFIRM_READS_SECONDS
                    # The whole table is read at once: a change may be due by now.
                    if not is_first:
                        await trio.sleep(_MIN_RETRY_DELAY_SECONDS)
                    continue
                retry_delay = _MIN_RETRY_DELAY_SECONDS
                self._record_store_success(table, answer)
                next_call_at = answer.called_at + MIN_CALL_INTERVAL_SECONDS
                await trio.sleep(max(0.0, next_call_at - self._clock()))
        finally:
            table.watching = False

    async def _read(self, table):
        """Read what is new in a table; return the `StoreAnswer`."""
        answer = await table.call(self._cycle, self._clock, self.epoch)
        position = answer.snapshot.position
        self.knowledge.check_epoch(position)
        self.servers.outages.record_own_answer(answer.received_at)
        if not answer.is_whole and table.position.epoch != position.epoch:
            raise StoreRestoredError(f"{table.name}: no changes since {table.position}")
        # An answer that is received after a pause may have arrived at its start.
        pause = min(
            answer.received_at - answer.called_at, self.contact.get_arrival_delay()
        )
        answer = replace(answer, delay=max(answer.delay, pause))
        if answer.is_whole:
            await table.apply_snapshot(answer.snapshot)
        else:
            await table.apply_changes(answer.snapshot)
        if table.confirm_until > self._clock():
            # The read after the loss of history may have been stale.
            await self._confirm(table, position.epoch)
        is_later = answer.is_whole or table.position < position
        table.position = position if is_later else table.position
        return answer

    async def _confirm(self, table, epoch):
        """Apply the current rows of a table that was read in an epoch of the store."""
        snapshot = await table.confirm()
        if snapshot is None:
            return
        self.knowledge.check_epoch(snapshot.position)
        if snapshot.position.epoch != epoch:
            raise StoreRestoredError(f"{table.name}: not confirmed in epoch {epoch}")
        await table.apply_changes(snapshot)

    async def _confirm_servers(self):
        """Return the current entries of the known servers; None if there are none."""
        keys = self.servers.list_keys()
        return await self._store.confirm_servers(keys) if keys else None

    def _should_read(self, table):
        """Return whether this instance has to read the store itself."""
        if table.position is None or not self.is_ready():
            return True
        now = self._clock()
        is_reader = now - table.read_at <= RECENT_AGE_SECONDS
        # The first of several readers remains. One that is alone remains as well when
        # an earlier instance returns, so that the loss of one causes only one change.
        if is_reader and not has_earlier_reader(self._peers, now, self.epoch):
            return True
        return now >= self._find_read_due()

    def _find_read_due(self):
        # What was known stays known while newer versions are being fetched.
        own_read_at = min(table.read_at for table in self._tables)
        peer_read_at = find_known_read(self._peers, self.knowledge.is_unknown)
        self._known_read_at = max(self._known_read_at, own_read_at, peer_read_at)
        return find_read_due(self._peers, self._known_read_at)

    def _count_call(self, table, result):
        self._metrics.count("store_calls", table=table.name, result=result)

    def _record_store_failure(self, table, error):
        self._count_call(table, "failed")
        if self._store_available:
            self._store_available = False
            log_event("store_lost", level="WARNING", table=table.name, error=error)

    def _record_store_success(self, table, answer):
        self._count_call(table, "answered")
        table.read_at = answer.received_at - answer.delay
        table.suspended_seconds = read_suspended_seconds()
        if table.name == "routes":
            self.contact.record_own_answer(self._clock() - answer.called_at)
        oldest_read_at = min(table.read_at for table in self._tables)
        if self._cycle.is_report_due(oldest_read_at) and self.exchange is not None:
            self.exchange.report_read()
        if not self._store_available:
            self._store_available = True
            log_event(
                "store_regained", table=table.name, version=table.position.version
            )

    async def _apply_server_snapshot(self, snapshot):
        if self.servers.apply_snapshot(snapshot.rows, snapshot.position, self._clock()):
            await self._publish_servers()
            self._report_to_peers()

    async def _apply_server_changes(self, snapshot):
        if self.servers.apply_changes(snapshot.rows, snapshot.position, self._clock()):
            await self._publish_servers()
            self._report_to_peers()

    async def _publish_servers(self):
        await self._on_servers(self.servers.list_records())

    def _report_to_peers(self):
        """Report a change read from the store, not one fetched from a peer."""
        if self.exchange is not None:
            self.exchange.report_now()

    async def _apply_route_snapshot(self, snapshot):
        known = self.routes_row
        for row in snapshot.rows:
            self._apply_route_row(row)
        if not snapshot.rows:
            self.route_directory.record_absence()
        if self.routes_row is not known:
            self._report_to_peers()

    def _apply_route_row(self, row):
        if self.route_directory.apply(row):
            self._on_routes(self.routes)

    async def _read_routes(self):
        """Read the routes from the store once, without watching it."""
        try:
            snapshot = await self._store.read_routes()
            self.knowledge.check_epoch(snapshot.position)
        except PlatformUnavailableError as error:
            log_event("routes_unread", level="WARNING", error=error)
            return
        for row in snapshot.rows:
            self._apply_route_row(row)

    async def _fetch_from_peers(self):
        while True:
            await self._fetch_needed.wait()
            self._fetch_needed = trio.Event()
            newer = [
                peer
                for peer in self._peers.list_alive()
                if self.knowledge.has_newer_versions(peer.report)
            ]
            for peer in newer:
                fetched = await self._fetch(peer.record.control)
                if not fetched and self.knowledge.has_newer_routes(peer.report):
                    await self._read_routes()
                if not self.knowledge.has_newer_versions(peer.report):
                    break
            if newer:
                await trio.sleep(_FETCH_PAUSE_SECONDS)

    async def _fetch(self, address, wants_instances=False):
        """Fetch and apply what an instance knows; return whether it answered."""
        fetch = self.knowledge.make_fetch(self._peers.own.name, wants_instances)
        try:
            update = await self.exchange.fetch(address, fetch, _FETCH_TIMEOUT_SECONDS)
        except MessageError as error:
            self._metrics.count("fetches_failed")
            log_event("fetch_failed", level="WARNING", error=error)
            return False
        await self._apply_update(update)
        return True

    async def _apply_update(self, update):
        for record in update.instances:
            self._peers.add_instance(record, self._clock())
        if self.knowledge.apply_routes(update):
            self._on_routes(self.routes)
        if self.knowledge.apply_servers(update):
            await self._publish_servers()

    async def fetch_from_any(self, addresses):
        """Fetch from the first instance that answers; return whether one did."""
        for address in addresses:
            if await self._fetch(address, wants_instances=True):
                return True
        return False


def make_follower(store, peers, on_servers, on_routes, metrics=None):
    """Return a follower; see `Follower`."""
    return Follower(store, peers, on_servers, on_routes, metrics=metrics)
