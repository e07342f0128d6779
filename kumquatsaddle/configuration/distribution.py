"""Distributes accepted configuration changes to all instances.

An instance that learns of a higher version fetches the missing changes from a peer
that reported it, or from the platform's table, and announces its own version to 4
peers as soon as it rises. Periodic reads of the table are the fallback. Changes are
applied strictly in order, so a stale peer or an old snapshot cannot lower the version.

The list of backend servers has no version. It carries the time of its read by the
platform's clock. A list from a peer replaces only a list with an earlier time. A list
that this instance reads from the platform replaces every list that it held when the
read began.
"""

import random

import trio

from kumquatsaddle.configuration.changes import PAGE_ROWS, read_change_page
from kumquatsaddle.configuration.history import RecentChanges
from kumquatsaddle.configuration.snapshot_writer import make_snapshot_writer
from kumquatsaddle.configuration.snapshots import decode_snapshot, read_snapshot
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

# Peers per announcement; 4 of them reach 520 instances in about 5 rounds.
_ANNOUNCEMENT_FANOUT = 4
# Random peers asked at the start; enough that not all of them have an old version.
_PEERS_ASKED_AT_START = 8
_PEERS_ASKED_WHEN_BEHIND = 3
# Peers are asked while the first read of the platform runs.
_FIRST_READ_TIMEOUT_SECONDS = 15.0
# Delays between attempts to load or catch up; doubled after each failure.
_MIN_RETRY_DELAY_SECONDS = 0.1
_MAX_RETRY_DELAY_SECONDS = 5.0
# Members whose last reported version is kept.
_MAX_PEER_VERSIONS = 2048


class Distribution:
    """Keeps the configuration and the list of backend servers of an instance current.

    Parameters
    ----------
    configuration : Configuration
        Changed only through this object.
    platform : Platform
    transport : GossipTransport
    metrics : Metrics
    get_poll_interval : callable
        Returns the mean time between reads of the platform, in seconds.
    on_change : callable, optional
        Called after the version or the list of backend servers has changed.
    rng : random.Random, optional
    """

    def __init__(
        self,
        configuration,
        platform,
        transport,
        metrics,
        get_poll_interval,
        on_change=lambda: None,
        rng=None,
    ):
        self.configuration = configuration
        self.platform = platform
        self.recent_changes = RecentChanges(configuration)
        self.ready = False
        # All instances that the platform lists, the backend servers among them, and the
        # time of the read that returned the backend servers.
        self.listed_instances = []
        self.backends = None
        self.listed_at = 0.0
        # Member name to its last reported version and the time of the report, by the
        # clock of trio.
        self.peer_versions = {}
        self._highest_known_version = 0
        self._behind_since = None
        self.transport = transport
        self.metrics = metrics
        self._get_poll_interval = get_poll_interval
        self._on_change = on_change
        self._rng = rng or random.Random()
        self._catch_up_requested = trio.Event()
        self._list_generation = 0
        self._snapshot_writer = make_snapshot_writer(platform, metrics)

    @property
    def version(self):
        """The version in force."""
        return self.configuration.version

    def record_peer_version(self, member, version):
        """Record the version that a member reports; fetch if it is higher."""
        self.peer_versions.pop(member, None)
        self.peer_versions[member] = (version, trio.current_time())
        if len(self.peer_versions) > _MAX_PEER_VERSIONS:
            del self.peer_versions[next(iter(self.peer_versions))]
        self._record_newer_version(version)

    def get_seconds_behind(self):
        """Return the seconds since a higher version became known, or 0."""
        if self._behind_since is None:
            return 0.0
        return trio.current_time() - self._behind_since

    def apply_changes(self, changes):
        """Apply changes in order and return whether the version rose.

        Raises
        ------
        ConfigurationError
            If a change is invalid or does not follow the version in force; the changes
            before it stay applied.
        """
        before = self.version
        try:
            for change in changes:
                if self.configuration.apply_change(change):
                    self.recent_changes.add(change)
        finally:
            if self.version > before:
                self._handle_version_increase()
        return self.version > before

    async def announce(self):
        """Announce the version in force to random peers."""
        await self.transport.announce(_ANNOUNCEMENT_FANOUT)

    async def read_change_log(self):
        """Read the change log from the platform's table and apply it.

        If the version rose, it is announced to peers.

        Raises
        ------
        PlatformError
        ConfigurationError
        """
        before = self.version
        while True:
            after = self.version
            changes = await read_change_page(self.platform, after)
            self.apply_changes(_select_consecutive(changes, self.version))
            if len(changes) < PAGE_ROWS or self.version == after:
                break
        if self.version > before:
            await self.announce()

    async def read_instance_list(self):
        """Read the list of instances from the platform.

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
        self.listed_instances = list(listed)
        backends = [entry for entry in listed if entry.role == "backend"]
        self._set_backends(backends, read_at)

    async def load_initial(self):
        """Load the configuration and the list of backend servers at the start.

        Reads of the platform and of peers are repeated until a list of backend servers
        is known and one of these conditions holds: the platform was read, or a peer
        replied and no higher version is known. If the platform is unavailable, the
        configuration and the list come from peers.
        """
        delay = _MIN_RETRY_DELAY_SECONDS
        while True:
            platform_reads, peer_replies = [], []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_platform, platform_reads)
                nursery.start_soon(self._fetch_from_peers, peer_replies)
            if platform_reads and not peer_replies:
                # The list of instances may have made the first peers known, and a peer
                # may have a higher version than the table returned.
                await self._fetch_from_peers(peer_replies)
            caught_up = self.version >= self._highest_known_version
            if platform_reads or (peer_replies and caught_up):
                if self.backends is not None:
                    break
            self.count_retry(ConfigurationRetry.START_INCOMPLETE)
            delay = await self._sleep_before_retry(delay)
        self.ready = True
        log_event("configuration_loaded", version=self.version)
        await self.announce()

    async def run(self):
        """Keep the configuration and the lists current until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._catch_up)
            nursery.start_soon(self._poll)
            nursery.start_soon(self._snapshot_writer.run)

    async def answer_fetch(self, after, want_backends):
        """Return the changes or the snapshot that a peer at version `after` lacks.

        Returns
        -------
        ChangesReply
        """
        entries, snapshot = await self.recent_changes.collect_since(after)
        backends, listed_at = b"", 0.0
        if want_backends and self.backends is not None:
            backends, listed_at = dump_backends(self.backends), self.listed_at
        return ChangesReply(
            self.version, self.ready, entries, snapshot, backends, listed_at
        )

    def count_retry(self, reason):
        """Count a retry by its reason, a `ConfigurationRetry`."""
        self.metrics.count("configuration_retries", reason=reason.value)

    def schedule_snapshot(self):
        """Request a snapshot of the version in force in the object store."""
        self._snapshot_writer.schedule(self.configuration)

    def _record_newer_version(self, version):
        if version <= self.version:
            return
        self._highest_known_version = max(self._highest_known_version, version)
        if self._behind_since is None:
            self._behind_since = trio.current_time()
        self._catch_up_requested.set()

    def _handle_version_increase(self):
        if self.version >= self._highest_known_version:
            self._behind_since = None
        self._on_change()

    def _set_backends(self, backends, listed_at):
        self._list_generation += 1
        self.listed_at = listed_at
        if backends != self.backends:
            self.backends = backends
            self._on_change()

    async def _read_platform(self, succeeded):
        with trio.move_on_after(_FIRST_READ_TIMEOUT_SECONDS):
            if await self._try_read(self._read_all):
                succeeded.append(True)

    async def _read_all(self):
        if self.version == 0:
            self._replace_configuration(await read_snapshot(self.platform))
        await self.read_change_log()
        await self.read_instance_list()

    async def _fetch_from_peers(self, succeeded):
        addresses = self.transport.addresses()
        asked = set(self._list_addresses_ahead())
        count = min(_PEERS_ASKED_AT_START, len(addresses))
        asked.update(self._rng.sample(addresses, count))
        async with trio.open_nursery() as nursery:
            for address in sorted(asked):
                nursery.start_soon(self._fetch_at_start, address, succeeded)

    async def _fetch_at_start(self, address, succeeded):
        reply = await self._fetch(address, True)
        if reply is not None and reply.ready:
            succeeded.append(True)

    async def _fetch(self, address, want_backends=False):
        """Fetch from a peer and return its reply, or None if the fetch failed."""
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
            self._replace_configuration(await decode_snapshot(reply.snapshot))
        changes = [load_change(entry) for entry in reply.entries]
        self.apply_changes(_select_consecutive(changes, self.version))
        self._record_newer_version(reply.version)
        if reply.backends and (
            self.backends is None or reply.listed_at > self.listed_at
        ):
            self._set_backends(load_backends(reply.backends), reply.listed_at)
        if self.version > before:
            await self.announce()

    def _replace_configuration(self, other):
        if other is not None and self.configuration.replace_if_newer(other):
            self.recent_changes.clear()
            self._handle_version_increase()

    async def _catch_up(self):
        while True:
            await self._catch_up_requested.wait()
            self._catch_up_requested = trio.Event()
            delay = _MIN_RETRY_DELAY_SECONDS
            while self.version < self._highest_known_version:
                before = self.version
                await self._fetch_missing()
                if self.version > before:
                    delay = _MIN_RETRY_DELAY_SECONDS
                    continue
                self.count_retry(ConfigurationRetry.FETCH_FAILED)
                delay = await self._sleep_before_retry(delay)

    async def _sleep_before_retry(self, delay):
        """Sleep for about `delay` seconds; return the delay of the next retry."""
        await trio.sleep(delay * self._rng.uniform(0.5, 1.5))
        return min(_MAX_RETRY_DELAY_SECONDS, 2 * delay)

    def _list_addresses_ahead(self):
        """Return addresses of a few peers with a higher version.

        The peer with the most recent report is the first.
        """
        names = [
            name
            for name, entry in self.peer_versions.items()
            if entry[0] > self.version
        ]
        addresses = map(
            self.transport.address_of, names[: -_PEERS_ASKED_WHEN_BEHIND - 1 : -1]
        )
        return [address for address in addresses if address is not None]

    async def _fetch_missing(self):
        before = self.version
        for address in self._list_addresses_ahead():
            await self._fetch(address)
            if self.version > before:
                return
        await self._try_read(self.read_change_log)

    async def _poll(self):
        while True:
            await trio.sleep(self._get_poll_interval() * self._rng.uniform(0.5, 1.5))
            # The list is read even if the log could not be read or applied.
            await self._try_read(self.read_change_log)
            await self._try_read(self.read_instance_list)

    async def _try_read(self, read):
        """Read from the platform; return whether that succeeded."""
        try:
            await read()
        except (PlatformError, ConfigurationError) as error:
            self.metrics.count("platform_reads_failed")
            log_event("platform_read_failed", level="WARNING", error=error)
            return False
        return True


def make_distribution(
    configuration, platform, transport, metrics, get_poll_interval, on_change, rng=None
):
    """Return the `Distribution` of an instance."""
    return Distribution(
        configuration, platform, transport, metrics, get_poll_interval, on_change, rng
    )


def _select_consecutive(changes, version):
    """Return the changes above a version, in order and up to the first gap."""
    following = []
    for change in changes:
        if change.version <= version + len(following):
            continue
        if change.version != version + len(following) + 1:
            break
        following.append(change)
    return following
