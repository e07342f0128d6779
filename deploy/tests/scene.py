"""An instance between stand-ins of the platform's store and of a backend server."""

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

__all__ = ["NO_ROUTE", "ROUTE", "Scene", "call", "open_scene"]

ROUTE, NO_ROUTE = "/b/c/item?x=1", "/none/"
_WAIT = 10.0
_LOOK = 0.02


class Scene:
    """A store, a server and an instance on loopback addresses."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.store = StoreStandin()
        self.server = ServerStandin()
        self.ended = trio.Event()

    async def start(self, configured):
        url = f"http://{await start_standin(self.nursery, self.store)}"
        self.address = await start_standin(self.nursery, self.server)
        self.list_server()
        if configured:
            self.store.put("op", "config", CONFIGURATION)
        ports = await _find_ports(6)
        listen = dict(zip(PLACES, (f"127.0.0.1:{port}" for port in ports), strict=True))
        settings = make_settings(
            instance={"id": "entry-1", "zone": "north"},
            listen=listen,
            platform={"kind": "http", "url": url, "timeout": "1"},
            stop={"notice": "0.2", "grace": "3"},
        )
        parts = DeploymentParts(
            make_store_client(settings), CALLERS, BACKENDS, make_pages
        )
        self.node, self.application = make_routed_node(settings, parts)
        self.nursery.start_soon(self._run)
        with trio.fail_after(_WAIT):
            await self.application.started.wait()
            while configured and not self.node.is_serving():
                await trio.sleep(_LOOK)

    def list_server(self, state="ready"):
        entry = {**ENTRY, "Service": "extra", "Address": self.address, "State": state}
        self.store.put("servers", "i-1", entry)

    async def _run(self):
        await self.application.run()
        self.ended.set()

    async def call(self, place, target, host="shop.example"):
        address = self.node.settings.get("listen", place)
        connection = await open_connection(Address(*address), 1.0)
        headers = [
            (b"host", host.encode()),
            (b"x-request-id", b"id-1"),
            (b"x-deadline-ms", b"5000"),
            (b"content-length", b"4"),
        ]
        try:
            with trio.fail_after(_WAIT):
                method = "POST" if place == "callers" else "GET"
                body = b"body" if place == "callers" else b""
                if not body:
                    headers.pop()
                return await connection.exchange(
                    method, target, headers, body, 1 << 20, lambda: None
                )
        finally:
            await connection.close()


PLACES = ("callers", "control", "operators", "directory", "readiness", "metrics")


async def _find_ports(count):
    listeners = [
        (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0] for _ in range(count)
    ]
    ports = [listener.socket.getsockname()[1] for listener in listeners]
    for listener in listeners:
        await listener.aclose()
    return ports


@asynccontextmanager
async def open_scene(configured):
    async with trio.open_nursery() as nursery:
        scene = Scene(nursery)
        await scene.start(configured)
        yield scene
        nursery.cancel_scope.cancel()


def call(context, place, target, **options):
    """Send one request to a place of the instance and return the `RawAnswer`."""
    return context.loop.run(lambda: context.scene.call(place, target, **options))
