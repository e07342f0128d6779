"""An entry instance: the parts of the fleet composed into one application.

`make_node` builds the parts and adds their hooks to an `Application`. The node owns
the placement and the list of backend servers; every other state belongs to its part.
"""

import secrets
import time
from dataclasses import asdict

import trio

from kumquatsaddle.addresses.answers import order_homes
from kumquatsaddle.addresses.groups import Backend
from kumquatsaddle.addresses.homes import HomeCandidate
from kumquatsaddle.addresses.placement import make_placement
from kumquatsaddle.admission.limits import TokenBucket, make_limits
from kumquatsaddle.clocks import make_steady_clock
from kumquatsaddle.configuration.changes import change_key, seed_changes
from kumquatsaddle.configuration.distribution import make_distribution
from kumquatsaddle.configuration.state import make_configuration
from kumquatsaddle.configuration.transport import GossipTransport
from kumquatsaddle.dispatch.digests import make_digests
from kumquatsaddle.dispatch.dispatcher import make_dispatcher
from kumquatsaddle.dispatch.peers import make_links
from kumquatsaddle.entry.callers import make_caller_server
from kumquatsaddle.entry.control import make_control_server
from kumquatsaddle.entry.operators import make_operators_server
from kumquatsaddle.entry.proxy import make_proxy
from kumquatsaddle.entry.tls import (
    make_caller_context,
    make_control_client_context,
    make_control_server_context,
)
from kumquatsaddle.exceptions import ConflictError, SettingsError
from kumquatsaddle.health.newcomers import Newcomers
from kumquatsaddle.health.probes import watch_pools
from kumquatsaddle.lifecycle.application import make_application
from kumquatsaddle.lifecycle.digests import exchange_digests, has_reachable_backend
from kumquatsaddle.lifecycle.pauses import make_pause_watch
from kumquatsaddle.logs import log_event, set_log_level
from kumquatsaddle.membership.exchange import fill_hello, read_members
from kumquatsaddle.membership.gossip import make_gossip
from kumquatsaddle.membership.judgement import make_judgement, select_serving
from kumquatsaddle.membership.members import Member, make_table
from kumquatsaddle.messages.codec import make_codec
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.operations.claims import make_claims
from kumquatsaddle.operations.issuer import make_incarnation, make_issuer
from kumquatsaddle.operations.ledger import make_ledger
from kumquatsaddle.platform.interface import make_platform
from kumquatsaddle.settings.files import read_secret
from kumquatsaddle.settings.reload import reload_settings
from kumquatsaddle.types import BackendId, InstanceState

__all__ = ["Node", "make_node"]

# Shortest time in seconds between two derivations of the placement.
_PLACEMENT_INTERVAL = 0.2
# States in which an instance still answers requests for the groups it is home of.
_HOLDING = (InstanceState.ALIVE, InstanceState.IMPAIRED, InstanceState.LEAVING)
# Orders of homes that are kept, one for each service and account in use.
_MAX_HOME_ORDERS = 8192
# Time in seconds for a member table from a peer.
_TABLE_TIMEOUT = 5.0
_RANDOM_KEY_BYTES = 32
# Claims a second over the whole fleet; each is two writes to a table that takes
# several hundred a second. Every instance has an equal share and a burst.
_CLAIM_RATE = 100.0
_CLAIM_BURST = 5.0


class Node:
    """One entry instance.

    Parameters
    ----------
    settings : Settings
    platform : Platform, optional
        Default: the one that the settings name.
    """

    def __init__(self, settings, platform=None):
        self.settings = settings
        self.platform = platform or make_platform(settings)
        self.metrics = make_metrics()
        self.metrics.set_limits(settings)
        self.configuration = make_configuration()
        self.incarnation = make_incarnation()
        self.issuer = make_issuer(self.incarnation)
        self.clock = make_steady_clock()
        self.ledger = make_ledger(self.clock)
        self.claims = make_claims(self.platform, self.issuer, self.clock)
        self.claim_bucket = TokenBucket(_CLAIM_RATE, _CLAIM_BURST, time.monotonic())
        self.limits = make_limits()
        self.dispatcher = make_dispatcher(
            self.metrics, settings.get("limits", "answer_bytes")
        )
        self.table = make_table(_describe_self(settings, self.incarnation))
        self.codec = make_codec(
            self.name, self.incarnation, _read_keys(settings), self.clock
        )
        self.gossip = make_gossip(
            self.table,
            self.codec,
            self.metrics,
            settings,
            lambda: self.configuration.version,
            self._note_version,
        )
        self.digests = make_digests()
        self.gossip.fetch_table = self._fetch_table
        self.gossip.on_digest = self._record_digests
        self.judgement = make_judgement(
            self.gossip,
            self.metrics,
            lambda: self.configuration.version,
            lambda: has_reachable_backend(self.dispatcher.pools),
        )
        self.pauses = make_pause_watch()
        self.links = None
        self.control = None
        self.callers = None
        self._nursery = None
        self.transport = GossipTransport(self.table, self.gossip)
        self.distribution = make_distribution(
            self.configuration,
            self.platform,
            self.transport,
            self.metrics,
            lambda: settings.get("platform", "poll_interval"),
            self._take_list,
        )
        self.operators = make_operators_server(self)
        self.backends = []
        self.newcomers = Newcomers()
        self.placement = make_placement((), (), ())
        self._placement_key = None
        self._held_groups = {}
        self._home_orders = {}

    @property
    def name(self):
        """The instance id."""
        return self.settings.get("instance", "id")

    def serving_members(self):
        """Return the members that are answered to callers, this instance included.

        Impaired members stay if more than half of the fleet is impaired for the same
        reason. While the whole fleet is leaving, the leaving members are returned.
        """
        return select_serving(self.table.members.values())

    def order_homes(self, service, account):
        """Return the serving homes of a service in the order of an account."""
        key = (service, account)
        order = self._home_orders.get(key)
        if order is None:
            order = order_homes(self.placement.homes_of(service), service, account)
            if len(self._home_orders) >= _MAX_HOME_ORDERS:
                self._home_orders.clear()
            self._home_orders[key] = order
        # The placement follows a change of the members with a short delay.
        return [name for name in order if self._may_serve(name)]

    def _may_serve(self, name):
        member = self.table.members.get(name)
        return member is not None and member.state in _HOLDING

    async def update_placement(self):
        """Derive the placement again if its inputs have changed."""
        key = (
            self.table.generation,
            self.configuration.version,
            tuple(self.backends),
        )
        if key == self._placement_key:
            return
        self._placement_key = key
        self.claim_bucket.rate = _CLAIM_RATE / len(self.table.members)
        candidates = [
            HomeCandidate(member.name, member.zone, member.region)
            for member in self.serving_members()
        ]
        services = self.configuration.services
        self.placement = make_placement(services.values(), self.backends, candidates)
        self._home_orders.clear()
        groups = {group.name: group for group in self.placement.groups_of(self.name)}
        if self.table.own.state is InstanceState.LEAVING:
            # Requests in flight still need the servers that this instance was home of.
            groups = self._held_groups | groups
        self._held_groups = groups
        await self.dispatcher.update_groups(
            services,
            groups.values(),
            self.newcomers.current(trio.current_time()),
        )

    def _note_version(self, member, version):
        self.judgement.note_version(version)
        self.distribution.on_version(member, version)

    def _take_list(self):
        """Take over the list of backend servers and the drains of operators."""
        if self.distribution.backends is None:
            # There is no list yet, which is not the same as an empty one.
            return
        drains = self.configuration.drains
        self.backends = [
            Backend(
                BackendId(entry.name),
                entry.service,
                entry.address,
                entry.zone,
                entry.region,
                entry.leaving or entry.name in drains,
            )
            for entry in self.distribution.backends
        ]
        names = [backend.name for backend in self.backends]
        self.newcomers.update(names, trio.current_time())
        self.gossip.seeds |= {
            entry.address for entry in self.distribution.listed if entry.role == "entry"
        }

    def start_background(self, function, *arguments):
        """Run an async function as a task of the node."""
        self._nursery.start_soon(function, *arguments)

    async def _fetch_table(self, address, own):
        envelope = await self.links.request(
            address,
            lambda envelope, number: fill_hello(envelope, number, own),
            _TABLE_TIMEOUT,
        )
        return read_members(envelope)

    def _record_digests(self, member, digests):
        for digest in digests:
            self.digests.record(member, digest, trio.current_time())

    async def _write_seeds(self):
        """Write the configuration of the settings to the embedded platform."""
        changes = list(seed_changes(self.settings.seeds))
        self.distribution.apply_changes(changes)
        for change in changes:
            try:
                await self.platform.put_row(
                    change_key(change.version), asdict(change), None
                )
            except ConflictError:
                # Another instance of this process shares the platform.
                return

    async def _load_first(self):
        if self.settings.get("platform", "kind") == "memory":
            await self._write_seeds()
        self.gossip.seeds |= {
            str(address) for address in self.settings.get("membership", "seeds")
        }
        await self.distribution.load_first()

    async def _watch_placement(self):
        while True:
            await trio.sleep(_PLACEMENT_INTERVAL)
            await self.update_placement()

    async def start(self, nursery):
        """Start the tasks; the instance serves once it has a configuration."""
        self._nursery = nursery
        nursery.start_soon(self.pauses.run)
        context = make_control_client_context(self.settings)
        self.links = self.transport.links = make_links(self.codec, nursery, context)
        await self._start_server(nursery, self.gossip.run, "control")
        self.control = make_control_server(self)
        await self._start_server(nursery, self.control.run, "control")
        self.callers = make_caller_server(self, make_proxy(self))
        await self._start_server(nursery, self.callers.run, "callers")
        await self._start_server(nursery, self.operators.run, "operators")
        await self._load_first()
        self.gossip.set_own_state(InstanceState.ALIVE)
        await self.update_placement()
        nursery.start_soon(self.distribution.run)
        nursery.start_soon(self._watch_placement)
        nursery.start_soon(exchange_digests, self)
        nursery.start_soon(self.judgement.run)
        nursery.start_soon(watch_pools, self.dispatcher.pools)

    async def _start_server(self, nursery, run, key):
        """Start a server at an address of the settings.

        Raises
        ------
        SettingsError
            If the address cannot be used.
        """
        address = self.settings.get("listen", key)
        try:
            await nursery.start(run, address)
        except* OSError as group:
            # The servers of operators' pages wrap the error in groups of their own.
            error = next(_list_errors(group))
            problem = f"{address}: {error.strerror or error}"
            raise SettingsError(problem, self.settings.file, "listen", key) from None

    def reload(self):
        """Apply the changed settings file and certificates, or report an error."""
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
            self.callers.use_context(context)
        if self.control is not None:
            self.control.use_context(server_context)
        if self.links is not None:
            self.links.use_context(client_context)
        self.metrics.set_limits(self.settings)
        self.dispatcher.max_answer = self.settings.get("limits", "answer_bytes")
        if ("log", "level") in changed:
            set_log_level(changed["log", "level"])
        for (section, key), value in changed.items():
            log_event("setting_changed", section=section, key=key, value=value)

    async def stop(self):
        """Leave the address answer, end the work in flight and release the homes."""
        self.gossip.set_own_state(InstanceState.LEAVING)
        await self.gossip.announce()
        grace = self.settings.get("stop", "grace")
        await self.callers.drain(self.settings.get("stop", "notice"), grace)
        await self.control.drain(grace)
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


def _list_errors(error):
    """Yield the errors of a group and of the groups in it."""
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for part in error.exceptions:
        yield from _list_errors(part)


def _describe_self(settings, incarnation):
    return Member(
        name=settings.get("instance", "id"),
        incarnation=incarnation,
        started_at=time.time(),
        revision=1,
        state=InstanceState.JOINING,
        zone=settings.get("instance", "zone"),
        region=settings.get("instance", "region"),
        control=str(settings.get("listen", "control")),
        callers=str(settings.get("listen", "callers")),
    )


def _read_keys(settings):
    files = settings.get("secrets", "control_key_files")
    if not files:
        # Without a key no other instance can talk to this one.
        return [secrets.token_bytes(_RANDOM_KEY_BYTES)]
    return [
        read_secret(settings, "secrets", "control_key_files", file) for file in files
    ]
