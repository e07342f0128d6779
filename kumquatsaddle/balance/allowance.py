"""The part of the fleet's retry allowance that one instance may use.

Only the active instances of a zone, to which callers are sent, need retries. They
divide most of the allowance; the rest is divided among all instances, since callers may
still hold the address of one that is no longer active.

An instance uses the larger part only after it has been active for a whole window. All
instances that use it within one window were then active at the same time, so that their
parts stay within the allowance however often the active instances change.
"""

__all__ = ["AllowanceShare"]

# Fraction of the allowance that the active instances divide.
_ACTIVE_FRACTION = 0.8
# Least number of instances assumed: one that has just started knows few others.
_MIN_INSTANCES = 64


class AllowanceShare:
    """Computes the fraction of one instance.

    Attributes
    ----------
    fraction : float
        0 to 1.
    """

    def __init__(self):
        self.fraction = (1.0 - _ACTIVE_FRACTION) / _MIN_INSTANCES
        self._active_since = None

    def update(self, now, window, is_active, active, instances):
        """Compute the fraction again.

        Parameters
        ----------
        now : float
            In seconds.
        window : float
            Length of the window in which the allowance holds, in seconds.
        is_active : bool
            Whether callers are sent to this instance, as far as it and most of its zone
            agree. One that is cut off must pass False: it cannot know.
        active : int
            Instances that are active in all zones together, at most.
        instances : int
            All known instances, this one included.
        """
        if not is_active:
            self._active_since = None
        elif self._active_since is None:
            self._active_since = now
        if self._active_since is not None and now - self._active_since >= window:
            self.fraction = _ACTIVE_FRACTION / max(1, active)
        else:
            self.fraction = (1.0 - _ACTIVE_FRACTION) / max(_MIN_INSTANCES, instances)
