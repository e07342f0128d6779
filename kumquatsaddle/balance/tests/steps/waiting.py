from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st
from queue_samples import make_route, make_waiter

from kumquatsaddle.balance.waiting import (
    DeadlineOrder,
    ValueOrder,
    WaitingRequests,
)
from kumquatsaddle.balance.work import WorkEstimates
from kumquatsaddle.types import Rank

ORDERS = (DeadlineOrder, ValueOrder)
TIMES = st.floats(0.0, 10.0)
WAITERS = st.lists(
    st.builds(make_waiter, st.sampled_from(Rank), TIMES, TIMES, st.booleans()),
    max_size=20,
)


@then("for any waiting requests both orders list more urgent ranks first")
def check_ranks(context):
    @for_all(WAITERS, TIMES)
    def check(waiters, now):
        for order in ORDERS:
            waiting = WaitingRequests(order())
            for waiter in waiters:
                waiting.add(waiter)
            ranks = [waiter.rank for waiter in waiting.list_in_order(now)]
            assert ranks == sorted(ranks), ranks

    check()


@then("for any additions, removals and times the order lists each waiting request once")
def check_contents(context):
    actions = st.lists(
        st.tuples(st.booleans(), st.integers(0, 19), st.floats(0.0, 2.0)), max_size=60
    )

    @for_all(WAITERS, actions)
    def check(waiters, drawn):
        for order in ORDERS:
            waiting, held, now = WaitingRequests(order()), set(), 0.0
            for adds, number, seconds in drawn:
                now += seconds
                if number >= len(waiters):
                    continue
                waiter = waiters[number]
                if adds and waiter not in held:
                    waiting.add(waiter)
                    held.add(waiter)
                elif not adds and waiter in held:
                    waiting.remove(waiter)
                    held.remove(waiter)
                listed = waiting.list_in_order(now)
                assert len(listed) == len(held) and set(listed) == held
                check_counts(waiting, held)

    check()


def check_counts(waiting, held):
    for rank in Rank:
        count = sum(waiter.rank == rank for waiter in held)
        assert waiting.count_by_rank(rank) == count
    work = sum(waiter.work for waiter in held)
    assert abs(waiting.sum_work(Rank.BULK) - work) < 1e-6
    keys = {waiter.selection_key for waiter in held}
    assert set(waiting.list_selection_keys()) == keys


def list_order(context, order):
    waiting = WaitingRequests(order())
    for waiter in context.waiters:
        waiting.add(waiter)
    return waiting.list_in_order(1.0)


@given("a waiting request past its objective and a newer one within it")
def prepare_past(context):
    context.waiters = [
        make_waiter(Rank.STANDARD, 0.5, 2.0),
        make_waiter(Rank.STANDARD, 1.5, 3.0),
    ]


@given("a waiting request of a flood and a newer late one of another account")
def prepare_flood(context):
    context.waiters = [
        make_waiter(Rank.STANDARD, 1.5, 2.0, is_excess=True),
        make_waiter(Rank.STANDARD, 0.5, 3.0),
    ]


@then("the order by value begins with the newer one")
def check_newer(context):
    assert list_order(context, ValueOrder) == context.waiters[::-1]


@then("the order by deadline begins with the older one")
def check_older(context):
    assert list_order(context, DeadlineOrder) == context.waiters


@then("for any response times the estimate is a quantile of the latest ones")
def check_quantile(context):
    @for_all(st.lists(st.floats(0.002, 50.0), min_size=10, max_size=200))
    def check(times):
        work, route = WorkEstimates(), make_route()
        for _ in range(1000):
            # Older times, which count little after as many new ones.
            work.add(route, 90.0)
        for _ in range(8):
            for seconds in times * (256 // len(times) + 1):
                work.add(route, seconds)
        estimate = work.estimate(route, 0.8)
        ordered = sorted(times)
        low = ordered[max(0, int(0.75 * len(times)) - 1)]
        high = ordered[min(len(times) - 1, int(0.85 * len(times)) + 1)]
        # Times are known up to the width of their bucket.
        assert low / 1.26 <= estimate <= high * 1.26, (low, estimate, high)

    check()


@then("a route without enough answers has no estimate")
def check_no_estimate(context):
    work, route = WorkEstimates(), make_route()
    assert work.estimate(route, 0.8) is None
    for _ in range(9):
        work.add(route, 0.2)
    assert work.estimate(route, 0.8) is None
    work.add(route, 0.2)
    assert 0.15 < work.estimate(route, 0.8) < 0.25


@then("routes that are no longer published are forgotten")
def check_forgotten(context):
    work, kept, dropped = WorkEstimates(), make_route(), make_route(name="d")
    for _ in range(10):
        work.add(kept, 0.2)
        work.add(dropped, 0.2)
    assert work.estimate(dropped, 0.8) is not None
    work.retain_routes(["r"])
    assert work.estimate(dropped, 0.8) is None
    assert work.estimate(kept, 0.8) is not None
