"""Token buckets, which limit the rate of requests, claims and log lines."""

__all__ = ["TokenBucket"]


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
    tokens : float, optional
        Tokens in it now. Default: it is full.
    """

    __slots__ = ("rate", "burst", "_tokens", "_updated_at")

    def __init__(self, rate, burst, now, tokens=None):
        self.rate = rate
        self.burst = burst
        self._tokens = burst if tokens is None else tokens
        self._updated_at = now

    def try_take(self, now, amount=1.0):
        """Remove `amount` tokens if there are as many; return whether there were."""
        self._refill(now)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def count(self, now):
        """Return the number of tokens in it."""
        self._refill(now)
        return self._tokens

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

    def iterate_delays(self, now):
        """Yield the seconds from now until each further token is there, ascending."""
        self._refill(now)
        tokens = 1
        while tokens <= self._tokens:
            yield 0.0
            tokens += 1
        while self.rate > 0:
            yield (tokens - self._tokens) / self.rate
            tokens += 1

    def _refill(self, now):
        refilled = self._tokens + max(0.0, now - self._updated_at) * self.rate
        self._tokens = min(self.burst, refilled)
        self._updated_at = max(self._updated_at, now)
