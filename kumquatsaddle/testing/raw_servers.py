"""Servers on loopback addresses that answer with given bytes, for tests of clients."""

import trio

from kumquatsaddle.settings.parsers import Address

__all__ = ["RawServer", "open_raw_server"]

_READ_BYTES = 65536


class RawServer:
    """Answers whatever comes first on a connection with given bytes, then ends it.

    Parameters
    ----------
    start : bytes
    repeated : bytes
        Sent again and again after `start`.
    max_bytes : int
        What is sent on a connection at most, so that a client without a limit ends.

    Attributes
    ----------
    sent_bytes : int
        On all connections, including what was not read.
    """

    def __init__(self, start, repeated, max_bytes):
        self.sent_bytes = 0
        self._start = start
        self._repeated = repeated
        self._max_bytes = max_bytes

    async def serve(self, stream):
        """Serve one connection until it ends."""
        try:
            async with stream:
                await stream.receive_some(_READ_BYTES)
                await self._send(stream)
        except trio.BrokenResourceError:
            # The client has reset the connection.
            pass

    async def _send(self, stream):
        await stream.send_all(self._start)
        size = len(self._start)
        while self._repeated and size < self._max_bytes:
            await stream.send_all(self._repeated)
            size += len(self._repeated)
            self.sent_bytes += len(self._repeated)


async def open_raw_server(nursery, start, repeated=b"", max_bytes=1 << 26):
    """Start a `RawServer` in a nursery; return it and its `Address`."""
    server = RawServer(start, repeated, max_bytes)
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, server.serve, [listener])
    return server, Address(*listener.socket.getsockname())
