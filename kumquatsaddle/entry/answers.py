"""Encodes answers to callers as HTTP/1.1 responses."""

import json

import h11

from kumquatsaddle.exchange import Answer
from kumquatsaddle.types import RefusalReason

__all__ = ["encode_answer"]

_OUTCOME_HEADER = b"Kumquatsaddle-Outcome"
_REASON_HEADER = b"Kumquatsaddle-Reason"
_OPERATION_HEADER = b"Kumquatsaddle-Operation"
_CLOSE_HEADER = (b"Connection", b"close")
# Framing belongs to h11, and a backend server must not forge an outcome.
_DROPPED = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"transfer-encoding",
        _OUTCOME_HEADER.lower(),
        _REASON_HEADER.lower(),
        _OPERATION_HEADER.lower(),
    }
)
# Responses that never have a body (RFC 9110, section 6.4.1).
_BODILESS = frozenset({204, 205, 304})


def encode_answer(parser, answer, close=False, is_head=False):
    """Return the bytes of a response.

    Parameters
    ----------
    parser : h11.Connection
        Has parsed the request, or nothing if the request was refused before.
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
    try:
        return _encode(parser, answer, close, is_head)
    except h11.LocalProtocolError:
        lost = Answer.refuse(RefusalReason.ANSWER_LOST, answer.operation)
        return _encode(h11.Connection(h11.SERVER), lost, True, is_head)


def _encode(parser, answer, close, is_head):
    body = b"" if answer.status in _BODILESS else answer.body or _describe(answer)
    headers = [item for item in answer.headers if item[0].lower() not in _DROPPED]
    if answer.status not in _BODILESS:
        headers.append((b"Content-Length", b"%d" % len(body)))
    headers.append((_OUTCOME_HEADER, answer.outcome.value.encode()))
    if answer.reason is not None:
        headers.append((_REASON_HEADER, answer.reason.value.encode()))
    if answer.operation:
        headers.append((_OPERATION_HEADER, answer.operation.encode()))
    if close:
        headers.append(_CLOSE_HEADER)
    response = h11.Response(status_code=answer.status, headers=headers)
    data = parser.send(response)
    if is_head:
        return data + _end_without_body(parser)
    if body:
        data += parser.send(h11.Data(data=body))
    return data + parser.send(h11.EndOfMessage())


def _end_without_body(parser):
    try:
        return parser.send(h11.EndOfMessage())
    except h11.LocalProtocolError:
        # This parser has not seen the HEAD request and expects the body.
        return b""


def _describe(answer):
    if answer.reason is None:
        return b""
    text = {"outcome": answer.outcome.value, "reason": answer.reason.value}
    if answer.operation:
        text["operation"] = answer.operation
    return json.dumps(text).encode() + b"\n"
