"""Decorators that run async steps of behave on trio."""

import trio
import trio.testing

from kumquatsaddle.exceptions import KumquatsaddleError

__all__ = ["expect", "in_mock_run", "in_trio", "run_with_mock_clock"]


def run_with_mock_clock(function, *arguments):
    """Run an async function on a clock that jumps over idle time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


def in_trio(function):
    """Make a step of an async function that takes the context."""

    def run_step(context):
        trio.run(function, context)

    return run_step


def in_mock_run(function):
    """Make a step of an async function that takes the context and a nursery.

    It runs on the testing clock; tasks that are left in the nursery are cancelled.
    """

    async def run_in_nursery(context):
        async with trio.open_nursery() as nursery:
            await function(context, nursery)
            nursery.cancel_scope.cancel()

    def run_step(context):
        run_with_mock_clock(run_in_nursery, context)

    return run_step


async def expect(kind, call):
    """Await a call and return the error of exactly this class that it raises."""
    try:
        await call
    except KumquatsaddleError as error:
        assert type(error) is kind, error
        return error
    raise AssertionError(f"no {kind.__name__}")
