"""Encodes answers to callers as HTTP/1.1 responses.

h11 checks and copies each header in Python, which takes 27 us for a small response. One
regular expression over all headers does the same check in 1 us. Answers have a known
length, so no other part of h11 is needed to send them.
"""

import json
import re
from http import HTTPStatus

from kumquatsaddle.exchange import Answer
from kumquatsaddle.types import RefusalReason

__all__ = ["encode_answer", "encode_answer_parts"]

_OUTCOME_HEADER = b"Kumquatsaddle-Outcome"
_REASON_HEADER = b"Kumquatsaddle-Reason"
_OPERATION_HEADER = b"Kumquatsaddle-Operation"
_RETRY_AFTER_HEADER = b"Retry-After"
# Headers of a backend server that are not passed on: this module sets the framing, and
# a backend server must not forge an outcome.
_DROPPED_HEADERS = frozenset(
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
_VALID_HEADERS = re.compile(
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]++:[\t\x20-\x7e\x80-\xff]*+\r\n)*+"
)
# Longer numbers are rejected as lengths; Python refuses to convert very long ones.
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")
# Statuses without a body (RFC 9110, section 6.4.1); the body of a 205 is empty.
_BODILESS_STATUSES = frozenset({204, 304})
_RESET_CONTENT = 205
_STATUS_LINES = {
    status: b"HTTP/1.1 %d %s\r\n"
    % (
        status,
        HTTPStatus(status).phrase.encode() if status in list(HTTPStatus) else b"",
    )
    for status in range(200, 600)
}


def encode_answer(answer, close=False, is_head=False):
    """Return an answer as the bytes of an HTTP response.

    Parameters
    ----------
    answer : Answer
    close : bool, default=False
        Whether the connection is closed after the response.
    is_head : bool, default=False
        Whether the request method was HEAD; the response then has no body.

    Returns
    -------
    bytes
        An answer that is not a valid response is replaced by one with the reason
        ANSWER_LOST, whose outcome is UNKNOWN.
    """
    return b"".join(encode_answer_parts(answer, close, is_head))


def encode_answer_parts(answer, close=False, is_head=False):
    """Return head and body of an HTTP response; see `encode_answer`.

    The body is not copied.
    """
    parts = _encode_if_valid(answer, close, is_head)
    if parts is None:
        replacement = Answer.from_reason(RefusalReason.ANSWER_LOST, answer.operation)
        parts = _encode_if_valid(replacement, close, is_head)
    return parts


def _encode_if_valid(answer, close, is_head):
    """Return head and body of a response, or None if it would not be valid."""
    status_line = _STATUS_LINES.get(answer.status)
    if status_line is None:
        return None
    body = answer.body or _describe_as_json(answer)
    header_lines = [
        b"%b: %b\r\n" % header
        for header in answer.headers
        if header[0].lower() not in _DROPPED_HEADERS
    ]
    if answer.status in _BODILESS_STATUSES:
        body = b""
    else:
        body = b"" if answer.status == _RESET_CONTENT else body
        length = len(body)
        if is_head and not body:
            length = _read_content_length(answer.headers)
        if length is not None:
            header_lines.append(b"Content-Length: %d\r\n" % length)
    header_lines.append(
        b"%b: %b\r\n" % (_OUTCOME_HEADER, answer.outcome.value.encode())
    )
    if answer.reason is not None:
        header_lines.append(
            b"%b: %b\r\n" % (_REASON_HEADER, answer.reason.value.encode())
        )
    if answer.operation:
        header_lines.append(
            b"%b: %b\r\n" % (_OPERATION_HEADER, answer.operation.encode())
        )
    if answer.retry_after is not None:
        header_lines.append(b"%b: %.1f\r\n" % (_RETRY_AFTER_HEADER, answer.retry_after))
    if close:
        header_lines.append(b"Connection: close\r\n")
    headers = b"".join(header_lines)
    # A line break within a value could otherwise pass as a second header.
    if not _VALID_HEADERS.fullmatch(headers) or headers.count(b"\n") != len(
        header_lines
    ):
        return None
    return b"".join((status_line, headers, b"\r\n")), b"" if is_head else body


def _read_content_length(headers):
    """Return the Content-Length of a backend server's answer to HEAD, or None.

    Without a valid one, the length of the answer to GET is unknown, and the answer to
    HEAD may omit the header (RFC 9110, section 8.6).
    """
    values = {value for name, value in headers if name.lower() == b"content-length"}
    if len(values) != 1:
        return None
    (value,) = values
    return int(value) if _CONTENT_LENGTH.fullmatch(value) else None


def _describe_as_json(answer):
    if answer.reason is None:
        return b""
    description = {"outcome": answer.outcome.value, "reason": answer.reason.value}
    if answer.operation:
        description["operation"] = answer.operation
    return json.dumps(description).encode() + b"\n"
