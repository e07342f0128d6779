from dataclasses import replace
from itertools import count

import trio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from scripted_dispatch import (
    PROTOCOL,
    count_waiting,
    make_request,
    open_servers,
    start_dispatch,
    wait_until,
)

from kumquatsaddle.balance import make_balanced_dispatcher
from kumquatsaddle.balance.fatal_requests import (
    FatalRequests,
    ServerEnd,
    compute_digest,
)
from kumquatsaddle.discovery.records import ServerRecord
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.testing.backends import MAX_ANSWER_BYTES
from kumquatsaddle.types import Outcome, RefusalReason

FATAL_TARGET = "/fatal"


class CrashingServers:
    """Servers whose process ends when they get a request for `FATAL_TARGET`."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.ended = []

    async def start(self, number):
        """Start a server; return its record."""
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        name, port = f"b{number}", listener.socket.getsockname()[1]
        self.nursery.start_soon(self._run, name, listener)
        return ServerRecord(name, 1, "s", Address("127.0.0.1", port), "z", 6, False)

    async def _run(self, name, listener):
        async with trio.open_nursery() as nursery:

            async def serve(stream):
                while True:
                    head = b""
                    while b"\r\n\r\n" not in head:
                        data = await stream.receive_some(4096)
                        if not data:
                            return
                        head += data
                    if FATAL_TARGET.encode() in head:
                        self.ended.append(name)
                        nursery.cancel_scope.cancel()
                        return
                    await stream.send_all(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                    )

            await trio.serve_listeners(serve, [listener], handler_nursery=nursery)


def make_fatal_request(number, idempotent, target=FATAL_TARGET):
    request = make_request(number, idempotent)
    request.target = target
    return request


async def dispatch_all(dispatcher, requests):
    return [await dispatcher.dispatch(request) for request in requests]


@given("5 servers that end when they get a request for /fatal")
def prepare_crashing(context):
    async def open_all(nursery):
        servers = CrashingServers(nursery)
        records = [await servers.start(number) for number in range(5)]
        dispatcher = make_balanced_dispatcher(
            "z", PROTOCOL, make_metrics(), MAX_ANSWER_BYTES
        )
        await dispatcher.update_servers(records)
        return servers, dispatcher

    context.open_all = open_all


def dispatch_fatal(context, idempotent):
    async def run():
        async with trio.open_nursery() as nursery:
            servers, dispatcher = await context.open_all(nursery)
            fatal = [make_fatal_request(number, idempotent) for number in range(4)]
            context.answers = await dispatch_all(dispatcher, fatal)
            others = [make_request(number, True) for number in range(10, 30)]
            context.others = await dispatch_all(dispatcher, others)
            context.ended = servers.ended
            context.refusals = dispatcher.end_records.fatal_requests.list_blocked()
            nursery.cancel_scope.cancel()

    trio.run(run)


@when("an idempotent request for /fatal is dispatched 4 times, each with its own id")
def dispatch_idempotent(context):
    dispatch_fatal(context, True)


@when("a request for /fatal that is not idempotent is dispatched 4 times")
def dispatch_non_idempotent(context):
    dispatch_fatal(context, False)


@then("2 servers have ended, and the last {count:d} were refused at once as unknown")
def check_blocked(context, count):
    assert len(context.ended) == 2, context.ended
    for answer in context.answers:
        assert answer.outcome is Outcome.UNKNOWN and answer.status == 502, answer
    reasons = [answer.reason for answer in context.answers]
    assert reasons[-count:] == [RefusalReason.FATAL_REQUEST] * count, reasons
    (servers,) = context.refusals.values()
    assert sorted(servers) == sorted(context.ended)


@then("other requests are served")
def check_others(context):
    assert {answer.status for answer in context.others} == {200}


@given("a server that closes every connection without an answer")
def prepare_closing(context):
    context.default = ("close", 0)


@when("an idempotent request for /lost is dispatched 6 times")
def dispatch_lost(context):
    async def run():
        async with trio.open_nursery() as nursery:
            servers, dispatcher = await open_servers(nursery, 3)
            servers.default = context.default
            requests = [make_fatal_request(n, True, "/lost") for n in range(6)]
            context.answers = await dispatch_all(dispatcher, requests)
            context.suspects = dispatcher.end_records.fatal_requests.list_ends()
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("none was refused as fatal")
def check_not_fatal(context):
    reasons = {answer.reason for answer in context.answers}
    assert reasons == {RefusalReason.ANSWER_LOST}, reasons
    assert context.suspects == []


@when("6 requests run, one for /0 waits and its content is blocked elsewhere")
def block_waiting(context):
    async def act():
        for number in range(1, 7):
            start_dispatch(context, number)
        await wait_until(lambda: len(context.servers.reached) == 6)
        start_dispatch(context, 0)
        await wait_until(lambda: count_waiting(context) == 1)
        digest = make_request(0, False).digest
        now = trio.current_time()
        for number in (1, 2):
            end = ServerEnd(digest, f"x{number}", now + number, now + number + 0.1)
            context.dispatcher.end_records.add(end)
        context.servers.release_answer.set()
        await wait_until(lambda: len(context.answers) == 7)

    context.loop.run(act)


@then("the one that waits is refused as unknown and never sent")
def check_waiting(context):
    assert context.answers[0].reason is RefusalReason.FATAL_REQUEST
    assert context.answers[0].outcome is Outcome.UNKNOWN
    assert "/0" not in context.servers.reached


@then("any number of ends of attempts that started before the first end counts once")
def check_simultaneous(context):
    @for_all(st.lists(st.floats(0, 10), min_size=1, max_size=8))
    def check(starts):
        fatal = FatalRequests()
        for number, started_at in enumerate(starts):
            ended_at = 10.0 + number / 10
            fatal.add(ServerEnd(1, f"b{number}", min(started_at, 10.0), ended_at), 20.0)
        assert fatal.is_suspect(1) and not fatal.is_blocked(1, 20.0)

    check()


@then("a request that is answered between two ends is not blocked")
def check_cleared(context):
    fatal = FatalRequests()
    fatal.add(ServerEnd(1, "a", 1.0, 2.0), 2.0)
    fatal.add(ServerEnd(1, "", 3.0, 3.0), 3.0)
    fatal.add(ServerEnd(1, "b", 4.0, 5.0), 5.0)
    assert fatal.is_suspect(1) and not fatal.is_blocked(1, 5.0)
    fatal.add(ServerEnd(1, "c", 6.0, 7.0), 7.0)
    assert fatal.is_blocked(1, 7.0)


@then("any order of ends and clearances gives the same blocked requests")
def check_order(context):
    times = st.integers(0, 200)
    ends = st.builds(
        lambda server, start, length: ServerEnd(
            1, server, float(start), start + length + 0.5
        ),
        st.sampled_from(["a", "b", "c", "d", ""]),
        times,
        st.integers(0, 5),
    )

    @for_all(
        st.lists(ends, max_size=6, unique_by=lambda end: end.ended_at), st.randoms()
    )
    def check(sequence, rng):
        # Ends of one server within a second are one end, whichever is seen first.
        seen = {(end.server, end.ended_at // 2): end for end in sequence}
        blocked = []
        for _ in range(2):
            fatal, items = FatalRequests(), list(seen.values())
            rng.shuffle(items)
            for end in items:
                fatal.add(end, 300.0)
            blocked.append(fatal.is_blocked(1, 300.0))
        assert blocked[0] == blocked[1], seen

    check()


@then("after 10000 ends at most 2000 digests are held, and none 20 minutes later")
def check_bounds(context):
    fatal = FatalRequests()
    for digest in range(10000):
        now = digest / 100
        fatal.add(ServerEnd(digest, "a", now - 1, now), now)
    assert len({end.digest for end in fatal.list_ends()}) == 2000
    fatal.add(ServerEnd(-1, "a", 1300.0, 1301.0), 1301.0)
    assert [end.digest for end in fatal.list_ends()] == [-1]


@then(
    "requests with other ids have one digest, and those with another content have not"
)
def check_digests(context):
    async def run():
        numbers = count()
        requests = [
            replace(make_fatal_request(next(numbers), True), **changes)
            for changes in (
                {},
                {},
                {"method": "HEAD"},
                {"target": "/fatal?"},
                {"body": b"x"},
                {"headers": [(b"host", b"other")]},
                {"target": "/fata", "body": b"l"},
            )
        ]
        digests = [compute_digest(request) for request in requests]
        assert digests[0] == digests[1]
        assert len(set(digests)) == len(digests) - 1

    trio.run(run)
