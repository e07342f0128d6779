"""Calls of the platform over HTTP, whose replies are bounded in time and length."""

from dataclasses import dataclass

import httpcore
import trio

from kumquatsaddle.exceptions import PlatformUnavailableError

__all__ = ["PlatformReply", "call_platform"]

# The snapshot of a configuration with 35,000 accounts has about 6 MB.
_MAX_REPLY_BYTES = 16 << 20


@dataclass(frozen=True, slots=True)
class PlatformReply:
    """A whole reply of the platform.

    Parameters
    ----------
    status : int
    headers : list of (bytes, bytes)
    content : bytes
    """

    status: int
    headers: list
    content: bytes


async def call_platform(pool, method, url, path, timeout, headers=(), content=None):
    """Call the platform and return its `PlatformReply`, whatever its status.

    Parameters
    ----------
    pool : httpcore.AsyncConnectionPool
    method : str
    url : str
        Base URL.
    path : str
        With the query.
    timeout : float
        In seconds, from connecting to the end of the reply.
    headers : sequence of (str, str), optional
    content : bytes, optional

    Raises
    ------
    PlatformUnavailableError
        If no whole reply arrives in time, or it is invalid or too long. The call may
        have taken effect.
    """
    try:
        with trio.fail_after(timeout):
            async with pool.stream(
                method, url + path, headers=list(headers), content=content
            ) as response:
                body = await _read_body(response, f"{method} {path}")
                return PlatformReply(response.status, response.headers, body)
    except (trio.TooSlowError, httpcore.NetworkError, httpcore.TimeoutException):
        raise PlatformUnavailableError(
            f"{method} {path}: the platform did not reply"
        ) from None
    except (httpcore.ProtocolError, httpcore.UnsupportedProtocol) as error:
        raise PlatformUnavailableError(f"{method} {path}: {error}") from None


async def _read_body(response, call):
    """Read a body; one without end would take the memory of the instance."""
    parts, size = [], 0
    async for part in response.aiter_stream():
        size += len(part)
        if size > _MAX_REPLY_BYTES:
            raise PlatformUnavailableError(f"{call}: the reply is too long")
        parts.append(part)
    return b"".join(parts)
