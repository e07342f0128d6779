"""The queue of news that travels on probes, and the size of a datagram."""

import heapq
import math

__all__ = ["NewsQueue", "make_news", "measure_member"]

# News in one datagram at most.
_NEWS_PER_DATAGRAM = 8
# Bytes of news in one datagram. The rest of a probe is at most 230 bytes (names of
# up to 64 bytes), so that a datagram stays below 1,400 bytes.
_NEWS_BYTES = 1150
# News is sent this often times log2 of the number of members. With 3, control traffic
# at 520 instances was above 3 KB/s; a table that missed news is repaired by a fetch.
_SPREAD_FACTOR = 2
# Data section and pointers of a member in Cap'n Proto, in bytes.
_MEMBER_BYTES = 72
_WORD_BYTES = 8


class NewsQueue:
    """News of members with the number of datagrams that still carry it."""

    def __init__(self):
        self._entries = {}

    def __len__(self):
        return len(self._entries)

    def add(self, news, count_members):
        """Queue news; it replaces older news of the same member.

        Parameters
        ----------
        news : Member
        count_members : int
            Number of members in the table.
        """
        count = _SPREAD_FACTOR * math.ceil(math.log2(count_members + 1))
        self._entries[news.name] = [news, max(_SPREAD_FACTOR, count)]

    def take(self, first=()):
        """Return the news for one datagram, least sent news first.

        Parameters
        ----------
        first : iterable of Member
            News that goes before the queued news.

        Returns
        -------
        list of Member
        """
        chosen = {member.name: member for member in first}
        size = sum(measure_member(member) for member in chosen.values())
        entries = heapq.nlargest(
            _NEWS_PER_DATAGRAM, self._entries.values(), key=lambda entry: entry[1]
        )
        for entry in entries:
            member = entry[0]
            length = measure_member(member)
            if len(chosen) >= _NEWS_PER_DATAGRAM or size + length > _NEWS_BYTES:
                break
            if member.name not in chosen:
                chosen[member.name] = member
                size += length
            self._note_sent(entry)
        return list(chosen.values())

    def _note_sent(self, entry):
        entry[1] -= 1
        if entry[1] <= 0:
            del self._entries[entry[0].name]


def make_news():
    """Return an empty queue."""
    return NewsQueue()


def measure_member(member):
    """Return the size of a member in a message, in bytes."""
    texts = (
        member.name,
        member.incarnation,
        member.zone,
        member.region,
        member.control,
        member.callers,
    )
    words = sum(len(text.encode()) // _WORD_BYTES + 1 for text in texts)
    return _MEMBER_BYTES + words * _WORD_BYTES
