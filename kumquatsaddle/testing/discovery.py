"""Stand-ins for the store and the peers of followers."""

from ast import literal_eval
from dataclasses import replace

import trio

from kumquatsaddle.discovery.follower import make_follower
from kumquatsaddle.discovery.listed_rows import ListedRow
from kumquatsaddle.discovery.positions import NO_EPOCH, StorePosition
from kumquatsaddle.discovery.records import InstanceRecord, ServerRecord
from kumquatsaddle.discovery.store import RouteRow, Snapshot
from kumquatsaddle.exceptions import (
    ConfigurationError,
    HistoryLostError,
    MessageError,
    PlatformUnavailableError,
)
from kumquatsaddle.routes import make_route_table
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.sharing.messages import Report
from kumquatsaddle.sharing.peers import PeerTable
from kumquatsaddle.sharing.update_messages import (
    decode_update,
    encode_update,
)

__all__ = [
    "RECORD",
    "FollowerFleet",
    "MemoryStore",
    "PartitionedStore",
    "decode_record",
    "encode_record",
    "make_instance",
    "make_listed_row",
    "make_snapshot",
]

RECORD = ServerRecord("a", 1, "s", Address("127.0.0.1", 1), "z", 6, False)
_REPORT_INTERVAL_SECONDS = 0.4
_CALL_TIMEOUT_SECONDS = 1.9


def make_instance(name, port=2):
    """Return the record of an instance."""
    address = Address("127.0.0.1", port)
    return InstanceRecord(name, "z", address, address)


def encode_record(record):
    """Return the text of an entry from which `decode_record` makes the record."""
    fields = (record.started_at_ms, record.sequence, record.draining, record.slots)
    return repr(fields).encode()


def decode_record(key, text):
    """Return the record in a text made by `encode_record`, or one with the key."""
    if not text.startswith(b"("):
        return replace(RECORD, name=key)
    started_at_ms, sequence, draining, slots = literal_eval(text.decode())
    return replace(
        RECORD,
        name=key,
        started_at_ms=started_at_ms,
        sequence=sequence,
        draining=draining,
        slots=slots,
    )


def make_listed_row(name, version, removed=False):
    """Return a row of the list of servers."""
    record = None if removed else replace(RECORD, name=name)
    return ListedRow(name, version, record, removed, text=name.encode())


def make_snapshot(rows, version, epoch=NO_EPOCH):
    """Return a snapshot of rows as of a version."""
    return Snapshot(rows, StorePosition(epoch, version))


class MemoryStore:
    """An in-memory store whose watches wait on the clock of the test.

    Attributes
    ----------
    epoch : StoreEpoch
        0 until it has come back from a copy or a test sets it.
    calls : list of float
        When it was called.
    full_reads : list of float
        When all servers were read.
    stale_rows : tuple of list, or None
        Servers and routes that reads return in place of the current ones.
    """

    def __init__(self):
        self.epoch = NO_EPOCH
        self.version = 1
        self.history_start = 0
        self.rows = [ListedRow("a", 1, RECORD)]
        self.routes = [RouteRow(1, b"7")]
        self.calls = []
        self.full_reads = []
        self.stale_rows = None

    def write_server(self, name, removed=False):
        """Write or remove the entry of a server."""
        self.version += 1
        others = [row for row in self.rows if row.key != name]
        self.rows = [*others, make_listed_row(name, self.version, removed)]

    def publish(self, draining=None, routes=None):
        """Write whether server "a" drains, or new routes."""
        self.version += 1
        if draining is not None:
            record = replace(RECORD, draining=draining)
            self.rows = [ListedRow("a", self.version, record)]
        if routes is not None:
            self.routes = [RouteRow(self.version, routes)]

    def write_record(self, record):
        """Write the entry of a server with a record of its own."""
        self.version += 1
        others = [row for row in self.rows if row.key != record.name]
        text = encode_record(record)
        row = ListedRow(record.name, self.version, record, text=text)
        self.rows = [*others, row]

    def copy(self):
        """Return a copy of the rows, for `restore`."""
        return self.version, list(self.rows), list(self.routes)

    def restore(self, copied):
        """Come back from a copy."""
        self.version, rows, routes = copied
        self.rows, self.routes = list(rows), list(routes)
        self.epoch += 1

    async def read_servers(self):
        """Return all servers."""
        self.full_reads.append(trio.current_time())
        return self._read(self.rows if self.stale_rows is None else self.stale_rows[0])

    async def read_routes(self):
        """Return the routes."""
        return self._read(
            self.routes if self.stale_rows is None else self.stale_rows[1]
        )

    async def confirm_servers(self, keys):
        """Return the current entries of some servers."""
        return self._read([row for row in self.rows if row.key in keys])

    async def confirm_routes(self):
        """Return the current routes."""
        return self._read(self.routes)

    async def watch_servers(self, after, wait):
        """Return the servers that changed after a version."""
        return await self._watch(lambda: self.rows, after, wait)

    async def watch_routes(self, after, wait):
        """Return the routes if they changed after a version."""
        return await self._watch(lambda: self.routes, after, wait)

    def parse_routes(self, text):
        """Return a table whose version is the text."""
        if not text.isdigit():
            raise ConfigurationError("routes are not a number")
        return make_route_table(int(text), [], {})

    def parse_published_routes(self, text):
        """Return the table and the text, which has no API keys."""
        return self.parse_routes(text), text

    def parse_server(self, key, text):
        """Return the record of a server."""
        return replace(RECORD, draining=text == b"draining")

    def _read(self, rows):
        self.calls.append(trio.current_time())
        return self._make_snapshot(rows)

    def _make_snapshot(self, rows):
        rows = [
            replace(row, epoch=self.epoch) if isinstance(row, RouteRow) else row
            for row in rows
        ]
        return make_snapshot(rows, self.version, self.epoch)

    async def _watch(self, get_rows, after, wait):
        self.calls.append(trio.current_time())
        end = trio.current_time() + wait
        while True:
            if not self.history_start <= after <= self.version:
                raise HistoryLostError("changes are no longer stored")
            new = [row for row in get_rows() if row.version > after]
            if new or trio.current_time() >= end:
                return self._make_snapshot(new)
            await trio.sleep(0.05)


class PartitionedStore:
    """The store as one instance reaches it.

    Parameters
    ----------
    store : MemoryStore
    """

    def __init__(self, store):
        self._store = store
        self._is_cut = False
        self._is_silent = False
        self._calls = set()
        # Delay of each answer, in seconds.
        self.delay = 0.0
        # Called without arguments before each call.
        self.on_call = lambda: None

    def silence(self):
        """Answer no call any more, neither those in progress nor further ones."""
        self._is_silent = True

    def cut(self):
        """Break the calls in progress and fail the further ones."""
        self._is_cut = True
        for scope in self._calls:
            scope.cancel()

    def heal(self):
        """Let calls pass again."""
        self._is_cut = False

    def __getattr__(self, name):
        method = getattr(self._store, name)
        if name.startswith("parse_"):
            return method

        async def call(*arguments):
            self.on_call()
            if self._is_cut:
                raise PlatformUnavailableError("no path to the store")
            with trio.CancelScope() as scope:
                self._calls.add(scope)
                try:
                    with trio.move_on_after(_CALL_TIMEOUT_SECONDS):
                        answer = await method(*arguments)
                        await trio.sleep(self.delay)
                        if not self._is_silent:
                            return answer
                        await trio.sleep_forever()
                finally:
                    self._calls.remove(scope)
            raise PlatformUnavailableError("the call was cut off")

        return call


class _FleetExchange:
    """Fetches from the followers of a fleet directly."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def report_now(self):
        """Report at the next interval, as if this report were lost."""

    def report_read(self):
        """Report to all."""
        self._fleet.report(self._name)

    async def fetch(self, address, fetch, timeout):
        """Return the update of the follower at an address."""
        names = [record.name for record in self._fleet.records.values()]
        for name in names:
            if self._fleet.records[name].control == address:
                if self._fleet.silent & {name, self._name}:
                    await trio.sleep(timeout)
                    break
                await trio.sleep(self._fleet.fetch_seconds)
                previous_builds = self._fleet.previous_builds
                if self._name in previous_builds:
                    fetch = replace(fetch, store_epoch=NO_EPOCH, routes_revision=0)
                update = self._fleet.followers[name].make_update(fetch)
                if name in previous_builds:
                    update = replace(update, store_epoch=NO_EPOCH)
                return decode_update(encode_update(update))
        raise MessageError(f"no instance at {address}")


class FollowerFleet:
    """Followers of one zone on one store, which report to each other.

    Parameters
    ----------
    names : sequence of str

    Attributes
    ----------
    store : MemoryStore
    access : dict of str to PartitionedStore
    followers : dict of str to Follower
    silent : set of str
        Instances that neither send nor get reports and answer no fetch.
    previous_builds : set of str
        Instances whose messages tell no epoch of the store.
    """

    def __init__(self, names):
        self.store = MemoryStore()
        self.store.rows = []
        self.store.parse_server = decode_record
        self.records = {
            name: make_instance(name, port) for port, name in enumerate(names, 2)
        }
        self.silent = set()
        # Instances whose messages tell no epoch and no revision.
        self.previous_builds = set()
        # How long a fetch takes.
        self.fetch_seconds = 0.0
        self._sequence = 0
        self._incarnations = dict.fromkeys(names, 1)
        self.access = {name: PartitionedStore(self.store) for name in names}
        self.followers = {name: self._make_follower(name) for name in names}

    def list_servers(self, name):
        """Return the names of the servers that an instance uses, sorted."""
        records = self.followers[name].servers.list_records()
        return sorted(record.name for record in records)

    def restart(self, name, nursery):
        """Replace the follower of an instance by a new one without any state.

        Parameters
        ----------
        name : str
        nursery : trio.Nursery
            Runs the new follower; the old one stays without effect.
        """
        self._incarnations[name] += 1
        self.access[name].cut()
        self.access[name] = PartitionedStore(self.store)
        self.followers[name] = self._make_follower(name)
        nursery.start_soon(self.followers[name].run)

    async def run(self):
        """Run the followers and their reports until cancelled."""
        async with trio.open_nursery() as nursery:
            for follower in self.followers.values():
                nursery.start_soon(follower.run)
            nursery.start_soon(self._report)

    def _make_follower(self, name):
        async def on_servers(records):
            pass

        peers = PeerTable(self.records[name])
        follower = make_follower(
            self.access[name], peers, on_servers, lambda routes: None
        )
        follower.exchange = _FleetExchange(self, name)
        return follower

    async def _report(self):
        while True:
            for name, follower in self.followers.items():
                self.report(name)
                follower._peers.expire(trio.current_time())
            await trio.sleep(_REPORT_INTERVAL_SECONDS)

    def report(self, name):
        """Deliver a report of an instance to all others unless it is silent."""
        if name in self.silent:
            return
        follower = self.followers[name]
        routes = follower.route_directory
        self._sequence += 1
        report = Report(
            self.records[name],
            self._incarnations[name],
            self._sequence,
            True,
            False,
            routes.get_version(follower.epoch),
            follower.servers.content_version,
            min(follower.get_read_age(), 1000.0),
            (),
            interval=_REPORT_INTERVAL_SECONDS,
            store_epoch=follower.epoch,
            routes_revision=routes.revision,
        )
        if name in self.previous_builds:
            report = replace(report, store_epoch=NO_EPOCH, routes_revision=0)
        for other_name, other in self.followers.items():
            if other is not follower and other_name not in self.silent:
                peer = other._peers.accept_report(report, trio.current_time())
                other.fetch_if_newer(peer)
