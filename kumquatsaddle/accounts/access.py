"""Which requests the API keys in force let run.

A key is checked when its request is accepted and again just before a byte of it is
written to a backend server, because a version that revokes the key may come while the
request waits. Each check takes one dictionary look-up, also with 35,000 accounts.

An instance that receives nothing from the store does not learn of a revocation. Where
the settings ask for it, it refuses requests that need a key after some time.
"""

import math

from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.types import KeyProblem, RefusalReason

__all__ = ["AccountAccess", "make_account_access", "read_revoke_after"]


class AccountAccess:
    """Decides by the accounts in force which requests may run.

    Parameters
    ----------
    get_routes : callable
        Returns the `RouteTable` in force, or None.
    get_age : callable
        Returns for how long the instance has received nothing from the store, directly
        or through other instances, in seconds.
    metrics : Metrics
    revoke_after : float, default=math.inf
        Age in seconds from which requests that need a key are refused.
    """

    def __init__(self, get_routes, get_age, metrics, revoke_after=math.inf):
        self.revoke_after = revoke_after
        self._get_routes = get_routes
        self._get_age = get_age
        self._metrics = metrics

    def is_stale(self):
        """Return whether the keys known here are too old to accept one."""
        return self._get_age() > self.revoke_after

    def check_age(self):
        """Raise `RefusedError` if the keys known here are too old to accept one."""
        if self.is_stale():
            raise RefusedError(RefusalReason.KEYS_STALE)

    def find_refusal(self, request):
        """Return why a request that was accepted may not be sent any more, or None.

        Parameters
        ----------
        request : RoutedRequest

        Returns
        -------
        RefusalReason or None
        """
        if request.key_digest is None:
            return None
        if self.is_stale():
            return RefusalReason.KEYS_STALE
        accounts = self._get_routes().accounts
        if accounts is None:
            # This version serves callers without keys.
            return None
        if accounts.holds_key(request.key_digest, request.account.name):
            return None
        return RefusalReason.UNAUTHORIZED

    def count_problem(self, problem):
        """Count a request that was refused for its key.

        Parameters
        ----------
        problem : KeyProblem
        """
        self._metrics.count("keys_refused", problem=problem.value)


def make_account_access(get_routes, get_age, metrics, revoke_after=math.inf):
    """Return the decisions of one instance; see `AccountAccess`.

    The counters of all problems exist from the start.
    """
    for problem in KeyProblem:
        metrics.count("keys_refused", 0, problem=problem.value)
    return AccountAccess(get_routes, get_age, metrics, revoke_after)


def read_revoke_after(settings):
    """Return the age in seconds from which keys are refused, infinite for none.

    Parameters
    ----------
    settings : Settings
    """
    if not settings.get("accounts", "revoke_when_partitioned"):
        return math.inf
    return settings.get("accounts", "revoke_after")
