"""Sends the next request of a keep-alive connection as early as a caller may.

hypercorn 0.18 was once seen to raise trio.BusyResourceError and to leave a connection
hanging when a client sends its next request as soon as the body is complete.
"""

import trio

__all__ = ["measure_follow_ups", "measure_pipelining"]

_PIPELINE_ROUNDS = 200
_FOLLOW_UPS = 100
# Time in seconds without an answer after which a connection counts as hanging, and
# after which a variant in which connections hang is given up.
_HANG = 2.0
_LONGEST_VARIANT = 10.0


async def _pipeline(address, path, pause):
    """Send two requests on a connection; return the number of responses."""
    post = b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody" % path
    stream = await trio.open_tcp_stream(address.host, address.port)
    received = b""
    async with stream:
        await stream.send_all(post)
        if pause is not None:
            await trio.sleep(pause)
        await stream.send_all(post)
        with trio.move_on_after(_HANG):
            while received.count(b'{"answer": "small"}') < 2:
                data = await stream.receive_some(65536)
                if not data:
                    break
                received += data
    return received.count(b'{"answer": "small"}')


async def _follow_up(address, path, with_body):
    """Send each request when the body of the last one is complete; count answers."""
    body = b"body" if with_body else b""
    request = b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b"
    request %= (path.encode(), len(body), body)
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        for number in range(_FOLLOW_UPS):
            received = b""
            with trio.move_on_after(_HANG) as scope:
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
    return _FOLLOW_UPS


async def measure_follow_ups(address, paths):
    """Return how many connections were left hanging or closed, by variant."""
    cut = {}
    for path in paths:
        for with_body in (False, True):
            answered = [await _follow_up(address, path, with_body) for _ in range(3)]
            label = f"{path}, {'with' if with_body else 'no'} body"
            cut[label] = sum(count < _FOLLOW_UPS for count in answered)
    return cut


async def measure_pipelining(address):
    """Return how many pairs of pipelined requests lack a response, by variant."""
    incomplete = {}
    for path in (b"/whole", b"/slow"):
        for pause in (None, 0.0, 0.0005, 0.001, 0.003):
            label = "no pause" if pause is None else f"pause {pause * 1000:g} ms"
            label = f"{path.decode()}, {label}"
            incomplete[label] = await _count_incomplete(address, path, pause)
    return incomplete


async def _count_incomplete(address, path, pause):
    bad, started = 0, trio.current_time()
    for _ in range(_PIPELINE_ROUNDS):
        bad += await _pipeline(address, path, pause) < 2
        if trio.current_time() - started > _LONGEST_VARIANT:
            break
    return bad
