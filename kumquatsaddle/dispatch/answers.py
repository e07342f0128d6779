"""Answers of backend servers: their content, memory, end and headers to pass on."""

import re

import trio

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "AnswerMemory",
    "RawAnswer",
    "has_folded_line",
    "has_known_end",
    "read_keep_alive",
    "select_headers",
]

_DEFAULT_ANSWER_MEMORY_BYTES = 1 << 26
# Maximum wait of an answer for memory, and the interval of its attempts. Callers that
# stopped reading are closed after a quarter of a second if others need their memory.
_MAX_WAIT_SECONDS = 1.0
_POLL_SECONDS = 0.01
# Statuses of answers without a body (RFC 9110, section 6.4.1).
_BODILESS_STATUSES = frozenset({204, 304})
_KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout=([0-9]{1,6})")
# The end of a head, or the start of a line that begins with white space.
_HEAD_END_OR_FOLD = re.compile(rb"\n(?:\r?\n|([ \t]))")
# Hop-by-hop headers (RFC 9110, section 7.6.1) and those that h11 handles as framing.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


class RawAnswer:
    """A complete answer of a backend server.

    Parameters
    ----------
    status : int
    headers : list of (bytes, bytes)
    body : bytes or bytearray
    is_close_delimited : bool, default=False
        Whether the end of the connection was the end of the answer.
    """

    __slots__ = ("status", "headers", "body", "is_close_delimited")

    def __init__(self, status, headers, body, is_close_delimited=False):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_close_delimited = is_close_delimited

    def get_header(self, name):
        """Return the first value of a header (lower case, bytes), or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class AnswerMemory:
    """Bounds the memory of all answers that an instance receives at the same time.

    Parameters
    ----------
    max_bytes : int, optional

    Attributes
    ----------
    used_bytes : int
        Bodies of the answers that are being received.
    share : ConnectionShare or None
        Counts these bodies within the memory for clients of the process.
    """

    def __init__(self, max_bytes=_DEFAULT_ANSWER_MEMORY_BYTES):
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.share = None

    def is_bounded(self):
        """Return whether answers share a bounded memory with clients."""
        return self.share is not None and self.share.is_bounded()

    def try_reserve(self, size):
        """Reserve memory; return False if the limit does not allow it."""
        if self.used_bytes + size > self.max_bytes:
            return False
        if self.share is not None and not self.share.try_charge(
            size, trio.current_time()
        ):
            return False
        self.used_bytes += size
        return True

    async def reserve(self, size):
        """Reserve memory; return False if the limit does not allow it.

        Where answers share the memory for clients, waits a bounded time for callers to
        take earlier answers: the request has run already, so a refusal would lose it.
        """
        if self.try_reserve(size):
            return True
        if not self.is_bounded():
            return False
        with trio.move_on_after(_MAX_WAIT_SECONDS):
            while True:
                await trio.sleep(_POLL_SECONDS)
                if self.try_reserve(size):
                    return True
        return False

    def release(self, size):
        """Return reserved memory."""
        self.used_bytes -= size
        if self.share is not None:
            self.share.release(size)


def select_headers(method, headers):
    """Return the headers of an answer that are passed on to the caller.

    The length in an answer to HEAD is that of the answer to GET and frames nothing.
    """
    dropped = HOP_BY_HOP_HEADERS
    if method == "HEAD" and b"transfer-encoding" not in {name for name, _ in headers}:
        dropped = HOP_BY_HOP_HEADERS - {b"content-length"}
    return [item for item in headers if item[0] not in dropped]


def read_keep_alive(headers):
    """Return the time-out in seconds from the ``Keep-Alive`` header, or None."""
    for name, value in headers:
        if name == b"keep-alive" and (
            match := _KEEP_ALIVE_TIMEOUT_PATTERN.search(value)
        ):
            return float(match[1])
    return None


def has_folded_line(data, start=0):
    """Return whether a line of a head begins with white space.

    h11 joins such a line to the field before it. No sender may generate one (RFC 9112,
    section 5.2), so it is a damaged field: joined, it changes the value of another
    field, and its own, such as a length, is lost.

    Parameters
    ----------
    data : bytes
        What has arrived of the head, and possibly of the body after it.
    start : int, default=0
        Bytes that are known to hold neither such a line nor the end of the head.
    """
    match = _HEAD_END_OR_FOLD.search(data, start)
    return match is not None and match[1] is not None


def has_known_end(method, head, allows_close_delimited=False):
    """Return whether the end of an answer can be told from a lost connection.

    An answer with both a length and a transfer coding is ambiguous (RFC 9112,
    section 6.3) and counts as one without a known end.
    """
    if method == "HEAD" or head.status_code in _BODILESS_STATUSES:
        return True
    names = {name for name, _ in head.headers}
    has_length = b"content-length" in names
    is_coded = b"transfer-encoding" in names
    return has_length != is_coded or (allows_close_delimited and not has_length)
