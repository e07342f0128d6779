"""Fetches between instances over TCP of what changed after given store versions."""

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

# For receiving the fetch and sending the answer together.
_SERVE_TIMEOUT_SECONDS = 1.0
_MAX_FETCH_BYTES = 4096


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
        with trio.move_on_after(_SERVE_TIMEOUT_SECONDS):
            data = await FrameReader(stream, _MAX_FETCH_BYTES).read()
            if data is not None:
                update = make_update(decode_fetch(data))
                await write_frame(stream, encode_update(update))
    except (MessageError, trio.BrokenResourceError) as error:
        metrics.count("messages_rejected", reason=type(error).__name__)
        log_event("fetch_failed", level="WARNING", error=error)
    finally:
        await trio.aclose_forcefully(stream)
