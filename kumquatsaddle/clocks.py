"""A clock that ignores adjustments of the system time."""

import time

__all__ = ["make_steady_clock"]


def make_steady_clock():
    """Return a clock in seconds since the epoch that is never adjusted.

    It starts at the system time and advances with the monotonic clock, so that a step
    of the system time can neither make an expired operation id valid again
    nor expire a valid one.

    Returns
    -------
    callable
    """
    offset = time.time() - time.monotonic()
    return lambda: offset + time.monotonic()
