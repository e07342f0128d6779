"""Child processes of the request path benchmark.

Usage:
  benchmarks.library_roles serve (hypercorn | callers) --listen=ADDRESS
  benchmarks.library_roles relay --listen=ADDRESS --target=ADDRESS
  benchmarks.library_roles call (httpcore | backend) --target=ADDRESS
                           [--seconds=S] [--rate=N]

Options:
  --seconds=S  Time of a client [default: 5].
  --rate=N     Requests/s of a client [default: 250].

The relay passes bytes on without a look at them: what it adds to a latency is what one
more process on the way costs on this machine. The servers answer the same trivial
response; the clients print latencies and their own processor time as JSON.
"""

import json
import random
import sys
import time
from types import SimpleNamespace

import httpcore
import trio
from docopt import docopt

from kumquatsaddle.dispatch.connections import ExchangeError, open_connection
from kumquatsaddle.exchange import Answer
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.types import Outcome

__all__ = ["main", "send_open_loop"]

BODY = b'{"answer": "small"}'
_MAX_BODY = 1 << 20
_LONGEST_RUN = 120.0
# Time in seconds before an answer, by path.
_WORK = {"/slow": 0.003}
# Time in seconds between the last byte of a body and its end, by path.
_SPLIT_PAUSES = {"/split": 0.0, "/split-1ms": 0.001, "/split-20ms": 0.02}


async def send_open_loop(send, rate, seconds, seed=1):
    """Call `send` at the times of a Poisson process.

    Parameters
    ----------
    send : callable
        Async; returns a time in seconds to leave out of its latency.
    rate : float
        In calls/s.
    seconds : float
    seed : int

    Returns
    -------
    list of float
        Latencies in seconds.
    """
    latencies, rng = [], random.Random(seed)

    async def send_one():
        started = time.perf_counter()
        left_out = await send()
        latencies.append(time.perf_counter() - started - left_out)

    with trio.fail_after(_LONGEST_RUN):
        async with trio.open_nursery() as nursery:
            due = trio.current_time()
            end = due + seconds
            while (due := due + rng.expovariate(rate)) < end:
                await trio.sleep_until(due)
                nursery.start_soon(send_one)
    return latencies


async def _app(scope, receive, send):
    """Answer a request, as an ASGI application."""
    if scope["type"] == "lifespan":
        for event in ("startup", "shutdown"):
            await receive()
            await send({"type": f"lifespan.{event}.complete"})
        return
    while (await receive()).get("more_body"):
        pass
    await trio.sleep(_WORK.get(scope["path"], 0.0))
    headers = [(b"content-type", b"application/json")]
    headers.append((b"content-length", str(len(BODY)).encode()))
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    if not scope["path"].startswith("/split"):
        await send({"type": "http.response.body", "body": BODY})
        return
    # The body is complete by its length before the application has ended it.
    await send({"type": "http.response.body", "body": BODY, "more_body": True})
    await trio.sleep(_SPLIT_PAUSES[scope["path"]])
    await send({"type": "http.response.body", "body": b"", "more_body": False})


class _TrivialProxy:
    async def answer(self, request):
        await trio.sleep(_WORK.get(request.target, 0.0))
        headers = ((b"Content-Type", b"application/json"),)
        return Answer(Outcome.DONE, 200, headers, BODY)


async def _serve_hypercorn(address):
    from hypercorn.config import Config
    from hypercorn.trio import serve

    config = Config()
    config.bind = [str(address)]
    config.accesslog = None
    await serve(_app, config)


async def _serve_callers(address):
    from kumquatsaddle.entry.callers import make_caller_server
    from kumquatsaddle.metrics import make_metrics
    from kumquatsaddle.settings.fields import known_fields
    from kumquatsaddle.settings.files import Settings

    values = {
        (field.section, field.key): None if field.required else field.default
        for field in known_fields()
    }
    node = SimpleNamespace(settings=Settings(values, {}, ""), metrics=make_metrics())
    await make_caller_server(node, _TrivialProxy()).run(address)


async def _relay(address, target):
    async def pump(source, sink, nursery):
        try:
            async for data in source:
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    async def serve(stream):
        async with await trio.open_tcp_stream(target.host, target.port) as onward:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pump, stream, onward, nursery)
                nursery.start_soon(pump, onward, stream, nursery)

    await trio.serve_tcp(serve, address.port, host=address.host)


async def _call_httpcore(address, rate, seconds):
    async with httpcore.AsyncConnectionPool(max_connections=64) as pool:
        url = f"http://{address}/trivial"

        async def send():
            response = await pool.request("GET", url)
            assert response.content == BODY
            return 0.0

        await send()
        return await send_open_loop(send, rate, seconds)


async def _call_backend(address, rate, seconds):
    idle = []

    async def send():
        connection = idle.pop() if idle else await open_connection(address, 1.0)
        raw = await connection.exchange(
            "GET",
            "/trivial",
            [(b"host", str(address).encode())],
            b"",
            _MAX_BODY,
            lambda: None,
        )
        assert raw.body == BODY
        idle.append(connection)
        return 0.0

    await send()
    return await send_open_loop(send, rate, seconds)


def main(arguments=None):
    """Run one child process."""
    options = docopt(__doc__, argv=arguments)
    if options["relay"]:
        target = parse_address(options["--target"])
        trio.run(_relay, parse_address(options["--listen"]), target)
    if options["serve"]:
        serve = _serve_hypercorn if options["hypercorn"] else _serve_callers
        try:
            trio.run(serve, parse_address(options["--listen"]))
        except KeyboardInterrupt:
            pass
        return 0
    call = _call_httpcore if options["httpcore"] else _call_backend
    rate, seconds = float(options["--rate"]), float(options["--seconds"])
    started = time.process_time()
    try:
        latencies = trio.run(call, parse_address(options["--target"]), rate, seconds)
    except ExchangeError as error:
        print(error, file=sys.stderr)
        return 1
    used = time.process_time() - started
    print(json.dumps({"latencies": latencies, "processor": used}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
