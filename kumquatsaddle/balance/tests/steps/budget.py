from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.balance.budget import RepeatBudget, RepeatTerms

SHARE, ALLOWANCE, WINDOW = 0.2, 6.0, 10.0
INSTANCES = 3


@then("repeats of any instances in any window stay within the terms of the fleet")
def check_budget(context):
    event = st.tuples(
        st.floats(0, 3), st.integers(0, INSTANCES - 1), st.sampled_from("rqqt")
    )

    @for_all(st.lists(event, max_size=150))
    def check(events):
        now, requests, repeats = 0.0, [], []
        budgets = []
        for _ in range(INSTANCES):
            terms = RepeatTerms(SHARE, ALLOWANCE, WINDOW)
            terms.instances = INSTANCES
            budgets.append(RepeatBudget(terms, lambda: now))
        for pause, index, kind in events:
            now += pause
            if kind == "q":
                budgets[index].add_request()
                requests.append(now)
            elif budgets[index].take():
                repeats.append(now)
            start = now - WINDOW
            counted = [time for time in requests if time >= start]
            made = [time for time in repeats if time >= start]
            # Each request was counted when its repeat was taken, so a window that
            # ends here may miss only requests of the window before it.
            before = [time for time in requests if time >= start - WINDOW]
            allowed = SHARE * max(len(counted), len(before)) + ALLOWANCE
            assert len(made) <= allowed, (made, allowed)

    check()


@then("a budget remembers no request that is older than its window")
def check_memory(context):
    now = 0.0
    budget = RepeatBudget(RepeatTerms(SHARE, ALLOWANCE, WINDOW), lambda: now)
    for _ in range(1000):
        now += 1.0
        budget.add_request()
    assert len(budget) <= WINDOW + 1, len(budget)
