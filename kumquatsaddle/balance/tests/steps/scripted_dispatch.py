"""A balanced dispatcher before scripted servers, and its requests."""

import trio

from kumquatsaddle.balance import RoutedRequest, make_balanced_dispatcher
from kumquatsaddle.discovery.records import ServerRecord
from kumquatsaddle.dispatch.protocol import BackendProtocol
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.routes import PublishedRoute, RouteShare
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.testing.backends import MAX_ANSWER_BYTES, ScriptedServers
from kumquatsaddle.types import Rank

PROTOCOL = BackendProtocol(
    request_id=b"kumquatsaddle-request",
    deadline=b"kumquatsaddle-deadline-ms",
    expected_server=b"expected-server",
    unprocessed=b"backend-unprocessed",
    rate_limit=b"backend-rate-limit",
    leaving=b"backend-leaving",
    skips_unmatched_answers=True,
)
ATTEMPTS = 2


def make_request(number, idempotent, timeout=3.0):
    route = PublishedRoute(
        "r",
        "h",
        "/",
        idempotent,
        timeout,
        1.0,
        Rank.BULK,
        ATTEMPTS,
        (RouteShare("s", 1.0),),
    )
    now = trio.current_time()
    headers = [(b"host", b"h"), (PROTOCOL.request_id, str(number).encode())]
    return RoutedRequest(
        str(number).encode(),
        "GET" if idempotent else "POST",
        f"/{number}",
        headers,
        b"",
        route,
        "s",
        now,
        now + timeout,
    )


async def open_servers(nursery, count, **retry_limits):
    servers = ScriptedServers(nursery)
    dispatcher = make_balanced_dispatcher(
        "z", PROTOCOL, make_metrics(), MAX_ANSWER_BYTES, **retry_limits
    )
    backends = await servers.start(count)
    records = [
        ServerRecord(b.name, 1, "s", parse_address(b.address), "z", 6, False)
        for b in backends
    ]
    await dispatcher.update_servers(records)
    return servers, dispatcher


def start_dispatch(context, number, timeout=5.0):
    async def run():
        request = make_request(number, False, timeout)
        context.answers[number] = await context.dispatcher.dispatch(request)

    context.nursery.start_soon(run)


async def wait_until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.01)


def count_waiting(context):
    return context.dispatcher.pools["s"].count_waiting()


def count_load(context):
    return sum(server.in_flight for server in context.dispatcher.list_servers())
