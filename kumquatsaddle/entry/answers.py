"""Encodes answers to callers as HTTP/1.1 responses.

h11 checks and copies each header in Python, 27 us for a small response; one regular
expression over all headers does the same check in 1 us. Answers have a known length,
so nothing else of h11 is needed on this side.
"""

import json
import re
from http import HTTPStatus

from kumquatsaddle.exchange import Answer
from kumquatsaddle.types import RefusalReason

__all__ = ["encode_answer"]

_OUTCOME_HEADER = b"Kumquatsaddle-Outcome"
_REASON_HEADER = b"Kumquatsaddle-Reason"
_OPERATION_HEADER = b"Kumquatsaddle-Operation"
# Framing belongs to this module, and a backend server must not forge an outcome.
_DROPPED = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"transfer-encoding",
        b"upgrade",
        _OUTCOME_HEADER.lower(),
        _REASON_HEADER.lower(),
        _OPERATION_HEADER.lower(),
    }
)
_HEADERS = re.compile(
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]++:[\t\x20-\x7e\x80-\xff]*+\r\n)*+"
)
# Longer numbers are no lengths; Python refuses to convert very long ones.
_LENGTH = re.compile(rb"[0-9]{1,18}")
# Responses that never have a body (RFC 9110, section 6.4.1); 205 has an empty one.
_BODILESS = frozenset({204, 304})
_EMPTY = 205
_STATUS_LINES = {
    status: b"HTTP/1.1 %d %s\r\n"
    % (
        status,
        HTTPStatus(status).phrase.encode() if status in list(HTTPStatus) else b"",
    )
    for status in range(200, 600)
}


def encode_answer(answer, close=False, is_head=False):
    """Return the bytes of a response.

    Parameters
    ----------
    answer : Answer
    close : bool, default=False
        Whether the connection ends after the response.
    is_head : bool, default=False
        Whether the request was a HEAD request; its response has no body.

    Returns
    -------
    bytes
        An answer that is no valid response is replaced by an unknown outcome.
    """
    data = _encode(answer, close, is_head)
    if data is None:
        lost = Answer.refuse(RefusalReason.ANSWER_LOST, answer.operation)
        data = _encode(lost, close, is_head)
    return data


def _encode(answer, close, is_head):
    """Return the bytes of a response, or None if it would not be valid."""
    line = _STATUS_LINES.get(answer.status)
    if line is None:
        return None
    body = answer.body or _describe(answer)
    parts = [
        b"%b: %b\r\n" % item
        for item in answer.headers
        if item[0].lower() not in _DROPPED
    ]
    if answer.status in _BODILESS:
        body = b""
    else:
        body = b"" if answer.status == _EMPTY else body
        length = len(body)
        if is_head and not body:
            length = _find_length(answer.headers)
        if length is not None:
            parts.append(b"Content-Length: %d\r\n" % length)
    parts.append(b"%b: %b\r\n" % (_OUTCOME_HEADER, answer.outcome.value.encode()))
    if answer.reason is not None:
        parts.append(b"%b: %b\r\n" % (_REASON_HEADER, answer.reason.value.encode()))
    if answer.operation:
        parts.append(b"%b: %b\r\n" % (_OPERATION_HEADER, answer.operation.encode()))
    if close:
        parts.append(b"Connection: close\r\n")
    headers = b"".join(parts)
    # A line break within a value would pass as two headers.
    if not _HEADERS.fullmatch(headers) or headers.count(b"\n") != len(parts):
        return None
    return b"".join((line, headers, b"\r\n", b"" if is_head else body))


def _find_length(headers):
    """Return the length that a backend server gave to a HEAD request, or None.

    Without a valid one the length of the answer to GET is not known, and an answer
    to HEAD may leave it out (RFC 9110, section 8.6).
    """
    values = {value for name, value in headers if name.lower() == b"content-length"}
    if len(values) != 1:
        return None
    (value,) = values
    return int(value) if _LENGTH.fullmatch(value) else None


def _describe(answer):
    if answer.reason is None:
        return b""
    text = {"outcome": answer.outcome.value, "reason": answer.reason.value}
    if answer.operation:
        text["operation"] = answer.operation
    return json.dumps(text).encode() + b"\n"
