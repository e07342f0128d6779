"""The retry budget of a service, and what the results of attempts mean."""

from kumquatsaddle.types import Outcome, RefusalReason, RetryReason

__all__ = ["RetryBudget", "choose_answer", "is_stale", "make_budget", "reason_to_retry"]

# Retries for each request of the service: a service whose servers all fail gets at
# most this share of additional load.
_SHARE = 0.1
# Retries in a row, so that a service with few requests can retry at all.
_BURST = 10.0

_OUTCOME_ORDER = {Outcome.NOT_RUN: 0, Outcome.UNKNOWN: 1, Outcome.DONE: 2}
_RETRY_REASONS = {
    RefusalReason.ANSWER_LOST: RetryReason.BACKEND_ERROR,
    RefusalReason.ANSWER_TRUNCATED: RetryReason.ANSWER_TRUNCATED,
    RefusalReason.ANSWER_MISMATCH: RetryReason.ANSWER_MISMATCH,
}


class RetryBudget:
    """Retries that one service may still make."""

    def __init__(self):
        self._tokens = _BURST

    def add_request(self):
        """Add the share of a request."""
        self._tokens = min(_BURST, self._tokens + _SHARE)

    def take(self):
        """Take a retry; return False if the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def make_budget():
    """Return a full budget; see `RetryBudget`."""
    return RetryBudget()


def reason_to_retry(error, idempotent, is_reused):
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
    if is_stale(error, is_reused):
        return RetryReason.STALE_CONNECTION
    return _RETRY_REASONS.get(error.reason)


def is_stale(error, is_reused):
    """Return whether an exchange failed because its connection was closed while idle.

    It says nothing of the health of the server, which may close idle connections.
    """
    lost = error.reason is RefusalReason.ANSWER_LOST
    return lost and is_reused and not error.answered


def choose_answer(earlier, later):
    """Return the answer of two attempts that says most about the request.

    The later one counts unless the earlier one came further: a retry that was not
    run does not undo an attempt that may have run.

    Parameters
    ----------
    earlier : Answer or None
    later : Answer
    """
    if earlier is None:
        return later
    came_further = _OUTCOME_ORDER[earlier.outcome] > _OUTCOME_ORDER[later.outcome]
    return earlier if came_further else later
