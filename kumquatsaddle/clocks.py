"""Clocks that ignore adjustments of the system time."""

import time

import trio

__all__ = [
    "make_steady_clock",
    "read_boot_time",
    "read_elapsed_time",
    "read_suspended_seconds",
]

# Counts the time in which the machine is suspended, unlike the monotonic clock. Other
# systems than Linux do not have it; there the two count as the same.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
_SUSPENDED_BEFORE_SECONDS = time.clock_gettime(_BOOT_CLOCK) - time.monotonic()

# Shorter differences are the time between the two reads of the clocks, in which the
# process may wait for a core.
_MIN_SUSPENDED_SECONDS = 0.1


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


def read_boot_time():
    """Return monotonic seconds that count the time in which the machine is suspended.

    Unlike `read_elapsed_time` it may be called outside of a trio loop.
    """
    return time.clock_gettime(_BOOT_CLOCK)


def read_suspended_seconds():
    """Return for how long the machine was suspended while this process ran."""
    suspended = read_boot_time() - time.monotonic() - _SUSPENDED_BEFORE_SECONDS
    return suspended if suspended >= _MIN_SUSPENDED_SECONDS else 0.0


def read_elapsed_time():
    """Return the clock of trio with the time added in which the machine was suspended.

    An age that is computed from it does not look young after a suspension, in which the
    clock of trio stands still.
    """
    return trio.current_time() + read_suspended_seconds()
