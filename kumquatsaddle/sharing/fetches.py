"""Fetches between instances over TCP: what changed after two versions of the store."""

import trio

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.logs import log_event
from kumquatsaddle.messages.frames import FrameReader, write_frame
from kumquatsaddle.sharing.messages import (
    decode_fetch,
    decode_update,
    encode_fetch,
    encode_update,
)

__all__ = ["fetch_update", "serve_fetch"]

# Time in seconds for a peer to send its fetch and to take the answer.
_FRAME_TIMEOUT = 1.0
_FETCH_BYTES = 4096


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
        If it does not answer in time or with something else.
    """
    try:
        with trio.fail_after(timeout):
            stream = await trio.open_tcp_stream(address.host, address.port)
            async with stream:
                await write_frame(stream, encode_fetch(fetch))
                data = await FrameReader(stream).read()
    except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
        raise MessageError(f"{address}: {error!r}") from None
    if data is None:
        raise MessageError(f"{address}: no answer")
    return decode_update(data)


async def serve_fetch(stream, make_update, metrics):
    """Answer one fetch and close the stream.

    Parameters
    ----------
    stream : trio.abc.Stream
    make_update : callable
        Takes the `Fetch` and returns the `Update`.
    metrics : Metrics
    """
    try:
        with trio.move_on_after(_FRAME_TIMEOUT):
            data = await FrameReader(stream, _FETCH_BYTES).read()
            if data is not None:
                update = make_update(decode_fetch(data))
                await write_frame(stream, encode_update(update))
    except (MessageError, trio.BrokenResourceError) as error:
        metrics.count("messages_rejected", reason=type(error).__name__)
        log_event("fetch_failed", level="WARNING", error=error)
    finally:
        await trio.aclose_forcefully(stream)
