"""An entry instance that serves published routes and dispatches by itself.

`make_routed_node` composes the follower of the discovery store, the exchange with the
instances of the zone, the balanced dispatcher and the servers. Everything specific to
one platform (its store, its header names and its pages) is passed in.
"""

from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import trio

from kumquatsaddle.accounts.access import make_account_access, read_revoke_after
from kumquatsaddle.accounts.quota_owner import QuotaBounds
from kumquatsaddle.balance.dispatcher import make_balanced_dispatcher
from kumquatsaddle.clocks import read_boot_time
from kumquatsaddle.discovery.follower import make_follower
from kumquatsaddle.discovery.records import InstanceRecord
from kumquatsaddle.dispatch.protocol import BackendProtocol
from kumquatsaddle.entry.callers import make_caller_server
from kumquatsaddle.entry.client_limits import make_client_limits
from kumquatsaddle.entry.operator_pages import (
    PageSwitch,
    make_fatal_requests_page,
    make_status_page,
)
from kumquatsaddle.entry.routed import CallerProtocol, make_routed_proxy
from kumquatsaddle.exceptions import PlatformUnavailableError, SettingsError
from kumquatsaddle.lifecycle.answers import apply_answer_limits
from kumquatsaddle.lifecycle.application import make_application
from kumquatsaddle.lifecycle.pauses import make_pause_detector
from kumquatsaddle.lifecycle.servers import start_server
from kumquatsaddle.lifecycle.status import make_instance_status
from kumquatsaddle.lifecycle.stopping import read_stop_times, stop_starting_in_time
from kumquatsaddle.logs import log_event, set_log_level
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.routes.table import WeightedRoundRobin
from kumquatsaddle.settings.files import Settings
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.settings.reload import reload_settings
from kumquatsaddle.sharing.exchange import make_zone_exchange
from kumquatsaddle.sharing.peers import PeerTable
from kumquatsaddle.sharing.quotas import make_quotas

__all__ = ["DeploymentParts", "RoutedNode", "make_routed_node"]

# Delay between attempts to call the store, and before the second listing of instances.
_REGISTRATION_RETRY_SECONDS = 0.5
_SECOND_LISTING_DELAY_SECONDS = 4.0
# Interval between attempts to reach the seed addresses until a peer is heard.
_JOIN_INTERVAL_SECONDS = 0.3
_SETTINGS_POLL_SECONDS = 1.0
# Interval between the ticks of the pause detector.
_PAUSE_TICK_SECONDS = 0.2
# Processor time of one request and bytes that it transfers over the link of an
# instance; both bound the request rate that callers should send to an instance.
_REQUEST_PROCESSOR_SECONDS = 0.005
_REQUEST_LINK_BYTES = 20000
_BYTES_PER_MEGABIT = 125000


@dataclass(frozen=True)
class DeploymentParts:
    """The platform-specific components of an instance.

    Parameters
    ----------
    store : DiscoveryStore
    callers : CallerProtocol
    backends : BackendProtocol
    make_pages : callable
        Takes the node; returns a mapping of keys of ``[listen]`` to objects with an
        async ``answer(caller_request)``.
    """

    store: Any
    callers: CallerProtocol
    backends: BackendProtocol
    make_pages: Any


class _CallerServerConfig:
    """Settings and metrics for the caller servers.

    The limits of the published routes override those of the settings.
    """

    def __init__(self, settings, metrics):
        self.settings = Settings(dict(settings.values), {}, settings.file)
        self.metrics = metrics

    def apply_limits(self, limits):
        values = self.settings.values
        values["limits", "header_bytes"] = limits.header_bytes
        values["limits", "body_bytes"] = limits.body_bytes
        values["limits", "head_timeout"] = limits.head_timeout
        values["limits", "idle_timeout"] = limits.idle_timeout


class RoutedNode:
    """One entry instance that follows the routes published in a discovery store.

    Unlike `kumquatsaddle.lifecycle.node.Node`, it has no ledger of operations.

    Parameters
    ----------
    settings : Settings
    parts : DeploymentParts
    """

    def __init__(self, settings, parts):
        self.settings = settings
        self.metrics = make_metrics()
        self.metrics.set_limits(settings)
        self.own = InstanceRecord(
            settings.get("instance", "id"),
            settings.get("instance", "zone"),
            settings.get("listen", "callers"),
            settings.get("listen", "control"),
        )
        self.client_limits = make_client_limits(settings, self.metrics)
        self.peers = PeerTable(self.own)
        self.dispatcher = make_balanced_dispatcher(
            self.own.zone,
            parts.backends,
            self.metrics,
            settings.get("limits", "answer_bytes"),
            settings.get("repeats", "share"),
            settings.get("repeats", "allowance"),
            settings.get("repeats", "window"),
            settings.get("queue", "policy"),
        )
        apply_answer_limits(self.dispatcher, settings)
        self.dispatcher.answer_memory.share = self.client_limits.memory.open_own_share()
        self.follower = make_follower(
            parts.store,
            self.peers,
            self._update_servers,
            self._update_routes,
            self.metrics,
        )
        self.exchange = make_zone_exchange(
            self.peers,
            self.dispatcher,
            self,
            self.metrics,
            self.client_limits.slots,
        )
        self.follower.exchange = self.exchange
        self.access = make_account_access(
            lambda: self.follower.routes,
            self.follower.contact.get_age,
            self.metrics,
            read_revoke_after(settings),
        )
        self.dispatcher.find_access_refusal = self.access.find_refusal
        self.quotas = make_quotas(
            self.exchange,
            self.list_quota_owners,
            self._get_accounts,
            self.metrics,
            _read_quota_bounds(settings),
            read_boot_time,
        )
        self.capacity = _compute_capacity(settings)
        self.follower.route_directory.on_change = self._export_routes_status
        self._export_routes_status()
        self._parts = parts
        self._store = parts.store
        self._service_selector = WeightedRoundRobin()
        self._pause_detector = make_pause_detector(_PAUSE_TICK_SECONDS)
        get_arrival_delay = self._pause_detector.get_arrival_delay
        self.follower.contact.get_arrival_delay = get_arrival_delay
        self.dispatcher.get_arrival_delay = get_arrival_delay
        self._caller_config = _CallerServerConfig(settings, self.metrics)
        self._random = Random()
        self._leaving = False
        self._store_restored = trio.Event()
        knowledge = self.follower.knowledge
        knowledge.on_store_restored = lambda: self._store_restored.set()
        self.callers = None

    def is_serving(self):
        """Return whether this instance can serve callers."""
        return self.follower.is_ready() and not self._leaving

    def is_leaving(self):
        """Return whether the instance is stopping."""
        return self._leaving

    def describe_status(self):
        """Return the `InstanceStatus`, for pages."""
        return make_instance_status(
            self.follower, self.access, self.is_serving(), self._leaving
        )

    def list_active(self):
        """Return the `InstanceRecord` of the instances for callers of this zone."""
        return self.peers.list_active(self.is_serving(), self.capacity)

    def choose_addresses(self):
        """Return the `InstanceRecord` of the instances that one caller is told."""
        return self.peers.choose_addresses(
            self.is_serving(), self.capacity, self._random
        )

    def list_quota_owners(self):
        """Return the instances of this zone that may own the quotas of accounts."""
        return self.peers.list_strongest(self.is_serving(), self.capacity)

    def store_epoch(self):
        """Return the epoch of the store versions that this instance reports."""
        return self.follower.epoch

    def routes_version(self):
        """Return the store version of the routes in force; 0 if it is not known."""
        return self.follower.route_directory.get_version(self.follower.epoch)

    def routes_revision(self):
        """Return the version of the routes in force, as their operator has set it."""
        return self.follower.route_directory.revision

    def servers_version(self):
        """Return the store version of the newest known entry of a backend server."""
        return self.follower.servers.content_version

    def get_read_age(self):
        """Return the age of the last known state of the store, in seconds."""
        return self.follower.get_read_age()

    def record_peer_answer(self, report):
        """Record how long ago the store answered another instance."""
        self.follower.record_peer_answer(report)

    def make_update(self, fetch):
        """Return the update that answers the fetch of a peer."""
        return self.follower.make_update(fetch)

    def fetch_if_newer(self, peer):
        """Fetch from a peer if its report shows newer versions."""
        self.follower.fetch_if_newer(peer)

    async def start(self, nursery):
        """Start the servers and the background tasks."""
        proxy = make_routed_proxy(
            self._parts.callers,
            self.dispatcher,
            lambda: self.follower.routes,
            self._service_selector.choose_service,
            self._pause_detector.get_arrival_delay,
            self.metrics,
            self.access,
            self.quotas,
        )
        nursery.start_soon(self._pause_detector.run)
        await start_server(nursery, self._run_exchange, self.settings, "control")
        for key, page in self._make_pages().items():
            server = make_caller_server(
                self._caller_config, page, self.client_limits, key, ignores_body=True
            )
            await start_server(nursery, server.run, self.settings, key)
        self.callers = make_caller_server(
            self._caller_config, proxy, self.client_limits
        )
        await start_server(nursery, self.callers.run, self.settings, "callers")
        nursery.start_soon(self.follower.run)
        nursery.start_soon(self.quotas.run)
        nursery.start_soon(self._register)
        nursery.start_soon(self._register_again)
        nursery.start_soon(self._join)
        nursery.start_soon(self._watch_settings)

    def _make_pages(self):
        """Return the pages by the key of ``[listen]`` with their address.

        The platform may have the metrics at the operators' address.
        """
        pages = self._parts.make_pages(self)
        fatal_requests = make_fatal_requests_page(
            self.dispatcher.end_records, self.settings
        )
        operators = self.settings.get("listen", "operators")
        own_pages = [fatal_requests, make_status_page(self.describe_status)]
        for key, page in pages.items():
            if self.settings.get("listen", key) == operators:
                return pages | {key: PageSwitch([page, *own_pages])}
        return pages | {"operators": PageSwitch(own_pages)}

    def reload(self):
        """Apply a changed settings file; log an error if it is invalid."""
        try:
            changed = reload_settings(self.settings)
        except SettingsError as error:
            self.metrics.count("reloads_refused")
            log_event("reload_refused", level="ERROR", error=error)
            return
        retry_limits = self.dispatcher.retry_limits
        retry_limits.share = self.settings.get("repeats", "share")
        retry_limits.allowance = self.settings.get("repeats", "allowance")
        retry_limits.window = self.settings.get("repeats", "window")
        apply_answer_limits(self.dispatcher, self.settings)
        self.access.revoke_after = read_revoke_after(self.settings)
        if ("log", "level") in changed:
            set_log_level(changed["log", "level"])
        for (section, key), value in changed.items():
            self._caller_config.settings.values[section, key] = value
            log_event("setting_changed", section=section, key=key, value=value)
        if self.follower.routes is not None:
            self._update_routes(self.follower.routes)

    async def stop(self):
        """Tell the peers that the instance is leaving and drain its connections."""
        self._leaving = True
        self.exchange.report_now()
        times = read_stop_times(self.settings)
        async with stop_starting_in_time(self.dispatcher, times):
            await self.callers.drain(times.notice, times.grace)

    async def _run_exchange(self, address, task_status=trio.TASK_STATUS_IGNORED):
        await self.exchange.run(task_status)

    def _get_accounts(self):
        routes = self.follower.routes
        return None if routes is None else routes.accounts

    async def _update_servers(self, records):
        await self.dispatcher.update_servers(records)

    def _export_routes_status(self):
        status = self.follower.route_directory.describe()
        self.metrics.set_gauge("routes_row", status.row)
        self.metrics.set_gauge("routes_refused_row", status.refused_row)

    def _update_routes(self, routes):
        names = {route.name for route in routes.list_routes()}
        self.dispatcher.averages.retain_routes(names)
        self._service_selector.retain_routes(names)
        if routes.limits is not None:
            self._caller_config.apply_limits(routes.limits)
        self.dispatcher.refuse_revoked()

    async def _register(self):
        """Register this instance in the store and list the others."""
        await self._retry_store_call(self._store.register_instance, self.own)
        # Other instances may register at about the same time; the second listing finds
        # them all.
        for delay in (0.0, _SECOND_LISTING_DELAY_SECONDS):
            await trio.sleep(delay)
            records = await self._retry_store_call(self._store.list_instances)
            now = trio.current_time()
            for record in records:
                self.peers.add_instance(record, now)
            self.quotas.is_listed = True
            log_event("instances_listed", instances=len(records))
            self._introduce_to_unheard_peers()

    async def _register_again(self):
        """Register after each return of the store from a copy, which may lack it."""
        while True:
            await self._store_restored.wait()
            self._store_restored = trio.Event()
            await self._retry_store_call(self._store.register_instance, self.own)
            log_event("instance_registered_again", epoch=self.follower.epoch)

    def _introduce_to_unheard_peers(self):
        """Send a report to the peers from which no report has arrived."""
        peers = self.peers.peers.values()
        unheard = [peer.record.control for peer in peers if not peer.alive]
        self.exchange.introduce(unheard)

    async def _retry_store_call(self, call, *arguments):
        """Return the result of a store call, retried until the platform answers."""
        while True:
            try:
                return await call(*arguments)
            except PlatformUnavailableError as error:
                log_event("registration_failed", level="WARNING", error=error)
                await trio.sleep(_REGISTRATION_RETRY_SECONDS)

    async def _join(self):
        """Fetch from the seed addresses of the settings until a peer is heard."""
        port = self.own.control.port
        seeds = [
            Address(address.host, port)
            for address in self.settings.get("membership", "seeds")
            if address.host != self.own.control.host
        ]
        while seeds and not self.peers.list_alive():
            await self.follower.fetch_from_any(seeds)
            self._introduce_to_unheard_peers()
            await trio.sleep(_JOIN_INTERVAL_SECONDS)

    async def _watch_settings(self):
        """Poll the settings file and reload it when it changes without a signal."""
        last = _get_file_signature(self.settings.file)
        while True:
            await trio.sleep(_SETTINGS_POLL_SECONDS)
            signature = _get_file_signature(self.settings.file)
            if signature != last:
                last = signature
                self.reload()


def make_routed_node(settings, parts):
    """Return an instance and the application that runs it.

    Parameters
    ----------
    settings : Settings
    parts : DeploymentParts

    Returns
    -------
    node : RoutedNode
    application : Application
    """
    node = RoutedNode(settings, parts)
    application = make_application(node.own.name)
    application.on_start(node.start)
    application.on_stop(node.stop)
    application.on_reload(node.reload)
    return node, application


def _get_file_signature(file):
    """Return a value that changes when a file is written, or None without one."""
    try:
        status = Path(file).stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def _read_quota_bounds(settings):
    return QuotaBounds(
        settings.get("quotas", "window"),
        settings.get("quotas", "overrun"),
        settings.get("quotas", "slack"),
    )


def _compute_capacity(settings):
    """Return the requests a second that the link and the processors allow."""
    by_link = (
        settings.get("instance", "link") * _BYTES_PER_MEGABIT / _REQUEST_LINK_BYTES
    )
    by_processor = settings.get("instance", "processors") / _REQUEST_PROCESSOR_SECONDS
    return min(by_link, by_processor)
