import re
from dataclasses import replace

import trio
from behave import given, then, when
from scripted_dispatch import (
    PROTOCOL,
    count_waiting,
    make_request,
    open_servers,
    start_dispatch,
    wait_until,
)

from kumquatsaddle.logs import set_log_level
from kumquatsaddle.types import RefusalReason

# A server that refused a request gets no other one for a shorter time than this.
AFTER_SHED_SECONDS = 0.2


@given("a server that states rates and then none")
def prepare_rates(context):
    context.log_lines = []
    set_log_level("INFO", context.log_lines.append)
    context.add_cleanup(set_log_level, "CRITICAL")

    async def run():
        context.rates = []
        async with trio.open_nursery() as nursery:
            servers, dispatcher = await open_servers(nursery, 1)
            (server,) = dispatcher.list_servers()
            for number, rate in enumerate((b"250", b"250", b"90.5", b"many", None)):
                servers.rate_limit = rate
                await dispatcher.dispatch(make_request(number, False))
                context.rates.append(server.rate_limit.rate)
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("its rate follows the latest answer and each change is logged")
def check_rates(context):
    assert context.rates == [250.0, 250.0, 90.5, 90.5, None], context.rates
    events = re.findall(
        r"event=(backend_limit\w+|rate_limit_invalid)", "".join(context.log_lines)
    )
    assert events == [
        "backend_limited",
        "backend_limited",
        "rate_limit_invalid",
        "backend_limit_ended",
    ], events
    assert ":limit=90.5" in "".join(context.log_lines)


@given("a server that states a rate, refuses and is replaced at its address")
def prepare_no_end(context):
    async def run():
        context.rates = []
        async with trio.open_nursery() as nursery:
            servers, dispatcher = await open_servers(nursery, 1)
            (server,) = dispatcher.list_servers()
            servers.rate_limit = b"250"
            await dispatcher.dispatch(make_request(0, False))
            servers.rate_limit = None
            servers.script = [("refuse", 0)]
            await dispatcher.dispatch(make_request(1, False))
            context.rates.append(server.rate_limit.rate)
            await trio.sleep(AFTER_SHED_SECONDS)
            dispatcher.protocol = replace(PROTOCOL, signature=b"signature")
            answer = await dispatcher.dispatch(make_request(2, False))
            assert answer.reason is RefusalReason.ANSWER_MISMATCH, answer
            context.rates.append(server.rate_limit.rate)
            servers.script = [("misdirected", 0)]
            await dispatcher.dispatch(make_request(3, False))
            context.rates.append(server.rate_limit.rate)
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("its rate stays in force")
def check_in_force(context):
    assert context.rates == [250.0] * 3, context.rates


async def drain_and_return(context, rate_limit):
    (server,) = context.dispatcher.list_servers()
    ready = server.record
    for number in range(ready.slots + 1):
        start_dispatch(context, number)
    await wait_until(lambda: len(context.servers.reached) == ready.slots)
    await wait_until(lambda: count_waiting(context) == 1)
    await context.dispatcher.update_servers([replace(ready, draining=True)])
    context.servers.rate_limit = rate_limit
    context.servers.release_answer.set()
    await wait_until(lambda: len(context.answers) == ready.slots)
    await context.dispatcher.update_servers([ready])
    await wait_until(lambda: len(context.answers) == ready.slots + 1)


@when("7 requests are dispatched, the server drains and answers, and is ready again")
def drain_without_limit(context):
    context.loop.run(drain_and_return, context, None)


@when("it drains, states a rate limit of 2 requests a second and is ready again")
def drain_with_limit(context):
    context.loop.run(drain_and_return, context, b"2")


@then("all are served")
@then("a request that waited is served")
def check_all_served(context):
    assert {answer.status for answer in context.answers.values()} == {200}
