"""Sends the next request of a keep-alive connection as early as the protocol allows.

hypercorn 0.18 was once seen to raise trio.BusyResourceError and to leave a connection
hanging when a client sends its next request as soon as the body is complete.
"""

import trio

__all__ = ["count_failed_connections", "count_incomplete_pairs"]

_PIPELINED_PAIRS = 200
_REQUESTS_PER_CONNECTION = 100
# A connection without an answer for this time counts as hanging.
_HANG_TIMEOUT_SECONDS = 2.0
# No further pairs of a variant are sent after this time.
_MAX_VARIANT_SECONDS = 10.0


async def _send_pipelined_pair(address, path, pause):
    """Send two pipelined requests; return the number of complete responses."""
    post = b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody" % path
    stream = await trio.open_tcp_stream(address.host, address.port)
    received = b""
    async with stream:
        await stream.send_all(post)
        if pause is not None:
            await trio.sleep(pause)
        await stream.send_all(post)
        with trio.move_on_after(_HANG_TIMEOUT_SECONDS):
            while received.count(b'{"answer": "small"}') < 2:
                data = await stream.receive_some(65536)
                if not data:
                    break
                received += data
    return received.count(b'{"answer": "small"}')


async def _send_follow_ups(address, path, with_body):
    """Send requests one after the other; return how many were answered.

    Each request is sent when the body of the last response is complete.
    """
    body = b"body" if with_body else b""
    request = b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b"
    request %= (path.encode(), len(body), body)
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        for number in range(_REQUESTS_PER_CONNECTION):
            received = b""
            with trio.move_on_after(_HANG_TIMEOUT_SECONDS) as scope:
                try:
                    await stream.send_all(request)
                    while b'{"answer": "small"}' not in received:
                        data = await stream.receive_some(65536)
                        if not data:
                            return number
                        received += data
                except trio.BrokenResourceError:
                    return number
            if scope.cancelled_caught:
                return number
    return _REQUESTS_PER_CONNECTION


async def count_failed_connections(address, paths):
    """Return how many of 3 connections hung or were closed, by variant."""
    failed = {}
    for path in paths:
        for with_body in (False, True):
            answered = [
                await _send_follow_ups(address, path, with_body) for _ in range(3)
            ]
            label = f"{path}, {'with' if with_body else 'no'} body"
            failed[label] = sum(count < _REQUESTS_PER_CONNECTION for count in answered)
    return failed


async def count_incomplete_pairs(address):
    """Return how many pairs of pipelined requests lack a response, by variant.

    At most 200 pairs are sent in a variant.
    """
    incomplete = {}
    for path in (b"/whole", b"/slow"):
        for pause in (None, 0.0, 0.0005, 0.001, 0.003):
            label = "no pause" if pause is None else f"pause {pause * 1000:g} ms"
            label = f"{path.decode()}, {label}"
            incomplete[label] = await _count_incomplete(address, path, pause)
    return incomplete


async def _count_incomplete(address, path, pause):
    incomplete, started = 0, trio.current_time()
    for _ in range(_PIPELINED_PAIRS):
        incomplete += await _send_pipelined_pair(address, path, pause) < 2
        if trio.current_time() - started > _MAX_VARIANT_SECONDS:
            break
    return incomplete
