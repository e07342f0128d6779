"""The times of a planned stop."""

from dataclasses import dataclass

__all__ = ["StopTimes", "read_stop_times"]

# Time between the end of the grace and the kill, for the end of the process itself.
_EXIT_MARGIN_SECONDS = 0.4
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
