"""An in-memory datagram network with faults, for tests and benchmarks.

Times are those of trio's clock, so that it runs under `trio.testing.MockClock`.
"""

import heapq
import random

import trio

__all__ = ["MemoryNetwork", "MemorySocket", "make_network"]


class MemoryNetwork:
    """Datagrams between addresses, with faults for each direction.

    Parameters
    ----------
    seed : int
    loss, duplication : float
        Probability for each datagram.
    delay : tuple of float
        Shortest and longest delay in seconds; a range reorders datagrams.

    Attributes
    ----------
    longest : int
        Size of the longest datagram sent, in bytes.
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
        """Return the socket of an address; takes the place of `open_datagrams`."""
        place = (address.host, address.port)
        self._sockets[place] = MemorySocket(self, place)
        return self._sockets[place]

    def attach(self, place, handler):
        """Call ``handler(data, source)`` for each datagram to a host and port."""
        self._handlers[place] = handler

    def cut(self, source, target):
        """Drop all datagrams from one host and port to another, in this direction."""
        self._cuts.add((source, target))

    def heal(self):
        """Remove all cuts."""
        self._cuts.clear()

    def is_cut(self, source, target):
        """Return whether datagrams in this direction are dropped."""
        return (source, target) in self._cuts

    def send(self, data, source, target):
        """Carry one datagram, or lose, duplicate or delay it."""
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

    def remove(self, place, end):
        """Remove the socket of a host and port, unless another one replaced it."""
        if self._sockets.get(place) is end:
            del self._sockets[place]


class MemorySocket:
    """One end of the network, with the methods of a datagram socket."""

    def __init__(self, network, place):
        self._network = network
        self._place = place
        self._queue = []
        self._count = 0
        self._arrival = trio.Event()

    def put(self, data, source, delay=0.0):
        """Queue a datagram that arrives after `delay` seconds."""
        self._count += 1
        due = trio.current_time() + delay
        heapq.heappush(self._queue, (due, self._count, data, source))
        self._arrival.set()

    async def recvfrom(self, size):
        """Return the next datagram, cut to `size` bytes, and its source."""
        await trio.lowlevel.checkpoint()
        while True:
            due = self._queue[0][0] if self._queue else float("inf")
            if due <= trio.current_time():
                _, _, data, source = heapq.heappop(self._queue)
                return data[:size], source
            self._arrival = trio.Event()
            with trio.move_on_at(due):
                await self._arrival.wait()

    async def sendto(self, data, target):
        """Send a datagram."""
        await trio.lowlevel.checkpoint()
        self._network.send(data, self._place, target)

    def close(self):
        """Remove this end from the network."""
        self._network.remove(self._place, self)


def make_network(seed=1, **faults):
    """Return a network; see `MemoryNetwork`."""
    return MemoryNetwork(seed, **faults)
