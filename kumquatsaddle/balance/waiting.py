"""The waiting requests of one service at one instance, and their order.

Handles up to several hundred waiting requests, looked at on each change of a server: a
request is added and removed by bisection, and a change that frees no slot looks at one
request for each selection key.
"""

from bisect import bisect_left, insort
from collections import Counter
from itertools import count

from kumquatsaddle.types import Rank

__all__ = ["DeadlineOrder", "ValueOrder", "Waiter", "WaitingRequests"]


class Waiter:
    """A waiting request.

    Parameters
    ----------
    request : RoutedRequest
    excluded : frozenset of BackendId
        Servers to which it was sent already.
    until : float
        Latest start, in seconds.
    event : Event
        Has a method `set`, called when the request stops waiting.
    work : float, default=0.0
        Expected time at a server, in seconds.
    objective_start : float, default=inf
        Latest start for an answer within the objective, in seconds.
    is_excess : bool, default=False
        Whether it is beyond the usual load of its account.

    Attributes
    ----------
    server : BalancedServer or None
        The server that it was assigned to.
    retry_after : float or None
        Set if rate limits let it not start in time.
    refusal : QueueRefusal or None
        Set if it was refused under scarcity.
    """

    __slots__ = (
        "request",
        "excluded",
        "until",
        "event",
        "work",
        "objective_start",
        "is_excess",
        "server",
        "retry_after",
        "refusal",
        "rank",
        "selection_key",
        "position",
    )

    def __init__(
        self,
        request,
        excluded,
        until,
        event,
        work=0.0,
        objective_start=float("inf"),
        is_excess=False,
    ):
        self.request = request
        self.excluded = excluded
        self.until = until
        self.event = event
        self.work = work
        self.objective_start = objective_start
        self.is_excess = is_excess
        self.server = None
        self.retry_after = None
        self.refusal = None
        self.rank = request.rank
        # What decides, apart from the time waited, which servers it accepts.
        self.selection_key = (
            request.rank,
            request.idempotent,
            request.attempts_left,
            excluded,
        )
        # Sort key and list in which it is, set by the order.
        self.position = None


class WaitingRequests:
    """Waiting requests in the order in which they get free slots.

    Parameters
    ----------
    order : DeadlineOrder or ValueOrder
    """

    def __init__(self, order):
        self._order = order
        self._numbers = count()
        self._waiters = {}
        self._by_rank = Counter()
        self._work_by_rank = dict.fromkeys(Rank, 0.0)
        self._by_selection_key = Counter()

    def __len__(self):
        return len(self._waiters)

    def __contains__(self, waiter):
        return waiter in self._waiters

    def add(self, waiter):
        """Add a waiter."""
        self._waiters[waiter] = None
        self._by_rank[waiter.rank] += 1
        self._work_by_rank[waiter.rank] += waiter.work
        self._by_selection_key[waiter.selection_key] += 1
        self._order.add(waiter, next(self._numbers))

    def remove(self, waiter):
        """Remove a waiter, which must be waiting."""
        del self._waiters[waiter]
        self._by_rank[waiter.rank] -= 1
        self._work_by_rank[waiter.rank] -= waiter.work
        if not self._by_rank[waiter.rank]:
            # Rounding errors do not add up.
            self._work_by_rank[waiter.rank] = 0.0
        self._by_selection_key[waiter.selection_key] -= 1
        if not self._by_selection_key[waiter.selection_key]:
            del self._by_selection_key[waiter.selection_key]
        self._order.remove(waiter)

    def count_by_rank(self, rank):
        """Return the number of waiting requests of a rank."""
        return self._by_rank[rank]

    def sum_work(self, rank):
        """Return the expected work of a rank and of more urgent ones, in seconds."""
        return sum(self._work_by_rank[other] for other in Rank if other <= rank)

    def has_waiting_up_to(self, rank):
        """Return whether a request of a rank or a more urgent one waits."""
        return any(self._by_rank[other] for other in Rank if other <= rank)

    def list_selection_keys(self):
        """Return the distinct selection keys."""
        return list(self._by_selection_key)

    def count_selection_keys(self):
        """Return the number of distinct selection keys."""
        return len(self._by_selection_key)

    def list_in_order(self, now):
        """Return all waiters, the next to start first."""
        return [waiter for part in self._order.list_parts(now) for waiter in part]

    def list_parts(self, now):
        """Return lists of waiters that make up the order; they must not be changed."""
        return self._order.list_parts(now)

    def list_waiting(self):
        """Return all waiters in no particular order."""
        return list(self._waiters)


class DeadlineOrder:
    """By rank, the most urgent first; within a rank by deadline."""

    def __init__(self):
        self._entries = []

    def add(self, waiter, number):
        """Add a waiter with a unique number."""
        waiter.position = (waiter.rank, waiter.request.deadline, number)
        insort(self._entries, waiter, key=_get_position)

    def remove(self, waiter):
        """Remove a waiter."""
        _remove_sorted(self._entries, waiter, _get_position)

    def list_parts(self, now):
        """Return the lists that make up the order."""
        return [self._entries]


# Parts of a rank, in their order: whether beyond the usual load of the account, and
# whether late. Late requests within the usual load go before those beyond it, so that a
# flood delays no other account.
_PARTS = ((False, False), (False, True), (True, False), (True, True))


class ValueOrder:
    """By rank; within a rank by what a free slot is worth for the request.

    First the requests that can still be answered within their objective, by the latest
    start for that; then those that would be late, by their latest start. Requests
    beyond the usual load of their account follow in the same order.
    """

    def __init__(self):
        self._parts = {(rank, *part): [] for rank in sorted(Rank) for part in _PARTS}

    def add(self, waiter, number):
        """Add a waiter with a unique number."""
        self._insert(waiter, False, number)

    def remove(self, waiter):
        """Remove a waiter."""
        part = self._parts[waiter.position[2]]
        _remove_sorted(part, waiter, _get_position)

    def list_parts(self, now):
        """Return the lists that make up the order, after moving those now late."""
        for rank in Rank:
            for is_excess in (False, True):
                part = self._parts[rank, is_excess, False]
                while part and part[0].objective_start < now:
                    waiter = part.pop(0)
                    self._insert(waiter, True, waiter.position[1])
        return [part for part in self._parts.values() if part]

    def _insert(self, waiter, is_late, number):
        name = waiter.rank, waiter.is_excess, is_late
        time = waiter.until if is_late else waiter.objective_start
        waiter.position = (time, number, name)
        insort(self._parts[name], waiter, key=_get_position)


def _get_position(waiter):
    return waiter.position


def _remove_sorted(entries, waiter, key):
    index = bisect_left(entries, key(waiter), key=key)
    assert entries[index] is waiter, waiter.position
    del entries[index]
