"""Descriptors for connections of clients: one table of a process for all its servers.

Handles crowds that open hundreds of connections to every address and leave them silent.
Each server has a floor that the others cannot use. When the table is full, a new
connection replaces the one that has waited longest without a whole request.
"""

import math

__all__ = ["ConnectionSlots", "make_connection_slots"]

# Part of the descriptors of a process for connections of clients. The rest is for
# backend servers, other instances, the store and the listeners.
_CLIENT_SHARE = 0.5
# Connections that each server may have whatever the others hold.
_FLOOR = 8
# A connection is not replaced before it had this time to send its request.
_MIN_AGE_SECONDS = 0.25


class _Slot:
    """A place for one connection."""

    __slots__ = ("server", "close", "waits_since")

    def __init__(self, server, now):
        self.server = server
        self.close = _do_nothing
        self.waits_since = now


class ConnectionSlots:
    """Counts the connections of clients by server.

    Parameters
    ----------
    size : int or None
        Number of connections of all servers; None for no bound.
    servers : iterable of str
        Names of all servers.
    """

    def __init__(self, size, servers):
        self.size = size
        self._waiting = {name: {} for name in servers}
        self._counts = dict.fromkeys(servers, 0)

    def open(self, server, now, limit=math.inf, min_age=_MIN_AGE_SECONDS):
        """Return a slot for a new connection, or None if there is no room.

        Its attribute ``close`` is called without arguments if another connection takes
        the slot; it counts as free from then on.

        Parameters
        ----------
        server : str
        now : float
        limit : int, optional
            Largest number of connections of this server.
        min_age : float, optional
            Time in seconds for which a connection is not replaced.
        """
        if not self._has_room(server, limit):
            at_limit = self._counts[server] >= limit
            if not self._replace(server, now - min_age, at_limit):
                return None
        slot = _Slot(server, now)
        self._counts[server] += 1
        self._waiting[server][slot] = None
        return slot

    def close(self, slot):
        """Free the slot of a connection that has ended; a second call is ignored."""
        if slot.server is None:
            return
        self._counts[slot.server] -= 1
        self._waiting[slot.server].pop(slot, None)
        slot.server = None

    def mark_busy(self, slot):
        """Record that the connection has sent a whole request, so that it stays."""
        if slot.server is not None:
            self._waiting[slot.server].pop(slot, None)

    def mark_waiting(self, slot, now):
        """Record that the connection has no request any more."""
        if slot.server is not None:
            slot.waits_since = now
            self._waiting[slot.server].pop(slot, None)
            self._waiting[slot.server][slot] = None

    def _has_room(self, server, limit):
        if self._counts[server] >= limit:
            return False
        if self.size is None:
            return True
        reserved = sum(
            max(0, _FLOOR - count)
            for name, count in self._counts.items()
            if name != server
        )
        return sum(self._counts.values()) + reserved < self.size

    def _replace(self, server, latest, at_limit):
        """Close the connection that has waited longest, if it waits since `latest`."""
        if self.size is None:
            return False
        oldest = None
        for name, waiting in self._waiting.items():
            if not waiting or (name != server and self._counts[name] <= _FLOOR):
                continue
            if at_limit and name != server:
                continue
            slot = next(iter(waiting))
            if oldest is None or slot.waits_since < oldest.waits_since:
                oldest = slot
        if oldest is None or oldest.waits_since > latest:
            return False
        self.close(oldest)
        oldest.close()
        return True


def make_connection_slots(descriptors, servers):
    """Return the slots of a process with this many descriptors; 0: no bound."""
    size = int(descriptors * _CLIENT_SHARE)
    return ConnectionSlots(size if size > 0 else None, servers)


def _do_nothing():
    """Stand for the close of a connection that is not served yet."""
