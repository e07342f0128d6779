"""Bodies of answers, received into memory that is reserved for them."""

import h11
import trio

from kumquatsaddle.types import RefusalReason

__all__ = ["ReservedBody", "hand_over_body", "receive_body"]

# Parts of a body that are parsed before other tasks may run. One read may hold 10,000
# chunks of one byte, which h11 takes 100 ms to parse.
_EVENTS_BEFORE_YIELD = 64
# Longer bodies are kept in the buffer in which they were received.
_MAX_COPIED_BYTES = 65536
# Longer numbers are no length that is within any limit.
_MAX_LENGTH_DIGITS = 12


class ReservedBody(bytearray):
    """A body whose memory stays reserved until someone else counts it or it is freed.

    Without this, the next answer could take the same memory while this one is on its
    way to the connection of its caller.

    Parameters
    ----------
    memory : AnswerMemory
    """

    def __init__(self, memory):
        super().__init__()
        self._memory = memory
        self._reserved = 0

    def add_reserved(self, size):
        """Record that `size` more bytes were reserved."""
        self._reserved += size

    def zero_fill(self, length):
        """Set the content to `length` zero bytes, without a copy of them."""
        super().__init__(length)

    def hand_over(self):
        """Release the reservation, because someone else counts the memory."""
        reserved, self._reserved = self._reserved, 0
        if reserved and self._memory is not None:
            self._memory.release(reserved)

    def __del__(self):
        self.hand_over()


def hand_over_body(body):
    """Release what is reserved for a body, if it is a `ReservedBody`."""
    if isinstance(body, ReservedBody):
        body.hand_over()


async def receive_body(next_event, make_error, headers, max_body, memory):
    """Return the body of an answer.

    Parameters
    ----------
    next_event : callable
        Async; returns the next event of h11.
    make_error : callable
        Takes a `RefusalReason` and a detail; returns the error to raise.
    headers : iterable of (bytes, bytes)
        Of the answer.
    max_body : int
        In bytes.
    memory : AnswerMemory or None

    Returns
    -------
    bytes or ReservedBody
        The latter if it is long.
    """
    is_bounded = memory is not None and memory.is_bounded()
    body = ReservedBody(memory)
    length = _find_length(headers, max_body) if is_bounded else 0
    size = events = 0
    try:
        while not isinstance(event := await next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise make_error(RefusalReason.ANSWER_TRUNCATED, "answer is incomplete")
            end = size + len(event.data)
            # Answers that each had a part of their memory would wait for each other,
            # and a buffer that grows is an eighth larger than its content. So memory
            # is reserved for the whole body if its length is known.
            wanted = max(length, end) - len(body)
            if end > max_body or not await _reserve(memory, wanted):
                raise make_error(RefusalReason.ANSWER_TOO_LARGE, end)
            body.add_reserved(wanted)
            if length and not body:
                # Not filled from another buffer, which would double the memory.
                body.zero_fill(length)
            body[size:end] = event.data
            size = end
            events += 1
            if events % _EVENTS_BEFORE_YIELD == 0:
                await trio.lowlevel.checkpoint()
    except BaseException:
        body.hand_over()
        raise
    if size <= _MAX_COPIED_BYTES:
        result = bytes(body)
        body.hand_over()
        return result
    if not is_bounded:
        body.hand_over()
    return body


def _find_length(headers, max_body):
    """Return the length of a long body that is within the limit, or 0."""
    for name, value in headers:
        if name == b"content-length" and len(value) <= _MAX_LENGTH_DIGITS:
            length = int(value)
            return length if _MAX_COPIED_BYTES < length <= max_body else 0
    return 0


async def _reserve(memory, size):
    return memory is None or size <= 0 or await memory.reserve(size)
