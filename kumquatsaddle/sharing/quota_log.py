"""Bounded log of the requests that were refused because of a quota."""

from collections import Counter

from kumquatsaddle.buckets import TokenBucket
from kumquatsaddle.logs import log_event

__all__ = ["QuotaLog"]

# Log lines a second and at once; an account far above its quota must not fill the log.
_LINES_RATE, _LINES_BURST = 5.0, 20.0


class QuotaLog:
    """Writes a line for the first refusals in a time and counts the others.

    Parameters
    ----------
    now : float
        In seconds.
    """

    def __init__(self, now):
        self._limit = TokenBucket(_LINES_RATE, _LINES_BURST, now)
        # Refusals without a line, by account.
        self._unlogged = Counter()

    def add(self, request_id, account, grant, owner, retry_after, now):
        """Record a refusal.

        Parameters
        ----------
        request_id : bytes
        account : AccountId
        grant : Grant
        owner : str
            Address of the owner of the account.
        retry_after, now : float
            In seconds.
        """
        if not self._limit.try_take(now):
            self._unlogged[account] += 1
            return
        log_event(
            "quota_refused",
            id=request_id.decode("latin-1"),
            account=account,
            cause=grant.refusal.value,
            owner=owner,
            retry_after=round(retry_after, 1),
            unlogged=self._unlogged.pop(account, 0),
        )
