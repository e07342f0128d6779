"""Rate limits of client accounts, as token buckets at the primary of the account."""

from collections import OrderedDict

__all__ = ["AccountLimits", "TokenBucket", "get_limit_share", "make_account_limits"]

# Buckets kept by one instance; the least recently used one is evicted first. An evicted
# bucket starts full again, so the bound is far above the accounts of an instance.
_MAX_BUCKETS = 4096
# Fraction of an account's limit that applies at its second home while the primary, its
# first home, is alive.
_SECOND_HOME_SHARE = 0.25
# Fraction that applies at every other instance, home of the service or not.
_OTHER_INSTANCE_SHARE = 0.05


class TokenBucket:
    """A token bucket.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Maximum number of tokens in the bucket.
    now : float
        Current time in seconds.
    """

    __slots__ = ("rate", "burst", "_tokens", "_updated_at")

    def __init__(self, rate, burst, now):
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._updated_at = now

    def try_take(self, now, amount=1.0):
        """Remove `amount` tokens if there are as many; return whether there were."""
        self._refill(now)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def change(self, rate, burst, now):
        """Set the rate and the burst.

        The time until now is credited at the former rate. An instance that takes over a
        limit must not get tokens at the full rate for the time in which it had a small
        share.
        """
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def _refill(self, now):
        refilled = self._tokens + max(0.0, now - self._updated_at) * self.rate
        self._tokens = min(self.burst, refilled)
        self._updated_at = max(self._updated_at, now)


class AccountLimits:
    """The token buckets of the accounts whose limits this instance enforces."""

    def __init__(self):
        self._buckets = OrderedDict()

    def __len__(self):
        return len(self._buckets)

    def admit(self, account, service, limit, share, now):
        """Admit a request if the limit of its account allows; return whether it does.

        Parameters
        ----------
        account : AccountId
        service : ServiceName
        limit : Limit or None
            None admits every request.
        share : float
            Share of the limit that this instance may admit, 0 to 1.
        now : float
            Current time in seconds.
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
        return bucket.try_take(now)


def make_account_limits():
    """Return `AccountLimits` without buckets."""
    return AccountLimits()


def get_limit_share(instance, homes):
    """Return the fraction of an account's limit that applies at an instance.

    Parameters
    ----------
    instance : InstanceId
    homes : sequence of InstanceId
        Homes of the account for a service, the primary first; without any, each
        instance applies the whole limit.
    """
    if not homes or homes[0] == instance:
        return 1.0
    if len(homes) > 1 and homes[1] == instance:
        return _SECOND_HOME_SHARE
    return _OTHER_INSTANCE_SHARE
