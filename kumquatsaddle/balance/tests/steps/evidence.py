from types import SimpleNamespace

import trio
import trio.testing
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.balance.averages import RouteAverages
from kumquatsaddle.balance.beliefs import Belief, Observation
from kumquatsaddle.balance.budget import RetryLimits
from kumquatsaddle.balance.choice import (
    _COST_RESOLUTION,
    MAX_EXPLORABLE_FAILURE,
    NO_EXPLORATION,
    choose_server,
    compute_cost,
)
from kumquatsaddle.balance.pool import BalancedPool
from kumquatsaddle.balance.requests import RoutedRequest
from kumquatsaddle.balance.servers import BalancedServer
from kumquatsaddle.discovery.records import ServerRecord
from kumquatsaddle.dispatch.protocol import DEFAULT_PROTOCOL
from kumquatsaddle.routes import PublishedRoute, RouteShare
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.types import Rank

# Expected response time in seconds.
EXPECTED = 0.5
OBSERVATIONS = st.sampled_from(
    [Observation.SERVED, Observation.FAILED_FAST, Observation.FAILED_SLOWLY]
)


def make_server(name, zone="here", now=0.0, is_new=False, cold=0.0):
    record = ServerRecord(
        name, 1, "s", Address("127.0.0.1", 1), zone, 6, False, slow_start_seconds=cold
    )
    return BalancedServer(record, DEFAULT_PROTOCOL, now, is_new)


def make_request(idempotent=False, now=0.0, kilobytes=9.0):
    route = PublishedRoute(
        "r", "h", "/", idempotent, 5.0, 2.0, Rank.BULK, 2, (RouteShare("s", 1.0),)
    )
    return RoutedRequest(
        b"1",
        "GET",
        "/",
        [],
        b"",
        route,
        "s",
        now,
        now + 5.0,
        kilobytes=kilobytes,
    )


def make_healthy(server, now=0.0):
    for _ in range(3):
        server.observe(now, Observation.SERVED)
    return server


@then(
    "after one fast failure a server is likelier to fail than an unobserved one for 5 s"
)
def check_failure(context):
    failed, other = make_healthy(make_server("f", now=-0.3), -0.3), make_server("o")
    failed.observe(0.0, Observation.FAILED_FAST)
    for now in (0.0, 2.0, 5.0):
        assert failed.belief.compute_failure_probability(
            now
        ) > other.belief.compute_failure_probability(now)
    assert failed.belief.compute_failure_probability(0.0) > 0.5


@then("without observations the failure probability decays to the stationary one")
def check_return(context):
    failed, other = make_server("failed"), make_server("other")
    failed.observe(0.0, Observation.FAILED_FAST)
    distance = failed.belief.compute_failure_probability(
        60.0
    ) - other.belief.compute_failure_probability(60.0)
    assert abs(distance) < 0.01


@then("any sequence of observations keeps the failure probability between 0 and 1")
def check_bounds(context):
    @for_all(st.lists(st.tuples(st.floats(0, 60), OBSERVATIONS), max_size=60))
    def check(events):
        belief, now = Belief(0.0), 0.0
        for pause, observation in events:
            now += pause
            belief.observe(now, observation)
            assert 0.0 < belief.compute_failure_probability(now) < 1.0
            assert 0.0 < belief.compute_fault_probability(now) < 1.001

    check()


@then("after any sequence 25 successes lower the failure probability below 0.05")
def check_recovery(context):
    @for_all(st.lists(OBSERVATIONS, max_size=60))
    def check(events):
        belief = Belief(0.0)
        for observation in events:
            belief.observe(0.0, observation)
        for _ in range(25):
            belief.observe(0.0, Observation.SERVED)
        assert belief.compute_failure_probability(0.0) < 0.05

    check()


@then("a success of an earlier request leaves the failure probability unchanged")
def check_earlier(context):
    server = make_server("a")
    server.observe(1.0, Observation.FAILED_FAST)
    before = server.belief.compute_failure_probability(1.2)
    assert server.observe_answer(1.2, 0.7, EXPECTED, failed=False) is None
    assert server.belief.compute_failure_probability(1.2) == before


@then("a later request that can no longer fail fast lowers it")
def check_later(context):
    server = make_server("a")
    server.observe(1.0, Observation.FAILED_FAST)
    server.begin(1, 0.9, EXPECTED)
    server.begin(2, 1.1, EXPECTED)
    assert server.count_past_fast_failure(1.3) == 1
    before = server.belief.compute_failure_probability(1.3)
    assert (
        server.belief.compute_failure_probability(
            1.3, server.count_past_fast_failure(1.3)
        )
        < before
    )


@then("one slow failure raises the failure probability less than one fast failure")
def check_slow_failure(context):
    fast, slow = make_healthy(make_server("fast")), make_healthy(make_server("slow"))
    fast.observe_answer(1.0, 0.99, EXPECTED, failed=True)
    slow.observe_answer(1.0, 0.5, EXPECTED, failed=True)
    assert (
        slow.belief.compute_failure_probability(1.0)
        < 0.25
        < fast.belief.compute_failure_probability(1.0)
    )


@then(
    "a warm new server is preferred to a healthy one, but only until its first request"
)
def check_new(context):
    healthy, new = make_healthy(make_server("h")), make_server("new", is_new=True)
    chosen = choose_server([healthy, new], make_request(), 0.1, "here")
    assert chosen is new
    new.begin(1, 0.1, EXPECTED)
    assert choose_server([healthy, new], make_request(), 0.1, "here") is healthy


@then("a cold new server is not preferred")
def check_cold(context):
    healthy, new = (
        make_healthy(make_server("h")),
        make_server("n", is_new=True, cold=3.0),
    )
    assert choose_server([healthy, new], make_request(), 0.1, "here") is healthy


@then("a healthy server of this zone is preferred to a healthy one of another")
def check_zone(context):
    here, there = (
        make_healthy(make_server("a")),
        make_healthy(make_server("b", "there")),
    )
    here.begin(1, 0.0, EXPECTED)
    assert choose_server([there, here], make_request(), 0.1, "here") is here


@then("a server of another zone is preferred to one of this zone that failed fast")
def check_other_zone(context):
    here, there = (
        make_healthy(make_server("a")),
        make_healthy(make_server("b", "there")),
    )
    here.observe(0.0, Observation.FAILED_FAST)
    assert choose_server([there, here], make_request(), 0.1, "here") is there


@then(
    "a large answer comes from another zone rather than from a server that failed fast"
)
def check_large_answer(context):
    here, there = (
        make_healthy(make_server("a")),
        make_healthy(make_server("b", "there")),
    )
    request = make_request(idempotent=True, kilobytes=540.0)
    request.attempts_left = 0
    assert choose_server([there, here], request, 0.1, "here") is here
    here.observe(0.0, Observation.FAILED_FAST)
    assert choose_server([there, here], request, 0.1, "here") is there


@then("a server with an overdue request costs more than one without")
def check_overdue(context):
    slow, other = make_healthy(make_server("slow")), make_healthy(make_server("other"))
    slow.begin(1, 0.0, EXPECTED)
    other.begin(1, 2.4, EXPECTED)
    costs = [compute_cost(item, make_request(), 2.5, "here") for item in (slow, other)]
    assert costs[0] > costs[1] + 0.1, costs


@given("a pool of {count:d} servers of which {failed:d} failed fast and recovered")
def prepare_pool(context, count, failed):
    context.server_count, context.failed_count = count, failed
    context.distant_count = 0


@given(
    "a pool of {here:d} servers in this zone and {there:d} in a zone without instances"
)
def prepare_zones(context, here, there):
    context.server_count, context.failed_count = here, 0
    context.distant_count = there


@when("{rate:d} requests a second are served for {seconds:d} seconds")
def serve(context, rate, seconds):
    context.uses = []

    async def run():
        pool = BalancedPool(
            "here", DEFAULT_PROTOCOL, RetryLimits(0.1, 1, 10), RouteAverages()
        )
        records = [
            make_server(f"s{number}").record for number in range(context.server_count)
        ]
        for number in range(context.distant_count):
            records.append(make_server(f"d{number}", "there").record)
        pool.unattended = frozenset(["there"])
        pool.update({record.name: record for record in records})
        for server in list(pool.servers.values())[: context.failed_count]:
            server.observe(trio.current_time(), Observation.FAILED_FAST)
        async with trio.open_nursery() as nursery:
            for _ in range(rate * seconds):
                nursery.start_soon(serve_one, context, pool)
                await trio.sleep(1 / rate)

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run, clock=clock)


async def serve_one(context, pool):
    started = trio.current_time()
    request = make_request(now=started)
    server = await pool.acquire_server(request, frozenset(), request.deadline)
    context.uses.append((started, server.name))
    await trio.sleep(0.05)
    server.observe_answer(trio.current_time(), started, EXPECTED, failed=False)
    pool.release(server, request)


@then("in the last {seconds:d} seconds at least {least:d} servers got requests")
def check_used(context, seconds, least):
    end = max(time for time, _ in context.uses)
    used = {name for time, name in context.uses if time > end - seconds}
    assert len(used) >= least, used


@given("a pool of {count:d} servers of which {failing:d} failed fast and still fail")
def prepare_failing(context, count, failing):
    context.server_count, context.failed_count = count, failing


@when("{orders:d} orders and {lookups:d} lookups a second are sent for 30 seconds")
def send_orders_and_lookups(context, orders, lookups):
    context.lost, context.uses = {True: 0, False: 0}, []
    failing = {f"s{number}" for number in range(context.failed_count)}

    async def serve(pool, idempotent, fails):
        started = trio.current_time()
        request = make_request(idempotent, now=started)
        server = await pool.acquire_server(request, frozenset(), request.deadline)
        context.uses.append((started, server.name))
        failed = fails and server.name in failing
        await trio.sleep(0.005 if failed else 0.1)
        context.lost[idempotent] += failed
        server.observe_answer(trio.current_time(), started, EXPECTED, failed)
        pool.release(server, request)

    async def send(nursery, pool, idempotent, rate):
        for number in range(36 * rate):
            fails = number < 30 * rate
            nursery.start_soon(serve, pool, idempotent, fails)
            await trio.sleep(1 / rate)

    async def run():
        pool = BalancedPool(
            "here", DEFAULT_PROTOCOL, RetryLimits(0.1, 1, 10), RouteAverages()
        )
        names = [f"s{number}" for number in range(context.server_count)]
        pool.update({name: make_server(name).record for name in names})
        for name in failing:
            pool.servers[name].observe(trio.current_time(), Observation.FAILED_FAST)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, nursery, pool, False, orders)
            nursery.start_soon(send, nursery, pool, True, lookups)

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run, clock=clock)


@then("lookups try the failing servers and at most {most:d} orders are lost to them")
def check_lost_orders(context, most):
    assert context.lost[True] > 0
    assert context.lost[False] <= most, context.lost


@then("after the servers recover the floor of 6 is in use within 6 seconds")
def check_floor_used(context):
    used = {name for time, name in context.uses if time > 30.0}
    assert len(used) >= 6, used


def make_full(name):
    server = make_healthy(make_server(name))
    for number in range(6):
        server.begin(number, 0.0, 5.0)
    return server


@given("a healthy server whose slots are taken and one that failed fast")
def prepare_faulty(context):
    faulty = make_server("faulty")
    for _ in range(3):
        faulty.observe(0.0, Observation.FAILED_FAST)
    context.servers = [make_full("full"), faulty]


@given("a healthy server whose slots are taken and a free one in another zone")
def prepare_other_zone(context):
    context.servers = [make_full("full"), make_healthy(make_server("far", "there"))]


def choose_at(context, waited):
    """Return the choice for a request with a timeout of 5 s that has waited a time."""
    return choose_server(context.servers, make_request(now=-waited), 0.0, "here")


@then("a request waits for most of the time until its deadline")
def check_waits(context):
    assert all(choose_at(context, waited) is None for waited in (0.0, 1.0, 3.5))


@then("it is sent to the faulty server shortly before its deadline")
def check_sent(context):
    assert choose_at(context, 4.2) is context.servers[1]


@then("a request waits at first and is sent to the other zone later")
def check_crosses(context):
    assert choose_at(context, 0.1) is None
    assert choose_at(context, 1.5) is context.servers[1]


def make_full_pool(count):
    """Return a pool whose servers have more requests than slots."""
    pool = BalancedPool(
        "here", DEFAULT_PROTOCOL, RetryLimits(0.1, 1, 10), RouteAverages()
    )
    records = [make_server(f"s{number}").record for number in range(count)]
    pool.update({record.name: record for record in records})
    for server in pool.servers.values():
        for number in range(8):
            server.begin(number, 0.0, 5.0)
    return pool


@then(
    "with {count:d} waiting requests a change takes one choice for each selection key"
)
def check_choices(context, count):
    async def run():
        pool = make_full_pool(context.server_count)
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                request = make_request(now=trio.current_time())
                nursery.start_soon(
                    pool.acquire_server, request, frozenset(), request.deadline
                )
            await trio.testing.wait_all_tasks_blocked()
            assert pool.count_waiting() == count
            choose, calls = pool._choose, []
            pool._choose = lambda *args: calls.append(1) or choose(*args)
            pool.assign_waiting()
            assert len(calls) == 1, len(calls)
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("while all are full a waiting request computes the failure probability of none")
def check_computed(context):
    async def run():
        pool = make_full_pool(context.server_count)
        request = make_request(now=trio.current_time())
        assert pool._choose(request, frozenset()) is None
        computed = []
        for server in pool.servers.values():
            server.belief = SimpleNamespace(
                compute_failure_probability=lambda *args: computed.append(1) or 0.0
            )
        assert pool._choose(request, frozenset()) is None
        assert not computed, len(computed)

    trio.run(run)


@then("the chosen server is the cheapest among any servers of two zones")
def check_cheapest(context):
    zones = st.sampled_from(["here", "there"])
    observed = st.lists(OBSERVATIONS, max_size=3)
    kinds = st.tuples(zones, st.booleans(), observed, st.floats(0, 2))
    unattended_zones = st.sampled_from([frozenset(), frozenset(["there"])])

    @for_all(st.lists(kinds, min_size=1, max_size=8), unattended_zones, st.booleans())
    def check(drawn, unattended, explores):
        servers = []
        for number, (zone, is_new, observations, used) in enumerate(drawn):
            server = make_server(f"s{number}", zone, is_new=is_new)
            for observation in observations:
                server.observe(0.0, observation)
            server.used_at = used + number / 1000
            servers.append(server)
        request, now = make_request(now=2.0), 2.5
        max_failure = MAX_EXPLORABLE_FAILURE if explores else NO_EXPLORATION
        options = {"max_explored_failure": max_failure, "unattended": unattended}
        chosen = choose_server(servers, request, now, "here", **options)

        def compute_key(server):
            cost = compute_cost(server, request, now, "here", **options)
            return cost, (round(cost / _COST_RESOLUTION), server.used_at)

        costs = [compute_key(server) for server in servers]
        allowed = [order for cost, order in costs if cost <= 0.5]
        if chosen is None:
            assert not allowed
        else:
            assert compute_key(chosen)[1] == min(allowed)

    check()
