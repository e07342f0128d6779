"""An in-memory datagram network with faults, for tests and benchmarks.

Times are those of trio's clock, so that it runs under `trio.testing.MockClock`.
"""

import heapq
import random

import trio

__all__ = ["MemoryNetwork", "MemorySocket", "make_network"]


class MemoryNetwork:
    """A network of datagram sockets with loss, duplication, delay and partitions.

    Parameters
    ----------
    seed : int
    loss, duplication : float
        Probability for each datagram.
    delay : tuple of float
        Shortest and longest delay in seconds; if they differ, datagrams get reordered.

    Attributes
    ----------
    longest : int
        Size of the longest datagram sent, in bytes.
    sent : int
        Number of datagrams sent, duplicates not included.
    """

    def __init__(self, seed=1, loss=0.0, duplication=0.0, delay=(0.0005, 0.002)):
        self.loss = loss
        self.duplication = duplication
        self.delay = delay
        self.longest = 0
        self.sent = 0
        self._rng = random.Random(seed)
        self._sockets = {}
        self._handlers = {}
        self._cuts = set()

    async def open(self, address):
        """Return a socket bound to an address; used in place of `open_datagrams`."""
        endpoint = (address.host, address.port)
        self._sockets[endpoint] = MemorySocket(self, endpoint)
        return self._sockets[endpoint]

    def attach(self, endpoint, handler):
        """Call ``handler(data, source)`` for each datagram to a host and port."""
        self._handlers[endpoint] = handler

    def cut(self, source, target):
        """Drop all datagrams from one endpoint to another, in this direction only."""
        self._cuts.add((source, target))

    def heal(self):
        """Deliver datagrams in all directions again."""
        self._cuts.clear()

    def is_cut(self, source, target):
        """Return whether datagrams in this direction are dropped."""
        return (source, target) in self._cuts

    def send(self, data, source, target):
        """Deliver one datagram, or drop, duplicate or delay it."""
        self.longest = max(self.longest, len(data))
        self.sent += 1
        copies = 2 if self._rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.is_cut(source, target) or self._rng.random() < self.loss:
                continue
            if target in self._handlers:
                self._handlers[target](data, source)
            elif target in self._sockets:
                self._sockets[target].put(data, source, self._rng.uniform(*self.delay))

    def remove(self, endpoint, closed_socket):
        """Remove a socket, unless another one has been opened at its endpoint."""
        if self._sockets.get(endpoint) is closed_socket:
            del self._sockets[endpoint]


class MemorySocket:
    """A socket of a `MemoryNetwork`, with the methods of a datagram socket."""

    def __init__(self, network, endpoint):
        self._network = network
        self._endpoint = endpoint
        self._queue = []
        self._count = 0
        self._queue_changed = trio.Event()

    def put(self, data, source, delay=0.0):
        """Queue a datagram that arrives after `delay` seconds."""
        self._count += 1
        due = trio.current_time() + delay
        heapq.heappush(self._queue, (due, self._count, data, source))
        self._queue_changed.set()

    async def recvfrom(self, size):
        """Wait for the next datagram; return its first `size` bytes and its source."""
        await trio.lowlevel.checkpoint()
        while True:
            due = self._queue[0][0] if self._queue else float("inf")
            if due <= trio.current_time():
                _, _, data, source = heapq.heappop(self._queue)
                return data[:size], source
            self._queue_changed = trio.Event()
            with trio.move_on_at(due):
                await self._queue_changed.wait()

    async def sendto(self, data, target):
        """Send a datagram."""
        await trio.lowlevel.checkpoint()
        self._network.send(data, self._endpoint, target)

    def close(self):
        """Remove the socket from the network."""
        self._network.remove(self._endpoint, self)


def make_network(seed=1, **faults):
    """Return a `MemoryNetwork` with the given parameters."""
    return MemoryNetwork(seed, **faults)
