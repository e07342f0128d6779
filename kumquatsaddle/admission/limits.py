"""Limits of client accounts as token buckets, held at the account's primary."""

from collections import OrderedDict

__all__ = ["AccountLimits", "TokenBucket", "make_limits"]

# Buckets kept by one instance; the least recently used one is dropped first. A dropped
# bucket starts full again, so the bound is far above the accounts of an instance.
_MAX_BUCKETS = 4096


class TokenBucket:
    """A token bucket.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Most tokens held.
    now : float
        Time in seconds.
    """

    __slots__ = ("rate", "burst", "_tokens", "_updated")

    def __init__(self, rate, burst, now):
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._updated = now

    def take(self, now, amount=1.0):
        """Take tokens if there are enough; return whether there were."""
        self._fill(now)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def change(self, rate, burst, now):
        """Use another rate and burst from now on.

        The time until now counts at the former rate: an instance that takes over a
        limit must not credit itself the full rate for the time at its small share.
        """
        self._fill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def _fill(self, now):
        grown = self._tokens + max(0.0, now - self._updated) * self.rate
        self._tokens = min(self.burst, grown)
        self._updated = max(self._updated, now)


class AccountLimits:
    """The buckets of the accounts that this instance holds limits for."""

    def __init__(self):
        self._buckets = OrderedDict()

    def __len__(self):
        return len(self._buckets)

    def admit(self, account, service, limit, share, now):
        """Return whether a request is within its account's limit.

        Parameters
        ----------
        account : AccountId
        service : ServiceName
        limit : Limit or None
            None admits every request.
        share : float
            Share of the limit that this instance holds, 0 to 1.
        now : float
            Time in seconds.
        """
        if limit is None:
            return True
        rate, burst = limit.rate * share, max(1.0, limit.burst * share)
        key = (account, service)
        bucket = self._buckets.pop(key, None)
        if bucket is None:
            bucket = TokenBucket(rate, burst, now)
        elif (bucket.rate, bucket.burst) != (rate, burst):
            bucket.change(rate, burst, now)
        self._buckets[key] = bucket
        if len(self._buckets) > _MAX_BUCKETS:
            self._buckets.popitem(last=False)
        return bucket.take(now)


def make_limits():
    """Return limits without any bucket."""
    return AccountLimits()
