"""Pauses that a backend server asks of one instance.

A server that turns a request away with status 503 may add ``Retry-After`` (RFC 9110,
section 10.2.3): it wants no request of this instance for so long. A pause is no
evidence of a fault, and it concerns no other instance. After it, requests return one
by one, as answers come, since the server may have sent all instances away at once.
"""

import re
from random import Random

from kumquatsaddle.logs import log_event

__all__ = ["ServerPause", "read_pause"]

_RETRY_AFTER_HEADER = b"retry-after"
_UNAVAILABLE_STATUS = 503
# Delay in seconds, also with a fraction; a date is not accepted.
_SECONDS_PATTERN = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{0,9})?\Z")
# A faulty value must not cost the service a server for good.
_MAX_PAUSE_SECONDS = 3600.0
# The end is delayed by up to this share of the pause and this time, so that the
# instances that were sent away together do not return together.
_SPREAD_SHARE = 0.25
_MAX_SPREAD_SECONDS = 1.0


class ServerPause:
    """The pause that one server has asked of this instance.

    Parameters
    ----------
    random : random.Random, optional
        Spreads the ends of the pauses of different instances.

    Attributes
    ----------
    until : float
        When requests may return, on the clock of trio in seconds.
    """

    __slots__ = ("until", "_random", "_max_in_flight")

    def __init__(self, random=None):
        self.until = float("-inf")
        self._random = random or Random()
        # None once the server is used without a limit again.
        self._max_in_flight = None

    def start(self, now, seconds):
        """Begin a pause or extend the present one; an answer never shortens it."""
        spread = min(_SPREAD_SHARE * seconds, _MAX_SPREAD_SECONDS)
        until = now + seconds + self._random.uniform(0.0, spread)
        self.until = max(self.until, until)
        self._max_in_flight = 1

    def is_over(self, now):
        """Return whether a request that was assigned before may be written."""
        return now >= self.until

    def allows(self, now, in_flight):
        """Return whether a further request may be assigned.

        Parameters
        ----------
        now : float
        in_flight : int
            Requests of this instance at the server.
        """
        if self._max_in_flight is None:
            return True
        return now >= self.until and in_flight < self._max_in_flight

    def record_answer(self, now, slots):
        """Raise the number of requests at a time after an answer that is no refusal.

        Parameters
        ----------
        now : float
        slots : int
            Number at which the limit ends.
        """
        if self._max_in_flight is None or now < self.until:
            return
        self._max_in_flight += 1
        if self._max_in_flight >= slots:
            self._max_in_flight = None


def read_pause(answer):
    """Return the pause that an answer of a server asks for, or None.

    Parameters
    ----------
    answer : RawAnswer

    Returns
    -------
    float or None
        In seconds, at most an hour; the longest if there are several. A value that is
        not a number of seconds counts as absent, and is logged.
    """
    if answer.status != _UNAVAILABLE_STATUS:
        return None
    pause = None
    for name, value in answer.headers:
        if name != _RETRY_AFTER_HEADER:
            continue
        if not _SECONDS_PATTERN.match(value):
            shown = value[:40].decode("latin-1")
            log_event("retry_after_invalid", level="WARNING", value=shown)
            continue
        pause = max(pause or 0.0, min(float(value), _MAX_PAUSE_SECONDS))
    return pause
