"""A binary heap whose items can be removed or get another key."""

from heapq import heapify, heappop, heappush
from itertools import count

__all__ = ["KeyedHeap", "make_heap"]

# The heap is rebuilt when its stale entries outnumber the items by more than this.
_MAX_EXTRA_STALE_ENTRIES = 16


class KeyedHeap:
    """A priority queue of items; among equal keys, the key that was set first is first.

    Notes
    -----
    Entries are deleted lazily. When an item is removed or gets another key, its entry
    stays in the heap as a stale one until it reaches the top, or until the stale
    entries outnumber the items and the heap is rebuilt. Memory therefore stays
    proportional to the number of items, and each operation takes logarithmic time on
    average.
    """

    __slots__ = ("_entries", "_heap", "_sequence")

    def __init__(self):
        self._heap = []
        self._entries = {}
        self._sequence = count()

    def __len__(self):
        return len(self._entries)

    def set_key(self, item, key):
        """Add an item, or change its key."""
        old = self._entries.get(item)
        if old is not None:
            if old[0] == key:
                return
            old[2] = None
        entry = [key, next(self._sequence), item]
        self._entries[item] = entry
        heappush(self._heap, entry)
        self._compact()

    def discard(self, item):
        """Remove an item if it is in the heap."""
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
        if len(self._heap) > 2 * len(self._entries) + _MAX_EXTRA_STALE_ENTRIES:
            self._heap = list(self._entries.values())
            heapify(self._heap)


def make_heap():
    """Return an empty heap; see `KeyedHeap`."""
    return KeyedHeap()
