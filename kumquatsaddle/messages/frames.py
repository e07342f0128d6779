"""Frames on TCP streams: a 4-byte big-endian length, then a sealed message."""

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.types import MessageRejection

__all__ = ["MAX_FRAME_BYTES", "FrameReader", "write_frame"]

_LENGTH_BYTES = 4
# A whole configuration of 35,000 accounts is about 6 MB.
MAX_FRAME_BYTES = 16 << 20
_MAX_READ_BYTES = 65536


class FrameReader:
    """Splits the bytes of a stream into frames.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
    max_bytes : int
        Longest frame; may be changed between two frames. At most twice as many bytes
        are buffered.
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
            If the frame is longer than `max_bytes`, or the stream ends within it.
        """
        prefix = await self._read_exactly(_LENGTH_BYTES)
        if prefix is None:
            return None
        length = int.from_bytes(prefix, "big")
        if length > self.max_bytes:
            reason = MessageRejection.TOO_LONG.value
            raise MessageError(f"{reason}: frame of {length} bytes")
        body = await self._read_exactly(length)
        if body is None:
            raise MessageError(MessageRejection.TRUNCATED.value)
        return body

    async def _read_exactly(self, count):
        while len(self._buffer) < count:
            data = await self._stream.receive_some(min(_MAX_READ_BYTES, self.max_bytes))
            if not data:
                if self._buffer:
                    raise MessageError(MessageRejection.TRUNCATED.value)
                return None
            self._buffer += data
        result = bytes(self._buffer[:count])
        del self._buffer[:count]
        return result


async def write_frame(stream, data):
    """Write `data` as one frame."""
    await stream.send_all(len(data).to_bytes(_LENGTH_BYTES, "big") + data)
