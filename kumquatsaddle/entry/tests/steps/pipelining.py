import re

import trio
from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st
from trio.testing import MockClock, memory_stream_pair

from kumquatsaddle.exchange import Answer
from kumquatsaddle.testing.caller_servers import make_test_server, read_responses
from kumquatsaddle.types import Outcome, RefusalReason


class TimedProxy:
    """Answers each request after the time that its target names.

    A target ``/name/12`` is answered after 12 seconds; GET requests are idempotent.
    """

    def __init__(self, body=b""):
        self.body = body
        self.started = {}
        self.finished = {}
        self.arrivals = {}
        self.cancelled = set()
        self.running = self.most_running = 0

    def allows_overlap(self, request):
        return request.method == "GET"

    async def answer(self, request):
        now = trio.current_time()
        self.started[request.target] = now
        self.arrivals[request.target] = request.arrived_at
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await trio.sleep(float(request.target.rpartition("/")[2]))
        except trio.Cancelled:
            self.cancelled.add(request.target)
            raise
        finally:
            self.running -= 1
        self.finished[request.target] = trio.current_time()
        body = self.body or request.target.encode()
        return Answer(Outcome.DONE, 200, (), body)


class Conversation:
    """One connection to a test server, with what the caller received and when."""

    def __init__(self, proxy, **changes):
        self.proxy = proxy
        self.server = make_test_server(proxy, **changes)
        self.ours, self.theirs = memory_stream_pair()
        self.received = bytearray()
        self.ended_at = None

    def run(self, act):
        """Run the async function `act`, which sends requests, until the end."""

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.server.serve_connection, self.theirs)
                nursery.start_soon(self._receive)
                await act(self)

        trio.run(main, clock=MockClock(autojump_threshold=0))
        return read_responses(bytes(self.received))

    async def send(self, *requests):
        await self.ours.send_all(b"".join(requests))

    async def _receive(self):
        async for part in self.ours:
            self.received += part
        self.ended_at = trio.current_time()
        await self.ours.aclose()


def get(target, headers=b""):
    return b"GET %b HTTP/1.1\r\nHost: x\r\n%b\r\n" % (target.encode(), headers)


def post(target, headers=b""):
    head = b"POST %b HTTP/1.1\r\nHost: x\r\n%bContent-Length: 2\r\n\r\n"
    return head % (target.encode(), headers) + b"ok"


def converse(*requests, proxy=None, pause=100.0, **changes):
    """Send all requests at once; return the conversation and the responses."""
    conversation = Conversation(proxy or TimedProxy(), **changes)

    async def act(conversation):
        await conversation.send(*requests)
        await trio.sleep(pause)
        try:
            await conversation.ours.send_eof()
        except trio.ClosedResourceError:
            # The server has closed the connection.
            pass

    return conversation, conversation.run(act)


def get_bodies(responses):
    return [body.decode() for _, _, body in responses]


@then("a slow first request delays only the answers of those behind it")
def check_overlap(context):
    targets = ["/slow/9", "/a/1", "/b/2"]
    conversation, responses = converse(*map(get, targets))
    assert get_bodies(responses) == targets
    proxy = conversation.proxy
    assert set(proxy.started.values()) == {0.0}, proxy.started
    assert proxy.finished == {"/slow/9": 9.0, "/a/1": 1.0, "/b/2": 2.0}


@then("no more than 8 requests of a connection run at the same time")
def check_bound(context):
    targets = [f"/{number}/1" for number in range(30)]
    conversation, responses = converse(*map(get, targets))
    assert get_bodies(responses) == targets
    assert conversation.proxy.most_running == 8


@then("large answers that wait for a slow one hold back further requests")
def check_waiting_answers(context):
    targets = ["/slow/9"] + [f"/{number}/{number / 10}" for number in range(1, 12)]
    proxy = TimedProxy(body=b"b" * 1_000_000)
    _, responses = converse(*map(get, targets), proxy=proxy)
    assert len(responses) == 12
    before = [at for at in proxy.started.values() if at < 9.0]
    # Eight start at once; with two large answers waiting no other one is started.
    assert len(before) <= 9, proxy.started


@then("a request that is not idempotent starts after all earlier answers")
def check_not_idempotent(context):
    requests = [get("/a/5"), get("/b/1"), post("/order/1")]
    conversation, responses = converse(*requests)
    assert get_bodies(responses) == ["/a/5", "/b/1", "/order/1"]
    assert conversation.proxy.started["/order/1"] == 5.0


@then("a request behind one that is not idempotent starts after its answer")
def check_behind_not_idempotent(context):
    requests = [post("/order/4"), get("/a/1"), get("/b/1"), post("/order/1")]
    conversation, responses = converse(*requests)
    assert len(responses) == 4
    started = conversation.proxy.started
    assert started == {"/order/4": 0, "/a/1": 4.0, "/b/1": 4.0, "/order/1": 5.0}


@then("at any order of a stop and of requests, exactly those answered were started")
def check_stop(context):
    durations = st.sampled_from(["0", "0.5", "1", "2", "5"])
    requests = st.lists(st.tuples(st.sampled_from([get, post]), durations), max_size=14)

    @for_all(requests, st.integers(1, 60), st.floats(0, 4), st.floats(0, 0.6))
    def check(requests, size, stop_at, pause):
        targets = [f"/{number}/{item[1]}" for number, item in enumerate(requests)]
        data = b"".join(
            make(target) for (make, _), target in zip(requests, targets, strict=True)
        )
        conversation = Conversation(TimedProxy())

        async def act(conversation):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_parts, conversation, data, size, pause)
                await trio.sleep(stop_at)
                await conversation.server.drain(0.3, 60.0)

        responses = conversation.run(act)
        assert get_bodies(responses) == targets[: len(responses)], responses
        assert set(conversation.proxy.started) == set(targets[: len(responses)])
        assert not conversation.proxy.cancelled
        closing = [b"connection" in headers for _, headers, _ in responses]
        assert not any(closing[:-1])
        assert conversation.server.pending_bytes == 0

    check()


async def send_parts(conversation, data, size, pause):
    for start in range(0, len(data), size * 10):
        try:
            await conversation.send(data[start : start + size * 10])
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        await trio.sleep(pause)


@then("nothing behind a request with Connection: close is started")
def check_close_header(context):
    last = get("/last/3", b"Connection: close\r\n")
    conversation, responses = converse(get("/a/5"), last, get("/b/1"), post("/order/1"))
    assert get_bodies(responses) == ["/a/5", "/last/3"]
    assert responses[1][1][b"connection"] == b"close"
    assert set(conversation.proxy.started) == {"/a/5", "/last/3"}


@then("nothing behind a malformed request is started, and earlier ones are answered")
def check_malformed(context):
    malformed = b"GET / HTTP/1.1\r\nNoColon\r\n\r\n"
    conversation, responses = converse(get("/a/5"), malformed, get("/b/1"))
    assert [status for status, _, _ in responses] == [200, 400]
    assert set(conversation.proxy.started) == {"/a/5"}


@then("all requests of a connection are cancelled when its caller goes away")
def check_disconnect(context):
    targets = ["/a/50", "/b/60", "/c/1"]
    requests = [*map(get, targets), post("/order/1")]
    conversation, responses = converse(*requests, pause=10.0)
    assert not responses
    proxy = conversation.proxy
    assert proxy.cancelled == {"/a/50", "/b/60"}
    assert "/order/1" not in proxy.started
    refusals = conversation.server.node.metrics.refusals
    assert refusals[RefusalReason.CALLER_GONE] == 2
    assert conversation.server.pending_bytes == 0


@then("the time of arrival of a request that waited is that of its last byte")
def check_arrival(context):
    conversation = Conversation(TimedProxy())
    chunked = post("/chunked/1").replace(b"Content-Length: 2", b"X: y")
    chunked = chunked.replace(b"X: y", b"Transfer-Encoding: chunked")
    chunked = chunked.replace(b"\r\n\r\nok", b"\r\n\r\n2\r\nok\r\n0\r\n\r\n")

    async def act(conversation):
        await conversation.send(post("/order/9"), chunked, get("/a/1")[:20])
        await trio.sleep(2)
        empty_lines = b"\r\n" * 200
        await conversation.send(get("/a/1")[20:], empty_lines, get("/b/1"))
        await trio.sleep(1)
        await conversation.send(get("/c/1"))
        await trio.sleep(40)
        await conversation.ours.send_eof()

    responses = conversation.run(act)
    assert len(responses) == 5, responses
    assert conversation.proxy.arrivals == {
        "/order/9": 0.0,
        "/chunked/1": 0.0,
        "/a/1": 2.0,
        "/b/1": 2.0,
        "/c/1": 3.0,
    }


@then("bytes that keep coming do not move the arrival of those before")
def check_arrival_of_trickle(context):
    conversation = Conversation(TimedProxy())
    late = get("/c/1", b"X-Long: " + b"z" * 1000 + b"\r\n")

    async def act(conversation):
        # The reader holds the second request, so that the third waits in the buffer.
        await conversation.send(post("/order/9"), post("/a/1"), get("/b/1"))
        for start in range(0, len(late), 2):
            await conversation.send(late[start : start + 2])
            await trio.sleep(0.005)
        await trio.sleep(40)
        await conversation.ours.send_eof()

    assert len(conversation.run(act)) == 4
    arrivals = conversation.proxy.arrivals
    assert arrivals["/b/1"] < 0.02, arrivals
    assert 2.4 < arrivals["/c/1"] < 2.8, arrivals


@then("100 Continue is sent after the answers to all earlier requests")
def check_continue(context):
    head, body = post("/order/1", b"Expect: 100-continue\r\n").split(b"ok")[0], b"ok"
    conversation = Conversation(TimedProxy())

    async def act(conversation):
        await conversation.send(get("/a/5"), get("/b/1"), head)
        await trio.sleep(8)
        await conversation.send(body)
        await trio.sleep(8)
        await conversation.ours.send_eof()

    statuses = [status for status, _, _ in conversation.run(act)]
    assert statuses == [200, 200, 100, 200], statuses
    text = bytes(conversation.received)
    assert re.search(rb"/a/5HTTP/1\.1 200 .*/b/1HTTP/1\.1 100 ", text, re.DOTALL)


@then("a connection is not idle while a request runs")
def check_idle_timeout(context):
    conversation = Conversation(TimedProxy(), limits__idle_timeout=3.0)

    async def act(conversation):
        await conversation.send(get("/a/10"))

    assert get_bodies(conversation.run(act)) == ["/a/10"]
    # The idle timeout begins with the answer.
    assert conversation.ended_at == 13.0


@then("a head that stays incomplete is refused after the earlier answers")
def check_incomplete_head(context):
    conversation = Conversation(TimedProxy(), limits__head_timeout=3.0)

    async def act(conversation):
        await conversation.send(get("/a/10"), get("/b/1")[:10])

    responses = conversation.run(act)
    assert [status for status, _, _ in responses] == [200, 408]
    assert set(conversation.proxy.started) == {"/a/10"}
