"""The queue of one service: urgent first, with a floor for each rank and account.

Each rank has a line of its own (`kumquatsaddle.admission.lines`). This module decides
which rank is served next and which waiters are too late or too many.
"""

from dataclasses import dataclass, field

import trio

from kumquatsaddle.admission.lines import make_line
from kumquatsaddle.exchange import Request
from kumquatsaddle.types import Rank, RefusalReason

__all__ = ["RankQueue", "Waiter", "make_queue"]

# Requests that a rank may be served ahead of more urgent ones after it was idle. A
# few let a short burst through at once; they delay urgent work by as many requests.
_MAX_CREDIT = 4.0
# Largest share of the time that a request still has when it is queued that is set
# aside for its service. An estimate from a slow time that is over then cannot refuse
# a request for which a slot is free.
_MAX_RESERVED_SHARE = 0.5


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a slot.

    Parameters
    ----------
    request : Request
    excluded : frozenset of BackendId
        Backend servers that it was sent to already.
    event : trio.Event
        Set when `slot` or `refusal` is.
    slot : BackendServer or None
    refusal : RefusalReason or None
    start_by : float
        Time in seconds after which it can no longer be answered in time; set by the
        queue.
    """

    request: Request
    excluded: frozenset = frozenset()
    event: trio.Event = field(default_factory=trio.Event)
    slot: object = None
    refusal: RefusalReason | None = None
    start_by: float = float("inf")

    @property
    def kind(self):
        """What decides which backend servers the waiter fits."""
        return self.request.idempotent, self.excluded

    def refuse(self, reason):
        """Wake the waiting task with a refusal."""
        self.refusal = reason
        self.event.set()


class RankQueue:
    """Waiting requests of one service.

    Parameters
    ----------
    rank_floors : dict of Rank to float
        Share of the served requests that each rank keeps.
    max_waiting : int
        Most requests of one rank that wait.
    clock : callable
        Returns seconds on the clock of `Request.deadline`.

    Attributes
    ----------
    service_time : float
        Usual time of an answer in seconds, which the owner keeps up to date.
    """

    def __init__(self, rank_floors, max_waiting, clock=trio.current_time):
        self.rank_floors = rank_floors
        self.max_waiting = max_waiting
        self.service_time = 0.0
        self._clock = clock
        self._lines = {rank: make_line() for rank in Rank}
        self._credits = dict.fromkeys(Rank, 0.0)

    def __len__(self):
        return sum(map(len, self._lines.values()))

    def push(self, waiter):
        """Add a waiter; return the one that is dropped for it, or None.

        A full line drops the newest request of the account that holds most of it,
        which may be `waiter` itself.
        """
        request = waiter.request
        time_left = max(0.0, request.deadline - self._clock())
        reserved = min(self.service_time, time_left * _MAX_RESERVED_SHARE)
        waiter.start_by = request.deadline - reserved
        line = self._lines[request.rank]
        line.push(waiter)
        return line.drop_newest() if len(line) > self.max_waiting else None

    def remove(self, waiter):
        """Remove a waiter that gave up; return whether it was waiting."""
        return self._lines[waiter.request.rank].remove(waiter)

    def pop(self, fits):
        """Return the next waiter for which `fits` is true, or None.

        Waiters that can no longer be answered in time are refused on the way.

        Parameters
        ----------
        fits : callable
            Takes a `Waiter`; whether a slot is free for it. The result must depend
            on nothing of the waiter but `Waiter.kind`: it is asked once for each
            kind, so that a kind without a free slot costs one call however many of
            it wait.
        """
        now = self._clock()
        verdicts = {}
        for rank in self._order_ranks():
            waiter = self._lines[rank].pop(fits, verdicts, now)
            if waiter is not None:
                self._pay(rank)
                return waiter
        return None

    def refuse_all(self, reason):
        """Refuse every waiter, for example when the last server has gone."""
        for line in self._lines.values():
            while len(line):
                line.drop_newest().refuse(reason)

    def _order_ranks(self):
        waiting = [rank for rank, line in self._lines.items() if len(line)]
        if len(waiting) < 2:
            return waiting
        # Ranks below their floor first; both parts stay in order of urgency.
        return sorted(waiting, key=lambda rank: self._credits[rank] < 1.0)

    def _pay(self, served):
        """Credit each rank with its floor and charge the rank that was served.

        A waiting rank is thus served at least its share of the requests, less one.
        Nothing is owed for service beyond the floor.
        """
        for rank, credit in self._credits.items():
            credit += self.rank_floors.get(rank, 0.0)
            if rank is served:
                credit = max(0.0, credit - 1.0)
            self._credits[rank] = min(credit, _MAX_CREDIT)


def make_queue(rank_floors, max_waiting, clock=trio.current_time):
    """Return an empty queue; see `RankQueue`."""
    return RankQueue(rank_floors, max_waiting, clock)
