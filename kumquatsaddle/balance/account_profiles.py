"""Which requests of a client account are beyond its usual load.

Handles a flood or a retry storm of one account: what it sends beyond its usual load
waits behind the usual load of all accounts. Shares are relative to the usual load of
each account, because equal shares for accounts of very different size would take all of
a shortage from the largest one.
"""

from collections import OrderedDict
from math import exp

__all__ = ["AccountProfiles"]

# Time over which the usual and the present load are averaged. Floods last 3 to 15 s and
# must not count as usual.
_USUAL_SECONDS = 300.0
_PRESENT_SECONDS = 4.0
# An account may exceed its usual load by this factor; random arrivals do.
_HEADROOM = 1.5
# Share of its present load that is never beyond the usual. The goal is that no account
# is served less than a quarter as often as all together.
_MIN_PRESENT_SHARE = 0.35
# Requests in addition to the rate. By queueing theory with random arrivals, about
# 5% exceed a burst of 4 at 1.5 times the rate, and 40% one of 2 at 1.25 times.
_BURST_REQUESTS = 4.0
_BURST_SECONDS = 2.0
# Time from the first request of the service after which loads count as usual.
_MIN_KNOWN_SECONDS = 15.0
# Accounts kept for each service. Those that sent nothing for longest are forgotten.
_MAX_ACCOUNTS = 2000


class _Rates:
    """Exponentially weighted rates of arrivals over the usual and the present time."""

    __slots__ = ("usual", "present", "updated_at", "known_seconds", "tokens")

    def __init__(self, now):
        self.usual = 0.0
        self.present = 0.0
        self.known_seconds = 0.0
        self.updated_at = now
        self.tokens = _BURST_REQUESTS

    def advance(self, now):
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.known_seconds = min(_USUAL_SECONDS, self.known_seconds + elapsed)
        self.usual *= exp(-elapsed / _USUAL_SECONDS)
        self.present *= exp(-elapsed / _PRESENT_SECONDS)
        return elapsed

    def add(self):
        self.usual += 1.0 / _USUAL_SECONDS
        self.present += 1.0 / _PRESENT_SECONDS

    def estimate_usual(self):
        """Return the usual rate, corrected for the time since the first arrival."""
        known = 1.0 - exp(-max(self.known_seconds, 1.0) / _USUAL_SECONDS)
        return self.usual / known


class AccountProfiles:
    """The usual load of each account of one service at one instance."""

    def __init__(self):
        self._rates = OrderedDict()
        self._total = None

    def __len__(self):
        return len(self._rates)

    def add_arrival(self, name, now, is_repeated=False):
        """Count a request; return whether it is beyond the usual load of its account.

        Parameters
        ----------
        name : AccountId
        now : float
            In seconds.
        is_repeated : bool, default=False
            Whether the caller sent it before. Such requests use up what is allowed but
            do not raise it: otherwise an account would get more by retrying more often.
        """
        if self._total is None:
            self._total = _Rates(now)
        self._total.advance(now)
        rates = self._rates.get(name)
        if rates is None:
            rates = self._rates[name] = _Rates(now)
            if len(self._rates) > _MAX_ACCOUNTS:
                self._rates.popitem(last=False)
        self._rates.move_to_end(name)
        elapsed = rates.advance(now)
        allowed = self._compute_allowed_rate(rates)
        burst = _BURST_REQUESTS + _BURST_SECONDS * allowed
        rates.tokens = min(burst, rates.tokens + elapsed * allowed)
        if not is_repeated:
            self._total.add()
            rates.add()
        # Without a usual load nothing can be beyond it.
        is_known = self._total.known_seconds >= _MIN_KNOWN_SECONDS
        if rates.tokens < 1.0 and is_known:
            return True
        rates.tokens = max(0.0, rates.tokens - 1.0)
        return False

    def _compute_allowed_rate(self, rates):
        total = self._total
        growth = max(1.0, total.present / max(total.estimate_usual(), 1e-9))
        floor = _MIN_PRESENT_SHARE * rates.present / growth
        return max(_HEADROOM * rates.estimate_usual(), floor)
