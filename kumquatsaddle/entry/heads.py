"""Strict checks of request heads before h11 parses them.

h11 accepts bare line feeds, folded header lines and repeated Content-Length headers.
A backend server or another proxy may parse such a head differently and take a body for
a request (request smuggling). One regular expression over the raw head rejects them.
"""

import re

from kumquatsaddle.types import RefusalReason

__all__ = [
    "RequestReadError",
    "check_head",
    "find_head_end",
    "has_operation_header",
    "reject_repeated_headers",
]

_HEAD_END = b"\r\n\r\n"
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]"
# Possessive quantifiers keep the time linear in the length of the head.
_VALID_HEAD = re.compile(
    _TOKEN + rb"{1,32}+ /(?!/)[\x21\x22\x24-\x5b\x5d-\x7e]*+ HTTP/1\.[01]\r\n"
    rb"(?:" + _TOKEN + rb"++:[\t\x20-\x7e\x80-\xff]*+\r\n)*+\r\n"
)
# A backend server may resolve dot segments to a path of another route. Some servers
# decode slashes or remove path parameters before they do so.
_DOT_SEGMENT = re.compile(
    rb"[^ ]+ [^? ]*(?:/|%2[fF]|%5[cC])(?:\.|%2[eE]){1,2}(?=[/?; ]|%2[fF]|%5[cC])"
)
_FRAMING_HEADERS = re.compile(
    rb"\r\n(content-length|transfer-encoding):[ \t]*([^\r]*)", re.IGNORECASE
)
# 15 digits exceed any body limit and fit into every integer type.
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,15}\Z")
_OPERATION_HEADERS = re.compile(
    rb"\n(kumquatsaddle-operation|idempotency-key)[ \t]*:", re.IGNORECASE
)
_RESERVED_HEADER_PREFIX = b"kumquatsaddle-"
_IDEMPOTENCY_KEY_HEADER = b"idempotency-key"


class RequestReadError(Exception):
    """A request is refused while it is read.

    Parameters
    ----------
    reason : RefusalReason
    """

    def __init__(self, reason):
        self.reason = reason
        super().__init__(reason.value)


def has_operation_header(head):
    """Return whether a raw head, valid or not, has an operation id or a key."""
    return _OPERATION_HEADERS.search(head) is not None


def find_head_end(buffer, max_bytes):
    """Return the length of the head at the start of a buffer, or 0 if incomplete.

    Parameters
    ----------
    buffer : bytearray
    max_bytes : int
        Maximum size of the head.

    Raises
    ------
    RequestReadError
        If the head exceeds `max_bytes`.
    """
    end = buffer.find(_HEAD_END, 0, max_bytes)
    if end >= 0:
        return end + len(_HEAD_END)
    if len(buffer) >= max_bytes:
        raise RequestReadError(RefusalReason.HEADERS_TOO_LARGE)
    return 0


def check_head(head, max_body_bytes):
    """Validate a raw head; return the length of the body, or None if it is chunked.

    Parameters
    ----------
    head : bytes
        From the request line up to and including the empty line.
    max_body_bytes : int
        Maximum size of the body.

    Raises
    ------
    RequestReadError
        If the head is malformed or ambiguous, or announces a body that is too large.
    """
    if not _VALID_HEAD.fullmatch(head) or _DOT_SEGMENT.match(head):
        raise RequestReadError(RefusalReason.BAD_REQUEST)
    framing = _FRAMING_HEADERS.findall(head)
    if not framing:
        return 0
    name, value = framing[0][0].lower(), framing[0][1].rstrip(b" \t")
    if len(framing) > 1:
        raise RequestReadError(RefusalReason.BAD_REQUEST)
    if name == b"transfer-encoding":
        first_line = head[: head.index(b"\r\n")]
        if value.lower() != b"chunked" or first_line.endswith(b"1.0"):
            raise RequestReadError(RefusalReason.BAD_REQUEST)
        return None
    if not _CONTENT_LENGTH.match(value):
        raise RequestReadError(RefusalReason.BAD_REQUEST)
    if int(value) > max_body_bytes:
        raise RequestReadError(RefusalReason.BODY_TOO_LARGE)
    return int(value)


def reject_repeated_headers(headers):
    """Reject a request that repeats a header meant for the fleet.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.

    Raises
    ------
    RequestReadError
        If ``Idempotency-Key`` or a ``Kumquatsaddle-`` header is repeated.
    """
    seen = set()
    for name, _ in headers:
        if name.startswith(_RESERVED_HEADER_PREFIX) or name == _IDEMPOTENCY_KEY_HEADER:
            if name in seen:
                raise RequestReadError(RefusalReason.BAD_REQUEST)
            seen.add(name)
