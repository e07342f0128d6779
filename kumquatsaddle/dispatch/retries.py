"""The retry budget of a service, and the rules for retrying failed attempts."""

from kumquatsaddle.types import Outcome, RefusalReason, RetryReason

__all__ = [
    "RetryBudget",
    "choose_answer",
    "is_stale_connection_error",
    "make_retry_budget",
    "get_retry_reason",
]

# Tokens that each request adds to the budget of its service; a retry costs one token.
# A service whose servers all fail gets at most this share of additional load.
_TOKENS_PER_REQUEST = 0.1
# Most tokens in the budget, and tokens at the start. They let a service with few
# requests retry at all.
_MAX_TOKENS = 10.0

_OUTCOME_PROGRESS = {Outcome.NOT_RUN: 0, Outcome.UNKNOWN: 1, Outcome.DONE: 2}
_RETRY_REASONS = {
    RefusalReason.ANSWER_LOST: RetryReason.BACKEND_ERROR,
    RefusalReason.ANSWER_TRUNCATED: RetryReason.ANSWER_TRUNCATED,
    RefusalReason.ANSWER_MISMATCH: RetryReason.ANSWER_MISMATCH,
}


class RetryBudget:
    """Token bucket that limits the retries of one service."""

    def __init__(self):
        self._tokens = _MAX_TOKENS

    def add_request(self):
        """Add the tokens that a first attempt contributes."""
        self._tokens = min(_MAX_TOKENS, self._tokens + _TOKENS_PER_REQUEST)

    def try_withdraw(self):
        """Withdraw a token for a retry; return False if the budget has none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def make_retry_budget():
    """Return a full budget; see `RetryBudget`."""
    return RetryBudget()


def get_retry_reason(error, idempotent, is_reused):
    """Return why a request may be sent again after an error, or None.

    Parameters
    ----------
    error : ExchangeError
    idempotent : bool
    is_reused : bool
        Whether the connection had carried another exchange before.

    Returns
    -------
    RetryReason or None
    """
    if error.reason is RefusalReason.BACKEND_UNREACHABLE:
        return RetryReason.CONNECT_FAILED
    if not error.written or not idempotent:
        return None
    if is_stale_connection_error(error, is_reused):
        return RetryReason.STALE_CONNECTION
    return _RETRY_REASONS.get(error.reason)


def is_stale_connection_error(error, is_reused):
    """Return whether an exchange failed because its connection was closed while idle.

    Such an error is no evidence about the health of the server, which may close idle
    connections.
    """
    lost = error.reason is RefusalReason.ANSWER_LOST
    return lost and is_reused and not error.answered


def choose_answer(earlier, later):
    """Return the answer of two attempts that determines the outcome of the request.

    This is the later one, unless the earlier attempt progressed further: a retry that
    was not run does not cancel an attempt that may have run.

    Parameters
    ----------
    earlier : Answer or None
    later : Answer
    """
    if earlier is None:
        return later
    earlier_progressed_further = (
        _OUTCOME_PROGRESS[earlier.outcome] > _OUTCOME_PROGRESS[later.outcome]
    )
    return earlier if earlier_progressed_further else later
