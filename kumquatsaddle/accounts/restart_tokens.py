"""Tokens for the seconds in which all owners of quotas are new.

When all instances of a zone restart at the same moment, for example after a loss of
power, each account has a new owner, and new owners grant nothing at first: a former one
might still do so. After such a restart there is no former one. Until the owners grant,
each active instance admits a fixed part of each quota by itself.

Load: the first seconds after such a restart, in which all callers return at once.

Notes
-----
With N active instances, these admit at most N + rate x T in the time T after the
restart, and nothing else is admitted then. Together with what was admitted before the
restart, this exceeds rate x window + burst by at most N, which the slack has to cover;
where it does not, instances start with less than a token.
"""

from kumquatsaddle.buckets import TokenBucket

__all__ = ["RESTART_SECONDS", "RestartTokens"]

# How long an instance counts as restarted: the start itself, the contact with the other
# instances and the takeover delay.
RESTART_SECONDS = 6.0


class RestartTokens:
    """The tokens of one instance after its start.

    Parameters
    ----------
    started_at : float
        In seconds, on the clock of the other times.
    slack : float
        Tolerated requests in a window beyond a quota.
    """

    def __init__(self, started_at, slack):
        self._started_at = started_at
        self._slack = slack
        self._buckets = {}

    def is_recent(self, now):
        """Return whether this instance has started recently."""
        return now - self._started_at < RESTART_SECONDS

    def try_take(self, account, quota, active, now):
        """Admit a request if this instance's part of the quota allows it.

        Parameters
        ----------
        account : AccountId
        quota : Quota
        active : int
            Number of instances that callers are sent to.
        now : float
            In seconds.
        """
        if not self.is_recent(now):
            self._buckets.clear()
            return False
        bucket = self._buckets.get(account)
        if bucket is None:
            tokens = min(1.0, self._slack / max(1, active))
            bucket = self._buckets[account] = TokenBucket(
                quota.rate / max(1, active),
                1.0 + quota.burst / max(1, active),
                now,
                tokens,
            )
        return bucket.try_take(now)
