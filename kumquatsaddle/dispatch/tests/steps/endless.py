import math

import trio
import trio.testing
from behave import then, when

from kumquatsaddle.dispatch.answers import AnswerMemory
from kumquatsaddle.dispatch.connections import BackendConnection, ExchangeError
from kumquatsaddle.dispatch.protocol import BackendProtocol
from kumquatsaddle.types import RefusalReason

PROTOCOL = BackendProtocol(
    request_id=b"x-id",
    deadline=b"x-ms",
    allows_close_delimited=True,
    skips_unmatched_answers=True,
)
HEADERS = [(b"host", b"b"), (b"x-id", b"own")]
MAX_BODY_BYTES = 65536
OK = b"HTTP/1.1 200 OK\r\nX-Id: own\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE = OK + b"Content-Length: 2\r\n\r\nok"
# What is sent once and what is repeated without end.
ENDLESS = {
    "a line that never ends": (b"", b"z" * 1000),
    "lines that are no status line": (b"", b"Bad line\r\n" * 100),
    "header lines": (OK, b"X-More: a\r\n" * 100),
    "a header line": (OK + b"X-Long: ", b"z" * 1000),
    "informational answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 10),
    "answers to other requests": (b"", WHOLE.replace(b"own", b"other") * 10),
    "a body until the close": (OK + b"\r\n", b"z" * 1000),
    "chunks of one byte": (CHUNKED, b"1\r\nz\r\n" * 100),
    "an extension of a chunk": (CHUNKED + b"1;", b"z" * 1000),
    "digits of a chunk size": (CHUNKED, b"0" * 1000),
    "trailers": (CHUNKED + b"1\r\nz\r\n0\r\n", b"X-More: a\r\n" * 100),
    "bytes behind an answer": (WHOLE, b"z" * 1000),
}


class CountingStream(trio.abc.HalfCloseableStream):
    """Counts the bytes that are received from another stream."""

    def __init__(self, stream):
        self.stream = stream
        self.socket = stream.socket
        self.received_bytes = 0

    async def send_all(self, data):
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self.stream.wait_send_all_might_not_block()

    async def send_eof(self):
        await self.stream.send_eof()

    async def receive_some(self, max_bytes=None):
        data = await self.stream.receive_some(max_bytes)
        self.received_bytes += len(data)
        return data

    async def aclose(self):
        await self.stream.aclose()


async def send_endlessly(stream, name, ended):
    """Read a request, then send until the connection is reset."""
    start, repeated = ENDLESS[name]
    await stream.receive_some(65536)
    try:
        await stream.send_all(start)
        while True:
            await stream.send_all(repeated)
    except trio.BrokenResourceError:
        ended.set()


async def exchange_with_endless_server(context, name):
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    client = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
    server = await listeners[0].accept()
    context.stream = CountingStream(client)
    connection = BackendConnection(context.stream, PROTOCOL)
    context.error = context.answer = None
    ended = trio.Event()
    async with server, listeners[0], trio.open_nursery() as nursery:
        nursery.start_soon(send_endlessly, server, name, ended)
        try:
            context.answer = await send(connection)
            await trio.testing.wait_all_tasks_blocked(0.01)
        except ExchangeError as error:
            context.error = error
        context.is_reusable = connection.is_reusable()
        await connection.close()
        await ended.wait()


async def send(connection, memory=None):
    return await connection.exchange(
        "GET", "/", HEADERS, b"", MAX_BODY_BYTES, lambda: None, memory
    )


@when('a server sends "{name}" without end')
def run_exchange(context, name):
    trio.run(exchange_with_endless_server, context, name)


@then("the exchange fails after at most {kilobytes:d} KB and the connection is reset")
def check_failure(context, kilobytes):
    assert context.error is not None, context.answer
    assert context.error.written and context.error.answered
    assert not context.is_reusable
    # One further read of 64 KB may be under way when the limit is reached.
    limit = kilobytes * 1024 + 65536
    assert context.stream.received_bytes <= limit, context.stream.received_bytes


@then("the answer is returned whole and its connection is not reused")
def check_answer(context):
    assert context.error is None
    assert context.answer.body == b"ok"
    assert not context.is_reusable


class ChunkStream:
    """Delivers scripted data at intervals, in seconds."""

    def __init__(self, parts, interval=0.0):
        self.parts = iter(parts)
        self.interval = interval

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes):
        await trio.sleep(self.interval)
        return next(self.parts)


@then("other tasks run while a body of 5000 chunks of one byte arrives")
def check_other_tasks(context):
    checkpoints = 0
    body = b"1\r\nz\r\n" * 5000 + b"0\r\n\r\n"
    connection = BackendConnection(ChunkStream([CHUNKED + body]), PROTOCOL)

    async def count_checkpoints():
        nonlocal checkpoints
        while True:
            checkpoints += 1
            await trio.lowlevel.checkpoint()

    async def check():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_checkpoints)
            answer = await send(connection)
            nursery.cancel_scope.cancel()
        assert len(answer.body) == 5000

    trio.run(check)
    assert checkpoints > 5000 / 64, checkpoints


@then('a server that sends "z" once a second is given up at the first byte')
def check_slow_bytes(context):
    async def check():
        stream = ChunkStream([b"z"] * 1000, interval=1.0)
        try:
            await send(BackendConnection(stream, PROTOCOL))
        except ExchangeError as error:
            assert error.reason is RefusalReason.ANSWER_TRUNCATED
            return trio.current_time()
        return math.inf

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(check, clock=clock) == 1.0


@then("50 bodies without end never use more memory than their common limit")
def check_memory(context):
    context.memory = memory = AnswerMemory(10 * MAX_BODY_BYTES)
    reasons, most = [], 0

    async def receive():
        nonlocal most
        parts = [OK + b"\r\n"] + [b"z" * 1000] * 1000
        try:
            await send(BackendConnection(ChunkStream(parts), PROTOCOL), memory)
        except ExchangeError as error:
            reasons.append(error.reason)
        most = max(most, memory.used_bytes)

    async def check():
        async with trio.open_nursery() as nursery:
            for _ in range(50):
                nursery.start_soon(receive)

    trio.run(check)
    assert reasons == [RefusalReason.ANSWER_TOO_LARGE] * 50
    assert 0 < most <= 10 * MAX_BODY_BYTES, most


@then("the memory is free again afterwards")
def check_free_memory(context):
    assert context.memory.used_bytes == 0
