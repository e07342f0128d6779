from dataclasses import replace

import trio
from behave import then, when
from scripted_dispatch import count_waiting, make_request, start_dispatch, wait_until

from kumquatsaddle.types import Outcome, RefusalReason


@when("8 requests are dispatched and the dispatcher stops starting")
def dispatch_and_stop(context):
    async def run():
        for number in range(8):
            start_dispatch(context, number)
        await wait_until(lambda: len(context.servers.reached) == 6)
        await wait_until(lambda: count_waiting(context) == 2)
        context.dispatcher.stop_starting()
        await wait_until(lambda: len(context.answers) == 2)

    context.loop.run(run)


@then("the 2 that wait are refused as not run and the others are answered")
def check_stopping(context):
    for answer in context.answers.values():
        assert answer.outcome is Outcome.NOT_RUN
        assert answer.reason is RefusalReason.STOPPING

    async def release():
        context.servers.release_answer.set()
        await wait_until(lambda: len(context.answers) == 8)

    context.loop.run(release)
    assert sum(item.status == 200 for item in context.answers.values()) == 6


@then("a new request is refused at once")
def check_refused_at_once(context):
    answer = context.loop.run(
        lambda: context.dispatcher.dispatch(make_request(9, True))
    )
    assert answer.reason is RefusalReason.STOPPING
    assert len(context.servers.reached) == 6


@when("7 requests of 2 seconds are dispatched and a stop in 2 seconds is planned")
def dispatch_and_plan_stop(context):
    async def run():
        route = make_request(0, False).route
        context.dispatcher.averages.add_seconds(route, 2.0)
        for number in range(7):
            start_dispatch(context, number)
        await wait_until(lambda: len(context.servers.reached) == 6)
        await wait_until(lambda: count_waiting(context) == 1)
        context.dispatcher.plan_stop(trio.current_time() + 2.0)

    context.loop.run(run)


@then("the one that waits is refused as stopping when a slot becomes free")
def check_waiting_refused(context):
    async def release():
        context.servers.release_answer.set()
        await wait_until(lambda: len(context.answers) == 7)

    context.loop.run(release)
    assert len(context.servers.reached) == 6, context.servers.reached
    refused = [item for item in context.answers.values() if item.status != 200]
    assert [item.reason for item in refused] == [RefusalReason.STOPPING]
    assert refused[0].outcome is Outcome.NOT_RUN


@then("a new request is refused as stopping and a short one is served")
def check_short_served(context):
    context.servers.default = ("whole", 0)

    async def send():
        long = make_request(8, False)
        short = make_request(9, False)
        short.route = replace(short.route, name="short", objective=0.2)
        return [await context.dispatcher.dispatch(item) for item in (long, short)]

    refused, served = context.loop.run(send)
    assert refused.reason is RefusalReason.STOPPING
    assert served.status == 200
    assert "/8" not in context.servers.reached
