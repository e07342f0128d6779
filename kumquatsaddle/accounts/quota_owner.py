"""Grants of the quotas of the client accounts that this instance owns.

The owner of an account holds its token bucket. It uses the part of rate and burst that
corresponds to the instances in contact, and grants nothing for a takeover delay after
it became the owner; see `ViewHistory`.

Load: one grant for each request of an account with a quota, or for a few of them; at
the target size about 1,400 a second at an instance. Only accounts in use have a bucket.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from kumquatsaddle.accounts.fleet_contact import RETAINED_SECONDS, TAKEOVER_SECONDS

__all__ = [
    "ADVANCE_SECONDS",
    "Grant",
    "QuotaBounds",
    "QuotaOwner",
    "QuotaRefusal",
]

# How long tokens that were granted in advance are valid.
ADVANCE_SECONDS = 0.5
# Part of the slack by which the capacity of a bucket exceeds the burst. Without it, a
# bucket of one token is full, and loses what it would get, whenever no request arrives
# in time.
_CAPACITY_SLACK_FRACTION = 0.25
# Part of the tolerated excess that may be granted in advance and not used yet.
_ADVANCE_FRACTION = 0.25
# Part of the capacity below which nothing is granted in advance. Tokens that expire
# unused are lost, so none are held while the quota is nearly used up.
_ADVANCE_RESERVE = 0.5
# Retry-After while it is not known when a grant is possible, in seconds.
_UNKNOWN_RETRY_SECONDS = 0.5
# Refused requests are told different times, up to this much after the first token.
_MAX_SPREAD_SECONDS = 2.0
# Bound of a Retry-After, also for a rate of 0.
_MAX_RETRY_SECONDS = 30.0
# Absorbs rounding when a bucket has exactly one token again.
_ROUNDING = 1e-9


class QuotaRefusal(Enum):
    """Why a request of an account with a quota was refused."""

    # The quota is used up.
    LIMIT = "limit"
    # The owner is new and waits for the former one to have stopped.
    TAKEOVER = "takeover"
    # Too small a part of the fleet is in contact for one request.
    PARTITION = "partition"
    # The asked instance does not own the account in its own view.
    NOT_OWNER = "not_owner"
    # The owner did not answer in time.
    UNANSWERED = "unanswered"
    # No instance in contact can own the account.
    NO_OWNER = "no_owner"


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """What the requests of an account that run in any window may add up to.

    The bound is (rate x window + burst) x (1 + overrun) + slack.

    Parameters
    ----------
    window : float
        In seconds.
    overrun : float
    slack : float
        In requests.
    """

    window: float = 5.0
    overrun: float = 0.1
    slack: float = 20.0

    def compute_capacity(self, quota):
        """Return the capacity of the bucket of a quota, in requests."""
        return quota.burst + _CAPACITY_SLACK_FRACTION * self.slack

    def compute_advance(self, quota):
        """Return the number of unused tokens that may be granted in advance."""
        within = quota.rate * self.window + quota.burst
        return _ADVANCE_FRACTION * (self.overrun * within + self.slack)


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer of an owner.

    Parameters
    ----------
    granted : int
        Number of tokens.
    retry_after : float, default=0.0
        Time in seconds after which a refused request may be admitted.
    refusal : QuotaRefusal or None
        Why fewer tokens were granted than needed.
    """

    granted: int
    retry_after: float = 0.0
    refusal: QuotaRefusal | None = None


class _Bucket:
    """The token bucket of one account."""

    __slots__ = ("rate", "capacity", "tokens", "updated_at", "refused", "in_advance")

    def __init__(self, rate, capacity, tokens, now):
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(capacity, tokens)
        self.updated_at = now
        # Requests refused since the last grant.
        self.refused = 0
        # Times and numbers of the tokens granted in advance that may still be valid.
        self.in_advance = deque()

    def refill(self, rate, capacity, now):
        """Add tokens for the time since the last call, at the lower of two rates."""
        elapsed = max(0.0, now - self.updated_at)
        self.tokens += elapsed * min(self.rate, rate)
        self.rate, self.capacity, self.updated_at = rate, capacity, now
        self.tokens = min(self.tokens, capacity)

    def take(self, number):
        """Remove up to `number` tokens; return how many."""
        taken = min(number, int(self.tokens + _ROUNDING))
        self.tokens -= taken
        if taken:
            self.refused = 0
        return taken

    def take_in_advance(self, number, allowance, now):
        """Remove tokens that are valid for `ADVANCE_SECONDS`; return how many."""
        while self.in_advance and now - self.in_advance[0][0] > ADVANCE_SECONDS:
            self.in_advance.popleft()
        unused = sum(earlier for _, earlier in self.in_advance)
        spare = self.tokens - _ADVANCE_RESERVE * self.capacity
        taken = int(max(0.0, min(number, spare, allowance - unused)))
        if taken:
            self.tokens -= taken
            self.in_advance.append((now, taken))
        return taken

    def compute_retry_after(self, refused):
        """Return when the last of further refused requests may be repeated."""
        missing = 1.0 - self.tokens
        if self.rate <= 0:
            return _MAX_RETRY_SECONDS
        spread = min(self.refused / self.rate, _MAX_SPREAD_SECONDS)
        self.refused += refused
        return min(missing / self.rate + spread, _MAX_RETRY_SECONDS)


class QuotaOwner:
    """The buckets of the accounts that one instance owns.

    Parameters
    ----------
    history : ViewHistory
    bounds : QuotaBounds
    """

    def __init__(self, history, bounds):
        self._history = history
        self._bounds = bounds
        self._buckets = {}

    def __len__(self):
        return len(self._buckets)

    def grant(self, account, quota, needed, advance, now):
        """Return the `Grant` of tokens for requests of an account.

        Parameters
        ----------
        account : AccountId
        quota : Quota or None
            None is no limit.
        needed : int
            Requests that wait.
        advance : int
            Further tokens for requests to come.
        now : float
            On a clock that includes the time in which the process is suspended, in
            seconds.
        """
        owned_since = self._history.find_owned_since(account)
        if owned_since is None:
            return _refuse(QuotaRefusal.NOT_OWNER, _UNKNOWN_RETRY_SECONDS)
        if quota is None:
            return Grant(needed)
        grants_from = owned_since + TAKEOVER_SECONDS
        share = self._history.compute_share(now)
        if now < grants_from or share <= 0:
            return _refuse(QuotaRefusal.TAKEOVER, max(0.0, grants_from - now))
        bucket = self._update_bucket(account, quota, owned_since, share, now)
        granted = bucket.take(needed)
        if granted < needed:
            if bucket.capacity < 1:
                return _refuse(QuotaRefusal.PARTITION, _UNKNOWN_RETRY_SECONDS)
            retry_after = bucket.compute_retry_after(needed - granted)
            return Grant(granted, retry_after, QuotaRefusal.LIMIT)
        if advance > 0:
            allowance = share * self._bounds.compute_advance(quota)
            granted += bucket.take_in_advance(advance, allowance, now)
        return Grant(granted)

    def give_back(self, account, quota, number, now):
        """Return tokens of requests that were refused without having run.

        The parameters are those of `grant`.
        """
        owned_since = self._history.find_owned_since(account)
        if owned_since is None or quota is None:
            return
        share = self._history.compute_share(now)
        if now < owned_since + TAKEOVER_SECONDS or share <= 0:
            return
        bucket = self._update_bucket(account, quota, owned_since, share, now)
        bucket.tokens = min(bucket.capacity, bucket.tokens + number)

    def remove_idle(self, now):
        """Remove the buckets that have not been used for `RETAINED_SECONDS`."""
        oldest = now - RETAINED_SECONDS
        self._buckets = {
            account: bucket
            for account, bucket in self._buckets.items()
            if bucket.updated_at > oldest
        }

    def _update_bucket(self, account, quota, owned_since, share, now):
        """Return the bucket of an account, with the part that `share` stands for."""
        rate = quota.rate * share
        capacity = self._bounds.compute_capacity(quota) * share
        bucket = self._buckets.get(account)
        # A bucket from before another instance owned the account is obsolete.
        if bucket is not None and bucket.updated_at >= owned_since:
            bucket.refill(rate, capacity, now)
            return bucket
        # It was empty when the takeover delay ended and has not been used since then.
        idle = now - owned_since - TAKEOVER_SECONDS
        tokens = rate * min(idle, RETAINED_SECONDS)
        bucket = self._buckets[account] = _Bucket(rate, capacity, tokens, now)
        return bucket


def _refuse(refusal, retry_after):
    return Grant(0, retry_after, refusal)
