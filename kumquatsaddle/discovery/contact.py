"""For how long an instance has received nothing from the store.

An answer of the store to a read of the routes shows that the routes known here are the
newest ones. So does an answer to another instance, if the routes that it reports are
not newer than those known here. The time is that of the answer, and not that at which
a report of it was read: a report may have waited while the process was paused.
"""

import math

from kumquatsaddle.clocks import read_elapsed_time

__all__ = ["StoreContact"]


class StoreContact:
    """The latest time at which the routes known here were the newest ones.

    Parameters
    ----------
    clock : callable, optional
        Returns seconds and includes the time in which the machine was suspended.

    Attributes
    ----------
    get_arrival_delay : callable
        Returns how long ago bytes that are read now may have arrived, in seconds.
    """

    def __init__(self, clock=read_elapsed_time):
        self.get_arrival_delay = lambda: 0.0
        self._clock = clock
        self._confirmed_at = -math.inf

    def record_own_answer(self, call_seconds):
        """Record that the store has answered a read of the routes.

        Parameters
        ----------
        call_seconds : float
            How long the call took; the answer cannot be older.
        """
        self._confirm(min(call_seconds, self.get_arrival_delay()))

    def record_peer_answer(self, age, has_newer_routes):
        """Record how long ago the store answered another instance.

        Parameters
        ----------
        age : float
            In seconds, when its report was sent.
        has_newer_routes : bool
            Whether the routes that it reports are newer than those known here.
        """
        if not has_newer_routes:
            self._confirm(age + self.get_arrival_delay())

    def get_age(self):
        """Return the time since the latest answer in seconds; infinite before one."""
        return self._clock() - self._confirmed_at

    def _confirm(self, age):
        self._confirmed_at = max(self._confirmed_at, self._clock() - age)
