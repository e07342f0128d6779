"""What one instance holds and requests of the quotas that other instances own.

An instance requests tokens from the owner when a request needs one. It may request a
few more for its own most recent demand, so that an account with many requests does not
need a message for each. An account with few requests gets none in advance, because its
next request arrives at another instance.

Load: each request of an account with a quota; at the target size about 1,400 a second
at an instance. State is held for accounts with requests in the last seconds.
"""

import math

from kumquatsaddle.accounts.quota_owner import ADVANCE_SECONDS, Grant

__all__ = ["QuotaTokens"]

# Time constant of the exponential mean of the demand.
_DEMAND_SECONDS = 1.0
# Tokens in advance cover the demand of this time, half of their validity.
_ADVANCE_DEMAND_SECONDS = 0.25
# Most tokens in advance that one ask requests.
_MAX_ADVANCE = 16
# Longest time for which the refusal of an owner is repeated without asking it again. It
# bounds the messages of an account that sends many times its quota.
_MAX_BLOCK_SECONDS = 0.1
# Time without requests after which the state of an account is dropped.
_IDLE_SECONDS = 10.0


class _Account:
    __slots__ = ("held", "demand", "used_at", "refused", "refused_at", "returned")

    def __init__(self, now):
        # Expiry times of the held tokens, ascending.
        self.held = []
        # Exponentially decaying number of requests, and when it was updated.
        self.demand = 0.0
        self.used_at = now
        self.refused = None
        self.refused_at = now
        self.returned = 0


class QuotaTokens:
    """The tokens of one instance, by account.

    All times are on a clock that includes the time in which the process is suspended,
    so that no token is used after a freeze.
    """

    def __init__(self):
        self._accounts = {}

    def __len__(self):
        return len(self._accounts)

    def try_take(self, account, now):
        """Record a request; return whether a held token admits it."""
        state = self._find(account, now)
        elapsed = max(0.0, now - state.used_at)
        state.demand = state.demand * math.exp(-elapsed / _DEMAND_SECONDS) + 1.0
        state.used_at = now
        state.held = [expiry for expiry in state.held if expiry > now]
        if not state.held:
            return False
        del state.held[0]
        return True

    def compute_advance(self, account, now):
        """Return how many tokens to request beyond those for waiting requests."""
        demand = self._find(account, now).demand / _DEMAND_SECONDS
        return min(_MAX_ADVANCE, int(demand * _ADVANCE_DEMAND_SECONDS))

    def hold(self, account, number, requested_at, now):
        """Hold tokens that came in advance or too late for the request they were for.

        Parameters
        ----------
        account : AccountId
        number : int
        requested_at, now : float
            In seconds. The validity starts with the request for the tokens, because the
            answer may have waited while the process was suspended.
        """
        expiry = requested_at + ADVANCE_SECONDS
        if number > 0 and expiry > now:
            state = self._find(account, now)
            state.held = sorted([*state.held, *[expiry] * number])

    def block(self, account, grant, now):
        """Record the `Grant` of an owner that refused a request."""
        state = self._find(account, now)
        state.refused, state.refused_at = grant, now

    def find_block(self, account, now):
        """Return the refusal that holds without asking the owner again, or None."""
        state = self._find(account, now)
        if state.refused is None:
            return None
        elapsed, retry_after = now - state.refused_at, state.refused.retry_after
        if elapsed >= min(retry_after, _MAX_BLOCK_SECONDS):
            state.refused = None
            return None
        return Grant(0, retry_after - elapsed, state.refused.refusal)

    def give_back(self, account, now):
        """Record that an admitted request was refused without having run."""
        self._find(account, now).returned += 1

    def pop_returned(self, account):
        """Return how many tokens go back to the owner of an account; forget them."""
        state = self._accounts.get(account)
        if state is None:
            return 0
        returned, state.returned = state.returned, 0
        return returned

    def list_returning(self):
        """Return the accounts with tokens that go back to their owners."""
        return [name for name, state in self._accounts.items() if state.returned]

    def remove_idle(self, now):
        """Drop the state of accounts without recent requests."""
        self._accounts = {
            name: state
            for name, state in self._accounts.items()
            if now - state.used_at < _IDLE_SECONDS or state.returned
        }

    def _find(self, account, now):
        state = self._accounts.get(account)
        if state is None:
            state = self._accounts[account] = _Account(now)
        return state
