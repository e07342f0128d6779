"""A fleet in one process on loopback addresses, for end-to-end tests.

Instances, backend servers and the platform run as tasks. Each process uses loopback
addresses of its own, so that parallel test runs do not conflict.
"""

import itertools
import json
import os
import secrets
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from kumquatsaddle.configuration.changes import commit_change
from kumquatsaddle.dispatch.connections import open_connection
from kumquatsaddle.lifecycle.node import make_node
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.storage.interface import ListedInstance
from kumquatsaddle.testing.partitions import Partitions
from kumquatsaddle.testing.platforms import FaultyPlatform
from kumquatsaddle.testing.relays import FaultyRelay
from kumquatsaddle.testing.settings import make_settings
from standins.backend import BackendStandin
from standins.http import serve_http

__all__ = ["Fleet", "open_fleet"]

_network_numbers = itertools.count(1)
_SETTLE_TIMEOUT_SECONDS = 20.0
_MAX_BODY_BYTES = 1 << 24
ROUTES = [
    {
        "method": "GET",
        "prefix": "/",
        "service": "lookup",
        "rank": "urgent",
        "idempotent": True,
    },
    {"method": "POST", "prefix": "/", "service": "order", "rank": "standard"},
]


class FleetNode:
    """One instance of a test fleet: node, application, platform client and task."""

    def __init__(self, node, application, platform):
        self.node = node
        self.application = application
        self.platform = platform
        self.scope = trio.CancelScope()
        self.stopping = False
        self.ended = trio.Event()

    @property
    def callers(self):
        """The address for callers."""
        return self.node.settings.get("listen", "callers")


class Fleet:
    """Instances, backend servers and the platform of a test.

    Parameters
    ----------
    nursery : trio.Nursery
    folder : Path
        Receives the files with the key of internal messages and the operator token.
    sections : dict, optional
        Settings of all instances: section to keys and values as text.
    """

    def __init__(self, nursery, folder, sections=None):
        self._nursery = nursery
        self._sections = sections or {}
        self._network_prefix = (
            f"127.{os.getpid() % 250 + 2}.{next(_network_numbers) % 250}"
        )
        self._host_numbers = itertools.count(2)
        self._key_file = folder / "control.key"
        self._key_file.write_text(secrets.token_hex(32))
        self.operator_token = secrets.token_hex(16)
        self._token_file = folder / "operator.token"
        self._token_file.write_text(self.operator_token)
        self.platform = FaultyPlatform()
        self.partitions = Partitions()
        self.nodes = []
        self.backends = {}
        self.relays = {}

    async def configure(self, entities):
        """Commit entities, given as triples of kind, name and value."""
        for kind, name, value in entities:
            base = len([k for k in self.platform.store.rows if "changes" in k])
            await commit_change(self.platform, base, kind, name, value)

    async def add_backend(self, name, service, zone="a", work=0.001, slots=6):
        """Start a backend server behind a `FaultyRelay` and list its address."""
        standin = BackendStandin(name, slots=slots, work=work)
        server_address, relay_address = (
            Address(self._next_host(), 7000) for _ in range(2)
        )
        await self._nursery.start(
            serve_http, standin.handle, server_address.host, server_address.port
        )
        self.relays[name] = FaultyRelay(server_address)
        await self._nursery.start(self.relays[name].run, relay_address)
        self.backends[name] = standin
        self.register_backend(name, service, str(relay_address), zone)
        return standin

    def register_backend(self, name, service, address, zone="a", leaving=False):
        """Add a backend server to the platform's list, or replace its entry."""
        self.platform.store.instances[name] = ListedInstance(
            name, "backend", service, address, zone, "west", leaving
        )

    async def add_node(self, name, zone="a", **texts):
        """Start an instance without waiting until it serves."""
        host = self._next_host()
        sections = {
            "instance": {"id": name, "zone": zone, "region": "west"},
            "listen": {
                "callers": f"{host}:8000",
                "control": f"{host}:8001",
                "operators": f"{host}:8002",
            },
            "platform": {"kind": "memory", "poll_interval": "0.5"},
            "secrets": {
                "control_key_files": str(self._key_file),
                "operator_token_file": str(self._token_file),
            },
            "membership": {"probe_interval": "0.1", "suspicion_timeout": "0.5"},
            "stop": {"notice": "0.2", "grace": "10"},
        }
        for section, values in (*self._sections.items(), *texts.items()):
            sections.setdefault(section, {}).update(values)
        self.platform.store.instances[name] = ListedInstance(
            name, "entry", "", f"{host}:8001", zone, "west"
        )
        platform = FaultyPlatform(self.platform.store)
        node, application = make_node(make_settings(**sections), platform)
        apply_to_links = self.partitions.attach(node)

        async def apply_partitions(nursery):
            apply_to_links()

        application.on_start(apply_partitions)
        entry = FleetNode(node, application, platform)
        self.nodes.append(entry)
        self._nursery.start_soon(self._run_node, entry)
        return entry

    async def wait_until_serving(self):
        """Wait until all instances have started and agree on members and homes."""
        with trio.fail_after(_SETTLE_TIMEOUT_SECONDS):
            while not self._is_settled():
                await trio.sleep(0.02)

    def crash(self, entry):
        """Cancel an instance without running its stop hooks."""
        # Its task ends later; until then another fault must not choose the instance.
        entry.stopping = True
        entry.scope.cancel()

    async def call(
        self,
        address,
        method,
        target,
        body=b"",
        headers=(),
        timeout=10.0,
        account="shop",
    ):
        """Send one request on a new connection and return the `RawAnswer`."""
        fields = [("Host", "fleet"), ("Kumquatsaddle-Account", account), *headers]
        fields.append(("Content-Length", str(len(body))))
        connection = await open_connection(address, timeout)
        try:
            with trio.fail_after(timeout):
                return await connection.exchange(
                    method, target, fields, body, _MAX_BODY_BYTES, lambda: None
                )
        finally:
            await connection.close()

    async def issue_operations(self, entry, count=1):
        """Return operation ids issued by an instance."""
        target = f"/.kumquatsaddle/operations?count={count}"
        raw = await self.call(entry.callers, "POST", target)
        return json.loads(raw.body)["operations"]

    def list_running(self):
        """Return the instances that run and are not stopping or crashed."""
        return [
            entry
            for entry in self.nodes
            if not entry.ended.is_set() and not entry.stopping
        ]

    async def replace_node(self, entry, **texts):
        """Start a new instance in place of one that ended, with its name and zone."""
        self.nodes.remove(entry)
        zone = entry.node.settings.get("instance", "zone")
        new = await self.add_node(entry.node.name, zone, **texts)
        new.platform.down = entry.platform.down
        return new

    def count_executions_by_body(self):
        """Return how often a request with each body ran, over all backend servers."""
        totals = {}
        for standin in self.backends.values():
            for body, count in standin.bodies.items():
                totals[body] = totals.get(body, 0) + count
        return totals

    def count_executions_by_operation(self):
        """Return how often each operation id ran, over all backend servers."""
        totals = {}
        for standin in self.backends.values():
            for operation, count in standin.executions.items():
                totals[operation] = totals.get(operation, 0) + count
        return totals

    def _is_settled(self):
        names = {entry.node.name for entry in self.nodes if not entry.ended.is_set()}
        for entry in self.nodes:
            if entry.ended.is_set():
                continue
            serving = {member.name for member in entry.node.list_serving_members()}
            if not entry.application.started.is_set() or serving != names:
                return False
        homes = [entry.node.placement.homes for entry in self.list_running()]
        if not homes[0] or any(other != homes[0] for other in homes):
            return False
        if not names.issuperset(homes[0].values()):
            # The placement is updated shortly after the members change.
            return False
        return all(_has_applied_placement(entry.node) for entry in self.list_running())

    async def _run_node(self, entry):
        try:
            with entry.scope:
                await entry.application.run()
        finally:
            entry.ended.set()

    def _next_host(self):
        return f"{self._network_prefix}.{next(self._host_numbers)}"


def _has_applied_placement(node):
    """Return whether the dispatcher has a pool for each service placed at the node.

    The dispatcher follows the placement with a delay, since it closes connections.
    """
    services = {group.service for group in node.placement.list_groups(node.name)}
    return services == set(node.dispatcher.pools)


@asynccontextmanager
async def open_fleet(nodes=2, backends=2, *, entities=None, work=0.001, sections=None):
    """Run a fleet with the services ``lookup`` (idempotent) and ``order`` (not).

    Parameters
    ----------
    nodes : int
        Number of instances, each in a zone of its own.
    backends : int
        Number of backend servers of each service.
    entities : sequence of tuple, optional
        Further entities of the configuration, as triples of kind, name and value.
    work : float
        Mean processing time of a request at a backend server, in seconds.
    sections : dict, optional
        Settings of all instances: section to keys and values as text.

    Yields
    ------
    Fleet
    """
    zones = "abcdefgh"
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, Path(folder), sections)
            await fleet.configure(
                [
                    ("service", "lookup", {"floor": 0.5}),
                    ("service", "order", {"floor": 0.5}),
                    ("template", "default", {"routes": ROUTES}),
                    ("account", "shop", {"template": "default"}),
                    *(entities or ()),
                ]
            )
            for service in ("lookup", "order"):
                for index in range(backends):
                    zone = zones[index % nodes]
                    await fleet.add_backend(f"{service}-{index}", service, zone, work)
            for index in range(nodes):
                await fleet.add_node(f"entry-{index}", zones[index])
            await fleet.wait_until_serving()
            yield fleet
            nursery.cancel_scope.cancel()
