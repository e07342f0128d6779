"""An entry instance: the parts of the fleet composed into one application.

`make_node` builds the parts and adds their hooks to an `Application`. The node owns
the placement and the list of backend servers; every other state belongs to its part.
"""

import random
import secrets
import time

import trio

from kumquatsaddle.addresses.answers import order_homes
from kumquatsaddle.addresses.groups import Backend
from kumquatsaddle.addresses.homes import HomeCandidate
from kumquatsaddle.addresses.placement import make_placement
from kumquatsaddle.admission.limits import make_limits
from kumquatsaddle.configuration.changes import read_changes, seed_changes
from kumquatsaddle.configuration.state import make_configuration
from kumquatsaddle.dispatch.digests import choose_digests, make_digests
from kumquatsaddle.dispatch.dispatcher import make_dispatcher
from kumquatsaddle.dispatch.peers import make_links
from kumquatsaddle.entry.callers import make_caller_server
from kumquatsaddle.entry.control import make_control_server
from kumquatsaddle.entry.proxy import make_proxy
from kumquatsaddle.exceptions import ConfigurationError, PlatformError
from kumquatsaddle.lifecycle.application import make_application
from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.exchange import fill_hello, read_members
from kumquatsaddle.membership.gossip import make_gossip
from kumquatsaddle.membership.judgement import make_judgement, select_serving
from kumquatsaddle.membership.members import Member, make_table
from kumquatsaddle.messages.codec import make_codec
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.operations.issuer import make_incarnation, make_issuer
from kumquatsaddle.operations.ledger import make_ledger
from kumquatsaddle.platform.interface import make_platform
from kumquatsaddle.settings.files import read_secret
from kumquatsaddle.types import BackendId, BackendState, InstanceState

__all__ = ["Node", "make_node"]

# Shortest time in seconds between two derivations of the placement.
_PLACEMENT_INTERVAL = 0.2
# Time in seconds between two rounds of digests, and for a table from a peer.
_DIGEST_INTERVAL = 1.0
_TABLE_TIMEOUT = 5.0
_RANDOM_KEY_BYTES = 32


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
        self.configuration = make_configuration()
        self.incarnation = make_incarnation()
        self.issuer = make_issuer(self.incarnation)
        self.ledger = make_ledger(time.time)
        self.limits = make_limits()
        self.dispatcher = make_dispatcher(
            self.metrics, settings.get("limits", "answer_bytes")
        )
        self.table = make_table(_describe_self(settings, self.incarnation))
        self.codec = make_codec(self.name, self.incarnation, _read_keys(settings))
        self.gossip = make_gossip(
            self.table,
            self.codec,
            self.metrics,
            settings,
            lambda: self.configuration.version,
            self._note_version,
        )
        self.gossip.fetch_table = self._fetch_table
        self.gossip.on_digest = self._record_digests
        self.digests = make_digests()
        self.judgement = make_judgement(
            self.gossip,
            self.metrics,
            lambda: self.configuration.version,
            self._has_reachable_backend,
        )
        self.links = None
        self.backends = []
        self.placement = make_placement((), (), ())
        self._placement_key = None
        self._wake = trio.Event()

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
        serving = {member.name for member in self.serving_members()}
        weights = {
            name: weight
            for name, weight in self.placement.homes_of(service).items()
            if name in serving
        }
        return order_homes(weights, service, account)

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
        candidates = [
            HomeCandidate(member.name, member.zone, member.region)
            for member in self.serving_members()
        ]
        services = self.configuration.services
        self.placement = make_placement(services.values(), self.backends, candidates)
        await self.dispatcher.update_groups(
            services, self.placement.groups_of(self.name)
        )

    async def refresh(self):
        """Read the list of instances and the change log from the platform.

        Raises
        ------
        PlatformError
            If the platform cannot be reached; what is in force stays.
        """
        for change in await read_changes(self.platform, self.configuration.version):
            self.configuration.apply_change(change)
        listed = await self.platform.list_instances()
        self.backends = [
            Backend(
                BackendId(entry.name),
                entry.service,
                entry.address,
                entry.zone,
                entry.region,
                entry.leaving,
            )
            for entry in listed
            if entry.role == "backend"
        ]
        self.gossip.seeds |= {
            entry.address for entry in listed if entry.role == "entry"
        }
        await self.update_placement()

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

    async def _send_digests(self):
        rng = random.Random()
        while True:
            await trio.sleep(_DIGEST_INTERVAL * rng.uniform(0.9, 1.1))
            chosen = choose_digests(
                self.dispatcher.describe_services(),
                self.placement.homes_of,
                self.name,
                rng,
            )
            for home, digests in chosen.items():
                await self.gossip.send_digests(home, digests)

    def _has_reachable_backend(self):
        unusable = (BackendState.EJECTED, BackendState.GONE)
        states = [
            server.health.state
            for pool in self.dispatcher.pools.values()
            for server in pool.servers.values()
            if server.health.state is not BackendState.DRAINING
        ]
        if not states:
            return None
        return any(state not in unusable for state in states)

    def _note_version(self, member, version):
        self.judgement.note_version(version)
        if version > self.configuration.version:
            self._wake.set()

    async def _load_first(self, nursery):
        for change in seed_changes(self.settings.seeds):
            self.configuration.apply_change(change)
        self.gossip.seeds |= {
            str(address) for address in self.settings.get("membership", "seeds")
        }
        while True:
            try:
                await self.refresh()
                return
            except (PlatformError, ConfigurationError) as error:
                log_event("refresh_failed", level="WARNING", error=error)
                await trio.sleep(1.0)

    async def _poll_platform(self):
        rng = random.Random()
        while True:
            interval = self.settings.get("platform", "poll_interval")
            with trio.move_on_after(interval * rng.uniform(0.5, 1.5)):
                await self._wake.wait()
            self._wake = trio.Event()
            try:
                await self.refresh()
            except (PlatformError, ConfigurationError) as error:
                log_event("refresh_failed", level="WARNING", error=error)

    async def _watch_placement(self):
        while True:
            await trio.sleep(_PLACEMENT_INTERVAL)
            await self.update_placement()

    async def start(self, nursery):
        """Start the tasks; the instance serves once it has a configuration."""
        listen = self.settings.get("listen", "control")
        self.links = make_links(self.codec, nursery)
        await nursery.start(self.gossip.run, listen)
        control = make_control_server(self)
        await nursery.start(control.run, listen)
        self.callers = make_caller_server(self, make_proxy(self))
        await nursery.start(self.callers.run, self.settings.get("listen", "callers"))
        await self._load_first(nursery)
        self.gossip.set_own_state(InstanceState.ALIVE)
        await self.update_placement()
        nursery.start_soon(self._poll_platform)
        nursery.start_soon(self._watch_placement)
        nursery.start_soon(self._send_digests)
        nursery.start_soon(self.judgement.run)

    async def stop(self):
        """Leave the address answer, end the work in flight and release the homes."""
        self.gossip.set_own_state(InstanceState.LEAVING)
        await self.gossip.announce()
        await self.callers.drain(
            self.settings.get("stop", "notice"), self.settings.get("stop", "grace")
        )
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
    return node, application


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
