import time

import trio
from behave import given, then, when

from kumquatsaddle.testing.loops import start_loop


@given("a trio loop in a thread")
def open_loop(context):
    context.loop = start_loop(context)


async def run_with_deadline(pause, seconds, deadline):
    with trio.move_on_after(deadline) as scope:
        await pause(seconds)
        await trio.lowlevel.checkpoint()
    return scope.cancelled_caught


@when(
    "the thread gets no CPU time for {seconds:g} seconds "
    "in a deadline of {deadline:g} seconds"
)
def block_thread(context, seconds, deadline):
    # A blocking sleep uses no CPU time, like a thread that is not scheduled.
    async def pause(seconds):
        time.sleep(seconds)

    context.deadline_passed = context.loop.run(
        run_with_deadline, pause, seconds, deadline
    )


@when("a task waits for {seconds:g} seconds in a deadline of {deadline:g} seconds")
def wait(context, seconds, deadline):
    context.deadline_passed = context.loop.run(
        run_with_deadline, trio.sleep, seconds, deadline
    )


@when("a task computes for {seconds:g} seconds in a deadline of {deadline:g} seconds")
def compute(context, seconds, deadline):
    async def pause(seconds):
        ends_at = time.thread_time() + seconds
        while time.thread_time() < ends_at:
            pass

    context.deadline_passed = context.loop.run(
        run_with_deadline, pause, seconds, deadline
    )


@then("the deadline has not passed")
def check_not_passed(context):
    assert not context.deadline_passed


@then("the deadline has passed")
def check_passed(context):
    assert context.deadline_passed
