"""The times of a planned stop."""

from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from kumquatsaddle.logs import log_event

__all__ = ["StopTimes", "read_stop_times", "stop_starting_in_time"]

# Time between the end of the grace and the kill, for the end of the process itself.
_EXIT_MARGIN_SECONDS = 0.4
# Share of a stop in which no request is started: how long one takes is known only as a
# mean of others, and one that is refused is sent elsewhere.
_RESERVED_SHARE = 0.5
# Largest share of the time until the kill that is spent as notice.
_MAX_NOTICE_SHARE = 1 / 3


@dataclass(frozen=True, slots=True)
class StopTimes:
    """How long the phases of a planned stop last, in seconds.

    Parameters
    ----------
    notice : float
        Time in which callers are still accepted.
    grace : float
        Longest time after the notice in which requests in flight may end.
    """

    notice: float
    grace: float

    @property
    def last_start(self):
        """Time after the beginning of the stop until which requests are started.

        It is not before the end of the notice.
        """
        reserved = _RESERVED_SHARE * (self.notice + self.grace)
        return max(self.notice, self.notice + self.grace - reserved)


def read_stop_times(settings):
    """Return the times of a planned stop.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    StopTimes
        Both phases end before the platform kills the process, if the settings say
        when it does.
    """
    notice = settings.get("stop", "notice")
    grace = settings.get("stop", "grace")
    kill_after = settings.get("stop", "kill_after")
    if kill_after > 0:
        notice = min(notice, _MAX_NOTICE_SHARE * kill_after)
        grace = max(0.0, min(grace, kill_after - notice - _EXIT_MARGIN_SECONDS))
    return StopTimes(notice, grace)


@asynccontextmanager
async def stop_starting_in_time(dispatcher, times):
    """Let a dispatcher start no request that the end of a planned stop may cut off.

    In the last part of the stop it starts none, before that none that is expected to
    outlast it.

    Parameters
    ----------
    dispatcher : BalancedDispatcher or Dispatcher
    times : StopTimes
    """

    async def stop_starting():
        await trio.sleep(times.last_start)
        log_event("starts_ended", after=times.last_start)
        dispatcher.stop_starting()

    dispatcher.plan_stop(trio.current_time() + times.notice + times.grace)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_starting)
        yield
        nursery.cancel_scope.cancel()
