"""A fleet in one process on loopback addresses, for tests of whole paths.

Instances, backend servers and the platform run as tasks. Each process uses loopback
addresses of its own, so that test runs do not meet.
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
from kumquatsaddle.testing.cuts import Cuts
from kumquatsaddle.testing.platforms import FaultyPlatform
from kumquatsaddle.testing.settings import make_settings
from kumquatsaddle.testing.wires import Wire
from standins.backend import BackendStandin
from standins.http import serve_http

__all__ = ["Fleet", "open_fleet"]

_networks = itertools.count(1)
_WAIT = 20.0
_MAX_BODY = 1 << 24
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
    """One instance of a test fleet: node, application and the scope of its task."""

    def __init__(self, node, application, platform):
        self.node = node
        self.application = application
        self.platform = platform
        self.scope = trio.CancelScope()
        self.leaving = False
        self.ended = trio.Event()

    @property
    def callers(self):
        """Address for callers."""
        return self.node.settings.get("listen", "callers")


class Fleet:
    """Instances, backend servers and the platform of a test.

    Parameters
    ----------
    nursery : trio.Nursery
    folder : Path
        Holds the key of the internal messages.
    sections : dict, optional
        Settings of all instances: section to keys and texts.
    """

    def __init__(self, nursery, folder, sections=None):
        self._nursery = nursery
        self._sections = sections or {}
        self._prefix = f"127.{os.getpid() % 250 + 2}.{next(_networks) % 250}"
        self._hosts = itertools.count(2)
        self._key_file = folder / "control.key"
        self._key_file.write_text(secrets.token_hex(32))
        self.operator_token = secrets.token_hex(16)
        self._token_file = folder / "operator.token"
        self._token_file.write_text(self.operator_token)
        self.platform = FaultyPlatform()
        self.cuts = Cuts()
        self.nodes = []
        self.backends = {}
        self.wires = {}

    async def configure(self, entities):
        """Commit entities, as triples of kind, name and value."""
        for kind, name, value in entities:
            base = len([k for k in self.platform.store.rows if "changes" in k])
            await commit_change(self.platform, base, kind, name, value)

    async def add_backend(self, name, service, zone="a", work=0.001, slots=6):
        """Start a backend server behind a `Wire` and list it."""
        standin = BackendStandin(name, slots=slots, work=work)
        server, wire = (Address(self._next_host(), 7000) for _ in range(2))
        await self._nursery.start(serve_http, standin.handle, server.host, server.port)
        self.wires[name] = Wire(server)
        await self._nursery.start(self.wires[name].run, wire)
        self.backends[name] = standin
        self.list_backend(name, service, str(wire), zone)
        return standin

    def list_backend(self, name, service, address, zone="a", leaving=False):
        """Write a backend server into the list of instances."""
        self.platform.store.instances[name] = ListedInstance(
            name, "backend", service, address, zone, "west", leaving
        )

    async def add_node(self, name, zone="a", **texts):
        """Start an instance; it may not be serving yet."""
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
        wrap_links = self.cuts.attach(node)

        async def wrap(nursery):
            wrap_links()

        application.on_start(wrap)
        entry = FleetNode(node, application, platform)
        self.nodes.append(entry)
        self._nursery.start_soon(self._run_node, entry)
        return entry

    async def wait_until_serving(self):
        """Wait until every instance sees all others and the newest configuration."""
        with trio.fail_after(_WAIT):
            while not self._is_settled():
                await trio.sleep(0.02)

    def crash(self, entry):
        """End an instance at once, without its stop hooks."""
        # Its task ends a little later; another fault must not choose it meanwhile.
        entry.leaving = True
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
                    method, target, fields, body, _MAX_BODY, lambda: None
                )
        finally:
            await connection.close()

    async def issue(self, entry, count=1):
        """Return operation ids issued by an instance."""
        target = f"/.kumquatsaddle/operations?count={count}"
        raw = await self.call(entry.callers, "POST", target)
        return json.loads(raw.body)["operations"]

    def alive(self):
        """Return the instances that run and have not been told to stop."""
        return [
            entry
            for entry in self.nodes
            if not entry.ended.is_set() and not entry.leaving
        ]

    async def replace_node(self, entry, **texts):
        """Start a new instance with the name and zone of one that ended."""
        self.nodes.remove(entry)
        zone = entry.node.settings.get("instance", "zone")
        new = await self.add_node(entry.node.name, zone, **texts)
        new.platform.down = entry.platform.down
        return new

    def bodies(self):
        """Return how often each request body ran on the backend servers."""
        totals = {}
        for standin in self.backends.values():
            for body, count in standin.bodies.items():
                totals[body] = totals.get(body, 0) + count
        return totals

    def executions(self):
        """Return how often each operation id ran on the backend servers."""
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
            serving = {member.name for member in entry.node.serving_members()}
            if not entry.application.started.is_set() or serving != names:
                return False
        homes = [entry.node.placement.homes for entry in self.alive()]
        if not homes[0] or any(held != homes[0] for held in homes):
            return False
        if not names.issuperset(homes[0].values()):
            # The placement follows a change of the members with a short delay.
            return False
        return all(_holds_groups(entry.node) for entry in self.alive())

    async def _run_node(self, entry):
        try:
            with entry.scope:
                await entry.application.run()
        finally:
            entry.ended.set()

    def _next_host(self):
        return f"{self._prefix}.{next(self._hosts)}"


def _holds_groups(node):
    """Return whether the dispatcher has taken over the homes of the placement.

    It does so shortly after the placement changes, since it closes connections.
    """
    services = {group.service for group in node.placement.groups_of(node.name)}
    return services == set(node.dispatcher.pools)


@asynccontextmanager
async def open_fleet(nodes=2, backends=2, *, entities=None, work=0.001, sections=None):
    """Run a fleet: services ``lookup`` (idempotent) and ``order`` (not).

    Parameters
    ----------
    nodes : int
        Instances, each in a zone of its own.
    backends : int
        Backend servers of each service.
    entities : sequence of tuple, optional
        Further kind, name and value of the configuration.
    work : float
        Mean time of a request at a backend server in seconds.
    sections : dict, optional
        Settings of all instances: section to keys and texts.

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
