"""Runs a server, relay or client process for the request path benchmark.

Usage:
  benchmarks.library_roles serve (hypercorn | callers) --listen=ADDRESS
  benchmarks.library_roles relay --listen=ADDRESS --target=ADDRESS
  benchmarks.library_roles call (httpcore | backend) --target=ADDRESS
                           [--seconds=S] [--rate=N]

Options:
  --seconds=S  Time of a client [default: 5].
  --rate=N     Requests/s of a client [default: 250].

The relay forwards bytes without parsing them, so that the latency that it adds is that
of one more process on the path on this machine. All servers send the same short
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

RESPONSE_BODY = b'{"answer": "small"}'
_MAX_BODY_BYTES = 1 << 20
_MAX_RUN_SECONDS = 120.0
# Delay before the answer, by path.
_RESPONSE_DELAYS_SECONDS = {"/slow": 0.003}
# Time between the last byte of the body and the end of the response, by path.
_SPLIT_PAUSES_SECONDS = {"/split": 0.0, "/split-1ms": 0.001, "/split-20ms": 0.02}


async def send_open_loop(send, rate, seconds, seed=1):
    """Call `send` at the times of a Poisson process.

    Parameters
    ----------
    send : callable
        Async; returns a time in seconds that its latency does not include.
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
        excluded = await send()
        latencies.append(time.perf_counter() - started - excluded)

    with trio.fail_after(_MAX_RUN_SECONDS):
        async with trio.open_nursery() as nursery:
            next_call = trio.current_time()
            end = next_call + seconds
            while (next_call := next_call + rng.expovariate(rate)) < end:
                await trio.sleep_until(next_call)
                nursery.start_soon(send_one)
    return latencies


async def _answer_asgi(scope, receive, send):
    """Answer a request, as an ASGI application."""
    if scope["type"] == "lifespan":
        for event in ("startup", "shutdown"):
            await receive()
            await send({"type": f"lifespan.{event}.complete"})
        return
    while (await receive()).get("more_body"):
        pass
    await trio.sleep(_RESPONSE_DELAYS_SECONDS.get(scope["path"], 0.0))
    headers = [(b"content-type", b"application/json")]
    headers.append((b"content-length", str(len(RESPONSE_BODY)).encode()))
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    if not scope["path"].startswith("/split"):
        await send({"type": "http.response.body", "body": RESPONSE_BODY})
        return
    # The body is complete by its length before the application has ended it.
    await send({"type": "http.response.body", "body": RESPONSE_BODY, "more_body": True})
    await trio.sleep(_SPLIT_PAUSES_SECONDS[scope["path"]])
    await send({"type": "http.response.body", "body": b"", "more_body": False})


class _TrivialProxy:
    def allows_overlap(self, request):
        return True

    async def answer(self, request):
        await trio.sleep(_RESPONSE_DELAYS_SECONDS.get(request.target, 0.0))
        headers = ((b"Content-Type", b"application/json"),)
        return Answer(Outcome.DONE, 200, headers, RESPONSE_BODY)


async def _serve_hypercorn(address):
    from hypercorn.config import Config
    from hypercorn.trio import serve

    config = Config()
    config.bind = [str(address)]
    config.accesslog = None
    await serve(_answer_asgi, config)


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
    async def copy_bytes(source, destination, nursery):
        try:
            async for data in source:
                await destination.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    async def relay_connection(stream):
        async with await trio.open_tcp_stream(
            target.host, target.port
        ) as target_stream:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(copy_bytes, stream, target_stream, nursery)
                nursery.start_soon(copy_bytes, target_stream, stream, nursery)

    await trio.serve_tcp(relay_connection, address.port, host=address.host)


async def _call_httpcore(address, rate, seconds):
    async with httpcore.AsyncConnectionPool(max_connections=64) as pool:
        url = f"http://{address}/trivial"

        async def send():
            response = await pool.request("GET", url)
            assert response.content == RESPONSE_BODY
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
            _MAX_BODY_BYTES,
            lambda: None,
        )
        assert raw.body == RESPONSE_BODY
        idle.append(connection)
        return 0.0

    await send()
    return await send_open_loop(send, rate, seconds)


def main(arguments=None):
    """Run the process that the arguments name; return its exit code."""
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
    processor_seconds = time.process_time() - started
    print(json.dumps({"latencies": latencies, "processor": processor_seconds}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
