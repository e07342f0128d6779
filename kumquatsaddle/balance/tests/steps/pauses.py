from random import Random

import trio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from scripted_dispatch import (
    count_waiting,
    make_request,
    open_servers,
    start_dispatch,
    wait_until,
)

from kumquatsaddle.balance.pauses import ServerPause
from kumquatsaddle.types import Outcome, RefusalReason

# Longest time by which the end of a pause is spread, and for the test itself.
SPREAD_SECONDS, TOLERANCE_SECONDS = 1.0, 0.5


def make_announcements(text):
    values = [] if text == "an empty one" else text.split(" and ")
    lines = [b"Retry-After: %b\r\n" % value.encode() for value in values]
    return b"".join(lines) if lines else b"Retry-After: \r\n"


def dispatch_one(context, kind, announcements):
    async def run():
        async with trio.open_nursery() as nursery:
            servers, dispatcher = await open_servers(nursery, 1)
            servers.script = [(kind, 0)]
            servers.announcements = announcements
            (server,) = dispatcher.list_servers()
            before = server.belief.compute_failure_probability(trio.current_time())
            await dispatcher.dispatch(make_request(0, False))
            now = trio.current_time()
            after = server.belief.compute_failure_probability(now)
            context.pause = max(0.0, server.pause.until - now)
            context.evidence = before, after, sum(server.counts.values())
            nursery.cancel_scope.cancel()

    trio.run(run)


@given("a server that refuses with Retry-After {value}")
def prepare_refusal(context, value):
    dispatch_one(context, "refuse", make_announcements(value))


@given("a server that fails with status 503 and Retry-After 7")
def prepare_failure(context):
    dispatch_one(context, "unavailable", b"Retry-After: 7\r\n")


@then("it is paused for {seconds:g} s, and no estimate of its health changes")
def check_pause(context, seconds):
    latest = seconds + min(SPREAD_SECONDS, seconds / 4)
    assert seconds - TOLERANCE_SECONDS <= context.pause <= latest, context.pause
    before, after, observations = context.evidence
    assert abs(before - after) < 1e-3 and observations == 0


@then("for any sequence of answers and times no request is written in a pause")
def check_pauses(context):
    events = st.lists(
        st.one_of(
            st.tuples(st.just("pass"), st.floats(0, 5)),
            st.tuples(st.just("refuse"), st.floats(0, 9)),
            st.tuples(st.just("answer"), st.just(0)),
            st.tuples(st.just("send"), st.just(0)),
        ),
        max_size=40,
    )

    @for_all(events, st.integers(0, 99))
    def check(sequence, seed):
        pause, now, in_flight = ServerPause(Random(seed)), 0.0, 0
        promised_until = float("-inf")
        for kind, value in sequence:
            if kind == "pass":
                now += value
            elif kind == "refuse":
                pause.start(now, value)
                promised_until = max(promised_until, now + value)
                in_flight = max(0, in_flight - 1)
            elif kind == "answer" and in_flight:
                in_flight -= 1
                pause.record_answer(now, 6)
            elif kind == "send" and pause.allows(now, in_flight):
                assert now >= promised_until
                in_flight += 1
            assert pause.is_over(now) <= (now >= promised_until)

    check()


@given("a server with 6 slots whose pause of 1 s has ended")
def prepare_return(context):
    context.pause = ServerPause(Random(1))
    context.pause.start(0.0, 1.0)


@then("it gets 1 request at first and one more at a time with each answer")
def check_return(context):
    pause, now = context.pause, 3.0
    for allowed in (1, 2, 3, 4, 5):
        assert pause.allows(now, allowed - 1) and not pause.allows(now, allowed)
        pause.record_answer(now, 6)
    assert pause.allows(now, 100)


@then("the ends of 40 pauses of 4 s are spread over a second, none too early")
def check_spread(context):
    ends = []
    for seed in range(40):
        pause = ServerPause(Random(seed))
        pause.start(0.0, 4.0)
        ends.append(pause.until)
    assert min(ends) >= 4.0 and max(ends) <= 4.0 + SPREAD_SECONDS
    assert max(ends) - min(ends) > 0.8 * SPREAD_SECONDS


@given("two servers that both ask for 7 s")
def prepare_two(context):
    async def run():
        async with trio.open_nursery() as nursery:
            servers, dispatcher = await open_servers(nursery, 2)
            servers.script = [("refuse", 0)] * 2
            servers.announcements = b"Retry-After: 7\r\n"
            context.answers = [
                await dispatcher.dispatch(make_request(number, False))
                for number in range(2)
            ]
            context.refused = list(servers.refused)
            context.refusals = [answer.reason for answer in context.answers]
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("a request is refused at once as not run, to return in about 7 s")
def check_all_paused(context):
    assert context.refused == ["/0", "/0"]
    assert context.refusals == [
        RefusalReason.BACKEND_SHED,
        RefusalReason.BACKEND_PAUSED,
    ]
    for answer in context.answers:
        assert answer.outcome is Outcome.NOT_RUN and answer.status == 503
        assert 6.5 <= answer.retry_after <= 8.0, answer


@when("7 requests are dispatched and the server asks for 7 s")
def pause_under_load(context):
    async def act():
        for number in range(7):
            start_dispatch(context, number)
        await wait_until(lambda: count_waiting(context) == 1)
        (server,) = context.dispatcher.list_servers()
        server.pause.start(trio.current_time(), 7.0)
        await wait_until(lambda: len(context.answers) == 1)
        context.servers.release_answer.set()
        await wait_until(lambda: len(context.answers) == 7)

    context.loop.run(act)


@then("the one that waits is refused at once with the time to return")
def check_waiting_refused(context):
    refused = [item for item in context.answers.values() if item.status == 503]
    (answer,) = refused
    assert answer.reason is RefusalReason.BACKEND_PAUSED
    assert 6.0 <= answer.retry_after <= 8.5, answer
