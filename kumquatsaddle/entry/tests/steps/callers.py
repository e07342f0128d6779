import re

import trio
from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st
from trio.testing import MockClock, lockstep_stream_pair, memory_stream_pair

from kumquatsaddle.entry.answers import encode_answer
from kumquatsaddle.exchange import Answer
from kumquatsaddle.testing.caller_servers import (
    EchoProxy,
    make_test_server,
    read_responses,
)
from kumquatsaddle.types import Outcome, RefusalReason

GET = b"GET /lookup/1?x=2 HTTP/1.1\r\nHost: x\r\nKumquatsaddle-Account: a\r\n\r\n"
POST = b"POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /order HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
    b"Kumquatsaddle-Operation: 1.2.3.4\r\n\r\n3;a=b\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)
TOKENS = [b"\r\n", b"\n", b"\r", b" ", b":", b"\0", b"0", b"-1", b"chunked", b"//"]
TOKENS += [b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n", b"\xff", b"%2e"]


def run(function, *arguments):
    """Run an async function on a mock clock that skips idle time."""
    return trio.run(function, *arguments, clock=MockClock(autojump_threshold=0))


async def converse(server, data, pause=0.0, end=True, pair=memory_stream_pair):
    """Send parts of bytes, `pause` seconds apart; return all bytes received."""
    ours, theirs = pair()
    received = bytearray()

    async def receive():
        async for part in ours:
            received.extend(part)
        await ours.aclose()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve_connection, theirs)
        nursery.start_soon(receive)
        for part in [data] if isinstance(data, bytes) else data:
            try:
                await ours.send_all(part)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                break
            await trio.sleep(pause)
        if end:
            await trio.sleep(1)
            await ours.send_eof()
    return bytes(received)


def count_refusals(server, reason):
    return server.node.metrics.refusals[reason]


@st.composite
def mutated_requests(draw):
    data = b"".join(draw(st.lists(st.sampled_from([GET, POST, CHUNKED]), max_size=3)))
    for _ in range(draw(st.integers(0, 5))):
        start = draw(st.integers(0, len(data)))
        stop = start + draw(st.integers(0, 6))
        token = draw(st.one_of(st.sampled_from(TOKENS), st.binary(max_size=4)))
        data = data[:start] + token + data[stop:]
    size = draw(st.integers(1, 200))
    return [data[at : at + size] for at in range(0, len(data), size)]


@then("every mutation of real requests gets valid responses and ends in time")
def check_mutations(context):
    @for_all(mutated_requests())
    def check(parts):
        server = make_test_server()
        data = run(converse, server, parts)
        assert server.node.metrics.counts["caller_connections_failed", ()] == 0
        known = {100, 200, 400, 408, 413, 431, 503}
        assert {status for status, _, _ in read_responses(data)} <= known
        assert server.pending_bytes == 0

    check()


@then('the ambiguous request "{shape}" is refused as bad_request and ends')
def check_ambiguous(context, shape):
    text = shape.replace("~", "\r\n").encode("latin-1")
    data = text.decode("unicode_escape").encode("latin-1")
    server = make_test_server()
    # The connection must end although the caller keeps its side open.
    responses = read_responses(run(converse, server, data + GET, 0, False))
    assert [status for status, _, _ in responses] == [400], responses
    assert responses[0][1][b"kumquatsaddle-reason"] == b"bad_request"
    assert responses[0][1][b"kumquatsaddle-outcome"] == b"not-run"
    assert not server.proxy.requests
    assert count_refusals(server, RefusalReason.BAD_REQUEST) == 1


@then("too large a head is refused with 431")
def check_large_head(context):
    server = make_test_server()
    parts = [b"GET / HTTP/1.1\r\n"] + [b"A: " + b"b" * 1000 + b"\r\n"] * 1000
    (response,) = read_responses(run(converse, server, parts, 0, False))
    assert response[0] == 431


@then("too large a body is refused with 413, announced or chunked")
def check_large_body(context):
    announced = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n"
    chunked = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    for head in (announced, chunked):
        server = make_test_server(limits__body_bytes=5000)
        parts = [head] + [b"400\r\n" + b"b" * 1024 + b"\r\n"] * 1000
        (response,) = read_responses(run(converse, server, parts, 0, False))
        assert response[0] == 413
        assert server.pending_bytes == 0


@then("bodies beyond the memory limit for all bodies are refused with 503")
def check_total_body_limit(context):
    server = make_test_server(limits__pending_bytes=70000)
    post = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n"
    bodies = []

    async def send():
        bodies.append(await converse(server, [post + b"b" * 49999, b"b"], 2.0))

    async def send_two():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            nursery.start_soon(send)

    run(send_two)
    statuses = sorted(read_responses(body)[0][0] for body in bodies)
    assert statuses == [200, 503], statuses
    assert server.pending_bytes == 0


@then("other tasks run while a body of 5000 chunks of one byte is parsed")
def check_small_chunks(context):
    server = make_test_server()
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    checkpoints = 0

    async def count_checkpoints():
        nonlocal checkpoints
        while not server.proxy.requests:
            checkpoints += 1
            await trio.lowlevel.checkpoint()

    async def send():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_checkpoints)
            return await converse(server, head + b"1\r\nb\r\n" * 5000 + b"0\r\n\r\n")

    (response,) = read_responses(run(send))
    assert response[0] == 200 and len(response[2]) == len("/|") + 5000
    assert checkpoints > 5000 / 64


@then("a head of one byte a second is refused with 408 after the head timeout")
def check_slow_head(context):
    server = make_test_server(limits__head_timeout=10.0)
    parts = [bytes([byte]) for byte in GET]
    (response,) = read_responses(run(converse, server, parts, 1.0, False))
    assert response[0] == 408


@then("a body below the minimum rate is refused with 408")
def check_slow_body(context):
    check_body_rate(200.0, 408)


@then("a body above the minimum rate is served although it takes long")
def check_fast_body(context):
    check_body_rate(50.0, 200)


def check_body_rate(rate, status):
    server = make_test_server(limits__minimum_rate=rate, limits__body_timeout=10.0)
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10000\r\n\r\n"
    parts = [head] + [b"b" * 100] * 100
    (response,) = read_responses(run(converse, server, parts, 1.0, False))[:1]
    assert response[0] == status, response


@then("requests in any split of their bytes are answered in order")
def check_pipelining(context):
    @for_all(st.integers(1, 12), st.randoms(use_true_random=False))
    def check(count, rng):
        requests, expected = [], []
        for number in range(count):
            form = rng.choice([GET, POST, CHUNKED])
            requests.append(form.replace(b"/", b"/%d/" % number, 1))
            path = requests[-1].split(b" ")[1]
            expected.append(path + (b"|" if form is GET else b"|hello"))
        data = b"".join(requests)
        cuts = sorted(rng.sample(range(len(data)), min(8, len(data) - 1)))
        ends = [*cuts[1:], len(data)]
        parts = [data[: cuts[0]]] + [data[a:b] for a, b in zip(cuts, ends, strict=True)]
        server = make_test_server(EchoProxy(delay=0.001))
        responses = read_responses(run(converse, server, parts, 0.0005))
        assert [body for _, _, body in responses] == expected

    check()


@then("a caller that expects 100-continue gets it before it sends the body")
def check_continue(context):
    head = POST[:-5].replace(b"Host: x", b"Host: x\r\nExpect: 100-continue")
    responses = read_responses(run(converse, make_test_server(), [head, b"hello"], 2.0))
    assert [status for status, _, _ in responses] == [100, 200]


@then("a body above the limit is refused instead of 100 Continue")
def check_no_continue(context):
    head = POST[:-5].replace(b"Host: x", b"Host: x\r\nExpect: 100-continue")
    server = make_test_server(limits__body_bytes=4)
    responses = read_responses(run(converse, server, [head], 2.0, False))
    assert [status for status, _, _ in responses] == [413]


@then("a caller with HTTP/1.0 is answered and the connection ends")
def check_http_1_0(context):
    data = b"GET /old HTTP/1.0\r\n\r\n" + GET
    responses = read_responses(run(converse, make_test_server(), data, 0, False))
    assert [body for _, _, body in responses] == [b"/old|"]


@then("an answer to HEAD and one with status 204 have no body")
def check_bodiless(context):
    server = make_test_server()
    data = run(converse, server, GET.replace(b"GET", b"HEAD", 1) + POST)
    responses = read_responses(data, ["HEAD", "POST"])
    assert [body for _, _, body in responses] == [b"", b"/order|hello"]
    data = encode_answer(Answer(Outcome.DONE, 204, (), b"body"))
    assert data.endswith(b"\r\n\r\n") and b"Content-Length" not in data


@then("a caller that never reads is dropped after the write timeout")
def check_write_timeout(context):
    server = make_test_server(EchoProxy(body=b"b" * 200000))

    async def send():
        ours, theirs = lockstep_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve_connection, theirs)
            await ours.send_all(GET)

    run(send)
    assert server.node.metrics.counts["caller_timeouts", ()] == 1


@then("a request is cancelled when its caller goes away")
def check_disconnect(context):
    server = make_test_server(EchoProxy(delay=1000.0))
    assert run(converse, server, GET) == b""
    assert server.proxy.cancelled == 1
    assert count_refusals(server, RefusalReason.CALLER_GONE) == 1


@then("bytes of the next request that arrive meanwhile are kept")
def check_next_request(context):
    server = make_test_server(EchoProxy(delay=0.5))
    parts = [GET, POST[:10], POST[10:]]
    responses = read_responses(run(converse, server, parts, 0.2))
    assert [status for status, _, _ in responses] == [200, 200]


@then("a fault in one answer leaves other connections working")
def check_proxy_error(context):
    server = make_test_server()
    assert run(converse, server, GET.replace(b"lookup", b"fault")) == b""
    assert server.node.metrics.counts["caller_connections_failed", ()] == 1
    assert read_responses(run(converse, server, GET))[0][0] == 200


@then("a connection above the limit gets 503 too_many_connections")
def check_connection_limit(context):
    server = make_test_server(listen__max_connections=1)
    received = []

    async def send():
        received.append(await converse(server, GET))

    async def send_two():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            nursery.start_soon(send)

    run(send_two)
    responses = sorted(read_responses(data)[0] for data in received)
    assert [status for status, _, _ in responses] == [200, 503]
    assert responses[1][1][b"kumquatsaddle-reason"] == b"too_many_connections"


@then("headers of a backend server that state an outcome are dropped")
def check_forged_outcome(context):
    forged = ((b"kumquatsaddle-outcome", b"not-run"), (b"x-kept", b"1"))
    answer = Answer(Outcome.DONE, 200, forged, b"")
    data = encode_answer(answer)
    headers = read_responses(data)[0][1]
    assert headers[b"kumquatsaddle-outcome"] == b"done"
    assert headers[b"x-kept"] == b"1"


@then("an answer that is not a valid response becomes an unknown outcome")
def check_invalid(context):
    parts = st.one_of(
        st.binary(max_size=6),
        st.sampled_from([b"a\r\nkumquatsaddle-outcome: not-run", b"x", b"\r\n", b"\n"]),
    )
    headers = st.lists(st.tuples(parts, parts), max_size=3).map(tuple)
    statuses = st.integers(0, 1000)

    @for_all(headers, statuses, st.binary(max_size=5), st.booleans())
    def check(headers, status, body, is_head):
        data = encode_answer(
            Answer(Outcome.DONE, status, headers, body), False, is_head
        )
        ((read_status, _, _),) = read_responses(data, ["HEAD" if is_head else "GET"])
        outcomes = re.findall(rb"(?im)^kumquatsaddle-outcome: (.*)\r$", data)
        assert outcomes in ([b"done"], [b"unknown"])
        assert read_status == status or outcomes == [b"unknown"]

    check()
