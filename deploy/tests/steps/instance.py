import copy
import json

import trio
from behave import given, then, when
from harness import ROUTED_TARGET, UNROUTED_TARGET, open_harness, send_request
from samples import CONFIGURATION

from kumquatsaddle.testing.loops import start_loop

_TIMEOUT_SECONDS = 10.0


@given("a platform with a server and an instance")
def prepare_instance(context):
    context.loop = start_loop(context, open_harness(True))
    context.harness = context.loop.resource


@given("a platform without a configuration and an instance")
def prepare_unconfigured_instance(context):
    context.loop = start_loop(context, open_harness(False))
    context.harness = context.loop.resource


@then("the instance is ready and gives its own address")
def check_ready(context):
    assert send_request(context, "readiness", "/v1/readiness").status == 200
    answer = send_request(
        context, "directory", "/v1/resolve?Name=shop.example&Zone=north"
    )
    own = str(context.harness.node.settings.get("listen", "callers"))
    fields = json.loads(answer.body)
    assert fields["Addresses"] == [own] and fields["TtlS"] > 0


@then("a request of a route is answered by the server")
def check_served(context):
    answer = send_request(context, "callers", ROUTED_TARGET)
    assert (
        answer.status == 200 and answer.body == b"answer to " + ROUTED_TARGET.encode()
    )
    assert answer.get_header(b"x-response-signature") == b"signed"
    method, target, headers, body = context.harness.server.received[0]
    assert (method, target, body) == ("POST", ROUTED_TARGET, b"body")
    assert headers["x-request-id"] == "id-1"
    assert headers["x-expected-instance"] == "i-1"
    assert 4000 < int(headers["x-deadline-ms"]) <= 5000


@then("a request of no route is answered 404 with its id")
def check_no_route(context):
    answer = send_request(context, "callers", UNROUTED_TARGET)
    assert answer.status == 404
    assert answer.get_header(b"x-request-id") == b"id-1"


@then("the metrics are served")
def check_metrics(context):
    text = send_request(context, "metrics", "/metrics").body.decode()
    assert "kumquatsaddle_request_seconds_bucket" in text
    assert 'kumquatsaddle_refusals_total{reason="unknown_route"} 1' in text


@when("the server drains")
def drain_server(context):
    context.harness.list_server("draining")


@then("a second later a request is refused as not run, with a retry-after header")
def check_refused(context):
    async def wait():
        await trio.sleep(1.0)

    context.loop.run(wait)
    # The timeout of the route is short, so that the refusal comes soon.
    answer = send_request(context, "callers", ROUTED_TARGET)
    assert answer.status == 503, answer.status
    assert float(answer.get_header(b"retry-after")) > 0
    assert not context.harness.server.received


@then("the instance is not ready")
def check_not_ready(context):
    assert send_request(context, "readiness", "/v1/readiness").status == 503


@then("a request is refused with 503")
def check_not_configured(context):
    assert send_request(context, "callers", ROUTED_TARGET).status == 503


@when("the route is dropped")
def drop_route(context):
    changed = copy.deepcopy(CONFIGURATION)
    changed["Version"] = "0000000f"
    del changed["Resources"][1]
    context.harness.store.put("op", "config", changed)


@then("a second later a request of the route is answered 404")
def check_dropped(context):
    context.loop.run(trio.sleep, 1.0)
    assert send_request(context, "callers", ROUTED_TARGET).status == 404


@when("the instance is stopped while a request runs")
def stop_instance(context):
    context.harness.server.delay_seconds = 1.0
    context.answers = []

    async def run():
        async with trio.open_nursery() as nursery:

            async def send():
                context.answers.append(
                    await context.harness.send_request("callers", ROUTED_TARGET)
                )

            nursery.start_soon(send)
            await trio.sleep(0.3)
            context.harness.application.stop()

    context.loop.run(run)


@then("the request is answered by the server")
def check_answered(context):
    assert [answer.status for answer in context.answers] == [200]


@then("the instance ends")
def check_ended(context):
    async def wait():
        with trio.fail_after(_TIMEOUT_SECONDS):
            await context.harness.stopped.wait()

    context.loop.run(wait)


@when("the server is slow and a request arrives slowly while the instance stops")
def send_slowly(context):
    context.harness.server.delay_seconds = 8.0
    head = f"POST {ROUTED_TARGET} HTTP/1.1\r\nHost: shop.example\r\n".encode()
    rest = b"X-Request-Id: id-1\r\nContent-Length: 4\r\n\r\nbody"

    async def run():
        address = context.harness.node.settings.get("listen", "callers")
        async with await trio.open_tcp_stream(*address) as stream:
            await stream.send_all(head)
            await trio.sleep(0.1)
            context.harness.application.stop()
            # The notice and more than half of the grace.
            await trio.sleep(2.0)
            await stream.send_all(rest)
            context.received = b"".join([part async for part in stream])

    context.loop.run(run)


@then("it is refused as not run and told to come back, and no server gets it")
def check_refused_in_stop(context):
    head = context.received.lower()
    assert head.startswith(b"http/1.1 503 "), context.received
    assert b"\r\nretry-after: " in head and b"\r\nconnection: close\r\n" in head
    assert not context.harness.server.received
