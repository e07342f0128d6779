"""The receiving side of a caller's connection: a reader task and a bounded buffer.

The reader runs as long as the connection, so that a caller that goes away is noticed
while its request runs, and bytes of a pipelined request are kept.
"""

import trio

__all__ = ["CallerStream"]

_READ_BYTES = 65536
# Bytes that are read ahead; beyond them the reader waits, and so does the caller.
_MOST_BUFFERED = 65536


class CallerStream:
    """Buffers what a caller sends.

    Parameters
    ----------
    stream : trio.abc.Stream
    read_ahead : int, optional
        Bytes that are buffered before the reader waits.
    """

    def __init__(self, stream, read_ahead=_MOST_BUFFERED):
        self.stream = stream
        self.buffer = bytearray()
        self.ended = False
        self.waits_for = None
        self._read_ahead = read_ahead
        self._discards = False
        self._wanted = False
        self._arrived = trio.Event()
        self._space = trio.Event()

    async def run(self):
        """Read until the caller ends the connection.

        At its end the scope in `waits_for` is cancelled, if there is one. The end of
        the sending side counts as the end of the caller: TCP does not tell a
        half-closed connection from one that was closed.
        """
        try:
            while True:
                data = await self.stream.receive_some(_READ_BYTES)
                if not data:
                    break
                if self._discards:
                    continue
                self.buffer += data
                self._wanted = False
                self._arrived.set()
                while self._is_full():
                    self._space = trio.Event()
                    await self._space.wait()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.ended = True
        self._arrived.set()
        if self.waits_for is not None:
            self.waits_for.cancel()

    async def wait(self):
        """Wait until further bytes arrive or the caller ends."""
        if self.ended:
            return
        self._wanted = True
        self._space.set()
        self._arrived = trio.Event()
        await self._arrived.wait()

    def take(self, count=None):
        """Remove and return at most `count` bytes from the buffer."""
        taken = bytes(self.buffer) if count is None else bytes(self.buffer[:count])
        del self.buffer[: len(taken)]
        self._space.set()
        return taken

    def is_quiet(self):
        """Return whether no byte has arrived that is not yet processed."""
        if self.buffer or self.ended:
            return False
        transport = getattr(self.stream, "transport_stream", self.stream)
        socket = getattr(transport, "socket", None)
        return socket is None or not socket.is_readable()

    async def linger(self, seconds):
        """End the sending side and discard input until the caller ends as well.

        Closing a socket with unread input resets the connection, and the reset may
        destroy the answer before the caller has read it.

        Parameters
        ----------
        seconds : float
            Longest time.
        """
        self._discards = True
        self.buffer.clear()
        self._space.set()
        with trio.move_on_after(seconds):
            try:
                await self.stream.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            except (NotImplementedError, AttributeError):
                # TLS streams cannot be half-closed.
                pass
            while not self.ended:
                await self.wait()

    def _is_full(self):
        if self._wanted or self._discards:
            return False
        return len(self.buffer) >= self._read_ahead
