"""Positions in the history of the store, which does not outlive its return from a copy.

The store gives its versions out again after it has come back from a copy. Its epoch
rises by one each time, so a version means something only together with its epoch, and
positions of different epochs have no order.
"""

from dataclasses import dataclass
from functools import total_ordering

from kumquatsaddle.types import StoreEpoch

__all__ = ["NO_EPOCH", "NO_POSITION", "StorePosition"]

# Of a store that names none, and of messages from builds that do not know epochs.
NO_EPOCH = StoreEpoch(0)


@total_ordering
@dataclass(frozen=True, slots=True)
class StorePosition:
    """A version of the store and the epoch in which it was given out.

    Comparing positions of different epochs by order raises `ValueError`.

    Parameters
    ----------
    epoch : StoreEpoch
    version : int
        0 if nothing was read in this epoch.
    """

    epoch: StoreEpoch
    version: int

    def __lt__(self, other):
        if self.epoch != other.epoch:
            raise ValueError(f"{self} and {other} are of different epochs")
        return self.version < other.version


NO_POSITION = StorePosition(NO_EPOCH, 0)
