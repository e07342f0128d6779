import copy
import json
from contextlib import asynccontextmanager

import trio
from adapter.headers import BACKENDS, CALLERS
from adapter.pages import make_pages
from adapter.store import make_store_client
from behave import given, then, when
from samples import CONFIGURATION, ENTRY
from standin import ServerStandin, StoreStandin, start_standin

from kumquatsaddle.dispatch.connections import open_connection
from kumquatsaddle.lifecycle.routed_node import DeploymentParts, make_routed_node
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.testing.loops import start_loop
from kumquatsaddle.testing.settings import make_settings

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


@given("a platform with a server and an instance")
def prepare(context):
    context.loop = start_loop(context, open_scene(True))
    context.scene = context.loop.resource


@given("a platform without a configuration and an instance")
def prepare_unconfigured(context):
    context.loop = start_loop(context, open_scene(False))
    context.scene = context.loop.resource


def call(context, place, target, **options):
    return context.loop.run(lambda: context.scene.call(place, target, **options))


@then("the instance is ready and gives its own address")
def check_ready(context):
    assert call(context, "readiness", "/v1/readiness").status == 200
    answer = call(context, "directory", "/v1/resolve?Name=shop.example&Zone=north")
    own = str(context.scene.node.settings.get("listen", "callers"))
    fields = json.loads(answer.body)
    assert fields["Addresses"] == [own] and fields["TtlS"] > 0


@then("a request of a route is answered by the server")
def check_served(context):
    answer = call(context, "callers", ROUTE)
    assert answer.status == 200 and answer.body == b"answer to " + ROUTE.encode()
    assert answer.get_header(b"x-response-signature") == b"signed"
    method, target, headers, body = context.scene.server.received[0]
    assert (method, target, body) == ("POST", ROUTE, b"body")
    assert headers["x-request-id"] == "id-1"
    assert headers["x-expected-instance"] == "i-1"
    assert 4000 < int(headers["x-deadline-ms"]) <= 5000


@then("a request of no route is answered 404 with its id")
def check_no_route(context):
    answer = call(context, "callers", NO_ROUTE)
    assert answer.status == 404
    assert answer.get_header(b"x-request-id") == b"id-1"


@then("the metrics are served")
def check_metrics(context):
    text = call(context, "metrics", "/metrics").body.decode()
    assert "kumquatsaddle_request_seconds_bucket" in text
    assert 'kumquatsaddle_refusals_total{reason="unknown_route"} 1' in text


@when("the server drains")
def drain(context):
    context.scene.list_server("draining")


@then("a second later a request is refused as not run, with a time to come back")
def check_refused(context):
    async def wait():
        await trio.sleep(1.0)

    context.loop.run(wait)
    # The time of the route is short, so that the refusal comes soon.
    answer = call(context, "callers", ROUTE)
    assert answer.status == 503, answer.status
    assert float(answer.get_header(b"retry-after")) > 0
    assert not context.scene.server.received


@then("the instance is not ready")
def check_not_ready(context):
    assert call(context, "readiness", "/v1/readiness").status == 503


@then("a request is refused with 503")
def check_not_configured(context):
    assert call(context, "callers", ROUTE).status == 503


@when("the route is dropped")
def drop_route(context):
    changed = copy.deepcopy(CONFIGURATION)
    changed["Version"] = "0000000f"
    del changed["Resources"][1]
    context.scene.store.put("op", "config", changed)


@then("a second later a request of the route is answered 404")
def check_dropped(context):
    context.loop.run(trio.sleep, 1.0)
    assert call(context, "callers", ROUTE).status == 404


@when("the instance is stopped while a request runs")
def stop(context):
    context.scene.server.pause = 1.0
    context.answers = []

    async def run():
        async with trio.open_nursery() as nursery:

            async def send():
                context.answers.append(await context.scene.call("callers", ROUTE))

            nursery.start_soon(send)
            await trio.sleep(0.3)
            context.scene.application.stop()

    context.loop.run(run)


@then("the request is answered by the server")
def check_answered(context):
    assert [answer.status for answer in context.answers] == [200]


@then("the instance ends")
def check_ended(context):
    async def wait():
        with trio.fail_after(_WAIT):
            await context.scene.ended.wait()

    context.loop.run(wait)
