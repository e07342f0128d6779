import re
from random import Random

import trio
import trio.testing
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from queue_samples import Event, make_averages, make_request, make_route
from scripted_dispatch import make_request as make_scripted_request
from scripted_dispatch import open_servers, wait_until

from kumquatsaddle.balance.account_profiles import AccountProfiles
from kumquatsaddle.balance.averages import RouteAverages
from kumquatsaddle.balance.beliefs import Observation
from kumquatsaddle.balance.budget import RetryLimits
from kumquatsaddle.balance.choice import is_short_of_slots
from kumquatsaddle.balance.overload import (
    DeadlineControl,
    QueueRefusal,
    QueueRule,
    ValueControl,
    queue_policies,
)
from kumquatsaddle.balance.pool import BalancedPool
from kumquatsaddle.balance.rank_shares import RankShares
from kumquatsaddle.balance.servers import BalancedServer
from kumquatsaddle.discovery.records import ServerRecord
from kumquatsaddle.dispatch.protocol import DEFAULT_PROTOCOL
from kumquatsaddle.exceptions import QueueRefusedError
from kumquatsaddle.logs import set_log_level
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.settings.fields import known_fields
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.types import Outcome, Rank, RefusalReason

SLOTS = 6


def add_waiter(control, request, now):
    control.record_arrival(request, now)
    waiter = control.make_waiter(
        request, frozenset(), request.deadline - 0.1, Event(), now
    )
    control.queue.add(waiter)
    return waiter


def start_first(control, now):
    """Start the first waiting request; return its waiter."""
    waiter = next(w for part in control.list_parts(now) for w in part)
    control.record_start(waiter.request, now)
    control.queue.remove(waiter)
    return waiter


@then("for any requests that arrive at a new queue none is refused")
def check_new_queue(context):
    arrivals = st.lists(
        st.tuples(st.floats(0.0, 0.02), st.sampled_from(Rank)), max_size=40
    )

    @for_all(arrivals)
    def check(drawn):
        control, now = ValueControl(RouteAverages(), Random(1)), 0.0
        for seconds, rank in drawn:
            now += seconds
            request = make_request(now, make_route(rank))
            assert control.check_arrival(request, now) is None
            add_waiter(control, request, now)
            assert control.find_refusals(now) == []

    check()


@then("for any requests the control by deadline refuses none")
def check_deadline_control(context):
    arrivals = st.lists(
        st.tuples(st.floats(0.0, 3.0), st.sampled_from(Rank), st.booleans()),
        max_size=40,
    )

    @for_all(arrivals)
    def check(drawn):
        control, now = DeadlineControl(make_averages()), 0.0
        for seconds, rank, starts in drawn:
            now += seconds
            request = make_request(now, make_route(rank))
            assert control.check_arrival(request, now) is None
            add_waiter(control, request, now)
            assert control.find_refusals(now) == []
            if starts:
                start_first(control, now)
            else:
                control.record_loss(request, now)

    check()
    policy = next(f for f in known_fields() if f.section == "queue")
    assert policy.default == "deadline"
    assert sorted(policy.choices) == queue_policies.names()


@given("a queue by value that starts 4 requests a second")
def prepare_queue(context):
    context.control = ValueControl(make_averages(), Random(1))
    # For 3 s, one of two waiting requests starts every 0.25 s and another one comes.
    for number in range(14):
        now = 0.25 * number
        add_waiter(context.control, make_request(now), now)
        if number > 1:
            start_first(context.control, now)
    context.now = now
    assert not context.control.find_refusals(now)


@when("20 requests with 2 seconds each arrive")
def add_twenty(context):
    context.added = []
    for _ in range(20):
        request = make_request(context.now)
        context.added.append(add_waiter(context.control, request, context.now))
    context.refusals = dict(context.control.find_refusals(context.now))


@then("most of those behind the 8th are refused and the first is not")
def check_refused(context):
    assert context.added[0] not in context.refusals
    refused = [waiter in context.refusals for waiter in context.added[8:]]
    assert sum(refused) >= 0.5 * len(refused), refused
    # The newest has the most requests before it.
    assert refused[-1]


@then("each refusal tells its place, the work before it and a time to return")
def check_refusals(context):
    for waiter, refusal in context.refusals.items():
        assert refusal.rule is QueueRule.HOPELESS
        assert refusal.place >= 4 and refusal.work_before > 0.5, refusal
        # 0.2 s of work for each of 4 starts a second.
        assert 0.4 < refusal.slot_rate < 1.6, refusal
        assert 1.0 < refusal.time_left < 2.0, refusal
        assert 0.1 <= refusal.retry_after <= 10.0, refusal


@then("for any starts and losses the surplus keeps the shares in the order of ranks")
def check_surplus(context):
    events = st.lists(st.tuples(st.sampled_from(Rank), st.booleans()), max_size=60)

    @for_all(events, st.integers(0, 30))
    def check(drawn, waiting):
        shares = RankShares()
        counts = {rank: [0, 0] for rank in Rank}
        for rank, is_started in drawn:
            (shares.add_start if is_started else shares.add_loss)(rank, 0.0)
            counts[rank][is_started] += 1
        for rank in Rank:
            surplus = shares.count_surplus(rank, waiting, 0.0)
            least = shares.compute_least_share(rank, 0.0)
            lost, started = counts[rank]
            if not any(counts[other][0] for other in Rank if other < rank):
                assert surplus == 0
                continue
            served = started + waiting
            ended = served + lost
            if ended:
                assert (served - surplus) / ended <= least + 1e-6
            # No more than needed is refused.
            if surplus:
                assert (served - surplus + 1) / ended > least - 1e-6

    check()


@given("a queue by value in which urgent and bulk requests wait")
def prepare_ranks(context):
    context.routes = {rank: make_route(rank, name=rank.name) for rank in Rank}
    averages = make_averages(*context.routes.values())
    context.control = ValueControl(averages, Random(1))
    for rank in (Rank.URGENT, Rank.BULK):
        for _ in range(3):
            add_waiter(context.control, make_request(0.0, context.routes[rank]), 0.0)


@when("the urgent ones start 100 times")
def start_many(context):
    for _ in range(20):
        context.control.record_loss(make_request(0.0, context.routes[Rank.BULK]), 0.0)
    context.started = []
    for _ in range(100):
        rank = start_first(context.control, 0.0).rank
        context.started.append(rank)
        add_waiter(context.control, make_request(0.0, context.routes[rank]), 0.0)


@then("bulk ones are next in 3 to 7 of the turns after a loss of one")
def check_floor(context):
    assert 3 <= context.started.count(Rank.BULK) <= 7, context.started


@given("{count:d} accounts that each send 1 request a second for {seconds:d} seconds")
def prepare_accounts(context, count, seconds):
    context.profiles, context.random = AccountProfiles(), Random(3)
    context.names = [f"a{number}" for number in range(count)]
    context.now = 0.0
    context.excess = {}
    send(context, dict.fromkeys(context.names, 1.0), seconds)


def send(context, rates, seconds, repeats=0):
    """Send requests at random times; count those in excess by account."""
    arrivals = []
    for name, rate in rates.items():
        time = context.now
        while True:
            time += context.random.expovariate(rate)
            if time > context.now + seconds:
                break
            arrivals.append((time, name, False))
            if name == context.names[0]:
                arrivals += [(time + 0.05 * n, name, True) for n in range(1, repeats)]
    context.excess = {name: [0, 0] for name in rates}
    for time, name, is_repeated in sorted(arrivals):
        is_excess = context.profiles.add_arrival(name, time, is_repeated)
        context.excess[name][is_excess] += 1
    context.now += seconds


@when("one of them sends {rate:d} requests a second for {seconds:d} seconds")
def send_flood(context, rate, seconds):
    rates = dict.fromkeys(context.names, 1.0)
    rates[context.names[0]] = float(rate)
    send(context, rates, seconds)


@then("most of its requests and few of the others are beyond the usual load")
def check_excess(context):
    usual, excess = context.excess[context.names[0]]
    assert excess > usual, (usual, excess)
    others = [context.excess[name] for name in context.names[1:]]
    usual_sum, excess_sum = (sum(values) for values in zip(*others, strict=True))
    assert excess_sum < 0.2 * (usual_sum + excess_sum), (usual_sum, excess_sum)


@then("at least a quarter of its requests are not")
def check_quarter(context):
    usual, excess = context.excess[context.names[0]]
    assert usual >= 0.25 * (usual + excess), (usual, excess)


@when("one of them repeats each request {count:d} times for {seconds:d} seconds")
def send_repeated(context, count, seconds):
    send(context, dict.fromkeys(context.names, 1.0), seconds, count)
    context.seconds = seconds


@then("fewer than {most:d} requests a second of it are within the usual load")
def check_repeated(context, most):
    usual, excess = context.excess[context.names[0]]
    assert usual < most * context.seconds, (usual, excess)
    assert excess > usual


def count_refused_excess(late, started, account):
    """Return how many of 100 requests beyond the usual load are refused."""
    control = ValueControl(make_averages(), Random(1))
    for number in range(started):
        request = make_request(0.0, account=account)
        # A late one starts when its objective has passed.
        control.record_start(request, 1.5 if number < late else 0.0)
    refused = 0
    for _ in range(100):
        request = make_request(1.5, account=account)
        request.is_excess = account is not None
        refusal = control.check_arrival(request, 1.5)
        if refusal is not None:
            assert refusal.rule is QueueRule.ACCOUNT
            refused += 1
    return refused


@then("requests beyond the usual load are refused only if others within it are late")
def check_excess_refused(context):
    assert count_refused_excess(0, 100, "a") == 0
    assert 20 <= count_refused_excess(5, 100, "a") <= 80
    assert count_refused_excess(30, 100, "a") == 100


@then("without accounts none is")
def check_no_accounts(context):
    assert count_refused_excess(30, 100, None) == 0


@then("after requests of {count:d} accounts at most {most:d} are remembered")
def check_memory(context, count, most):
    profiles = AccountProfiles()
    for number in range(count):
        profiles.add_arrival(f"a{number}", number / 100)
    assert len(profiles) <= most


def make_pool(metrics=None):
    averages = make_averages()
    limits = RetryLimits(0.1, 1, 10)
    pool = BalancedPool(
        "here",
        DEFAULT_PROTOCOL,
        limits,
        averages,
        policy="value",
        metrics=metrics,
        service="s",
    )
    address = Address("127.0.0.1", 1)
    pool.update({"b": ServerRecord("b", 1, "s", address, "here", SLOTS, False)})
    return pool


async def fill_pool(pool):
    """Return requests that take all slots."""
    started = [make_request(trio.current_time()) for _ in range(SLOTS)]
    for request in started:
        await pool.acquire_server(request, frozenset(), request.deadline)
    return started


@given("a full server and a pool with the order by value")
def prepare_full(context):
    context.log_lines = []
    set_log_level("INFO", context.log_lines.append)
    context.add_cleanup(set_log_level, "CRITICAL")
    context.metrics = make_metrics()
    context.refused = []


@when("30 requests of 2 seconds wait and 4 requests a second start")
def play_pool(context):
    async def ask(pool, started):
        request = make_request(trio.current_time())
        try:
            until = request.deadline - 0.2
            if await pool.acquire_server(request, frozenset(), until):
                started.append(request)
        except QueueRefusedError as error:
            context.refused.append(error)

    async def release(pool, started):
        (server,) = pool.servers.values()
        while True:
            await trio.sleep(0.25)
            pool.release(server, started.pop(0))

    async def run():
        pool = make_pool(context.metrics)
        started = await fill_pool(pool)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(release, pool, started)
            for _ in range(30):
                nursery.start_soon(ask, pool, started)
                await trio.sleep(0.1)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("some are refused as queue_full with a time to return")
def check_pool_refused(context):
    assert 3 <= len(context.refused) <= 20, len(context.refused)
    for error in context.refused:
        assert error.reason is RefusalReason.QUEUE_FULL
        assert error.retry_after >= 0.1


@then("the log tells place, work before, slot rate and time left")
def check_log(context):
    lines = [line for line in context.log_lines if "event=queue_refused" in line]
    assert lines
    pattern = r"rule=hopeless place=\d+ work_before_ms=\d+ slot_rate=[\d.]+ left_ms=\d+"
    assert all(re.search(pattern, line) for line in lines), lines


@then("the counter of refusals by rank and rule has the same number")
def check_counter(context):
    text = context.metrics.render_text().decode()
    pattern = r'kumquatsaddle_queue_refusals_total\{rank="bulk",rule="hopeless"\} (\d+)'
    assert int(re.search(pattern, text).group(1)) == len(context.refused), text
    assert 'kumquatsaddle_queue_length{rank="bulk",service="s"}' in text


@given("a server that failed fast and a pool with the order by value")
def prepare_doubtful(context):
    context.refused = []


@then("waiting requests are not refused early")
def check_not_refused(context):
    async def ask(pool, request):
        try:
            await pool.acquire_server(request, frozenset(), request.deadline - 0.2)
        except QueueRefusedError as error:
            context.refused.append(error)

    async def run():
        pool = make_pool()
        (server,) = pool.servers.values()
        for _ in range(4):
            server.observe(trio.current_time(), Observation.FAILED_FAST)
        async with trio.open_nursery() as nursery:
            for _ in range(15):
                request = make_request(trio.current_time())
                # Not repeatable, so that it waits for a healthy server at first.
                request.attempts_left = 0
                nursery.start_soon(ask, pool, request)
                await trio.sleep(0.1)
            assert pool.count_waiting() > 2
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    assert context.refused == []


@then("with {count:d} waiting requests a change takes one choice and no pass over all")
def check_cost(context, count):
    async def run():
        pool = make_pool()
        await fill_pool(pool)
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                request = make_request(trio.current_time())
                nursery.start_soon(
                    pool.acquire_server, request, frozenset(), request.deadline
                )
            await trio.testing.wait_all_tasks_blocked()
            assert pool.count_waiting() == count
            choose, choices, searches = pool._choose, [], []
            pool._choose = lambda *args: choices.append(1) or choose(*args)
            pool.assign_waiting()
            pool._control.find_refusals = lambda now: searches.append(1) or []
            for _ in range(10):
                pool.assign_waiting()
            assert len(choices) == 11, len(choices)
            assert not searches, len(searches)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock())


@then("for any waiting requests that are refused none reaches a server")
def check_refused_not_run(context):
    context.runs = []

    @settings(max_examples=15)
    @for_all(st.sets(st.integers(0, 5)))
    def check(places):
        answers, reached = trio.run(refuse_places, places)
        refused = [
            number
            for number, answer in answers.items()
            if answer.reason is RefusalReason.QUEUE_FULL
        ]
        assert len(refused) == len(places)
        for number in refused:
            answer = answers[number]
            assert (answer.outcome, answer.status) == (Outcome.NOT_RUN, 503), answer
            assert answer.retry_after == 1.5, answer
            assert f"/{number}" not in reached
        context.runs.append((len(answers) - len(refused), reached))

    check()


async def refuse_places(places):
    """Refuse some of 6 requests that wait; return all answers and what was reached."""
    refusal = QueueRefusal(QueueRule.HOPELESS, 1, 0.2, 0.8, 1.0, 1.5)
    answers = {}
    async with trio.open_nursery() as nursery:
        servers, dispatcher = await open_servers(nursery, 1, queue_policy="value")
        servers.default = ("late", 0)

        async def dispatch(number):
            request = make_scripted_request(number, False)
            answers[number] = await dispatcher.dispatch(request)

        for number in range(SLOTS + 6):
            nursery.start_soon(dispatch, number)
        await wait_until(lambda: len(servers.reached) == SLOTS)
        pool = dispatcher.pools["s"]
        await wait_until(lambda: pool.count_waiting() == 6)
        waiters = pool._waiters.list_in_order(trio.current_time())
        pool._control.find_refusals = lambda now: [
            (waiters[place], refusal) for place in places
        ]
        pool._refuse_scarce()
        pool._control.find_refusals = lambda now: []
        servers.release_answer.set()
        await wait_until(lambda: len(answers) == SLOTS + 6)
        nursery.cancel_scope.cancel()
    return answers, servers.reached


@then("each of the others runs once")
def check_others_once(context):
    for count, reached in context.runs:
        assert len(reached) == len(set(reached)) == count, (count, reached)


def count_as_short(doubtful, healthy=0):
    """Return whether 10 servers, of which some have all slots free, are a shortage."""
    address = Address("127.0.0.1", 1)
    servers = []
    for number in range(10):
        record = ServerRecord(f"b{number}", 1, "s", address, "here", SLOTS, False)
        server = BalancedServer(record, DEFAULT_PROTOCOL, 0.0)
        if number < doubtful:
            for _ in range(4):
                server.observe(0.0, Observation.FAILED_FAST)
        elif number >= doubtful + healthy:
            for key in range(SLOTS):
                server.begin(key, 0.0, 5.0)
        servers.append(server)
    return is_short_of_slots(servers, 0.0)


@then("one doubtful server of 10 with free slots is a shortage and three are none")
def check_single_doubtful(context):
    async def run():
        assert count_as_short(0) and count_as_short(1) and count_as_short(2)
        assert not count_as_short(3)

    trio.run(run)


@then("a healthy one with a free slot is none")
def check_healthy(context):
    async def run():
        assert not count_as_short(0, 1) and not count_as_short(1, 1)

    trio.run(run)


@then("for any usual loads and floods each account keeps a quarter of the share of all")
def check_no_starvation(context):
    accounts = st.lists(
        st.tuples(st.sampled_from([0.5, 1.0, 4.0]), st.sampled_from([1, 2, 3, 6, 9])),
        min_size=2,
        max_size=6,
    )

    @settings(max_examples=30)
    @for_all(accounts)
    def check(drawn):
        context.profiles, context.random = AccountProfiles(), Random(5)
        context.names = [f"a{number}" for number in range(len(drawn))]
        context.now = 0.0
        usual = {f"a{n}": rate for n, (rate, _) in enumerate(drawn)}
        send(context, usual, 60)
        send(context, {f"a{n}": r * factor for n, (r, factor) in enumerate(drawn)}, 15)
        sums = [sum(values) for values in zip(*context.excess.values(), strict=True)]
        for name, (within, beyond) in context.excess.items():
            sent = within + beyond
            assert within / max(1, sent) >= 0.25 * sums[0] / sum(sums) or sent < 20, (
                name,
                context.excess,
            )

    check()
