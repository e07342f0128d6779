import trio
import trio.testing
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from kumquatsaddle.addresses.groups import plan_groups
from kumquatsaddle.configuration.entities import parse_entity
from kumquatsaddle.dispatch.dispatcher import make_dispatcher
from kumquatsaddle.exchange import Request
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.testing.backends import MAX_ANSWER_BYTES, ScriptedServers
from kumquatsaddle.types import Outcome, Rank, RefusalReason

SLOTS = 2
TIMEOUT_SECONDS = 10.0
# Servers echo request ids, so that an answer to another request is detected even if it
# arrives just after the connection was checked.
FAULTS = ("whole chunked failed refuse refuse_again cut close early surplus stray "
          "endless late head").split()  # fmt: skip


AFTER_TAKEOVER_SECONDS = 3.0


class DispatcherHarness:
    """A dispatcher with scripted servers and a clock that the test advances."""

    async def start(self, nursery, count):
        self.clock = trio.lowlevel.current_clock()
        self.nursery = nursery
        self.servers = ScriptedServers(nursery)
        self.metrics = make_metrics()
        self.dispatcher = make_dispatcher(self.metrics, MAX_ANSWER_BYTES)
        self.service = parse_entity("service", "s", {"floor": 1.0, "slots": SLOTS})
        backends = await self.servers.start(count)
        groups = plan_groups("s", backends, 1.0)
        await self.dispatcher.update_groups({"s": self.service}, groups)
        self.pool = self.dispatcher.pools["s"]
        # Servers of a group taken over have half of their slots for 2 s.
        self.clock.jump(AFTER_TAKEOVER_SECONDS)
        self.pool.advance()
        return self

    def in_flight(self):
        return sum(server.in_flight for server in self.pool.servers.values())

    async def send(self, target, idempotent=True):
        return await self.dispatcher.dispatch(make_request(target, idempotent))

    async def settle(self):
        await trio.testing.wait_all_tasks_blocked(0.001)


def make_request(target, idempotent=True, rank=Rank.STANDARD):
    return Request(
        method="GET" if idempotent else "POST",
        target=target,
        headers=[],
        body=b"",
        account="a",
        service="s",
        rank=rank,
        idempotent=idempotent,
        deadline=trio.current_time() + TIMEOUT_SECONDS,
    )


def run_with_harness(context, test):
    """Run an async test with a harness whose clock only the test advances."""

    async def run():
        async with trio.open_nursery() as nursery:
            harness = await DispatcherHarness().start(nursery, context.count)
            await test(harness)
            await harness.dispatcher.close()
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(rate=0))


def then_with_harness(text):
    """Register an async function that takes a harness as a step."""
    return lambda test: then(text)(lambda context: run_with_harness(context, test))


async def send_through_faults(harness, target, idempotent):
    """Send a request; if a server is late, pass the deadline before it answers."""
    servers, result = harness.servers, []
    servers.answer_delayed, servers.release_answer = trio.Event(), trio.Event()

    async def pass_deadline():
        await servers.answer_delayed.wait()
        harness.clock.jump(TIMEOUT_SECONDS)
        await harness.settle()
        servers.release_answer.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(pass_deadline)
        result.append(await harness.send(target, idempotent))
        if not servers.answer_delayed.is_set():
            nursery.cancel_scope.cancel()
    return result[0]


def check_result(harness, target, answer):
    reached = target in harness.servers.reached
    if answer.outcome is Outcome.DONE:
        assert reached and answer.body == target.encode(), (target, answer)
    if answer.outcome is Outcome.NOT_RUN:
        assert not reached, (target, answer)


@given("{count:d} scripted servers on loopback")
def set_count(context, count):
    context.count = count


@then("every result of any script of faults is whole and right, or an error")
def check_faults(context):
    context.harnesses = []
    actions = st.tuples(st.sampled_from(FAULTS), st.integers(0, 120))

    @for_all(
        st.lists(actions, min_size=4, max_size=16),
        st.lists(st.booleans(), min_size=8, max_size=8),
    )
    def check(script, idempotent_flags):
        async def test(harness):
            harness.servers.script = list(script)
            harness.idempotent_flags = idempotent_flags
            context.harnesses.append(harness)
            for number, idempotent in enumerate(idempotent_flags):
                target = f"/request/{number}"
                answer = await send_through_faults(harness, target, idempotent)
                check_result(harness, target, answer)
                assert harness.in_flight() == 0
            # Past faults must not affect later requests.
            harness.servers.script = []
            await harness.settle()
            answer = await harness.send("/last")
            assert answer.outcome is Outcome.DONE and answer.body == b"/last"

        run_with_harness(context, test)

    check()


@then("orders reach the servers at most once unless they were refused")
def check_once(context):
    assert len(context.harnesses) >= 50
    for harness in context.harnesses:
        for number, idempotent in enumerate(harness.idempotent_flags):
            times = harness.servers.reached.count(f"/request/{number}")
            assert times <= (2 if idempotent else 1)


@then("all slots are free after callers are cancelled at any moment")
def check_cancellations(context):
    steps = st.lists(st.integers(0, 12), min_size=4, max_size=14)

    @settings(max_examples=60)
    @for_all(steps, st.booleans())
    def check(delays, hang):
        async def send(harness, target, delay):
            with trio.CancelScope() as scope:
                harness.nursery.start_soon(cancel_later, scope, delay)
                await harness.send(target)

        async def cancel_later(scope, delay):
            for _ in range(delay):
                await trio.lowlevel.checkpoint()
            scope.cancel()

        async def test(harness):
            harness.servers.default = ("late" if hang else "whole", 0)
            async with trio.open_nursery() as nursery:
                for number, delay in enumerate(delays):
                    nursery.start_soon(send, harness, f"/{number}", delay)
            assert harness.in_flight() == 0
            assert len(harness.pool.queue) == 0
            harness.servers.default = ("whole", 0)
            answer = await harness.send("/last")
            assert answer.body == b"/last"

        run_with_harness(context, test)

    check()


@then("a slot granted just {order} its waiter is cancelled goes to the next one")
def check_race(context, order):
    async def test(harness):
        (server,) = harness.pool.servers.values()
        cancelled, answered = trio.CancelScope(), trio.Event()

        async def send_cancelled():
            with cancelled:
                await harness.send("/cancelled")

        async def send_next():
            answer = await harness.send("/next")
            assert answer.body == b"/next"
            answered.set()

        server.in_flight = SLOTS
        harness.nursery.start_soon(send_cancelled)
        await harness.settle()
        harness.nursery.start_soon(send_next)
        await harness.settle()
        assert len(harness.pool.queue) == 2
        if order == "after":
            cancelled.cancel()
        server.in_flight -= 1
        harness.pool.assign_waiting()
        cancelled.cancel()
        await harness.settle()
        assert len(harness.pool.queue) == 0
        await answered.wait()
        assert "/cancelled" not in harness.servers.reached
        assert harness.in_flight() == SLOTS - 1

    run_with_harness(context, test)


@when("all servers fail and {count:d} lookups are sent")
def send_failing(context, count):
    async def test(harness):
        context.harness = harness
        harness.servers.default = ("failed", 0)
        for number in range(count):
            answer = await harness.send(f"/{number}")
            assert answer.status == 500 and answer.body == b"/%d" % number

    run_with_harness(context, test)


@then("29 or 30 of them are retried and the others get the failed answer")
def check_retries(context):
    context.retried = sum(context.harness.metrics.retries.values())
    # A burst of 10 and a tenth of 200; the last token may be lost to rounding.
    assert context.retried in (29, 30), context.retried
    assert len(context.harness.servers.reached) == 200 + context.retried


@then("each denied retry is counted")
def check_denied(context):
    counts = context.harness.metrics.counts
    denied = {key: n for key, n in counts.items() if key[0] == "retries_denied"}
    key = ("retries_denied", (("reason", "backend_error"),))
    assert denied == {key: 200 - context.retried}, counts


@then("the servers got {count:d} requests")
def check_count(context, count):
    assert len(context.harness.servers.reached) == count


@then_with_harness("an order whose deadline passes before the first byte is not run")
async def check_paused(harness):
    (server,) = harness.pool.servers.values()
    acquire_connection = server.acquire_connection

    async def take_and_pause():
        connection = await acquire_connection()
        harness.clock.jump(TIMEOUT_SECONDS)
        return connection

    server.acquire_connection = take_and_pause
    answer = await harness.send("/order", idempotent=False)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.reason is RefusalReason.DEADLINE
    await harness.settle()
    assert harness.servers.reached == []
    assert harness.in_flight() == 0


@then_with_harness(
    "an order whose reused connection closes after the request is unknown"
)
async def check_stale(harness):
    for number in range(4):
        await harness.send(f"/{number}")
    harness.servers.script = [("close", 0)]
    answer = await harness.send("/order", idempotent=False)
    assert answer.outcome is Outcome.UNKNOWN
    assert harness.servers.reached.count("/order") == 1
    harness.servers.script = [("close", 0)]
    answer = await harness.send("/lookup")
    assert answer.body == b"/lookup"
    assert sum(harness.metrics.retries.values()) == 1


def record_samples(harness):
    samples = []
    harness.pool.record_answer = lambda *sample: samples.append(sample)
    return samples


@then_with_harness("a malformed request is refused without a retry or a sample")
async def check_malformed(harness):
    samples = record_samples(harness)
    request = make_request("/x")
    request.headers = [(b"bad name", b"x")]
    answer = await harness.dispatcher.dispatch(request)
    assert answer.reason is RefusalReason.BAD_REQUEST
    assert answer.outcome is Outcome.NOT_RUN
    assert samples == [] and harness.servers.reached == []
    assert sum(harness.metrics.retries.values()) == 0


@then_with_harness("an answer above the bound is an error without a retry or a sample")
async def check_large(harness):
    samples = record_samples(harness)
    harness.servers.default = ("large", 0)
    answer = await harness.send("/x")
    assert answer.reason is RefusalReason.ANSWER_TOO_LARGE
    assert samples == [] and harness.servers.reached == ["/x"]


@then_with_harness("shed orders lower the limit and whole answers raise it again")
async def check_limit(harness):
    (server,) = harness.pool.servers.values()
    harness.servers.script = [("refuse", 0)] * 5
    for number in range(5):
        answer = await harness.send(f"/{number}", idempotent=False)
        assert answer.reason is RefusalReason.BACKEND_SHED
        assert answer.outcome is Outcome.NOT_RUN
    assert server.adaptive_limit == 1.0
    for number in range(10):
        await harness.send(f"/{number}", idempotent=False)
    assert server.adaptive_limit == SLOTS


@then_with_harness(
    "a waiter is refused with reason no_backend when the home moves away"
)
async def check_moved(harness):
    harness.servers.default = ("late", 0)
    answers = {}

    async def send(target):
        answers[target] = await harness.send(target)

    async with trio.open_nursery() as nursery:
        for number in range(SLOTS + 1):
            nursery.start_soon(send, f"/{number}")
            await harness.settle()
        await harness.dispatcher.update_groups({"s": harness.service}, [])
        await harness.settle()
        assert answers[f"/{SLOTS}"].reason is RefusalReason.NO_BACKEND
        harness.servers.release_answer.set()
    # Requests that were already in flight are answered.
    assert answers["/0"].body == b"/0" and answers["/1"].body == b"/1"
    assert (await harness.send("/x")).reason is RefusalReason.NO_BACKEND


@then_with_harness(
    "requests beyond the rate that the server states are refused at once"
)
async def check_rate(harness):
    harness.servers.rate_limit = b"0.5"
    assert (await harness.send("/first", False)).status == 200
    answers = []

    async def send(target):
        answers.append(await harness.send(target, False))

    async with trio.open_nursery() as nursery:
        for number in range(9):
            nursery.start_soon(send, f"/{number}")
        await harness.settle()
        assert harness.servers.reached == ["/first"], harness.servers.reached
        # At most 10 s * 0.5 / s of them can start in time.
        assert len(answers) >= 4, answers
        for answer in answers:
            assert answer.outcome is Outcome.NOT_RUN
            assert answer.reason is RefusalReason.BACKEND_LIMIT
            assert answer.retry_after >= 1.0
        nursery.cancel_scope.cancel()


@then_with_harness("they are sent again once it states no rate")
async def check_rate_ended(harness):
    harness.servers.rate_limit = b"0.5"
    await harness.send("/first", False)
    harness.servers.rate_limit = None
    harness.clock.jump(2.5)
    for target in ("/second", "/third", "/fourth"):
        assert (await harness.send(target, False)).status == 200


async def take_slots_and_wait(harness, nursery):
    """Send one request more than there are slots; return the list for the answers."""
    harness.servers.default = ("late", 0)
    answers = []

    async def send(target):
        answers.append(await harness.send(target))

    for number in range(SLOTS + 1):
        nursery.start_soon(send, f"/{number}")
        await harness.settle()
    return answers


@then_with_harness(
    "waiting and new requests are refused once the dispatcher stops starting"
)
async def check_stopping(harness):
    async with trio.open_nursery() as nursery:
        answers = await take_slots_and_wait(harness, nursery)
        harness.dispatcher.stop_starting()
        await harness.settle()
        assert [answer.reason for answer in answers] == [RefusalReason.STOPPING]
        assert (await harness.send("/new")).reason is RefusalReason.STOPPING
        harness.servers.release_answer.set()
    assert sum(answer.status == 200 for answer in answers) == SLOTS


@then_with_harness(
    "waiting and new requests of 2 seconds are refused when a stop ends sooner"
)
async def check_outlasting(harness):
    harness.pool.baseline.median = harness.pool.baseline.p99 = 2.0
    async with trio.open_nursery() as nursery:
        answers = await take_slots_and_wait(harness, nursery)
        harness.dispatcher.plan_stop(trio.current_time() + 1.0)
        assert (await harness.send("/new")).reason is RefusalReason.STOPPING
        harness.servers.release_answer.set()
    reasons = [answer.reason for answer in answers if answer.status != 200]
    assert reasons == [RefusalReason.STOPPING], answers
    assert len(answers) == SLOTS + 1 and harness.in_flight() == 0


@then_with_harness(
    "an urgent request is queued although bulk requests use up the rate of the server"
)
async def check_urgent_first(harness):
    harness.servers.rate_limit = b"0.5"
    await harness.send("/first")
    answers = {}

    async def send(target, rank):
        request = make_request(target, True, rank)
        answers[target] = await harness.dispatcher.dispatch(request)

    async with trio.open_nursery() as nursery:
        for number in range(9):
            nursery.start_soon(send, f"/bulk/{number}", Rank.BULK)
        await harness.settle()
        assert answers, "the rate of the server leaves room for all"
        nursery.start_soon(send, "/urgent", Rank.URGENT)
        await harness.settle()
        assert "/urgent" not in answers, answers["/urgent"]
        harness.clock.jump(2.5)
        harness.pool.advance()
        await harness.settle()
        assert answers["/urgent"].status == 200
        nursery.cancel_scope.cancel()
