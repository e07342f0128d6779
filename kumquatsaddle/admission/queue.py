"""The queue of one service: urgent first, with a floor for each rank and account."""

from dataclasses import dataclass, field

import trio

from kumquatsaddle.exchange import Request
from kumquatsaddle.types import Rank, RefusalReason

__all__ = ["RankQueue", "Waiter", "make_queue"]


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a slot.

    Parameters
    ----------
    request : Request
    excluded : frozenset of BackendId
        Backend servers that it was sent to already.
    """

    request: Request
    excluded: frozenset = frozenset()
    event: trio.Event = field(default_factory=trio.Event)
    slot: object = None
    refusal: RefusalReason | None = None


class RankQueue:
    """Waiting requests of one service.

    Parameters
    ----------
    rank_floors : dict of Rank to float
        Share of the served requests that each rank keeps.
    max_waiting : int
        Most requests of one rank that wait.
    """

    def __init__(self, rank_floors, max_waiting):
        self.rank_floors = rank_floors
        self.max_waiting = max_waiting
        self._waiting = {rank: [] for rank in Rank}
        self._served = dict.fromkeys(Rank, 0.0)

    def __len__(self):
        return sum(len(waiters) for waiters in self._waiting.values())

    def push(self, waiter):
        """Add a waiter; return the one that is dropped for it, or None."""
        waiters = self._waiting[waiter.request.rank]
        if len(waiters) >= self.max_waiting:
            return waiter
        waiters.append(waiter)
        return None

    def remove(self, waiter):
        """Remove a waiter that gave up."""
        waiters = self._waiting[waiter.request.rank]
        if waiter in waiters:
            waiters.remove(waiter)

    def pop(self, fits):
        """Return the next waiter for which `fits` is true, or None.

        Parameters
        ----------
        fits : callable
            Takes a `Waiter`; whether a slot is free for it.
        """
        for rank in self._order_ranks():
            for waiter in self._waiting[rank]:
                if fits(waiter):
                    self._waiting[rank].remove(waiter)
                    self._count(rank)
                    return waiter
        return None

    def _order_ranks(self):
        total = sum(self._served.values()) or 1.0
        short = [
            rank
            for rank in Rank
            if self._waiting[rank]
            and self._served[rank] / total < self.rank_floors.get(rank, 0.0)
        ]
        return short + [rank for rank in Rank if rank not in short]

    def _count(self, rank):
        # Exponential forgetting over about 100 requests.
        for other in Rank:
            self._served[other] *= 0.99
        self._served[rank] += 1.0


def make_queue(rank_floors, max_waiting):
    """Return an empty queue; see `RankQueue`."""
    return RankQueue(rank_floors, max_waiting)
