"""Strict checks of request heads before h11 parses them.

h11 accepts bare line feeds, folded header lines and repeated Content-Length headers.
A backend server or another proxy may read such a head in another way, so that a body
passes for a request. One regular expression over the raw head excludes them.
"""

import re

from kumquatsaddle.types import RefusalReason

__all__ = [
    "HeadError",
    "check_head",
    "check_headers",
    "find_head",
    "names_operation",
]

_END = b"\r\n\r\n"
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]"
# Possessive quantifiers keep the time linear in the length of the head.
_HEAD = re.compile(
    _TOKEN + rb"{1,32}+ /(?!/)[\x21\x22\x24-\x5b\x5d-\x7e]*+ HTTP/1\.[01]\r\n"
    rb"(?:" + _TOKEN + rb"++:[\t\x20-\x7e\x80-\xff]*+\r\n)*+\r\n"
)
# A backend server may resolve dot segments to a path of another route; some also
# decode slashes or cut path parameters before they do.
_DOT_SEGMENT = re.compile(
    rb"[^ ]+ [^? ]*(?:/|%2[fF]|%5[cC])(?:\.|%2[eE]){1,2}(?=[/?; ]|%2[fF]|%5[cC])"
)
_FRAMING = re.compile(
    rb"\r\n(content-length|transfer-encoding):[ \t]*([^\r]*)", re.IGNORECASE
)
# 15 digits are beyond any limit of a body and fit every integer type.
_LENGTH = re.compile(rb"[0-9]{1,15}\Z")
_OPERATION = re.compile(
    rb"\n(kumquatsaddle-operation|idempotency-key)[ \t]*:", re.IGNORECASE
)
_OWN_PREFIX = b"kumquatsaddle-"
_KEY_HEADER = b"idempotency-key"


class HeadError(Exception):
    """A request head is refused.

    Parameters
    ----------
    reason : RefusalReason
    """

    def __init__(self, reason):
        self.reason = reason
        super().__init__(reason.value)


def names_operation(head):
    """Return whether a raw head, valid or not, names an operation id or a key."""
    return _OPERATION.search(head) is not None


def find_head(buffer, max_bytes):
    """Return the length of the head at the start of a buffer, or 0 if it is not whole.

    Parameters
    ----------
    buffer : bytearray
        Empty lines at its start are removed (RFC 9112, section 2.2).
    max_bytes : int
        Longest head in bytes.

    Raises
    ------
    HeadError
        If the head is longer than `max_bytes`.
    """
    while buffer.startswith(b"\r\n"):
        del buffer[:2]
    end = buffer.find(_END, 0, max_bytes)
    if end >= 0:
        return end + len(_END)
    if len(buffer) >= max_bytes:
        raise HeadError(RefusalReason.HEADERS_TOO_LARGE)
    return 0


def check_head(head, max_body):
    """Check a raw head; return the announced length of the body, None if chunked.

    Parameters
    ----------
    head : bytes
        From the request line to the empty line.
    max_body : int
        Longest body in bytes.

    Raises
    ------
    HeadError
        If it is malformed, ambiguous or announces too long a body.
    """
    if not _HEAD.fullmatch(head) or _DOT_SEGMENT.match(head):
        raise HeadError(RefusalReason.BAD_REQUEST)
    framing = _FRAMING.findall(head)
    if not framing:
        return 0
    name, value = framing[0][0].lower(), framing[0][1].rstrip(b" \t")
    if len(framing) > 1:
        raise HeadError(RefusalReason.BAD_REQUEST)
    if name == b"transfer-encoding":
        first_line = head[: head.index(b"\r\n")]
        if value.lower() != b"chunked" or first_line.endswith(b"1.0"):
            raise HeadError(RefusalReason.BAD_REQUEST)
        return None
    if not _LENGTH.match(value):
        raise HeadError(RefusalReason.BAD_REQUEST)
    if int(value) > max_body:
        raise HeadError(RefusalReason.BODY_TOO_LARGE)
    return int(value)


def check_headers(headers):
    """Reject repeated headers that are addressed to the fleet.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.

    Raises
    ------
    HeadError
        If ``Idempotency-Key`` or a ``Kumquatsaddle-`` header is repeated.
    """
    seen = set()
    for name, _ in headers:
        if name.startswith(_OWN_PREFIX) or name == _KEY_HEADER:
            if name in seen:
                raise HeadError(RefusalReason.BAD_REQUEST)
            seen.add(name)
