"""The application object: runs the tasks of a process and shuts them down.

Hooks run in the order in which they were added; stop hooks run in the reverse order,
while the tasks are still running, so that work in flight can end.
"""

import signal

import trio

from kumquatsaddle.logs import log_event

__all__ = ["Application", "make_application"]


class Application:
    """Start hooks, tasks and stop hooks of one process.

    Parameters
    ----------
    name : str
        Name of the application in log lines.
    """

    def __init__(self, name):
        self.name = name
        self.started = trio.Event()
        self._stop = trio.Event()
        self._start_hooks = []
        self._stop_hooks = []
        self._reload_hooks = []

    def on_start(self, hook):
        """Add an async hook that is called with the nursery of the tasks."""
        self._start_hooks.append(hook)
        return hook

    def on_stop(self, hook):
        """Add an async hook that runs before the tasks are cancelled."""
        self._stop_hooks.append(hook)
        return hook

    def on_reload(self, hook):
        """Add a function that is called on SIGHUP."""
        self._reload_hooks.append(hook)
        return hook

    def stop(self):
        """Ask the application to stop; a second call changes nothing."""
        self._stop.set()

    async def run(self, *, handle_signals=False):
        """Run the hooks and the tasks until `stop` is called.

        A stop during the start hooks cancels them; the stop hooks then do not run,
        because the application has not started.
        """
        async with trio.open_nursery() as nursery:
            if handle_signals:
                await nursery.start(self._watch_signals)
            if await self._start(nursery):
                log_event("application_started", name=self.name)
                self.started.set()
                await self._stop.wait()
                log_event("application_stopping", name=self.name)
                for hook in reversed(self._stop_hooks):
                    await hook()
            nursery.cancel_scope.cancel()
        log_event("application_stopped", name=self.name)

    async def _start(self, nursery):
        """Run the start hooks; return False if `stop` cancelled them."""
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as watch:
                watch.start_soon(self._cancel_on_stop, scope)
                for hook in self._start_hooks:
                    await hook(nursery)
                watch.cancel_scope.cancel()
        return not scope.cancelled_caught

    async def _cancel_on_stop(self, scope):
        await self._stop.wait()
        scope.cancel()

    async def _watch_signals(self, task_status=trio.TASK_STATUS_IGNORED):
        signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with trio.open_signal_receiver(*signals) as received:
            task_status.started()
            async for number in received:
                if number == signal.SIGHUP:
                    for hook in self._reload_hooks:
                        hook()
                else:
                    self.stop()


def make_application(name):
    """Return an application without hooks."""
    return Application(name)
