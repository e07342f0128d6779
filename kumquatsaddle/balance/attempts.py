"""One attempt to run a request on a backend server, and how it ended."""

from dataclasses import dataclass
from enum import Enum

import trio

from kumquatsaddle.balance.pauses import read_pause
from kumquatsaddle.dispatch.answers import RawAnswer
from kumquatsaddle.dispatch.connections import ExchangeError
from kumquatsaddle.dispatch.protocol import MISDIRECTED_STATUS
from kumquatsaddle.exchange import Answer
from kumquatsaddle.types import Outcome, RefusalReason, RetryReason

__all__ = [
    "NOT_RUN_OUTCOMES",
    "RETRY_REASONS",
    "UNSENT_OUTCOMES",
    "AttemptOutcome",
    "AttemptResult",
    "run_attempt",
]

_GATEWAY_TIMEOUT = 504
# A 504 received less than this before the deadline counts as caused by the deadline.
_DEADLINE_MARGIN_SECONDS = 0.1

# Why a request that had been assigned to a server was not written to it.
_WITHDRAWAL_REASONS = (
    RefusalReason.NO_BACKEND,
    RefusalReason.UNAUTHORIZED,
    RefusalReason.KEYS_STALE,
)


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
    # The server stopped taking requests, or the key of the request was revoked, before
    # a byte was written.
    WITHDRAWN = "withdrawn"
    # No answer arrived before the deadline, or the request was not written before it.
    LATE = "late"
    # The server answered 504 at the deadline that the request header gave.
    TIMED_OUT = "timed_out"


# Outcomes after which no server can have run the request.
NOT_RUN_OUTCOMES = (
    AttemptOutcome.SHED,
    AttemptOutcome.MISDIRECTED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.WITHDRAWN,
)
# Outcomes after which no byte of the request was written.
UNSENT_OUTCOMES = (AttemptOutcome.UNREACHABLE, AttemptOutcome.WITHDRAWN)
RETRY_REASONS = {
    AttemptOutcome.FAILED: RetryReason.BACKEND_ERROR,
    AttemptOutcome.LOST: RetryReason.ANSWER_TRUNCATED,
    AttemptOutcome.SHED: RetryReason.BACKEND_SHED,
    AttemptOutcome.MISDIRECTED: RetryReason.ANSWER_MISMATCH,
    AttemptOutcome.UNREACHABLE: RetryReason.CONNECT_FAILED,
    AttemptOutcome.WITHDRAWN: RetryReason.BACKEND_WITHDRAWN,
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
    raw : RawAnswer or None
        As the server sent it; None without a whole answer.
    """

    outcome: AttemptOutcome
    answer: Answer
    raw: RawAnswer | None = None

    @property
    def is_unanswered(self):
        """Whether the connection ended without an answer to a request written to it."""
        return self.outcome is AttemptOutcome.LOST and self.raw is None

    @property
    def asks_for_pause(self):
        """Whether the server asked this instance to send nothing for a time."""
        return self.raw is not None and read_pause(self.raw) is not None


async def run_attempt(
    server, request, protocol, max_answer_bytes, memory, find_refusal
):
    """Send a request to a server and return the `AttemptResult`.

    Parameters
    ----------
    server : BalancedServer
    request : RoutedRequest
    protocol : BackendProtocol
    max_answer_bytes : int
        Longest body of an answer, in bytes.
    memory : AnswerMemory
    find_refusal : callable
        Returns the `RefusalReason` for which the request may not be sent, or None.
    """
    connection = raw = None
    written = False

    def check_before_write():
        nonlocal written
        now = trio.current_time()
        if now >= request.deadline:
            raise ExchangeError(RefusalReason.DEADLINE, False)
        if not server.accepts_started(now):
            raise ExchangeError(RefusalReason.NO_BACKEND, False)
        refusal = find_refusal(request)
        if refusal is not None:
            raise ExchangeError(refusal, False)
        written = True

    try:
        with trio.move_on_at(request.deadline):
            connection = await server.acquire_connection(request.idempotent)
            raw = await connection.exchange(
                request.method,
                request.target,
                _make_headers(protocol, server, request),
                request.body,
                max_answer_bytes,
                check_before_write,
                memory,
            )
    except ExchangeError as error:
        return _read_error(error)
    finally:
        if connection is not None:
            if raw is not None:
                await server.release_connection(connection)
            else:
                await connection.close()
    if raw is None:
        reason = RefusalReason.ANSWER_LATE if written else RefusalReason.NO_BACKEND
        return AttemptResult(AttemptOutcome.LATE, Answer.from_reason(reason))
    return _read_answer(protocol, request, raw)


def _make_headers(protocol, server, request):
    replaced = {protocol.deadline, protocol.expected_server, b"content-length"}
    remaining = max(1, int((request.deadline - trio.current_time()) * 1000))
    headers = [item for item in request.headers if item[0] not in replaced]
    headers.append((protocol.deadline, str(remaining).encode()))
    if protocol.expected_server:
        headers.append((protocol.expected_server, server.name.encode()))
    if protocol.account and request.account is not None:
        headers.append((protocol.account, request.account.name.encode()))
    if request.body or not request.idempotent:
        headers.append((b"content-length", str(len(request.body)).encode()))
    return headers


def _read_error(error):
    """Return the result of an attempt without a whole answer."""
    if error.written:
        return AttemptResult(AttemptOutcome.LOST, Answer.from_reason(error.reason))
    if error.reason in _WITHDRAWAL_REASONS:
        answer = Answer.from_reason(error.reason)
        return AttemptResult(AttemptOutcome.WITHDRAWN, answer)
    if error.reason is RefusalReason.DEADLINE:
        answer = Answer.from_reason(RefusalReason.NO_BACKEND)
        return AttemptResult(AttemptOutcome.LATE, answer)
    return AttemptResult(AttemptOutcome.UNREACHABLE, Answer.from_reason(error.reason))


def _read_answer(protocol, request, raw):
    """Return the result of an attempt that a server answered whole."""
    if raw.status == MISDIRECTED_STATUS:
        refusal = Answer.from_reason(RefusalReason.BACKEND_UNREACHABLE)
        return AttemptResult(AttemptOutcome.MISDIRECTED, refusal, raw)
    if protocol.unprocessed and raw.get_header(protocol.unprocessed) is not None:
        refusal = Answer.from_reason(RefusalReason.BACKEND_SHED)
        return AttemptResult(AttemptOutcome.SHED, refusal, raw)
    is_from_server = not protocol.signature or raw.get_header(protocol.signature)
    if raw.status < 300 and not is_from_server:
        lost = Answer.from_reason(RefusalReason.ANSWER_MISMATCH)
        return AttemptResult(AttemptOutcome.LOST, lost, raw)
    answer = Answer(Outcome.DONE, raw.status, tuple(raw.headers), raw.body)
    if raw.status < 500:
        return AttemptResult(AttemptOutcome.SERVED, answer, raw)
    left = request.deadline - trio.current_time()
    if raw.status == _GATEWAY_TIMEOUT and left < _DEADLINE_MARGIN_SECONDS:
        return AttemptResult(AttemptOutcome.TIMED_OUT, answer, raw)
    return AttemptResult(AttemptOutcome.FAILED, answer, raw)
