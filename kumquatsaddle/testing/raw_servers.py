"""Servers on loopback addresses that answer with given bytes, for tests of clients."""

import socket
import struct

import trio

from kumquatsaddle.settings.parsers import Address

__all__ = ["RawServer", "open_raw_server"]

_READ_BYTES = 65536
# Value of SO_LINGER that makes a close reset the connection.
_LINGER_RESET = struct.pack("ii", 1, 0)


class RawServer:
    """Answers whatever comes first on a connection with given bytes, then ends it.

    It ends its output and reads on until the client closes, or it resets the
    connection.

    Parameters
    ----------
    start : bytes
    repeated : bytes
        Sent again and again after `start`.
    max_bytes : int
        What is sent on a connection at most, so that a client without a limit ends.
    resets : bool

    Attributes
    ----------
    sent_bytes : int
        On all connections, including what was not read.
    """

    def __init__(self, start, repeated, max_bytes, resets):
        self.sent_bytes = 0
        self._start = start
        self._repeated = repeated
        self._max_bytes = max_bytes
        self._resets = resets

    async def serve(self, stream):
        """Serve one connection until it ends."""
        try:
            async with stream:
                await stream.receive_some(_READ_BYTES)
                await self._send(stream)
                await self._end(stream)
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

    async def _end(self, stream):
        if self._resets:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            return
        await stream.send_eof()
        while await stream.receive_some(_READ_BYTES):
            pass


async def open_raw_server(
    nursery, start, repeated=b"", max_bytes=1 << 26, resets=False, receive_buffer=None
):
    """Start a `RawServer` in a nursery; return it and its `Address`.

    Parameters
    ----------
    receive_buffer : int, optional
        In bytes; a small one keeps the upload of a client in progress.
    """
    server = RawServer(start, repeated, max_bytes, resets)
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    if receive_buffer is not None:
        # Accepted connections inherit it.
        option = socket.SO_RCVBUF
        listener.socket.setsockopt(socket.SOL_SOCKET, option, receive_buffer)
    nursery.start_soon(trio.serve_listeners, server.serve, [listener])
    return server, Address(*listener.socket.getsockname())
