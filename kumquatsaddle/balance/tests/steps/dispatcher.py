import trio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from scripted_dispatch import (
    ATTEMPTS,
    count_load,
    count_waiting,
    make_request,
    open_servers,
    start_dispatch,
    wait_until,
)

from kumquatsaddle.balance.beliefs import Observation
from kumquatsaddle.testing.loops import start_loop
from kumquatsaddle.types import Outcome

# Actions after which a server may have run the request.
RUN_ACTIONS = (
    "whole",
    "chunked",
    "head",
    "failed",
    "cut",
    "close",
    "surplus",
    "stray",
    "repeated",
)
SCRIPTS = st.lists(
    st.tuples(st.sampled_from([*RUN_ACTIONS, "refuse", "early"]), st.integers(0, 200)),
    max_size=6,
)
# Low, because each example opens sockets.
EXAMPLES = 40


async def run_script(script, idempotent, requests=3, **retry_limits):
    async with trio.open_nursery() as nursery:
        servers, dispatcher = await open_servers(nursery, 3, **retry_limits)
        servers.script = list(script)
        answers = [
            await dispatcher.dispatch(make_request(number, idempotent))
            for number in range(requests)
        ]
        nursery.cancel_scope.cancel()
    return servers, answers


def check_scripts(idempotent, check, **retry_limits):
    @settings(max_examples=EXAMPLES)
    @for_all(SCRIPTS)
    def run(script):
        servers, answers = trio.run(
            lambda: run_script(script, idempotent, **retry_limits)
        )
        runs = {}
        for target in servers.reached:
            runs[target] = runs.get(target, 0) + 1
        check(answers, runs, servers)

    run()


@then("for any script of answers each success is the answer to its own request")
def check_own_answers(context):
    def check(answers, runs, servers):
        for number, answer in enumerate(answers):
            if answer.outcome is Outcome.DONE and answer.status == 200:
                assert answer.body == b"/%d" % number, (number, answer.body)

    for idempotent in (False, True):
        check_scripts(idempotent, check)


@then("a second copy of an answer on a reused connection is skipped")
def check_second_copy(context):
    async def run():
        async with trio.open_nursery() as nursery:
            servers, dispatcher = await open_servers(nursery, 1)
            servers.default = ("repeated", 0)
            answers = [
                await dispatcher.dispatch(make_request(number, False))
                for number in range(5)
            ]
            (server,) = dispatcher.list_servers()
            connection, _ = server._idle[0]
            nursery.cancel_scope.cancel()
        return answers, connection.exchange_count

    answers, exchange_count = trio.run(run)
    assert [answer.body for answer in answers] == [b"/%d" % n for n in range(5)]
    # All five used one connection, on which four copies arrived.
    assert exchange_count == 5


@then("for any script of answers no non-idempotent request runs twice")
def check_once(context):
    def check(answers, runs, servers):
        assert all(count == 1 for count in runs.values()), runs

    check_scripts(False, check)


@then("no request that was refused as not run has reached a server that ran it")
def check_not_run(context):
    def check(answers, runs, servers):
        for number, answer in enumerate(answers):
            if answer.outcome is Outcome.NOT_RUN:
                assert f"/{number}" not in runs, (number, runs)

    for idempotent in (False, True):
        check_scripts(idempotent, check)


@then("for any script of answers an idempotent request runs on two servers at most")
def check_attempts(context):
    def check(answers, runs, servers):
        assert all(count <= ATTEMPTS for count in runs.values()), runs

    check_scripts(True, check)


@then("a service whose retry budget is empty sends no retry")
def check_empty_budget(context):
    def check(answers, runs, servers):
        sent = [*servers.reached, *servers.refused]
        assert len(sent) == len(set(sent)), sent

    check_scripts(True, check, share=0.0, allowance=0.0)


@given("servers of which one answers 421")
def prepare_misdirected(context):
    async def run():
        async with trio.open_nursery() as nursery:
            servers, dispatcher = await open_servers(nursery, 2)
            servers.script = [("misdirected", 0)]
            answers = [
                await dispatcher.dispatch(make_request(number, False))
                for number in range(5)
            ]
            gone = [server.gone for server in dispatcher.list_servers()]
            nursery.cancel_scope.cancel()
        return answers, gone, servers

    context.answers, context.gone, context.servers = trio.run(run)


@then("every request is served and the server gets one request only")
def check_misdirected(context):
    assert {answer.status for answer in context.answers} == {200}
    assert sorted(context.gone) == [False, True]
    # Only the request that got the 421 was sent twice.
    assert len(context.servers.reached) == len(context.answers) + 1


@given("one server with 6 slots that holds its answers")
def prepare_held(context):
    context.loop = start_loop(context)
    context.answers = {}

    async def prepare():
        context.nursery_ready = trio.Event()
        trio.lowlevel.spawn_system_task(hold_open)
        await context.nursery_ready.wait()

    async def hold_open():
        async with trio.open_nursery() as nursery:
            context.nursery = nursery
            context.servers, context.dispatcher = await open_servers(nursery, 1)
            context.servers.default = ("late", 0)
            context.nursery_ready.set()
            await trio.sleep_forever()

    context.loop.run(prepare)
    context.add_cleanup(context.loop.run, end_tasks, context)


async def end_tasks(context):
    context.nursery.cancel_scope.cancel()


@when("8 requests are dispatched")
def dispatch_eight(context):
    async def run():
        for number in range(8):
            start_dispatch(context, number)
        await wait_until(lambda: len(context.servers.reached) == 6)
        await trio.sleep(0.1)

    context.loop.run(run)


@then("6 reach it and the others wait")
def check_waiting(context):
    assert len(context.servers.reached) == 6
    assert count_waiting(context) == 2


@then("all are served after the answers are released")
def check_served(context):
    async def run():
        context.servers.release_answer.set()
        await wait_until(lambda: len(context.answers) == 8)

    context.loop.run(run)
    assert {answer.status for answer in context.answers.values()} == {200}


@when("6 requests and one with 0.3 seconds left are dispatched")
def dispatch_short(context):
    async def run():
        for number in range(6):
            start_dispatch(context, number)
        await wait_until(lambda: len(context.servers.reached) == 6)
        context.started = trio.current_time()
        start_dispatch(context, 6, 0.3)
        await wait_until(lambda: 6 in context.answers)
        context.taken = trio.current_time() - context.started

    context.loop.run(run)


@then("the last one is refused as not run before its deadline")
def check_refused(context):
    assert context.answers[6].outcome is Outcome.NOT_RUN
    assert context.taken <= 0.3, context.taken
    assert "/6" not in context.servers.reached


@when("8 requests are dispatched and cancelled")
def dispatch_and_cancel(context):
    async def run():
        scopes = []

        async def one(number):
            with trio.CancelScope() as scope:
                scopes.append(scope)
                await context.dispatcher.dispatch(make_request(number, False))

        for number in range(8):
            context.nursery.start_soon(one, number)
        await wait_until(lambda: count_waiting(context) == 2)
        for scope in scopes:
            scope.cancel()
        await wait_until(lambda: count_load(context) == 0)

    context.loop.run(run)


@then("no load and no waiting request is left")
def check_nothing_left(context):
    assert count_load(context) == 0
    assert count_waiting(context) == 0


async def time_dispatch(count, script):
    async with trio.open_nursery() as nursery:
        servers, dispatcher = await open_servers(nursery, count)
        servers.script = script
        started = trio.current_time()
        answer = await dispatcher.dispatch(make_request(0, True))
        taken = trio.current_time() - started
        nursery.cancel_scope.cancel()
    return answer, taken


@given("one server that fails")
def prepare_failing(context):
    context.result = trio.run(time_dispatch, 1, [("failed", 0)])


@then("an idempotent request gets the failure within a second")
def check_at_once(context):
    answer, taken = context.result
    assert answer.status == 500 and taken < 1.0, (answer.status, taken)


@given("two servers of which the first fails and the second closes")
def prepare_failing_and_closing(context):
    context.result = trio.run(time_dispatch, 2, [("failed", 0), ("close", 0)])


@then("an idempotent request gets the failure")
def check_failure(context):
    assert context.result[0].status == 500, context.result[0]


@given("a server whose slots are taken and one that failed fast")
def prepare_doubtful(context):
    async def start(nursery, **retry_limits):
        servers, dispatcher = await open_servers(nursery, 2, **retry_limits)
        full, doubtful = dispatcher.list_servers()
        for number in range(full.record.slots):
            full.begin(number, trio.current_time(), 5.0)
        for _ in range(3):
            doubtful.observe(trio.current_time(), Observation.FAILED_FAST)
        return servers, dispatcher

    context.start = start


def send_briefly(start, **retry_limits):
    """Return what reached the servers in the first 0.1 s of a repeatable request."""

    async def run():
        async with trio.open_nursery() as nursery:
            servers, dispatcher = await start(nursery, **retry_limits)
            with trio.move_on_after(0.1):
                await dispatcher.dispatch(make_request(1, True))
            nursery.cancel_scope.cancel()
        return servers.reached

    return trio.run(run)


@then("a repeatable request tries the doubtful server if the budget allows a retry")
def check_tried(context):
    assert send_briefly(context.start, share=1.0, allowance=9.0)


@then("it waits for the other one if the budget allows none")
def check_not_tried(context):
    assert not send_briefly(context.start, share=0.0, allowance=0.0)


@then('for any repeated refusals an order runs at most once and "not run" is true')
def check_repeated_refusals(context):
    kinds = ("refuse_again", "misdirect_again", "refuse", "whole")
    actions = st.sampled_from([(kind, 0) for kind in kinds])

    @settings(max_examples=EXAMPLES)
    @for_all(st.lists(actions, max_size=5))
    def check(script):
        servers, answers = trio.run(lambda: run_script(script, False, 6, share=9.0))
        for number, answer in enumerate(answers):
            runs = servers.reached.count(f"/{number}")
            assert runs <= 1, (number, runs)
            assert not (runs and answer.outcome is Outcome.NOT_RUN), answer

    check()
