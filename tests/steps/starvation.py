import time

import trio
from behave import given, then, when

from kumquatsaddle.testing.loops import start_loop


@given("a loop for tests")
def open_loop(context):
    context.loop = start_loop(context)


async def has_passed(pause, seconds, deadline):
    with trio.move_on_after(deadline) as scope:
        await pause(seconds)
        await trio.lowlevel.checkpoint()
    return scope.cancelled_caught


@when(
    "the loop's thread gets no core for {seconds:g} seconds "
    "in a deadline of {deadline:g} seconds"
)
def take_core(context, seconds, deadline):
    # A blocking sleep uses no processor time, as a thread that waits for a core.
    async def pause(seconds):
        time.sleep(seconds)

    context.passed = context.loop.run(has_passed, pause, seconds, deadline)


@when("a task waits for {seconds:g} seconds in a deadline of {deadline:g} seconds")
def wait(context, seconds, deadline):
    context.passed = context.loop.run(has_passed, trio.sleep, seconds, deadline)


@when("a task computes for {seconds:g} seconds in a deadline of {deadline:g} seconds")
def compute(context, seconds, deadline):
    async def pause(seconds):
        ends = time.thread_time() + seconds
        while time.thread_time() < ends:
            pass

    context.passed = context.loop.run(has_passed, pause, seconds, deadline)


@then("the deadline has not passed")
def check_not_passed(context):
    assert not context.passed


@then("the deadline has passed")
def check_passed(context):
    assert context.passed
