"""Frames on TCP streams: a 4-byte big-endian length, then a sealed message."""

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.types import MessageRejection

__all__ = ["MAX_FRAME_BYTES", "FrameReader", "write_frame"]

_LENGTH_BYTES = 4
# Largest frame in bytes; a whole configuration of 35,000 accounts is about 6 MB.
MAX_FRAME_BYTES = 16 << 20
_READ_BYTES = 65536


class FrameReader:
    """Splits the bytes of a stream into frames.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
    max_bytes : int
        Longest frame in bytes; may be set between two frames. Unread bytes are
        bounded by twice this number.
    """

    def __init__(self, stream, max_bytes=MAX_FRAME_BYTES):
        self._stream = stream
        self.max_bytes = max_bytes
        self._buffer = bytearray()

    async def read(self):
        """Return the next frame, or None at the end of the stream.

        Raises
        ------
        MessageError
            If the frame is too long, or the stream ends within it.
        """
        head = await self._take(_LENGTH_BYTES)
        if head is None:
            return None
        length = int.from_bytes(head, "big")
        if length > self.max_bytes:
            reason = MessageRejection.TOO_LONG.value
            raise MessageError(f"{reason}: frame of {length} bytes")
        body = await self._take(length)
        if body is None:
            raise MessageError(MessageRejection.TRUNCATED.value)
        return body

    async def _take(self, count):
        while len(self._buffer) < count:
            data = await self._stream.receive_some(min(_READ_BYTES, self.max_bytes))
            if not data:
                if self._buffer:
                    raise MessageError(MessageRejection.TRUNCATED.value)
                return None
            self._buffer += data
        taken = bytes(self._buffer[:count])
        del self._buffer[:count]
        return taken


async def write_frame(stream, data):
    """Write one frame."""
    await stream.send_all(len(data).to_bytes(_LENGTH_BYTES, "big") + data)
