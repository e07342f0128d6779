import trio
import trio.testing
from behave import then

from kumquatsaddle.dispatch.connections import (
    BackendConnection,
    ExchangeError,
    open_connection,
)
from kumquatsaddle.dispatch.protocol import BackendProtocol
from kumquatsaddle.exceptions import KumquatsaddleError
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.types import RefusalReason

MAX_BODY_BYTES = 1000
OK = b"HTTP/1.1 200 OK\r\n"
# Method, answer, body and whether the connection can carry another request.
WHOLE_ANSWERS = {
    "length": ("GET", OK + b"Content-Length: 5\r\n\r\nhello", b"hello", True),
    "empty": ("GET", OK + b"Content-Length: 0\r\n\r\n", b"", True),
    "chunked": (
        "GET",
        OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        b"hello",
        True,
    ),
    "head": ("HEAD", OK + b"Content-Length: 5\r\n\r\n", b"", True),
    "204": ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", b"", True),
    "304": ("GET", b"HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n", b"", True),
    "informational": (
        "POST",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        + OK
        + b"Content-Length: 2\r\n\r\nok",
        b"ok",
        True,
    ),
    "close": (
        "GET",
        OK + b"Connection: close\r\nContent-Length: 2\r\n\r\nok",
        b"ok",
        False,
    ),
}
ANSWERS_WITHOUT_KNOWN_END = {
    "none": OK + b"\r\nhello",
    "none and empty": OK + b"\r\n",
    "old": b"HTTP/1.0 200 OK\r\n\r\nhello",
    "two framings": OK
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": OK + b"Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
}


def then_async(text):
    """Register an async function as a step with an automatically advancing clock."""

    def decorate(check):
        clock = trio.testing.MockClock(autojump_threshold=0)
        then(text)(lambda context: trio.run(check, clock=clock))

    return decorate


class ScriptedStream:
    """Delivers one list of chunks after each request; then ends or blocks."""

    def __init__(self, *scripts, ends=False):
        self.scripts = list(scripts)
        self.ends = ends
        self.unread = []
        self.sent = b""
        self.socket = self

    def is_readable(self):
        return bool(self.unread) or (self.ends and not self.scripts)

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        self.sent += data
        self.unread += self.scripts.pop(0)

    async def receive_some(self, _):
        await trio.lowlevel.checkpoint()
        if self.unread:
            return self.unread.pop(0)
        if not self.ends:
            await trio.sleep_forever()
        return b""

    async def aclose(self):
        await trio.lowlevel.checkpoint()


def split_into_bytes(data):
    return [data[index : index + 1] for index in range(len(data))]


async def send(connection, method="GET", headers=()):
    return await connection.exchange(
        method, "/", [("Host", "b"), *headers], b"", MAX_BODY_BYTES, lambda: None
    )


async def expect_error(stream, method="GET"):
    connection = BackendConnection(stream)
    try:
        answer = await send(connection, method)
    except ExchangeError as error:
        assert not connection.is_reusable()
        return error
    raise AssertionError(
        f"the exchange returned an answer: {answer.status} {answer.body}"
    )


@then_async("every proper prefix of every form of answer is an error")
async def check_prefixes():
    for method, data, _, _ in WHOLE_ANSWERS.values():
        for end in range(len(data)):
            for split in (split_into_bytes(data[:end]), [data[:end]] if end else []):
                stream = ScriptedStream(split, ends=True)
                error = await expect_error(stream, method)
                assert error.written and error.answered == bool(end)
                lost = error.reason is RefusalReason.ANSWER_LOST
                assert lost or end


@then_async("every form of answer with a known end is returned whole")
async def check_whole():
    for method, data, body, is_reusable in WHOLE_ANSWERS.values():
        for split in (split_into_bytes(data), [data]):
            connection = BackendConnection(ScriptedStream(split, split))
            answer = await send(connection, method)
            assert answer.body == body
            assert connection.is_reusable() == is_reusable
            if is_reusable:
                assert (await send(connection, method)).body == body


@then_async("answers without length or with two framings are errors")
async def check_endless():
    for data in ANSWERS_WITHOUT_KNOWN_END.values():
        error = await expect_error(ScriptedStream([data], ends=True))
        assert error.reason is RefusalReason.ANSWER_TRUNCATED


@then_async(
    "an answer with bytes after its end is whole and its connection is not reused"
)
async def check_surplus():
    for method, data, body, _ in WHOLE_ANSWERS.values():
        for surplus in (b"\r\n", b"x", data):
            for split in ([data + surplus], [data, surplus]):
                connection = BackendConnection(ScriptedStream(split))
                assert (await send(connection, method)).body == body
                assert not connection.is_reusable()


@then_async("a connection with unread bytes or an end is not reused")
async def check_unread():
    _, data, body, _ = WHOLE_ANSWERS["length"]
    stream = ScriptedStream([data], [])
    connection = BackendConnection(stream)
    stream.unread.append(data)
    assert not connection.is_reusable()
    ended = BackendConnection(ScriptedStream([data], ends=True))
    assert (await send(ended)).body == body
    assert not ended.is_reusable()


@then_async("a connection whose exchange was cancelled at any byte is not reused")
async def check_cancelled():
    for method, data, _, _ in WHOLE_ANSWERS.values():
        for end in range(len(data)):
            stream = ScriptedStream(split_into_bytes(data[:end]))
            connection = BackendConnection(stream)
            with trio.move_on_after(1) as scope:
                await send(connection, method)
            assert scope.cancelled_caught
            assert not connection.is_reusable()


@then_async("an answer with a wrong or missing number is an error")
async def check_numbers():
    def make(number):
        echo = b"Kumquatsaddle-Request: %d\r\n" % number if number else b""
        return [OK + echo + b"Content-Length: 2\r\n\r\nok"]

    for answers, is_right in [
        ((0, 0), True),
        ((1, 2), True),
        ((0, 2), True),
        ((1, 1), False),
        ((1, 0), False),
        ((0, 1), False),
    ]:
        connection = BackendConnection(ScriptedStream(*map(make, answers)))
        await send(connection, headers=[(b"kumquatsaddle-request", b"1")])
        try:
            await send(connection, headers=[(b"kumquatsaddle-request", b"2")])
        except ExchangeError as error:
            assert error.reason is RefusalReason.ANSWER_MISMATCH
            assert not is_right and not connection.is_reusable()
        else:
            assert is_right, answers


@then_async("an error just before the first byte leaves the stream untouched")
async def check_untouched():
    def refuse():
        raise KumquatsaddleError("too late")

    stream = ScriptedStream([])
    connection = BackendConnection(stream)
    try:
        await connection.exchange(
            "GET", "/", [("Host", "b")], b"", MAX_BODY_BYTES, refuse
        )
    except KumquatsaddleError:
        pass
    assert stream.sent == b"" and not connection.is_reusable()


@then_async("a long answer and endless informational answers are errors")
async def check_long():
    long = OK + b"Content-Length: 1001\r\n\r\n" + b"x" * 1001
    error = await expect_error(ScriptedStream([long]))
    assert error.reason is RefusalReason.ANSWER_TOO_LARGE
    hints = [b"HTTP/1.1 103 Early Hints\r\n\r\n"] * 100
    error = await expect_error(ScriptedStream(hints))
    assert error.reason is RefusalReason.ANSWER_LOST


LENIENT_PROTOCOL = BackendProtocol(
    request_id=b"x-id",
    deadline=b"x-ms",
    allows_close_delimited=True,
    skips_unmatched_answers=True,
)
OTHER_ANSWER = OK + b"X-Id: other\r\nContent-Length: 5\r\n\r\nstray"
MATCHING_ANSWER = OK + b"X-Id: own\r\nContent-Length: 3\r\n\r\nown"
UNFRAMED_ANSWER = OK + b"X-Id: own\r\n\r\nhello"


class BrokenStream(ScriptedStream):
    """Resets the connection after its script."""

    async def receive_some(self, _):
        await trio.lowlevel.checkpoint()
        if self.unread:
            return self.unread.pop(0)
        raise trio.BrokenResourceError


class UnreadStream(ScriptedStream):
    """Answers before it has read the request, and never reads the rest of it."""

    async def send_all(self, data):
        self.sent += data[:1000]
        self.unread += self.scripts.pop(0)
        await trio.sleep_forever()

    async def receive_some(self, _):
        while not self.unread:
            await trio.sleep(0.01)
        return self.unread.pop(0)


async def send_with_id(stream, body=b""):
    connection = BackendConnection(stream, LENIENT_PROTOCOL)
    length = str(len(body)).encode()
    headers = [(b"host", b"b"), (b"x-id", b"own"), (b"content-length", length)]
    answer = await connection.exchange(
        "POST", "/", headers, body, MAX_BODY_BYTES, lambda: None
    )
    return connection, answer


@then_async("an answer to another request is skipped if allowed, at any split of bytes")
async def check_other_answer():
    for split in (
        split_into_bytes(OTHER_ANSWER + MATCHING_ANSWER),
        [OTHER_ANSWER + MATCHING_ANSWER],
        [OTHER_ANSWER, MATCHING_ANSWER],
    ):
        connection, answer = await send_with_id(ScriptedStream(split))
        assert answer.body == b"own"
        assert connection.is_reusable()
    error = None
    try:
        await send_with_id(ScriptedStream([OTHER_ANSWER], ends=True))
    except ExchangeError as caught:
        error = caught
    assert error is not None and error.written


@then_async(
    "an unframed answer is whole after an orderly end where the protocol allows it"
)
async def check_unframed():
    connection, answer = await send_with_id(
        ScriptedStream([UNFRAMED_ANSWER], ends=True)
    )
    assert answer.body == b"hello"
    assert not connection.is_reusable()


async def check_cut(data, lengths):
    for length in lengths:
        for split in (split_into_bytes(data[:length]), [data[:length]]):
            try:
                _, answer = await send_with_id(ScriptedStream(split, ends=True))
            except ExchangeError as error:
                assert error.written and error.answered
            else:
                raise AssertionError(f"{length} bytes gave {answer.body}")


@then_async("an orderly end inside the head is an error although it may end a body")
async def check_cut_head():
    for data in (UNFRAMED_ANSWER, MATCHING_ANSWER):
        await check_cut(data, range(1, data.index(b"\r\n\r\n") + len(b"\r\n\r\n")))


@then_async("so is an end inside a body that has a length")
async def check_cut_body():
    head_end = MATCHING_ANSWER.index(b"\r\n\r\n") + len(b"\r\n\r\n")
    await check_cut(MATCHING_ANSWER, range(head_end, len(MATCHING_ANSWER)))


@then_async("an unframed answer whose connection is reset is an error")
async def check_reset():
    try:
        await send_with_id(BrokenStream([UNFRAMED_ANSWER]))
    except ExchangeError as error:
        assert error.written and error.answered
        return
    raise AssertionError("a reset connection was taken for the end of an answer")


@then_async("an early answer is returned and its connection is not reused")
async def check_early():
    connection, answer = await send_with_id(
        UnreadStream([MATCHING_ANSWER]), b"x" * 20000
    )
    assert answer.body == b"own"
    assert not connection.is_reusable()


@then_async("the time-out of the Keep-Alive header is kept with the connection")
async def check_keep_alive():
    kept = MATCHING_ANSWER.replace(b"X-Id", b"Keep-Alive: timeout=7\r\nX-Id")
    connection, answer = await send_with_id(ScriptedStream([kept]))
    assert connection.keep_alive == 7.0
    assert answer.get_header(b"keep-alive") is None


async def observe_close(act):
    """Return whether the server sees a reset or an orderly end after `act`."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = Address(*listeners[0].socket.getsockname())
    connection = await open_connection(address, 1.0)
    server = await listeners[0].accept()
    async with server, listeners[0]:
        await act(connection, server)
        await connection.close()
        try:
            while await server.receive_some(65536):
                pass
        except trio.BrokenResourceError:
            return "reset"
        return "end"


@then("a connection closed during an exchange is reset, others are closed normally")
def check_end(context):
    async def abandon(connection, server):
        with trio.move_on_after(0.05):
            await send(connection)

    async def finish(connection, server):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, connection)
            await server.receive_some(65536)
            await server.send_all(OK + b"Content-Length: 0\r\n\r\n")

    assert trio.run(observe_close, abandon) == "reset"
    assert trio.run(observe_close, finish) == "end"
