"""Brings every accepted change to every instance.

An instance that hears a higher version fetches the missing changes from the peer that
told it, or from the table, and tells 4 peers as soon as its own version rises. Reads
of the table at intervals are the fallback. Changes are applied strictly in order, so
a stale peer or an old snapshot cannot lower the version.

The list of backend servers has no version. It carries the time of its read by the
platform's clock. A list from a peer replaces one with an earlier time only; a list
read here replaces every list that was held when the read began.
"""

import random

import trio

from kumquatsaddle.configuration.changes import PAGE_ROWS, read_page
from kumquatsaddle.configuration.history import History
from kumquatsaddle.configuration.snapshots import (
    decode_snapshot,
    read_snapshot,
    write_snapshot,
)
from kumquatsaddle.configuration.transport import (
    ChangesReply,
    dump_backends,
    load_backends,
    load_change,
)
from kumquatsaddle.dispatch.peers import PeerError
from kumquatsaddle.exceptions import ConfigurationError, PlatformError
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import ConfigurationRetry

__all__ = ["Distribution", "make_distribution"]

# Peers told at once; 4 reach 520 instances in about 5 rounds.
_ANNOUNCED_PEERS = 4
# Peers asked by a starting instance; enough that not all of them are behind.
_ASKED_AT_START = 8
_ASKED_WHEN_BEHIND = 3
# Limit in seconds for the first read of the platform; peers are asked meanwhile.
_FIRST_READ_TIMEOUT = 15.0
# Pauses in seconds between attempts to catch up, doubled after each failure.
_SHORTEST_PAUSE = 0.1
_LONGEST_PAUSE = 5.0
# Members whose version is remembered.
_MAX_HEARD = 2048


class Distribution:
    """Keeps the configuration and the list of backend servers of one instance.

    Parameters
    ----------
    configuration : Configuration
        Changed only through this object.
    platform : Platform
    transport : GossipTransport
    metrics : Metrics
    poll_interval : callable
        Returns the mean time between reads of the platform, in seconds.
    on_change : callable, optional
        Called after the version or the list has changed.
    rng : random.Random, optional
    """

    def __init__(
        self,
        configuration,
        platform,
        transport,
        metrics,
        poll_interval,
        on_change=lambda: None,
        rng=None,
    ):
        self.configuration = configuration
        self.platform = platform
        self.history = History(configuration)
        self.ready = False
        # The whole list of the platform, and its backend servers with their time.
        self.listed = []
        self.backends = None
        self.listed_at = 0.0
        # Member name to the version it told last and when.
        self.heard = {}
        self._highest_heard = 0
        self._behind_since = None
        self.transport = transport
        self.metrics = metrics
        self._poll_interval = poll_interval
        self._on_change = on_change
        self._rng = rng or random.Random()
        self._wake = trio.Event()
        self._list_generation = 0
        self._due_snapshot = None
        self._snapshot_wake = trio.Event()

    @property
    def version(self):
        """The version in force."""
        return self.configuration.version

    def on_version(self, member, version):
        """Note the version that a member told; wake the fetch if it is higher."""
        self.heard.pop(member, None)
        self.heard[member] = (version, trio.current_time())
        if len(self.heard) > _MAX_HEARD:
            del self.heard[next(iter(self.heard))]
        self._note_higher(version)

    def behind_for(self):
        """Return for how many seconds a higher version has been known; 0 if none."""
        if self._behind_since is None:
            return 0.0
        return trio.current_time() - self._behind_since

    def apply_changes(self, changes):
        """Apply changes in order; return whether the version rose.

        Raises
        ------
        ConfigurationError
            If one is invalid or does not follow; those before it are in force.
        """
        before = self.version
        try:
            for change in changes:
                if self.configuration.apply_change(change):
                    self.history.add(change)
        finally:
            if self.version > before:
                self._note_progress()
        return self.version > before

    async def announce(self):
        """Tell random peers the version in force."""
        await self.transport.announce(_ANNOUNCED_PEERS)

    async def read_table(self):
        """Apply the changes in the table; announce the version if it rose.

        Raises
        ------
        PlatformError
        ConfigurationError
        """
        before = self.version
        while True:
            after = self.version
            changes = await read_page(self.platform, after)
            self.apply_changes(_drop_known(changes, self.version))
            if len(changes) < PAGE_ROWS or self.version == after:
                break
        if self.version > before:
            await self.announce()

    async def read_list(self):
        """Read the list of instances.

        Raises
        ------
        PlatformError
        """
        generation = self._list_generation
        listed = await self.platform.list_instances()
        read_at = getattr(listed, "read_at", 0.0)
        if self._list_generation != generation and read_at < self.listed_at:
            # A newer list came from a peer during the read.
            return
        self.listed = list(listed)
        backends = [entry for entry in listed if entry.role == "backend"]
        self._set_backends(backends, read_at)

    async def load_first(self):
        """Take the highest version of platform and peers; return once there is one.

        Without the platform, the configuration and the list come from a peer.
        """
        pause = _SHORTEST_PAUSE
        while True:
            platform_read, peer_read = [], []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_platform, platform_read)
                nursery.start_soon(self._ask_peers, peer_read)
            if platform_read and not peer_read:
                # The list may have named the first peers, and the table may lag.
                await self._ask_peers(peer_read)
            caught_up = self.version >= self._highest_heard
            if platform_read or (peer_read and caught_up):
                if self.backends is not None:
                    break
            self.count_retry(ConfigurationRetry.START_INCOMPLETE)
            await trio.sleep(pause * self._rng.uniform(0.5, 1.5))
            pause = min(_LONGEST_PAUSE, 2 * pause)
        self.ready = True
        log_event("configuration_loaded", version=self.version)
        await self.announce()

    async def run(self):
        """Keep up until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._catch_up)
            nursery.start_soon(self._poll)
            nursery.start_soon(self._write_snapshots)

    async def answer_fetch(self, after, want_backends):
        """Return what a peer at version `after` lacks.

        Returns
        -------
        ChangesReply
        """
        entries, snapshot = await self.history.collect(after)
        backends, listed_at = b"", 0.0
        if want_backends and self.backends is not None:
            backends, listed_at = dump_backends(self.backends), self.listed_at
        return ChangesReply(
            self.version, self.ready, entries, snapshot, backends, listed_at
        )

    def count_retry(self, reason):
        """Count a `ConfigurationRetry`."""
        self.metrics.count("configuration_retries", reason=reason.value)

    def note_snapshot_due(self):
        """Write a snapshot of the version in force to the object store soon."""
        self._due_snapshot = self.configuration.copy()
        self._snapshot_wake.set()

    def _note_higher(self, version):
        if version <= self.version:
            return
        self._highest_heard = max(self._highest_heard, version)
        if self._behind_since is None:
            self._behind_since = trio.current_time()
        self._wake.set()

    def _note_progress(self):
        if self.version >= self._highest_heard:
            self._behind_since = None
        self._on_change()

    def _set_backends(self, backends, listed_at):
        self._list_generation += 1
        self.listed_at = listed_at
        if backends != self.backends:
            self.backends = backends
            self._on_change()

    async def _read_platform(self, done):
        with trio.move_on_after(_FIRST_READ_TIMEOUT):
            try:
                await self._read_snapshot()
                await self.read_table()
                await self.read_list()
                done.append(True)
            except (PlatformError, ConfigurationError) as error:
                self.metrics.count("platform_reads_failed")
                log_event("platform_read_failed", level="WARNING", error=error)

    async def _read_snapshot(self):
        if self.version == 0:
            self._load(await read_snapshot(self.platform))

    async def _ask_peers(self, done):
        addresses = self.transport.addresses()
        asked = set(self._ahead())
        count = min(_ASKED_AT_START, len(addresses))
        asked.update(self._rng.sample(addresses, count))
        async with trio.open_nursery() as nursery:
            for address in sorted(asked):
                nursery.start_soon(self._ask_at_start, address, done)

    async def _ask_at_start(self, address, done):
        reply = await self._fetch(address, True)
        if reply is not None and reply.ready:
            done.append(True)

    async def _fetch(self, address, want_backends=False):
        """Fetch from a peer; return its reply, or None if it gave nothing valid."""
        try:
            reply = await self.transport.fetch(address, self.version, want_backends)
            await self._apply_reply(reply)
        except (PeerError, ConfigurationError) as error:
            self.metrics.count("configuration_fetches_failed")
            log_event("fetch_failed", level="DEBUG", peer=address, error=error)
            return None
        return reply

    async def _apply_reply(self, reply):
        before = self.version
        if reply.snapshot:
            self._load(await decode_snapshot(reply.snapshot))
        changes = [load_change(entry) for entry in reply.entries]
        self.apply_changes(_drop_known(changes, self.version))
        self._note_higher(reply.version)
        if reply.backends and (
            self.backends is None or reply.listed_at > self.listed_at
        ):
            self._set_backends(load_backends(reply.backends), reply.listed_at)
        if self.version > before:
            await self.announce()

    def _load(self, other):
        if other is not None and self.configuration.load(other):
            self.history.clear()
            self._note_progress()

    async def _catch_up(self):
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            pause = _SHORTEST_PAUSE
            while self.version < self._highest_heard:
                before = self.version
                await self._fetch_missing()
                if self.version > before:
                    pause = _SHORTEST_PAUSE
                    continue
                self.count_retry(ConfigurationRetry.FETCH_FAILED)
                await trio.sleep(pause * self._rng.uniform(0.5, 1.5))
                pause = min(_LONGEST_PAUSE, 2 * pause)

    def _ahead(self):
        """Return addresses of peers with a higher version, latest heard first."""
        names = [name for name, entry in self.heard.items() if entry[0] > self.version]
        found = map(self.transport.address_of, names[: -_ASKED_WHEN_BEHIND - 1 : -1])
        return [address for address in found if address is not None]

    async def _fetch_missing(self):
        before = self.version
        for address in self._ahead():
            await self._fetch(address)
            if self.version > before:
                return
        await self._try_read(self.read_table)

    async def _poll(self):
        while True:
            await trio.sleep(self._poll_interval() * self._rng.uniform(0.5, 1.5))
            # A log that cannot be read must not keep the list from being read.
            await self._try_read(self.read_table)
            await self._try_read(self.read_list)

    async def _try_read(self, read):
        try:
            await read()
        except (PlatformError, ConfigurationError) as error:
            self.metrics.count("platform_reads_failed")
            log_event("platform_read_failed", level="WARNING", error=error)

    async def _write_snapshots(self):
        while True:
            await self._snapshot_wake.wait()
            self._snapshot_wake = trio.Event()
            try:
                await write_snapshot(self.platform, self._due_snapshot)
                self.metrics.count("snapshots_written")
            except PlatformError as error:
                self.metrics.count("snapshots_failed")
                log_event("snapshot_failed", level="WARNING", error=error)
            self._due_snapshot = None


def make_distribution(
    configuration, platform, transport, metrics, poll_interval, on_change, rng=None
):
    """Return the distribution of an instance; see `Distribution`."""
    return Distribution(
        configuration, platform, transport, metrics, poll_interval, on_change, rng
    )


def _drop_known(changes, version):
    """Return the changes that follow a version, up to the first gap."""
    following = []
    for change in changes:
        if change.version <= version + len(following):
            continue
        if change.version != version + len(following) + 1:
            break
        following.append(change)
    return following
