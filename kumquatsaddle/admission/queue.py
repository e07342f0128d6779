"""The queue of one service: priority by rank, with a minimum share for each rank.

Each rank has a queue of its own, which is fair between client accounts; see
`kumquatsaddle.admission.fair_queue`. This module chooses the rank that is served next,
sets the time by which a request must start, and limits the length of the queues.
"""

from dataclasses import dataclass, field

import trio

from kumquatsaddle.admission.fair_queue import make_fair_queue
from kumquatsaddle.exchange import Request
from kumquatsaddle.types import Rank, RefusalReason

__all__ = ["ServiceQueue", "Waiter", "make_queue"]

# Requests by which a rank may be served ahead of more urgent ones after it was idle.
# This serves a short burst at once and delays urgent requests by as many.
_MAX_CREDIT_REQUESTS = 4.0
# Maximum share of the time to the deadline, when a request is queued, that is reserved
# for its service. Without it an estimate from a slow period that has ended would refuse
# a request for which a slot is free.
_MAX_RESERVED_SHARE = 0.5


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a slot of a backend server.

    Parameters
    ----------
    request : Request
    excluded : frozenset of BackendId
        Backend servers that it was sent to before.
    event : trio.Event
        Set when the request gets a slot or is refused.
    slot : BackendServer or None
        Server that the request is to be sent to.
    refusal : RefusalReason or None
    start_by : float
        Time in seconds by which it must start to be answered in time; set by the queue.
    """

    request: Request
    excluded: frozenset = frozenset()
    event: trio.Event = field(default_factory=trio.Event)
    slot: object = None
    refusal: RefusalReason | None = None
    start_by: float = float("inf")

    @property
    def kind(self):
        """Key of the waiters that may be sent to the same backend servers."""
        return self.request.idempotent, self.excluded

    def refuse(self, reason):
        """Wake the waiting task with a refusal."""
        self.refusal = reason
        self.event.set()


class ServiceQueue:
    """Waiting requests of one service.

    Parameters
    ----------
    rank_floors : dict of Rank to float
        Minimum share of the served requests of each rank while it has waiters.
    max_waiting : int
        Maximum number of waiting requests of one rank.
    clock : callable
        Returns seconds on the clock of `Request.deadline`.

    Attributes
    ----------
    service_time : float
        Usual time to an answer in seconds, updated by the owner of the queue.
    """

    def __init__(self, rank_floors, max_waiting, clock=trio.current_time):
        self.rank_floors = rank_floors
        self.max_waiting = max_waiting
        self.service_time = 0.0
        self._clock = clock
        self._queues_by_rank = {rank: make_fair_queue() for rank in Rank}
        self._credits = dict.fromkeys(Rank, 0.0)

    def __len__(self):
        return sum(map(len, self._queues_by_rank.values()))

    def count_ahead(self, rank):
        """Return the number of waiters of the same or a more urgent rank."""
        return sum(
            len(queue) for other, queue in self._queues_by_rank.items() if other <= rank
        )

    def push(self, waiter):
        """Add a waiter; return the one that is dropped for it, or None.

        If the queue of the rank is full, it drops the newest request of the account
        with the most waiters, which may be `waiter` itself.
        """
        request = waiter.request
        time_left = max(0.0, request.deadline - self._clock())
        reserved = min(self.service_time, time_left * _MAX_RESERVED_SHARE)
        waiter.start_by = request.deadline - reserved
        queue = self._queues_by_rank[request.rank]
        queue.push(waiter)
        return queue.drop_newest() if len(queue) > self.max_waiting else None

    def remove(self, waiter):
        """Remove a waiter that was cancelled; return whether it was waiting."""
        return self._queues_by_rank[waiter.request.rank].remove(waiter)

    def pop(self, fits):
        """Remove and return the next waiter for which `fits` is true, or None.

        Waiters before it that can no longer be answered in time are refused.

        Parameters
        ----------
        fits : callable
            Takes a `Waiter` and returns whether a slot is free for it. The result must
            depend on no attribute of the waiter but `Waiter.kind`: it is called once
            for each kind, however many waiters of the kind there are.
        """
        now = self._clock()
        fits_by_kind = {}
        for rank in self._list_ranks_in_order():
            waiter = self._queues_by_rank[rank].pop(fits, fits_by_kind, now)
            if waiter is not None:
                self._update_credits(rank)
                return waiter
        return None

    def refuse_all(self, reason):
        """Refuse every waiter, for example when the last server is gone."""
        for queue in self._queues_by_rank.values():
            while len(queue):
                queue.drop_newest().refuse(reason)

    def _list_ranks_in_order(self):
        waiting = [rank for rank, queue in self._queues_by_rank.items() if len(queue)]
        if len(waiting) < 2:
            return waiting
        # A rank with a credit of 1 or more got less than its floor. Its key is False,
        # which sorts first. The sort is stable, so that the ranks stay in order of
        # urgency otherwise.
        return sorted(waiting, key=lambda rank: self._credits[rank] < 1.0)

    def _update_credits(self, served):
        """Credit each rank with its floor and charge the rank that was served.

        A rank that has waiters is thus served at least its share of the requests, less
        one. Service beyond the floor creates no debt: a credit is never negative.
        """
        for rank, credit in self._credits.items():
            credit += self.rank_floors.get(rank, 0.0)
            if rank is served:
                credit = max(0.0, credit - 1.0)
            self._credits[rank] = min(credit, _MAX_CREDIT_REQUESTS)


def make_queue(rank_floors, max_waiting, clock=trio.current_time):
    """Return an empty queue; see `ServiceQueue`."""
    return ServiceQueue(rank_floors, max_waiting, clock)
