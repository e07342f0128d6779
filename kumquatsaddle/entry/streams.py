"""Receiving side of a connection from a caller: a reader task and a bounded buffer.

The reader runs as long as the connection. It thus detects a disconnect of the caller
while a request runs, and buffers the bytes of pipelined requests.
"""

from collections import deque

import trio

__all__ = [
    "BOUNDED_READ_AHEAD_BYTES",
    "READ_AHEAD_BYTES",
    "CallerStream",
    "get_peer_host",
]

# Buffer size at which the reader stops reading, which makes the caller wait.
READ_AHEAD_BYTES = 65536
# The same where the memory of clients is bounded. The buffer of a connection that sends
# faster than its requests are read holds up to twice as much.
BOUNDED_READ_AHEAD_BYTES = 16384
# Bytes received within this time of each other share one time of arrival.
_ARRIVAL_RESOLUTION_SECONDS = 0.01


class CallerStream:
    """Buffers the bytes that a caller sends.

    Parameters
    ----------
    stream : trio.abc.Stream
    read_ahead_bytes : int, optional
        Buffer size at which the reader stops until bytes are taken, and the most bytes
        that are received at a time.
    share : ConnectionShare, optional
        Counts the bytes in the buffer.

    Attributes
    ----------
    buffer : bytearray
        Bytes that were received and not yet taken.
    ended : bool
        Whether the caller has ended the connection or its sending side.
    on_end : callable
        Called without arguments when the caller ends the connection.
    """

    def __init__(self, stream, read_ahead_bytes=READ_AHEAD_BYTES, share=None):
        self.stream = stream
        self._share = share
        self.buffer = bytearray()
        self.ended = False
        self.on_end = lambda: None
        # Pairs of a number of received bytes and the time when the last of them came,
        # or up to the resolution before.
        self._arrivals = deque()
        self._received_bytes = 0
        self._taken_bytes = 0
        self._read_ahead_bytes = read_ahead_bytes
        self._discarding = False
        self._consumer_waiting = False
        self._data_arrived = trio.Event()
        self._space_available = trio.Event()

    async def run(self):
        """Read until the caller ends the connection.

        Then calls `on_end`. The end of the caller's sending side counts as a
        disconnect, because TCP does not distinguish a half-closed connection from a
        closed one.
        """
        try:
            while True:
                data = await self.stream.receive_some(self._read_ahead_bytes)
                if not data:
                    break
                if self._discarding:
                    continue
                self.buffer += data
                self._record_arrival(len(data))
                self._count_received(len(data))
                self._consumer_waiting = False
                self._data_arrived.set()
                while self._is_full():
                    self._space_available = trio.Event()
                    await self._space_available.wait()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.ended = True
        self._data_arrived.set()
        self.on_end()

    async def wait_for_data(self):
        """Wait until more bytes arrive or the caller ends the connection."""
        if self.ended:
            return
        self._consumer_waiting = True
        self._space_available.set()
        self._data_arrived = trio.Event()
        await self._data_arrived.wait()

    def take(self, count=None):
        """Remove and return at most `count` bytes from the buffer."""
        taken = bytes(self.buffer) if count is None else bytes(self.buffer[:count])
        del self.buffer[: len(taken)]
        self._count_taken(len(taken))
        self._taken_bytes += len(taken)
        self._space_available.set()
        return taken

    def skip_empty_lines(self):
        """Remove the empty lines at the start of the buffer."""
        while self.buffer.startswith(b"\r\n"):
            self.take(2)

    def restore(self, data):
        """Put the last bytes that were taken back at the start of the buffer."""
        self._taken_bytes -= len(data)
        self.buffer[:0] = data
        if self._share is not None:
            self._share.charge(len(data), trio.current_time())

    def find_arrival_time(self):
        """Return when the last byte taken had arrived, on the clock of trio.

        Bytes that are restored later count as taken.
        """
        while self._arrivals[0][0] < self._taken_bytes:
            self._arrivals.popleft()
        return self._arrivals[0][1]

    def is_idle(self):
        """Return whether the caller is connected and no received byte is unprocessed.

        Bytes that the socket has received but the reader has not count as well.
        """
        if self.buffer or self.ended:
            return False
        transport = getattr(self.stream, "transport_stream", self.stream)
        socket = getattr(transport, "socket", None)
        return socket is None or not socket.is_readable()

    async def linger(self, timeout):
        """End the sending side and discard input until the caller ends its side.

        Closing a socket with unread input resets the connection, and the reset may
        destroy the answer before the caller has read it.

        Parameters
        ----------
        timeout : float
            Maximum duration in seconds.
        """
        self._discarding = True
        self._count_taken(len(self.buffer))
        self.buffer.clear()
        self._space_available.set()
        with trio.move_on_after(timeout):
            try:
                await self.stream.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            except (NotImplementedError, AttributeError):
                # TLS streams cannot be half-closed.
                pass
            while not self.ended:
                await self.wait_for_data()

    def _count_received(self, size):
        if self._share is not None:
            now = trio.current_time()
            self._share.record_progress(size, now)
            self._share.charge(size, now)

    def _count_taken(self, size):
        if self._share is not None:
            self._share.release(size)

    def _record_arrival(self, size):
        now = trio.current_time()
        self._received_bytes += size
        if self._arrivals and now - self._arrivals[-1][1] < _ARRIVAL_RESOLUTION_SECONDS:
            # The earlier time stays, so that a steady trickle is not merged as a whole.
            _, now = self._arrivals.pop()
        self._arrivals.append((self._received_bytes, now))

    def _is_full(self):
        if self._consumer_waiting or self._discarding:
            return False
        return len(self.buffer) >= self._read_ahead_bytes


def get_peer_host(stream):
    """Return the IP address of the other side, or "" if it is not known."""
    transport = getattr(stream, "transport_stream", stream)
    socket = getattr(transport, "socket", None)
    try:
        address = socket.getpeername() if socket is not None else ""
    except OSError:
        # The other side has closed the connection.
        return ""
    return address[0] if isinstance(address, tuple) else ""
