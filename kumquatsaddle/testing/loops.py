"""Runs a trio loop in a thread, so that the steps of a scenario share its tasks."""

import threading
from contextlib import asynccontextmanager

import trio

from kumquatsaddle.testing.clocks import CpuTimeClock

__all__ = ["BackgroundLoop", "start_loop"]


class BackgroundLoop:
    """A trio loop in a thread that holds one resource, for example a fleet.

    Parameters
    ----------
    manager : async context manager
        Entered in the loop; what it yields is `resource`.
    """

    def __init__(self, manager):
        self._manager = manager
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._failure = None
        self.resource = None

    def start(self):
        """Start the thread and wait until the resource is open; return the loop."""
        self._thread.start()
        self._ready.wait()
        if self._failure is not None:
            raise self._failure
        return self

    def run(self, function, *arguments):
        """Run an async function in the loop and return its result."""
        return trio.from_thread.run(function, *arguments, trio_token=self._token)

    def close(self):
        """Close the resource and end the thread."""
        if self._thread.is_alive():
            trio.from_thread.run_sync(self._stop.set, trio_token=self._token)
        self._thread.join()

    def _run(self):
        try:
            clock = CpuTimeClock()
            trio.run(self._main, clock=clock, instruments=[clock])
        except BaseException as error:
            self._failure = error
        finally:
            self._ready.set()

    async def _main(self):
        self._token = trio.lowlevel.current_trio_token()
        self._stop = trio.Event()
        async with self._manager as self.resource:
            self._ready.set()
            await self._stop.wait()


def start_loop(context, manager=None):
    """Start a trio loop in a thread; it is closed at the end of the scenario.

    Parameters
    ----------
    context : behave.runner.Context
    manager : async context manager, optional
        Opens the resource of the loop; default: no resource.

    Returns
    -------
    BackgroundLoop
    """
    loop = BackgroundLoop(manager or _open_no_resource()).start()
    context.add_cleanup(loop.close)
    return loop


@asynccontextmanager
async def _open_no_resource():
    yield None
