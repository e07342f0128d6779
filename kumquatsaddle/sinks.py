"""A sink for log lines that never waits and is bounded in lines a second.

A full pipe would block the event loop, so the descriptor is written without waiting.
Lines that find no room, or exceed the rate of their kind, are dropped and counted; a
later line tells how many.
"""

import os
import time

__all__ = ["BoundedSink", "make_bounded_sink"]

# Lines a second, and at once, of events up to INFO and of those above.
_RATE, _BURST = 100.0, 300.0
_WARNING_RATE, _WARNING_BURST = 200.0, 1000.0
# Severity from which an event counts as a warning (loguru's number of WARNING).
_WARNING = 30
# Time in seconds between two lines about dropped ones.
_REPORT_INTERVAL = 1.0


class _Bucket:
    def __init__(self, rate, burst, now):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = now

    def take(self, now):
        elapsed = now - self._updated
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._updated = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BoundedSink:
    """Writes lines to a descriptor.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking.
    clock : callable, optional
        Returns monotonic seconds.

    Attributes
    ----------
    dropped : int
        Lines that were dropped since the last report of them.
    """

    def __init__(self, descriptor, clock=time.monotonic):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        now = clock()
        self._usual = _Bucket(_RATE, _BURST, now)
        self._warnings = _Bucket(_WARNING_RATE, _WARNING_BURST, now)
        self._rest = b""
        self._reported = now
        self.dropped = 0

    def __call__(self, message):
        """Write one line, or drop it.

        Parameters
        ----------
        message : loguru.Message
        """
        now = self._clock()
        is_warning = message.record["level"].no >= _WARNING
        bucket = self._warnings if is_warning else self._usual
        if not bucket.take(now) or not self._write_rest():
            self.dropped += 1
            return
        if self.dropped and now - self._reported >= _REPORT_INTERVAL:
            self._reported = now
            dropped, self.dropped = self.dropped, 0
            self._write(f"level=WARNING event=log_lines_dropped count={dropped}\n")
        if self._rest:
            self.dropped += 1
            return
        self._write(str(message))

    def _write(self, text):
        self._rest = text.encode("utf-8", "replace")
        if not self._write_rest() and self._rest == text.encode("utf-8", "replace"):
            # Nothing of the line went out, so it can be dropped as a whole.
            self._rest = b""
            self.dropped += 1

    def _write_rest(self):
        """Write what is left of a line; return whether nothing is left."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # The reader is gone; there is nobody to tell.
                self._rest = b""
                return True
            self._rest = self._rest[written:]
        return True


def make_bounded_sink(descriptor):
    """Return a sink for a descriptor; see `BoundedSink`."""
    return BoundedSink(descriptor)
