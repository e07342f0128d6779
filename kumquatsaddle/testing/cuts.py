"""One-way cuts between the instances of a test fleet.

A cut from one instance to another loses datagrams in that direction, and on links the
requests or the replies that would travel in it. The loss of a frame on a link shows as
a request that gets no reply in time, as it would with TCP over a cut path.
"""

import trio

from kumquatsaddle.dispatch.peers import PeerError
from kumquatsaddle.membership.transport import open_datagrams

__all__ = ["Cuts"]


class Cuts:
    """The cuts of one fleet, as pairs of control addresses."""

    def __init__(self):
        self._pairs = set()

    def cut(self, source, target):
        """Lose what travels from one control address to another."""
        self._pairs.add((str(source), str(target)))

    def heal(self):
        """Remove all cuts."""
        self._pairs.clear()

    def is_cut(self, source, target):
        """Return whether what travels from `source` to `target` is lost."""
        return (str(source), str(target)) in self._pairs

    def attach(self, node):
        """Let the datagrams and links of a node run through the cuts."""
        own = node.settings.get("listen", "control")
        node.gossip._open_socket = lambda address: _open_cut(self, own, address)

        async def request(address, fill, timeout):
            if self.is_cut(own, address):
                await trio.sleep(timeout)
                raise PeerError(True, "request lost")
            envelope = await ask(address, fill, timeout)
            if self.is_cut(address, own):
                await trio.sleep(timeout)
                raise PeerError(True, "reply lost")
            return envelope

        def wrap():
            nonlocal ask
            ask = node.links.request
            node.links.request = request

        ask = None
        return wrap


class _CutSocket:
    """A datagram socket that loses what is cut."""

    def __init__(self, socket, cuts, own):
        self._socket = socket
        self._cuts = cuts
        self._own = own

    async def recvfrom(self, size):
        return await self._socket.recvfrom(size)

    async def sendto(self, data, target):
        if self._cuts.is_cut(self._own, f"{target[0]}:{target[1]}"):
            return len(data)
        return await self._socket.sendto(data, target)

    def close(self):
        self._socket.close()


async def _open_cut(cuts, own, address):
    return _CutSocket(await open_datagrams(address), cuts, own)
