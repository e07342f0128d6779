"""Memory that clients occupy: one budget of a process, with a share per connection.

Handles crowds of up to a few thousand connections that send legal requests and stop
just short of their end, or do not read their answers. The budget counts the bytes that
a client can make the process keep. When it is used up, the connections that are
furthest behind a reference rate are closed, and if there are none, the newcomer is
refused. Thus a caller that sends and reads at an ordinary pace is never closed for a
stalled one.
"""

import math

__all__ = [
    "CONNECTION_BYTES",
    "TLS_CONNECTION_BYTES",
    "ConnectionShare",
    "MemoryBudget",
    "estimate_head_bytes",
    "make_memory_budget",
]

# Part of an instance's memory for clients. The rest is for the interpreter with the
# configuration (about 45 MB), connections to backend servers, and fragmentation. A body
# of 64 MiB still fits into the budget of an instance of 200 MB.
_CLIENT_SHARE = 0.38
# Part of the budget that only connections with little memory may use, so that ordinary
# requests, readiness checks and messages between instances find room in a crowd.
_RESERVED_SHARE = 0.05
# Memory of a connection up to which it may use the reserved part. It holds a head of 16
# KiB with the usual fields and a small body.
_SMALL_BYTES = 131072
# Part of the budget that the pipelined requests of one connection may occupy.
_PIPELINE_SHARE = 0.1
# Use of the budget above which connections run one request at a time.
_TIGHT_SHARE = 0.5
# Tasks, buffers and sockets of a connection, measured with idle connections.
CONNECTION_BYTES = 16384
# With the buffers of OpenSSL; measured during handshakes.
TLS_CONNECTION_BYTES = 98304
# Tuples and objects of one parsed field, beside its bytes.
_FIELD_BYTES = 450
# A connection falls behind while it moves fewer bytes a second than this. A 64 KiB part
# of an answer is taken within a second also over slow links.
_REFERENCE_RATE = 65536.0
# Connections less far behind are not closed, because every transfer pauses at times.
_MIN_LAG_SECONDS = 0.25


class ConnectionShare:
    """What one connection has of the budget.

    Parameters
    ----------
    budget : MemoryBudget
    peer : str or None
        IP address of the other side; None for memory of the process itself.
    close : callable
        Called without arguments to end the connection; it releases its memory soon.
    """

    __slots__ = ("_budget", "peer", "close", "held", "closing", "_behind_since")

    def __init__(self, budget, peer, close):
        self._budget = budget
        self.peer = peer
        self.close = close
        self.held = 0
        self.closing = False
        self._behind_since = math.inf

    def try_charge(self, size, now):
        """Count `size` more bytes; return False if they do not fit."""
        return self._budget.try_charge(self, size, now)

    def charge(self, size, now):
        """Count `size` more bytes that are already there, and make room for them."""
        self._budget.charge(self, size, now)

    def release(self, size):
        """Count `size` bytes less."""
        self._budget.release(self, size)

    def is_bounded(self):
        """Return whether the budget has a bound at all."""
        return self._budget.is_bounded()

    def allows_pipelining(self):
        """Return whether there is memory to run another request of the connection."""
        if self._budget.used > _TIGHT_SHARE * self._budget.size:
            return False
        return self.held <= _PIPELINE_SHARE * self._budget.size

    def begin(self, now):
        """Record that the caller has to send or to read from now on."""
        if self._behind_since == math.inf:
            self._behind_since = now

    def suspend(self):
        """Record that the caller waits for this process, or that nothing is left."""
        self._behind_since = math.inf

    def record_progress(self, size, now):
        """Record that `size` bytes were received from the caller or taken by it."""
        behind_since = self._behind_since + size / _REFERENCE_RATE
        if self._behind_since < math.inf:
            self._behind_since = min(now, behind_since)

    def get_lag(self, now):
        """Return by how many seconds the caller is behind the reference rate."""
        return now - self._behind_since

    def end(self):
        """Return everything at the end of the connection."""
        self._budget.close_share(self)


class MemoryBudget:
    """Counts the memory that clients occupy, and chooses what is closed for others.

    Parameters
    ----------
    size : float
        In bytes; infinite for no bound.

    Attributes
    ----------
    used : int
        Bytes of all connections.
    closing : int
        Bytes of the connections that are being closed; they are free soon.
    """

    def __init__(self, size):
        self.size = size
        self.used = self.closing = 0
        self._shares = set()
        self._used_by_peer = {}

    def is_bounded(self):
        """Return whether there is a bound at all."""
        return self.size < math.inf

    def open_own_share(self):
        """Return a `ConnectionShare` for answers that this process receives."""
        share = ConnectionShare(self, None, None)
        self._shares.add(share)
        return share

    def open_share(self, peer, close, size, now):
        """Return the `ConnectionShare` of a new connection, with `size` bytes."""
        share = ConnectionShare(self, peer, close)
        self._shares.add(share)
        self.charge(share, size, now)
        return share

    def close_share(self, share):
        """Return the memory of a connection that has ended."""
        self.release(share, share.held)
        self._shares.discard(share)

    def is_making_room(self):
        """Return whether memory becomes free soon, so that it is worth waiting."""
        return self.closing > 0

    def try_charge(self, share, size, now):
        """Count `size` more bytes of a connection if they fit.

        Returns
        -------
        bool
            If not, other connections may have been closed, see `is_making_room`.
        """
        if share.closing:
            return False
        room = self._get_room(share, size)
        if self.used + size > room:
            self._make_room(share, size, room, now)
            return False
        self._add(share, size)
        return True

    def charge(self, share, size, now):
        """Count bytes that are already there; others may be closed for them."""
        self._add(share, size)
        if self.used - self.closing > self.size:
            self._make_room(share, 0, self.size, now)

    def release(self, share, size):
        """Count `size` bytes less."""
        self._add(share, -size)

    def _add(self, share, size):
        share.held += size
        self.used += size
        if share.closing:
            self.closing += size
        if share.peer is None:
            return
        used = self._used_by_peer.get(share.peer, 0) + size
        if used > 0:
            self._used_by_peer[share.peer] = used
        else:
            self._used_by_peer.pop(share.peer, None)

    def _get_room(self, share, size):
        is_small = share.held + size <= _SMALL_BYTES
        return self.size if is_small else self.size * (1 - _RESERVED_SHARE)

    def _make_room(self, share, size, room, now):
        """Close other connections until `size` bytes will fit, as far as possible."""
        wanted = self.used - self.closing + size - room
        if wanted <= 0:
            return
        for victim in self._order_victims(share, now):
            wanted -= victim.held
            self._close(victim)
            if wanted <= 0:
                return

    def _order_victims(self, newcomer, now):
        """Return the connections that may be closed for another one, in order.

        A peer with much memory closes none of a peer with less. A newcomer from a peer
        below its fair share may also close what is not behind at a peer above it.
        """
        used_by_newcomer = self._used_by_peer.get(newcomer.peer, 0)
        fair_share = self.size / max(1, len(self._used_by_peer))
        if newcomer.peer is None:
            # Answers that are received replace stalled connections only.
            fair_share = 0
        victims = []
        for share in self._shares:
            if share is newcomer or share.closing:
                continue
            lag = share.get_lag(now)
            if share.peer is None or lag == -math.inf:
                continue
            used_by_peer = self._used_by_peer[share.peer]
            if used_by_peer < used_by_newcomer:
                continue
            if lag >= _MIN_LAG_SECONDS or used_by_newcomer < fair_share < used_by_peer:
                victims.append((lag, share))
        victims.sort(key=lambda item: item[0], reverse=True)
        return [share for _, share in victims]

    def _close(self, share):
        share.closing = True
        self.closing += share.held
        share.close()


def make_memory_budget(megabytes):
    """Return the budget of an instance on a machine with this memory; 0: no bound."""
    size = megabytes * 1e6 * _CLIENT_SHARE
    return MemoryBudget(size if size > 0 else math.inf)


def estimate_head_bytes(head):
    """Return the memory of a request head, raw and parsed.

    Parameters
    ----------
    head : bytes
    """
    return 2 * len(head) + _FIELD_BYTES * head.count(b"\n")
