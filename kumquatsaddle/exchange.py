"""Requests and answers as passed between the layers of one instance."""

from dataclasses import dataclass

from kumquatsaddle.types import (
    AccountId,
    OperationId,
    Outcome,
    Rank,
    RefusalReason,
    ServiceName,
)

__all__ = ["Answer", "Request", "UNKNOWN_REASONS"]

# Reasons for which it is not known whether the request ran.
UNKNOWN_REASONS = frozenset(
    {
        RefusalReason.INTERNAL_ERROR,
        RefusalReason.ANSWER_LOST,
        RefusalReason.ANSWER_TRUNCATED,
        RefusalReason.ANSWER_TOO_LARGE,
        RefusalReason.ANSWER_LATE,
        RefusalReason.ANSWER_MISMATCH,
        RefusalReason.ISSUER_GONE,
        RefusalReason.OPERATION_EXPIRED,
        RefusalReason.OPERATION_MISMATCH,
        RefusalReason.FATAL_REQUEST,
    }
)

_STATUS_OF_REASON = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.INVALID_OPERATION_ID: 400,
    RefusalReason.UNAUTHORIZED: 401,
    RefusalReason.UNKNOWN_ACCOUNT: 403,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.REQUEST_TIMEOUT: 408,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.OPERATION_MISMATCH: 422,
    RefusalReason.ACCOUNT_LIMIT: 429,
    RefusalReason.CLAIM_LIMIT: 429,
    RefusalReason.HEADERS_TOO_LARGE: 431,
    RefusalReason.INTERNAL_ERROR: 500,
    RefusalReason.DEADLINE: 504,
    RefusalReason.ANSWER_LATE: 504,
    RefusalReason.ANSWER_LOST: 502,
    RefusalReason.ANSWER_MISMATCH: 502,
    RefusalReason.ANSWER_TRUNCATED: 502,
    RefusalReason.ANSWER_TOO_LARGE: 502,
    RefusalReason.ISSUER_GONE: 502,
    RefusalReason.OPERATION_EXPIRED: 502,
    RefusalReason.FATAL_REQUEST: 502,
}
_DEFAULT_STATUS = 503


@dataclass(slots=True)
class Request:
    """A request of a caller.

    Parameters
    ----------
    method, target : str
    headers : list of (bytes, bytes)
        End-to-end headers, with lower-case names.
    body : bytes
    account : AccountId
    service : ServiceName
    rank : Rank
    idempotent : bool
    deadline : float
        Time on the clock of trio, in seconds.
    operation : OperationId
        Operation id; empty for an idempotent request.
    floor : float
        Rate in requests per second up to which the account is served before others.
    """

    method: str
    target: str
    headers: list
    body: bytes
    account: AccountId
    service: ServiceName
    rank: Rank
    idempotent: bool
    deadline: float
    operation: OperationId = OperationId("")
    floor: float = 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a caller.

    Parameters
    ----------
    outcome : Outcome
    status : int
        HTTP status.
    headers : sequence of (bytes, bytes)
    body : bytes
    reason : RefusalReason or None
    operation : OperationId
    retry_after : float or None
        Time in seconds after which a retry can succeed, if it is known.
    """

    outcome: Outcome
    status: int
    headers: tuple = ()
    body: bytes = b""
    reason: RefusalReason | None = None
    operation: OperationId = OperationId("")
    retry_after: float | None = None

    @classmethod
    def from_reason(cls, reason, operation=OperationId(""), retry_after=None):
        """Return the answer for `reason`: UNKNOWN or NOT_RUN, see `UNKNOWN_REASONS`."""
        outcome = Outcome.UNKNOWN if reason in UNKNOWN_REASONS else Outcome.NOT_RUN
        status = _STATUS_OF_REASON.get(reason, _DEFAULT_STATUS)
        return cls(outcome, status, (), b"", reason, operation, retry_after)

    @classmethod
    def unknown(cls, reason, operation=OperationId("")):
        """Return an UNKNOWN answer, whatever the reason."""
        status = _STATUS_OF_REASON.get(reason, _DEFAULT_STATUS)
        return cls(Outcome.UNKNOWN, status, (), b"", reason, operation)
