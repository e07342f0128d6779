"""A heap whose items can be re-keyed and removed in logarithmic time."""

from heapq import heapify, heappop, heappush
from itertools import count

__all__ = ["KeyedHeap", "make_heap"]

# Dead entries beyond the number of live ones before the heap is rebuilt.
_SPARE_ENTRIES = 16


class KeyedHeap:
    """Items ordered by a key; items with equal keys keep the order of their keying.

    Notes
    -----
    A removed or re-keyed entry stays in the heap as a dead one until it reaches the
    top or the dead ones outnumber the live ones, so memory stays proportional to
    the number of items and each operation is logarithmic on average.
    """

    __slots__ = ("_entries", "_heap", "_order")

    def __init__(self):
        self._heap = []
        self._entries = {}
        self._order = count()

    def __len__(self):
        return len(self._entries)

    def set_key(self, item, key):
        """Add an item, or change its key."""
        old = self._entries.get(item)
        if old is not None:
            if old[0] == key:
                return
            old[2] = None
        entry = [key, next(self._order), item]
        self._entries[item] = entry
        heappush(self._heap, entry)
        self._compact()

    def discard(self, item):
        """Remove an item if it is there."""
        entry = self._entries.pop(item, None)
        if entry is not None:
            entry[2] = None
            self._compact()

    def peek(self):
        """Return the least key and its item, or None if the heap is empty."""
        heap = self._heap
        while heap and heap[0][2] is None:
            heappop(heap)
        return (heap[0][0], heap[0][2]) if heap else None

    def _compact(self):
        if len(self._heap) > 2 * len(self._entries) + _SPARE_ENTRIES:
            self._heap = list(self._entries.values())
            heapify(self._heap)


def make_heap():
    """Return an empty heap; see `KeyedHeap`."""
    return KeyedHeap()
