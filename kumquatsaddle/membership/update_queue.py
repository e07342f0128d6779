"""The queue of member updates that probes carry, and the size limit of a datagram."""

import heapq
import math

__all__ = ["UpdateQueue", "compute_encoded_size", "make_update_queue"]

_MAX_UPDATES_PER_DATAGRAM = 8
# Bytes of updates in one datagram. The rest of a probe is at most 230 bytes (names of
# up to 64 bytes), so that a datagram stays below 1,400 bytes.
_MAX_UPDATE_BYTES = 1150
# Each update is sent this factor times log2 of the number of members. With 3, control
# traffic at 520 instances was above 3 KB/s; a table that missed updates is repaired by
# a fetch.
_RETRANSMIT_FACTOR = 2
# Data section and pointers of a member in Cap'n Proto.
_MEMBER_FIXED_BYTES = 72
_WORD_BYTES = 8


class UpdateQueue:
    """Updates of members, each with the number of datagrams still to carry it."""

    def __init__(self):
        self._entries = {}

    def __len__(self):
        return len(self._entries)

    def add(self, update, member_count):
        """Queue an update; it replaces the queued update of the same member.

        Parameters
        ----------
        update : Member
        member_count : int
            Number of members in the table.
        """
        count = _RETRANSMIT_FACTOR * math.ceil(math.log2(member_count + 1))
        self._entries[update.name] = [update, max(_RETRANSMIT_FACTOR, count)]

    def get_next_batch(self, priority_updates=()):
        """Return the updates for one datagram and count them as sent.

        Updates with the most transmissions left come first.

        Parameters
        ----------
        priority_updates : iterable of Member
            Records that go before the queued updates.

        Returns
        -------
        list of Member
        """
        chosen = {member.name: member for member in priority_updates}
        size = sum(compute_encoded_size(member) for member in chosen.values())
        entries = heapq.nlargest(
            _MAX_UPDATES_PER_DATAGRAM,
            self._entries.values(),
            key=lambda entry: entry[1],
        )
        for entry in entries:
            member = entry[0]
            length = compute_encoded_size(member)
            if (
                len(chosen) >= _MAX_UPDATES_PER_DATAGRAM
                or size + length > _MAX_UPDATE_BYTES
            ):
                break
            if member.name not in chosen:
                chosen[member.name] = member
                size += length
            self._count_transmission(entry)
        return list(chosen.values())

    def _count_transmission(self, entry):
        entry[1] -= 1
        if entry[1] <= 0:
            del self._entries[entry[0].name]


def make_update_queue():
    """Return an empty `UpdateQueue`."""
    return UpdateQueue()


def compute_encoded_size(member):
    """Return the encoded size of a member in a message, in bytes."""
    texts = (
        member.name,
        member.incarnation,
        member.zone,
        member.region,
        member.control,
        member.callers,
    )
    words = sum(len(text.encode()) // _WORD_BYTES + 1 for text in texts)
    return _MEMBER_FIXED_BYTES + words * _WORD_BYTES
