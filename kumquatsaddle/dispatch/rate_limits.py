"""The request rates that backend servers state in their answers.

A server in trouble may state how many requests a second it accepts from all instances
together. The latest answer holds: it may change the rate, and one that states none ends
the limit.
"""

from math import isfinite

from kumquatsaddle.logs import log_event

__all__ = ["RateLimit", "read_rate"]

# Bounds the cost of float() on a header value.
_MAX_RATE_DIGITS = 20


class RateLimit:
    """The request rate that one backend server accepts.

    Attributes
    ----------
    rate : float or None
        Requests a second from all instances together; None without a limit.
    stated_at : float
        When the answer arrived that stated it, on the clock of trio in seconds.
    """

    __slots__ = ("rate", "stated_at")

    def __init__(self):
        self.rate = None
        self.stated_at = float("-inf")

    def state(self, rate, stated_at):
        """Set the rate that an answer stated; return whether it has changed.

        Parameters
        ----------
        rate : float or None
        stated_at : float
            When the answer arrived; an older one than the latest changes nothing.
        """
        if stated_at < self.stated_at:
            return False
        changed = rate != self.rate
        self.rate, self.stated_at = rate, stated_at
        return changed


def read_rate(answer, header):
    """Return the request rate that an answer states, or None.

    Parameters
    ----------
    answer : RawAnswer
    header : bytes
        Name of the header; empty if the deployment has none.

    Returns
    -------
    float or None
        In requests a second. None also if the value is no number, which is logged.
    """
    value = answer.get_header(header) if header else None
    if value is None:
        return None
    try:
        rate = float(value) if len(value) <= _MAX_RATE_DIGITS else -1.0
    except ValueError:
        rate = -1.0
    if isfinite(rate) and rate >= 0:
        return rate
    log_event("rate_limit_invalid", level="WARNING", value=value[:40])
    return None
