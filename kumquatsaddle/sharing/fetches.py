"""Fetches between instances over TCP of what changed after given store versions.

All instances of a zone fetch a change from the one that read it. Long updates are
compressed, and only a few are sent at a time: on a slow link all would take so long
that none arrives in time. A requester that gets none reads the store instead.
"""

import trio

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.logs import log_event
from kumquatsaddle.messages.frames import FrameReader, write_frame
from kumquatsaddle.sharing.update_messages import (
    decode_fetch,
    decode_update,
    encode_fetch,
    encode_update,
)

__all__ = ["fetch_update", "make_long_update_limiter", "serve_fetch"]

# For receiving the fetch and sending the answer together.
_SERVE_TIMEOUT_SECONDS = 1.0
_MAX_FETCH_BYTES = 4096
# Longer updates wait for their turn, at most for the given time.
_LONG_UPDATE_BYTES = 16384
_MAX_LONG_UPDATES = 4
_MAX_TURN_SECONDS = 0.3


async def fetch_update(address, fetch, timeout):
    """Return the `Update` of another instance.

    Parameters
    ----------
    address : Address
    fetch : Fetch
    timeout : float
        In seconds.

    Raises
    ------
    MessageError
        If the instance does not answer in time or sends an invalid answer.
    """
    try:
        with trio.fail_after(timeout):
            stream = await trio.open_tcp_stream(address.host, address.port)
            async with stream:
                await write_frame(stream, encode_fetch(fetch))
                data = await FrameReader(stream).read()
    except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
        raise MessageError(f"{address} did not complete the fetch: {error!r}") from None
    if data is None:
        raise MessageError(f"{address} closed the connection without an answer")
    return decode_update(data)


def make_long_update_limiter():
    """Return a `trio.CapacityLimiter` for the long updates of one instance."""
    return trio.CapacityLimiter(_MAX_LONG_UPDATES)


async def serve_fetch(stream, make_update, metrics, limiter, on_read=lambda: None):
    """Answer one fetch and close the stream.

    The stream is closed without an answer if a long update has to wait too long.

    Parameters
    ----------
    stream : trio.abc.Stream
    make_update : callable
        Takes the `Fetch` and returns the `Update`.
    metrics : Metrics
    limiter : trio.CapacityLimiter
        Of the long updates that are sent at the same time.
    on_read : callable, optional
        Called without arguments when a whole fetch was received.
    """
    try:
        with trio.move_on_after(_SERVE_TIMEOUT_SECONDS):
            data = await FrameReader(stream, _MAX_FETCH_BYTES).read()
            if data is not None:
                fetch = decode_fetch(data)
                on_read()
                update = encode_update(make_update(fetch), fetch.accepts_compressed)
                await _write_in_turn(stream, update, metrics, limiter)
    except (MessageError, trio.BrokenResourceError) as error:
        metrics.count("messages_rejected", reason=type(error).__name__)
        log_event("fetch_failed", level="WARNING", error=error)
    finally:
        await trio.aclose_forcefully(stream)


async def _write_in_turn(stream, update, metrics, limiter):
    if len(update) <= _LONG_UPDATE_BYTES:
        await write_frame(stream, update)
        return
    with trio.move_on_after(_MAX_TURN_SECONDS) as turn:
        await limiter.acquire()
    if turn.cancelled_caught:
        metrics.count("updates_refused")
        return
    try:
        await write_frame(stream, update)
    finally:
        limiter.release()
