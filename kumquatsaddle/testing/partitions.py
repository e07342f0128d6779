"""One-way network partitions between the instances of a test fleet.

A partition drops the datagrams that one instance sends to another. On peer links it
drops the requests or the replies in that direction: the request times out, as it does
with TCP over a broken path.
"""

import trio

from kumquatsaddle.dispatch.peers import PeerError
from kumquatsaddle.membership.transport import open_datagrams

__all__ = ["Partitions"]


class Partitions:
    """The one-way partitions of a fleet, as pairs of control addresses."""

    def __init__(self):
        self._pairs = set()

    def block(self, source, target):
        """Drop messages from one control address to another."""
        self._pairs.add((str(source), str(target)))

    def heal(self):
        """Remove all partitions."""
        self._pairs.clear()

    def is_blocked(self, source, target):
        """Return whether messages from `source` to `target` are dropped."""
        return (str(source), str(target)) in self._pairs

    def attach(self, node):
        """Apply the partitions to the datagrams and peer links of a node.

        Returns
        -------
        callable
            Applies them to the links; call it when the node has started them.
        """
        own_address = node.settings.get("listen", "control")
        node.gossip._open_socket = lambda address: _open_partitioned_socket(
            self, own_address, address
        )

        async def request(address, fill, timeout):
            if self.is_blocked(own_address, address):
                await trio.sleep(timeout)
                raise PeerError(True, "request dropped by a network partition")
            envelope = await send_request(address, fill, timeout)
            if self.is_blocked(address, own_address):
                await trio.sleep(timeout)
                raise PeerError(True, "reply dropped by a network partition")
            return envelope

        def replace_request():
            nonlocal send_request
            send_request = node.links.request
            node.links.request = request

        send_request = None
        return replace_request


class _PartitionedSocket:
    """A datagram socket that drops datagrams across a partition."""

    def __init__(self, socket, partitions, own_address):
        self._socket = socket
        self._partitions = partitions
        self._own_address = own_address

    async def recvfrom(self, size):
        return await self._socket.recvfrom(size)

    async def sendto(self, data, target):
        if self._partitions.is_blocked(self._own_address, f"{target[0]}:{target[1]}"):
            return len(data)
        return await self._socket.sendto(data, target)

    def close(self):
        self._socket.close()


async def _open_partitioned_socket(partitions, own_address, address):
    return _PartitionedSocket(await open_datagrams(address), partitions, own_address)
