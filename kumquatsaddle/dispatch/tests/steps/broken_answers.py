import select
import socket
import struct

import trio
import trio.testing
from behave import then, when

from kumquatsaddle.dispatch.connections import BackendConnection, ExchangeError
from kumquatsaddle.dispatch.protocol import BackendProtocol

PROTOCOL = BackendProtocol(
    request_id=b"x-id",
    deadline=b"x-ms",
    allows_close_delimited=True,
    skips_unmatched_answers=True,
)
MAX_BODY_BYTES = 65536
TIMEOUT_SECONDS = 10.0
# Value of SO_LINGER that makes a close reset the connection.
LINGER_RESET = struct.pack("ii", 1, 0)
# The last one fills the buffers of both ends of the connection.
BODY_BYTES = {
    "a short request": 0,
    "a request read whole": 1 << 17,
    "an upload in progress": 1 << 24,
}
OK = b"HTTP/1.1 200 OK\r\nX-Id: own\r\n"
WHOLE = OK + b"Content-Length: 2\r\n\r\nok"
WITHOUT_LENGTH = OK + b"\r\npart"
BROKEN_ANSWERS = {
    "the status 000": WHOLE.replace(b"200", b"000"),
    "the status 099": WHOLE.replace(b"200", b"099"),
    "a status of two digits": WHOLE.replace(b"200", b"20"),
    "a status of four digits": WHOLE.replace(b"200", b"2000"),
    "a blank in a field name": WHOLE.replace(b"X-Id", b"X Bad: a\r\nX-Id"),
    "a tab in a field name": WHOLE.replace(b"X-Id", b"X\tBad: a\r\nX-Id"),
    "a blank before the colon": WHOLE.replace(b"X-Id", b"X-Bad : a\r\nX-Id"),
    "a blank before the colon of its length": WHOLE.replace(b"Length:", b"Length :"),
    "a blank before the colon of its coding": OK
    + b"Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "a control byte in a field name": WHOLE.replace(b"X-Id", b"X\x01Bad: a\r\nX-Id"),
    "a null byte in a field name": WHOLE.replace(b"X-Id", b"X\x00Bad: a\r\nX-Id"),
    "a delete byte in a field name": WHOLE.replace(b"X-Id", b"X\x7fBad: a\r\nX-Id"),
    "an escape byte before a field name": WHOLE.replace(b"X-Id", b"\x1bX: a\r\nX-Id"),
    "no field name": WHOLE.replace(b"X-Id", b": a\r\nX-Id"),
    "a line without a colon": WHOLE.replace(b"X-Id", b"X-Bad\r\nX-Id"),
    "a broken line in an earlier head": b"HTTP/1.1 103 Early Hints\r\nX Bad: a\r\n\r\n"
    + WHOLE,
}
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
MARKED = WHOLE.replace(b"Content", b"X-Mark: a\r\nContent")
FOLDED_FIELD = MARKED.replace(b"Content", b" X-Fold: b\r\nContent")
FOLDED_HEADS = {
    "a field": FOLDED_FIELD,
    "its first field": MARKED.replace(b"X-Id", b" X-Id"),
    "its length": MARKED.replace(b"Content", b" Content"),
    "a tab and a field": MARKED.replace(b"Content", b"\tX-Fold: b\r\nContent"),
    "a line of blanks": MARKED.replace(b"Content", b"  \r\nContent"),
    "a field after bare LF": FOLDED_FIELD.replace(b"\r\n", b"\n"),
    "a field of a 103 answer": HINTS.replace(b"Link", b"A: b\r\n Link") + MARKED,
    "a field after a 103": HINTS + FOLDED_FIELD,
    "a field after another's": WHOLE.replace(b"own", b"other") + FOLDED_FIELD,
}


class OrderedStream:
    """A connection whose failed write or whose end of input is noticed first.

    Parameters
    ----------
    stream : trio.SocketStream

    Attributes
    ----------
    first : {"reader", "writer"} or None
        Which side notices first; None leaves it to the scheduler.
    """

    def __init__(self, stream):
        self.first = None
        self.socket = stream.socket
        self._stream = stream
        self._write_failed = trio.Event()
        self._input_ended = trio.Event()

    async def send_all(self, data):
        if self.first == "reader" and len(data) > BODY_BYTES["a request read whole"]:
            await self._input_ended.wait()
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            self._write_failed.set()
            raise

    async def receive_some(self, max_bytes=None):
        if self.first == "writer":
            await self._write_failed.wait()
        try:
            data = await self._stream.receive_some(max_bytes)
        except trio.BrokenResourceError:
            self._input_ended.set()
            raise
        if not data:
            self._input_ended.set()
        return data

    async def aclose(self):
        await self._stream.aclose()


async def open_pair():
    """Return the `OrderedStream` of a client and the stream of its server."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    # Accepted connections inherit it; the upload has to stay in progress.
    listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    async with listener:
        client = await trio.open_tcp_stream(*listener.socket.getsockname())
        server = await listener.accept()
    return OrderedStream(client), server


async def send(connection, size=0):
    headers = [(b"host", b"b"), (b"x-id", b"own"), (b"content-length", b"%d" % size)]
    return await connection.exchange(
        "POST", "/", headers, bytes(size), MAX_BODY_BYTES, lambda: None
    )


async def try_send(connection, size=0):
    """Return the answer, or None if the exchange failed."""
    try:
        return await send(connection, size)
    except ExchangeError as error:
        assert error.written, error
        assert not connection.is_reusable()
        return None


async def reset(stream):
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    await stream.aclose()


async def wait_for_reset(stream):
    """Wait until a reset has arrived, without taking its error from the socket."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), 0)
    while not poll.poll(0):
        await trio.sleep(0.001)


async def read_request(server, request):
    """Read a request, or the head of an upload in progress."""
    _, _, body = (await server.receive_some(65536)).partition(b"\r\n\r\n")
    while request == "a request read whole" and len(body) < BODY_BYTES[request]:
        body += await server.receive_some(65536)


async def answer_without_length(server, request, ending):
    await read_request(server, request)
    await server.send_all(WITHOUT_LENGTH)
    if ending != "a reset":
        await server.send_eof()
    if ending != "an end":
        await reset(server)


async def exchange_without_length(request, ending, side):
    stream, server = await open_pair()
    stream.first = side
    connection = BackendConnection(stream, PROTOCOL)
    async with server, trio.open_nursery() as nursery:
        nursery.start_soon(answer_without_length, server, request, ending)
        answer = await try_send(connection, BODY_BYTES[request])
        assert not connection.is_reusable()
        await connection.close()
    return answer


async def exchange_after_idle_reset(request):
    stream, server = await open_pair()
    connection = BackendConnection(stream, PROTOCOL)
    async with server, trio.open_nursery() as nursery:
        nursery.start_soon(server.send_all, WHOLE)
        await send(connection)
        assert connection.is_reusable()
        await server.receive_some(65536)
        await server.send_all(WITHOUT_LENGTH)
        await reset(server)
        await wait_for_reset(stream)
        stream.first = "writer"
        # Written although bytes have arrived, as if they had come a moment later.
        answer = await try_send(connection, BODY_BYTES[request])
        await connection.close()
    return answer


async def send_in_pieces(stream, data, size):
    """Send an answer and end the output in order."""
    try:
        for start in range(0, len(data), size):
            await stream.send_all(data[start : start + size])
            await trio.testing.wait_all_tasks_blocked()
        await stream.send_eof()
    except trio.BrokenResourceError:
        # The client gave up and reset the connection.
        pass


async def exchange_broken(data, size=MAX_BODY_BYTES):
    stream, server = await open_pair()
    connection = BackendConnection(stream, PROTOCOL)
    async with server, trio.open_nursery() as nursery:
        nursery.start_soon(send_in_pieces, server, data, size)
        answer = await try_send(connection)
        await connection.close()
    return answer


def run(function, *arguments):
    async def run_in_time():
        with trio.fail_after(TIMEOUT_SECONDS):
            return await function(*arguments)

    return trio.run(run_in_time)


@when("a server answers {request} without a length; {ending} is seen by the {side}")
def answer_request(context, request, ending, side):
    context.answer = run(exchange_without_length, request, ending, side)


@when("an idle connection gets an answer without a length and a reset before {request}")
def answer_idle(context, request):
    context.answer = run(exchange_after_idle_reset, request)


@when("a server sends an answer with {fault}")
def answer_broken(context, fault):
    context.answer = run(exchange_broken, BROKEN_ANSWERS[fault])


@when("a server sends a head with {line} that begins with white space {pieces}")
def answer_folded(context, line, pieces):
    size = 1 if pieces == "byte by byte" else MAX_BODY_BYTES
    context.answer = run(exchange_broken, FOLDED_HEADS[line], size)


@then("a body whose lines begin with white space is returned whole, in any pieces")
def check_body(context):
    body = b"\n a\r\n\tb\r\n\r\n c"
    head = OK + b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
    for size in (1, 2, 3, 7, len(head) - 1, len(head) + 2, MAX_BODY_BYTES):
        for hints in (b"", HINTS):
            answer = run(exchange_broken, hints + head + body, size)
            assert answer is not None and bytes(answer.body) == body, size


@then("the exchange returns no answer")
def check_no_answer(context):
    answer = context.answer
    assert answer is None, (answer.status, answer.headers, bytes(answer.body))


@then("the exchange returns the answer")
def check_whole_answer(context):
    assert context.answer is not None and bytes(context.answer.body) == b"part"


@then("none of 50 uploads whose connection is reset in an answer returns an answer")
def check_uploads(context):
    arguments = ("an upload in progress", "a reset", None)
    answers = [run(exchange_without_length, *arguments) for _ in range(50)]
    returned = sum(answer is not None for answer in answers)
    assert not returned, f"{returned} of 50"
