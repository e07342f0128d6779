"""A non-blocking, rate-limited sink for log lines.

A full pipe would block the event loop, so the file descriptor is non-blocking. Lines
that do not fit into the pipe or exceed the rate limit of their severity are dropped;
a later line reports their number.
"""

import os
import time

from kumquatsaddle.buckets import TokenBucket

__all__ = ["BoundedSink", "make_bounded_sink"]

# Rate limit in lines per second and burst in lines: for events up to INFO, and for
# those above.
_INFO_LINES_PER_SECOND, _INFO_BURST_LINES = 100.0, 300.0
_WARNING_LINES_PER_SECOND, _WARNING_BURST_LINES = 200.0, 1000.0
# Lowest severity that counts as a warning (loguru's number of WARNING).
_WARNING_SEVERITY = 30
# Minimum time between two lines that report dropped lines.
_REPORT_INTERVAL_SECONDS = 1.0


class BoundedSink:
    """Writes log lines to a file descriptor without blocking.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking.
    clock : callable, optional
        Returns monotonic seconds.

    Attributes
    ----------
    dropped : int
        Lines that were dropped since the last line that reported dropped lines.
    """

    def __init__(self, descriptor, clock=time.monotonic):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        now = clock()
        self._info_bucket = TokenBucket(_INFO_LINES_PER_SECOND, _INFO_BURST_LINES, now)
        self._warning_bucket = TokenBucket(
            _WARNING_LINES_PER_SECOND, _WARNING_BURST_LINES, now
        )
        self._unwritten = b""
        self._reported_at = now
        self.dropped = 0

    def __call__(self, message):
        """Write one line, or drop it.

        Parameters
        ----------
        message : loguru.Message
        """
        now = self._clock()
        is_warning = message.record["level"].no >= _WARNING_SEVERITY
        bucket = self._warning_bucket if is_warning else self._info_bucket
        if not bucket.try_take(now) or not self._flush():
            self.dropped += 1
            return
        if self.dropped and now - self._reported_at >= _REPORT_INTERVAL_SECONDS:
            self._reported_at = now
            dropped, self.dropped = self.dropped, 0
            self._write(f"level=WARNING event=log_lines_dropped count={dropped}\n")
        if self._unwritten:
            self.dropped += 1
            return
        self._write(str(message))

    def _write(self, text):
        self._unwritten = text.encode("utf-8", "replace")
        if not self._flush() and self._unwritten == text.encode("utf-8", "replace"):
            # No byte of the line was written, so it can be dropped as a whole.
            self._unwritten = b""
            self.dropped += 1

    def _flush(self):
        """Write the rest of a partly written line; return whether nothing is left."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the pipe, so the error cannot be reported.
                self._unwritten = b""
                return True
            self._unwritten = self._unwritten[written:]
        return True


def make_bounded_sink(descriptor):
    """Return a sink for a descriptor; see `BoundedSink`."""
    return BoundedSink(descriptor)
