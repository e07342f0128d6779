"""How one attempt to run a request on a backend server ended."""

from dataclasses import dataclass
from enum import Enum

import trio

from kumquatsaddle.dispatch.protocol import MISDIRECTED_STATUS
from kumquatsaddle.exchange import Answer
from kumquatsaddle.types import Outcome, RefusalReason, RetryReason

__all__ = [
    "NOT_RUN_OUTCOMES",
    "RETRY_REASONS",
    "AttemptOutcome",
    "AttemptResult",
    "read_answer",
]

_GATEWAY_TIMEOUT = 504
# A 504 received less than this before the deadline counts as caused by the deadline.
_DEADLINE_MARGIN_SECONDS = 0.1


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    FAILED = "failed"
    # The server may have run the request, but no valid answer arrived.
    LOST = "lost"
    # The server said that it did not run the request.
    SHED = "shed"
    # The server at this address is another one (status 421).
    MISDIRECTED = "misdirected"
    # No byte of the request was written.
    UNREACHABLE = "unreachable"
    # No answer arrived before the deadline, or the request was not written before it.
    LATE = "late"
    # The server answered 504 at the deadline that the request header gave.
    TIMED_OUT = "timed_out"


# Outcomes after which no server can have run the request.
NOT_RUN_OUTCOMES = (
    AttemptOutcome.SHED,
    AttemptOutcome.MISDIRECTED,
    AttemptOutcome.UNREACHABLE,
)
RETRY_REASONS = {
    AttemptOutcome.FAILED: RetryReason.BACKEND_ERROR,
    AttemptOutcome.LOST: RetryReason.ANSWER_TRUNCATED,
    AttemptOutcome.SHED: RetryReason.BACKEND_SHED,
    AttemptOutcome.MISDIRECTED: RetryReason.ANSWER_MISMATCH,
    AttemptOutcome.UNREACHABLE: RetryReason.CONNECT_FAILED,
    AttemptOutcome.LATE: RetryReason.ANSWER_LATE,
    AttemptOutcome.TIMED_OUT: RetryReason.ANSWER_LATE,
}


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome and answer of one attempt.

    Parameters
    ----------
    outcome : AttemptOutcome
    answer : Answer
    """

    outcome: AttemptOutcome
    answer: Answer


def read_answer(protocol, request, raw):
    """Classify the whole answer of a server.

    Parameters
    ----------
    protocol : BackendProtocol
    request : RoutedRequest
    raw : RawAnswer

    Returns
    -------
    AttemptResult
    """
    if raw.status == MISDIRECTED_STATUS:
        refusal = Answer.from_reason(RefusalReason.BACKEND_UNREACHABLE)
        return AttemptResult(AttemptOutcome.MISDIRECTED, refusal)
    if protocol.unprocessed and raw.get_header(protocol.unprocessed) is not None:
        refusal = Answer.from_reason(RefusalReason.BACKEND_SHED)
        return AttemptResult(AttemptOutcome.SHED, refusal)
    is_from_server = not protocol.signature or raw.get_header(protocol.signature)
    if raw.status < 300 and not is_from_server:
        lost = Answer.from_reason(RefusalReason.ANSWER_MISMATCH)
        return AttemptResult(AttemptOutcome.LOST, lost)
    answer = Answer(Outcome.DONE, raw.status, tuple(raw.headers), raw.body)
    if raw.status < 500:
        return AttemptResult(AttemptOutcome.SERVED, answer)
    left = request.deadline - trio.current_time()
    if raw.status == _GATEWAY_TIMEOUT and left < _DEADLINE_MARGIN_SECONDS:
        return AttemptResult(AttemptOutcome.TIMED_OUT, answer)
    return AttemptResult(AttemptOutcome.FAILED, answer)
