from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.balance.allowance import AllowanceShare
from kumquatsaddle.balance.budget import RetryLimits, SlidingRetryBudget

SHARE, ALLOWANCE, WINDOW = 0.2, 6.0, 10.0
INSTANCES = 3


@then("retries of any instances in any window stay within the limits of the fleet")
def check_budget(context):
    event = st.tuples(
        st.floats(0, 3), st.integers(0, INSTANCES - 1), st.sampled_from("rqqt")
    )

    @for_all(st.lists(event, max_size=150))
    def check(events):
        now, requests, retries = 0.0, [], []
        budgets = []
        for _ in range(INSTANCES):
            limits = RetryLimits(SHARE, ALLOWANCE, WINDOW)
            limits.fraction = 1 / INSTANCES
            budgets.append(SlidingRetryBudget(limits, lambda: now))
        for pause, index, kind in events:
            now += pause
            if kind == "q":
                budgets[index].add_request()
                requests.append(now)
            elif budgets[index].try_withdraw():
                retries.append(now)
            start = now - WINDOW
            counted = [time for time in requests if time >= start]
            made = [time for time in retries if time >= start]
            # Each retry was allowed for the requests in the window that ended with it.
            # That window begins at most one window length before `start`.
            before = [time for time in requests if time >= start - WINDOW]
            allowed = SHARE * max(len(counted), len(before)) + ALLOWANCE
            assert len(made) <= allowed, (made, allowed)

    check()


@then("a budget keeps no request that is older than its window")
def check_memory(context):
    now = 0.0
    budget = SlidingRetryBudget(RetryLimits(SHARE, ALLOWANCE, WINDOW), lambda: now)
    for _ in range(1000):
        now += 1.0
        budget.add_request()
    assert len(budget) <= WINDOW + 1, len(budget)


@then("the allowance holds however often the active instances change")
def check_allowance(context):
    count, active_count = 6, 2
    event = st.tuples(
        st.floats(0, 4),
        st.sets(st.integers(0, count - 1), max_size=active_count),
        st.integers(0, count - 1),
        st.integers(1, 9),
    )

    @for_all(st.lists(event, max_size=80))
    def check(events):
        now, retries = 0.0, []
        shares = [AllowanceShare() for _ in range(count)]
        limits = [RetryLimits(0.0, 60.0, WINDOW) for _ in range(count)]
        budgets = [SlidingRetryBudget(item, lambda: now) for item in limits]
        for pause, active, caller, wanted in events:
            now += pause
            for index, share in enumerate(shares):
                share.update(now, WINDOW, index in active, active_count, count)
                limits[index].fraction = share.fraction
            retries += [now for _ in range(wanted) if budgets[caller].try_withdraw()]
            made = sum(time >= now - WINDOW for time in retries)
            assert made <= 60.0, made

    check()


@then("an instance that stays active may use {part:d} of {active:d} parts of {whole:d}")
def check_active_share(context, part, active, whole):
    share = AllowanceShare()
    for now in range(0, int(WINDOW) + 1):
        share.update(float(now), WINDOW, True, active, 100)
    assert share.fraction * whole >= part, share.fraction
