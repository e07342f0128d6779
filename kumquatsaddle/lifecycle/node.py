"""An entry instance: its components composed into one application.

`make_node` builds the components and adds their hooks to an `Application`. All state
belongs to the components.
"""

from dataclasses import asdict

import trio

from kumquatsaddle.admission.limits import make_account_limits
from kumquatsaddle.clocks import make_steady_clock
from kumquatsaddle.configuration.changes import make_change_key, make_initial_changes
from kumquatsaddle.configuration.distribution import make_distribution
from kumquatsaddle.configuration.state import make_configuration
from kumquatsaddle.configuration.transport import GossipTransport
from kumquatsaddle.dispatch.digests import make_digest_table
from kumquatsaddle.dispatch.dispatcher import make_dispatcher
from kumquatsaddle.dispatch.peers import make_links
from kumquatsaddle.dispatch.probes import watch_pools
from kumquatsaddle.entry.callers import make_caller_server
from kumquatsaddle.entry.client_limits import make_client_limits
from kumquatsaddle.entry.control import make_control_server
from kumquatsaddle.entry.operators import make_operators_server
from kumquatsaddle.entry.proxy import make_proxy
from kumquatsaddle.entry.tls import (
    make_caller_context,
    make_control_client_context,
    make_control_server_context,
)
from kumquatsaddle.exceptions import ConflictError, SettingsError
from kumquatsaddle.lifecycle.answers import apply_answer_limits
from kumquatsaddle.lifecycle.application import make_application
from kumquatsaddle.lifecycle.claim_rate import make_claim_bucket
from kumquatsaddle.lifecycle.digests import exchange_digests, has_reachable_backend
from kumquatsaddle.lifecycle.identity import load_message_keys, make_own_member
from kumquatsaddle.lifecycle.pauses import make_pause_detector
from kumquatsaddle.lifecycle.placement import make_placement_manager
from kumquatsaddle.lifecycle.servers import start_server
from kumquatsaddle.lifecycle.stopping import read_stop_times, stop_starting_in_time
from kumquatsaddle.logs import log_event, set_log_level
from kumquatsaddle.membership.exchange import fill_hello, read_members
from kumquatsaddle.membership.gossip import make_gossip
from kumquatsaddle.membership.impairment import make_impairment_monitor, select_serving
from kumquatsaddle.membership.members import make_table
from kumquatsaddle.messages.codec import make_codec
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.operations.claims import make_claims
from kumquatsaddle.operations.issuer import make_incarnation, make_issuer
from kumquatsaddle.operations.ledger import make_ledger
from kumquatsaddle.settings.reload import reload_settings
from kumquatsaddle.storage.interface import make_platform
from kumquatsaddle.types import InstanceState

__all__ = ["Node", "make_node"]

_TABLE_FETCH_TIMEOUT_SECONDS = 5.0


class Node:
    """One entry instance with a member table, a configuration and a ledger.

    A `Node` is the object of an instance within its process.

    Parameters
    ----------
    settings : Settings
    platform : Platform, optional
        Default: the platform of the settings.
    """

    def __init__(self, settings, platform=None):
        self.settings = settings
        self.platform = platform or make_platform(settings)
        self.metrics = make_metrics()
        self.metrics.set_limits(settings)
        self.client_limits = make_client_limits(settings, self.metrics)
        self.configuration = make_configuration()
        self.incarnation = make_incarnation()
        self.issuer = make_issuer(self.incarnation)
        self.clock = make_steady_clock()
        self.ledger = make_ledger(self.clock)
        self.claims = make_claims(self.platform, self.issuer, self.clock)
        self.claim_bucket = make_claim_bucket()
        self.limits = make_account_limits()
        self.dispatcher = make_dispatcher(
            self.metrics, settings.get("limits", "answer_bytes")
        )
        apply_answer_limits(self.dispatcher, settings)
        self.dispatcher.answer_memory.share = self.client_limits.memory.open_own_share()
        self._make_membership()
        self.pause_detector = make_pause_detector()
        self.links = None
        self.control = None
        self.callers = None
        self._nursery = None
        self._placement_manager = make_placement_manager(self)
        self.transport = GossipTransport(self.table, self.gossip)
        self.distribution = make_distribution(
            self.configuration,
            self.platform,
            self.transport,
            self.metrics,
            lambda: settings.get("platform", "poll_interval"),
            self._placement_manager.update_backends,
        )
        self.operators = make_operators_server(self)

    def _make_membership(self):
        self.table = make_table(make_own_member(self.settings, self.incarnation))
        self.codec = make_codec(
            self.name, self.incarnation, load_message_keys(self.settings), self.clock
        )
        self.gossip = make_gossip(
            self.table,
            self.codec,
            self.metrics,
            self.settings,
            lambda: self.configuration.version,
            self._handle_peer_version,
        )
        self.digests = make_digest_table()
        self.gossip.fetch_table = self._fetch_table
        self.gossip.on_service_digests = self._record_digests
        self.impairment_monitor = make_impairment_monitor(
            self.gossip,
            self.metrics,
            lambda: self.configuration.version,
            lambda: has_reachable_backend(self.dispatcher.pools),
        )

    @property
    def name(self):
        """The instance id."""
        return self.settings.get("instance", "id")

    @property
    def placement(self):
        """The `Placement`: the homes of all groups, as derived by this instance."""
        return self._placement_manager.placement

    @property
    def backends(self):
        """The listed backend servers; those drained by operators are marked leaving."""
        return self._placement_manager.backends

    def list_serving_members(self):
        """Return the members whose addresses callers are given, this instance included.

        Impaired members are included if more than half of the fleet is impaired for the
        same reason. While the whole fleet is leaving, the leaving members are returned.
        """
        return select_serving(self.table.members.values())

    def order_homes(self, service, account):
        """Return the homes of a service that answer, in the order of an account."""
        return self._placement_manager.order_homes(service, account)

    async def update_placement(self):
        """Derive the placement anew if its inputs have changed."""
        await self._placement_manager.update()

    def _handle_peer_version(self, member, version):
        self.impairment_monitor.record_peer_version(version)
        self.distribution.record_peer_version(member, version)

    def start_background(self, function, *arguments):
        """Run an async function as a background task of the node."""
        self._nursery.start_soon(function, *arguments)

    async def _fetch_table(self, address, own):
        envelope = await self.links.request(
            address,
            lambda envelope, number: fill_hello(envelope, number, own),
            _TABLE_FETCH_TIMEOUT_SECONDS,
        )
        return read_members(envelope)

    def _record_digests(self, member, digests):
        for digest in digests:
            self.digests.record(member, digest, trio.current_time())

    async def _write_initial_configuration(self):
        """Write the configuration of the settings to the embedded platform."""
        changes = list(make_initial_changes(self.settings.initial_sections))
        self.distribution.apply_changes(changes)
        for change in changes:
            try:
                await self.platform.put_row(
                    make_change_key(change.version), asdict(change), None
                )
            except ConflictError:
                # Another instance of this process shares the platform.
                return

    async def _load_initial_configuration(self):
        if self.settings.get("platform", "kind") == "memory":
            await self._write_initial_configuration()
        self.gossip.seeds |= {
            str(address) for address in self.settings.get("membership", "seeds")
        }
        await self.distribution.load_initial()

    async def start(self, nursery):
        """Start the tasks; the instance serves once it has a configuration."""
        self._nursery = nursery
        nursery.start_soon(self.pause_detector.run)
        context = make_control_client_context(self.settings)
        self.links = self.transport.links = make_links(self.codec, nursery, context)
        await start_server(nursery, self.gossip.run, self.settings, "control")
        self.control = make_control_server(self)
        await start_server(nursery, self.control.run, self.settings, "control")
        self.callers = make_caller_server(self, make_proxy(self), self.client_limits)
        await start_server(nursery, self.callers.run, self.settings, "callers")
        await start_server(nursery, self.operators.run, self.settings, "operators")
        await self._load_initial_configuration()
        self.gossip.set_own_state(InstanceState.ALIVE)
        await self.update_placement()
        nursery.start_soon(self.distribution.run)
        nursery.start_soon(self._placement_manager.run)
        nursery.start_soon(exchange_digests, self)
        nursery.start_soon(self.impairment_monitor.run)
        nursery.start_soon(watch_pools, self.dispatcher.pools)

    def reload(self):
        """Apply changed settings and certificates; log an error if they are invalid."""
        try:
            context = make_caller_context(self.settings)
            server_context = make_control_server_context(self.settings)
            client_context = make_control_client_context(self.settings)
            changed = reload_settings(self.settings)
        except SettingsError as error:
            self.metrics.count("reloads_refused")
            log_event("reload_refused", level="ERROR", error=error)
            return
        if self.callers is not None:
            self.callers.use_tls_context(context)
        if self.control is not None:
            self.control.use_tls_context(server_context)
        if self.links is not None:
            self.links.use_tls_context(client_context)
        self.metrics.set_limits(self.settings)
        apply_answer_limits(self.dispatcher, self.settings)
        if ("log", "level") in changed:
            set_log_level(changed["log", "level"])
        for (section, key), value in changed.items():
            log_event("setting_changed", section=section, key=key, value=value)

    async def stop(self):
        """Announce the leaving instance, drain its connections and announce its end.

        While it is LEAVING, callers are no longer given its address. Its groups get new
        homes.
        """
        self.gossip.set_own_state(InstanceState.LEAVING)
        await self.gossip.announce()
        times = read_stop_times(self.settings)
        started_at = trio.current_time()
        async with stop_starting_in_time(self.dispatcher, times):
            await self.callers.drain(times.notice, times.grace)
            # Requests of other instances share what is left if the process is killed
            # later.
            end = started_at + times.notice + times.grace
            left = max(0.0, end - trio.current_time())
            is_killed = self.settings.get("stop", "kill_after") > 0
            await self.control.drain(left if is_killed else times.grace)
        self.gossip.set_own_state(InstanceState.DEAD)
        await self.gossip.announce()
        await self.links.close()
        await self.dispatcher.close()


def make_node(settings, platform=None):
    """Return an entry instance and the application that runs it.

    Parameters
    ----------
    settings : Settings
    platform : Platform, optional

    Returns
    -------
    node : Node
    application : Application
    """
    node = Node(settings, platform)
    application = make_application(node.name)
    application.on_start(node.start)
    application.on_stop(node.stop)
    application.on_reload(node.reload)
    return node, application
