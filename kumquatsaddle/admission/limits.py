"""Rate limits of client accounts, as token buckets at the primary of the account."""

from collections import OrderedDict

from kumquatsaddle.buckets import TokenBucket

__all__ = ["AccountLimits", "get_limit_share", "make_account_limits"]

# Buckets kept by one instance; the least recently used one is evicted first. An evicted
# bucket starts full again, so the bound is far above the accounts of an instance.
_MAX_BUCKETS = 4096
# Fraction of an account's limit that applies at its second home while the primary, its
# first home, is alive.
_SECOND_HOME_SHARE = 0.25
# Fraction that applies at every other instance, home of the service or not.
_OTHER_INSTANCE_SHARE = 0.05


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
