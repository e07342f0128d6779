"""The request rates that backend servers accept, as they state them in their answers.

A server in trouble may state how many requests a second it accepts from all instances
together. The latest answer holds: it may change the rate, and one that states none ends
the limit, unless it is a refusal. An instance uses its share of the rate, as a token
bucket.
"""

from dataclasses import dataclass
from heapq import merge
from math import isfinite

from kumquatsaddle.buckets import TokenBucket
from kumquatsaddle.logs import log_event

__all__ = ["WHOLE_RATE", "RateLimit", "RateShare", "merge_delays", "read_rate"]

# Bounds the cost of float() on a header value.
_MAX_RATE_DIGITS = 20
# Rate that is used of a server that states a lower one: without any request, no answer
# would tell when the limit ends.
_MIN_REQUESTS_PER_SECOND = 0.1
# A burst of one request and of what the share allows in this time, because waiting
# requests are looked at only every so often.
_BURST_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class RateShare:
    """The part of the rate of a server that one instance may use.

    Parameters
    ----------
    fraction : float
        0 to 1.
    phase : float
        Part of the interval between two requests of this instance that has passed at
        the start, 0 to 1. Instances with different phases take turns.
    """

    fraction: float
    phase: float = 0.0


WHOLE_RATE = RateShare(1.0)


class RateLimit:
    """The request rate that one backend server accepts, and the share of this instance.

    Attributes
    ----------
    rate : float or None
        Requests a second from all instances together; None without a limit.
    stated_at : float
        When the answer arrived that stated it, in seconds on one clock for all calls of
        `state`.
    is_first_hand : bool
        Whether this instance got that answer.
    """

    __slots__ = ("rate", "stated_at", "is_first_hand", "_share", "_bucket")

    def __init__(self):
        self.rate = None
        self.stated_at = float("-inf")
        self.is_first_hand = False
        self._share = WHOLE_RATE
        self._bucket = None

    @property
    def is_stated(self):
        """Whether any answer is known."""
        return self.stated_at > float("-inf")

    @property
    def has_share(self):
        """Whether this instance may send requests, which would show a change."""
        return self._share.fraction > 0

    def state(self, rate, stated_at, now, is_first_hand=True):
        """Set the rate that an answer stated; return whether it has changed.

        Call `set_share` after a change.

        Parameters
        ----------
        rate : float or None
        stated_at : float
            When the answer arrived; an older one than the latest changes nothing.
        now : float
            Of the token bucket; may be of another clock than `stated_at`.
        is_first_hand : bool, default=True
        """
        if stated_at < self.stated_at:
            return False
        changed = rate != self.rate
        self.rate, self.stated_at = rate, stated_at
        self.is_first_hand = is_first_hand
        if rate is None:
            self._bucket = None
        elif self._bucket is not None:
            self._bucket.change(*self._compute_rate_and_burst(), now)
        return changed

    def set_share(self, share, now):
        """Set the `RateShare` of this instance; there must be a limit.

        What it may send at once does not grow however often the instances divide the
        rate anew, except that an instance without a share starts at its phase.
        """
        tokens = share.phase
        if self._bucket is not None:
            if share == self._share:
                return
            if self._share.fraction:
                tokens = min(tokens, self._bucket.count(now))
        self._share = share
        # Without a whole token: what was sent before also counts at the server.
        self._bucket = TokenBucket(*self._compute_rate_and_burst(), now, tokens)

    def allows(self, now):
        """Return whether a request may be sent now."""
        return self.rate is None or self._bucket.count(now) >= 1.0

    def take(self, now):
        """Count a request."""
        if self.rate is not None:
            self._bucket.try_take(now)

    def iterate_delays(self, now):
        """Yield the seconds until each further request may be sent, ascending.

        There must be a limit; a fraction of 0 yields nothing.
        """
        return self._bucket.iterate_delays(now)

    def _compute_rate_and_burst(self):
        rate = max(_MIN_REQUESTS_PER_SECOND, self.rate) * self._share.fraction
        return rate, 1.0 + _BURST_SECONDS * rate


def merge_delays(limits, now):
    """Return an iterator over the seconds until each further request may be sent.

    Parameters
    ----------
    limits : iterable of RateLimit
        Of the servers that may get the requests.
    now : float

    Returns
    -------
    iterator of float or None
        Ascending; None if a server has no limit, or if there is none at all.
    """
    limits = list(limits)
    if not limits or any(limit.rate is None for limit in limits):
        return None
    return merge(*(limit.iterate_delays(now) for limit in limits))


def read_rate(answer, header, known, may_end=True):
    """Return the rate limit of a server after one of its answers.

    Parameters
    ----------
    answer : RawAnswer
    header : bytes
        Name of the header; empty if the deployment has none.
    known : float or None
        The rate before, which an unreadable value leaves as it is; that is logged.
    may_end : bool, default=True
        Whether the limit ends if the answer states none.

    Returns
    -------
    float or None
        In requests a second; None without a limit.
    """
    value = answer.get_header(header) if header else None
    if value is None:
        return None if may_end else known
    try:
        rate = float(value) if len(value) <= _MAX_RATE_DIGITS else -1.0
    except ValueError:
        rate = -1.0
    if isfinite(rate) and rate >= 0:
        return rate
    log_event("rate_limit_invalid", level="WARNING", value=value[:40])
    return known
