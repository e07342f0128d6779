"""An instance with stand-ins for the platform's store and for a backend server."""

from contextlib import asynccontextmanager

import trio
from adapter.headers import BACKENDS, CALLERS
from adapter.pages import make_pages
from adapter.store import make_store_client
from samples import CONFIGURATION, ENTRY
from standin import ServerStandin, StoreStandin, start_standin

from kumquatsaddle.dispatch.connections import open_connection
from kumquatsaddle.lifecycle.routed_node import DeploymentParts, make_routed_node
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.testing.settings import make_settings

__all__ = [
    "ROUTED_TARGET",
    "UNROUTED_TARGET",
    "InstanceHarness",
    "open_harness",
    "send_request",
]

ROUTED_TARGET, UNROUTED_TARGET = "/b/c/item?x=1", "/none/"
_TIMEOUT_SECONDS = 10.0
_POLL_INTERVAL_SECONDS = 0.02


class InstanceHarness:
    """Runs a store, a backend server and an instance on loopback addresses."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.store = StoreStandin()
        self.server = ServerStandin()
        self.stopped = trio.Event()

    async def start(self, configured, sections):
        url = f"http://{await start_standin(self.nursery, self.store)}"
        self.address = await start_standin(self.nursery, self.server)
        self.list_server()
        if configured:
            self.store.put("op", "config", CONFIGURATION)
        ports = await _find_free_ports(6)
        listen = dict(
            zip(LISTEN_KEYS, (f"127.0.0.1:{port}" for port in ports), strict=True)
        )
        settings = make_settings(
            instance={"id": "entry-1", "zone": "north"},
            listen=listen,
            platform={"kind": "http", "url": url, "timeout": "1"},
            stop={"notice": "0.2", "grace": "3"},
            **sections,
        )
        parts = DeploymentParts(
            make_store_client(settings), CALLERS, BACKENDS, make_pages
        )
        self.node, self.application = make_routed_node(settings, parts)
        self.nursery.start_soon(self._run)
        with trio.fail_after(_TIMEOUT_SECONDS):
            await self.application.started.wait()
            while configured and not self.node.is_serving():
                await trio.sleep(_POLL_INTERVAL_SECONDS)

    def list_server(self, state="ready"):
        entry = {**ENTRY, "Service": "extra", "Address": self.address, "State": state}
        self.store.put("servers", "i-1", entry)

    async def _run(self):
        await self.application.run()
        self.stopped.set()

    async def send_request(self, listen_key, target, host="shop.example", body=b"body"):
        address = self.node.settings.get("listen", listen_key)
        connection = await open_connection(Address(*address), 1.0)
        headers = [
            (b"host", host.encode()),
            (b"x-request-id", b"id-1"),
            (b"x-deadline-ms", b"5000"),
            (b"content-length", str(len(body)).encode()),
        ]
        try:
            with trio.fail_after(_TIMEOUT_SECONDS):
                method = "POST" if listen_key == "callers" else "GET"
                if listen_key != "callers":
                    body = b""
                    headers.pop()
                return await connection.exchange(
                    method, target, headers, body, 1 << 20, lambda: None
                )
        finally:
            await connection.close()


LISTEN_KEYS = ("callers", "control", "operators", "directory", "readiness", "metrics")


async def _find_free_ports(count):
    listeners = [
        (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0] for _ in range(count)
    ]
    ports = [listener.socket.getsockname()[1] for listener in listeners]
    for listener in listeners:
        await listener.aclose()
    return ports


@asynccontextmanager
async def open_harness(configured, **sections):
    """Run an instance; `sections` are further sections of its settings."""
    async with trio.open_nursery() as nursery:
        harness = InstanceHarness(nursery)
        await harness.start(configured, sections)
        yield harness
        nursery.cancel_scope.cancel()


def send_request(context, listen_key, target, **options):
    """Send a request to an address of ``[listen]`` and return the `RawAnswer`."""
    return context.loop.run(
        lambda: context.harness.send_request(listen_key, target, **options)
    )
