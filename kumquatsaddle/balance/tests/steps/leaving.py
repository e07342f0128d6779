from dataclasses import replace

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
from kumquatsaddle.balance.attempts import AttemptOutcome
from kumquatsaddle.discovery.records import ServerRecord
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.types import RefusalReason, RetryReason

LEAVING = b"Backend-Leaving: 1\r\n"
RECORD = ServerRecord("b0", 1, "s", Address("127.0.0.1", 9), "z", 6, False)


def get_server(dispatcher, name="b0"):
    return dispatcher.find_server(name)


@given("three servers that say so in their answers to a request that are {kind}")
def prepare_leaving(context, kind):
    async def run():
        async with trio.open_nursery() as nursery:
            servers, dispatcher = await open_servers(nursery, 3)
            # A refused request is sent to a second server.
            servers.script = [(kind, 0)] * 2
            servers.announcements = LEAVING
            await dispatcher.dispatch(make_request(0, False))
            servers.announcements, servers.script = b"", []
            leaving = [item for item in dispatcher.list_servers() if item.leaving]
            context.left = len(leaving), len(servers.reached) + len(servers.refused)
            before = [dict(server.counts) for server in leaving]
            for number in range(1, 21):
                answer = await dispatcher.dispatch(make_request(number, False))
                assert answer.status == 200, answer
            context.counts = before, [dict(server.counts) for server in leaving]
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("those that answered get none of 20 further requests, which are all served")
def check_left(context):
    leaving, answered = context.left
    assert leaving == answered > 0, context.left
    before, after = context.counts
    assert before == after


@given("a request that waits for a connection when its server says that it leaves")
def prepare_connecting(context):
    async def run():
        async with trio.open_nursery() as nursery:
            servers, dispatcher = await open_servers(nursery, 2)
            first, second = dispatcher.list_servers()
            connect = first.acquire_connection

            async def acquire_connection(idempotent):
                connection = await connect(idempotent)
                dispatcher.record_departure(first.name, 1)
                return connection

            first.acquire_connection = acquire_connection
            second.cold_until = trio.current_time() + 5
            context.answer = await dispatcher.dispatch(make_request(0, False))
            context.reached = list(servers.reached)
            context.counts = [dict(first.counts), dict(second.counts)]
            context.retries = dispatcher.metrics.retries
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("it is sent to the other server and uses no attempt for that")
def check_withdrawn(context):
    assert context.answer.status == 200
    assert context.reached == ["/0"]
    first, second = (sum(counts.values()) for counts in context.counts)
    assert (first, second) == (0, 1)
    assert context.retries[RetryReason.BACKEND_WITHDRAWN] == 1
    assert AttemptOutcome.WITHDRAWN.value == "withdrawn"


@when("8 requests are dispatched and the server says that it leaves")
def leave_under_load(context):
    async def act():
        for number in range(8):
            start_dispatch(context, number)
        await wait_until(lambda: len(context.servers.reached) == 6)
        await wait_until(lambda: count_waiting(context) == 2)
        context.dispatcher.record_departure("b0", 1)
        await wait_until(lambda: len(context.answers) == 2)
        context.refused = dict(context.answers)
        context.servers.release_answer.set()
        await wait_until(lambda: len(context.answers) == 8)

    context.loop.run(act)


@then("the 2 that wait are refused at once and the 6 that run are served")
def check_refused(context):
    reasons = {answer.reason for answer in context.refused.values()}
    assert reasons == {RefusalReason.NO_BACKEND}, reasons
    statuses = sorted(answer.status for answer in context.answers.values())
    assert statuses == [200] * 6 + [503] * 2, statuses


@then("for any sequence of lists only another incarnation is used after a departure")
def check_lists(context):
    entries = st.one_of(
        st.none(),
        st.builds(
            lambda born, drains: (born, drains), st.integers(1, 3), st.booleans()
        ),
    )
    events = st.lists(st.one_of(entries, st.sampled_from(["leave"])), max_size=12)

    @for_all(events)
    def check(sequence):
        async def run():
            dispatcher = make_balanced_dispatcher("z", PROTOCOL, make_metrics(), 100)
            left = set()
            for event in sequence:
                if event == "leave":
                    server = get_server(dispatcher)
                    if server is not None:
                        born = server.record.started_at_ms
                        dispatcher.record_departure("b0", born, is_first_hand=False)
                        left.add(born)
                    continue
                records = []
                if event is not None:
                    born, drains = event
                    records = [replace(RECORD, started_at_ms=born, draining=drains)]
                await dispatcher.update_servers(records)
                server = get_server(dispatcher)
                if server is not None and server.is_in_service():
                    assert server.record.started_at_ms not in left

        trio.run(run)

    check()


@given("a server that says in one refusal that it leaves, pauses and limits its rate")
def prepare_all(context):
    async def run():
        async with trio.open_nursery() as nursery:
            servers, dispatcher = await open_servers(nursery, 1)
            servers.script = [("refuse", 0)]
            servers.announcements = (
                LEAVING + b"Retry-After: 7\r\nBackend-Rate-Limit: 3\r\n"
            )
            await dispatcher.dispatch(make_request(0, False))
            (server,) = dispatcher.list_servers()
            context.server = server
            context.pause = server.pause.until - trio.current_time()
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("it is out of service, with its pause and its rate known")
def check_all(context):
    assert not context.server.is_in_service()
    assert context.pause > 6.5
    assert context.server.rate_limit.rate == 3.0
