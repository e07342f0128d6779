"""Runs async functions and behave steps on trio."""

import trio
import trio.testing

from kumquatsaddle.exceptions import KumquatsaddleError

__all__ = ["expect", "in_mock_run", "in_trio", "run_with_mock_clock"]


def run_with_mock_clock(function, *arguments):
    """Run an async function on a mock clock that skips idle time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


def in_trio(function):
    """Return a behave step that runs an async function of the context."""

    def run_step(context):
        trio.run(function, context)

    return run_step


def in_mock_run(function):
    """Return a behave step that runs an async function of the context and a nursery.

    It runs on a mock clock; tasks still in the nursery at the end are cancelled.
    """

    async def run_in_nursery(context):
        async with trio.open_nursery() as nursery:
            await function(context, nursery)
            nursery.cancel_scope.cancel()

    def run_step(context):
        run_with_mock_clock(run_in_nursery, context)

    return run_step


async def expect(kind, call):
    """Await a call that must raise an error of exactly class `kind`; return it."""
    try:
        await call
    except KumquatsaddleError as error:
        assert type(error) is kind, error
        return error
    raise AssertionError(f"expected error was not raised: {kind.__name__}")
