from behave import then, when

from benchmarks.overload import Load, simulate

POLICIES = ("deadline", "value")
# Difference of two shares that chance explains: three standard errors.
CHANCE_ERRORS = 3.0
# Difference of the worth of two runs with other arrivals.
WORTH_CHANCE = 0.01
# Accounts with fewer requests show nothing but chance.
MIN_REQUESTS = 30


def play(context, load):
    context.results[load] = {policy: simulate(policy, load) for policy in POLICIES}


@when("{mix} requests are sent for {seconds:d} seconds at loads of {loads}")
def play_loads(context, mix, seconds, loads):
    context.results = {}
    for factor in loads.split():
        play(context, Load(mix, float(factor), float(seconds)))


@when("reads are sent for {seconds:d} seconds in bursts of {loads}")
def play_bursts(context, seconds, loads):
    context.results = {}
    for factor in loads.split():
        play(context, Load("reads", float(factor), float(seconds), burst=True))


@when("reads are sent at {factor:g} with one account at {flood:g} times its usual load")
def play_flood(context, factor, flood):
    context.results = {}
    play(context, Load("reads", factor, 20.0, flood=flood))


@when(
    "reads are sent at {factor:g} with the largest account at {flood:g} times its "
    "usual load"
)
def play_largest(context, factor, flood):
    context.results = {}
    play(context, Load("reads", factor, 20.0, flood=flood, flooding_account="a0"))


@when("reads are sent at {factor:g} with one account that repeats at once and often")
def play_storm(context, factor):
    context.results = {}
    play(context, Load("reads", factor, 20.0, flood=3.0, storm=True))


def compute_error(tally):
    share = tally.served_share
    return (share * (1.0 - share) / tally.sent) ** 0.5


@then("with the order by value no kind of higher rank is served less often")
def check_ranks(context):
    for load, results in context.results.items():
        kinds = results["value"].list_kinds_by_rank()
        for urgent, other in zip(kinds, kinds[1:], strict=False):
            chance = CHANCE_ERRORS * (compute_error(urgent) + compute_error(other))
            assert urgent.served_share >= other.served_share - chance, (
                load,
                urgent,
                other,
            )


@then("none waits until its latest start")
def check_expired(context):
    for load, results in context.results.items():
        result = results["value"]
        # Those that begin to wait before anything is known may.
        assert result.expired <= 0.01 * result.attempts, (load, result.expired)


@then("at each load the answers are worth at least as much as by deadline")
def check_worth(context):
    for load, results in context.results.items():
        worth, before = (results[name].total.worth_share for name in POLICIES[::-1])
        assert worth >= before - WORTH_CHANCE, (load, worth, before)


@then("beyond the capacity more is answered in time than by deadline")
def check_in_time(context):
    for load, results in context.results.items():
        if load.factor > 1.0:
            value, deadline = (results[name].total for name in POLICIES[::-1])
            assert value.in_time / value.sent > deadline.in_time / deadline.sent, load


@then("the answers to the other accounts are worth more than by deadline")
def check_others(context):
    for load, results in context.results.items():
        value, deadline = (
            compute_worth(list_others(results[name], load)) for name in POLICIES[::-1]
        )
        assert value > deadline, (load, value, deadline)


def list_others(result, load):
    return [
        tally
        for name, tally in result.by_account.items()
        if name != load.flooding_account
    ]


def compute_worth(tallies):
    return sum(t.worth for t in tallies) / sum(t.most for t in tallies)


@then("the other accounts are served more often than the flooding one")
def check_protected(context):
    for load, results in context.results.items():
        result = results["value"]
        others = list_others(result, load)
        served = sum(t.in_time + t.late for t in others) / sum(t.sent for t in others)
        flooding = result.by_account[load.flooding_account]
        assert served > flooding.served_share, (load, served, flooding)


@then("each account is served at least a quarter as often as all")
def check_accounts(context):
    for load, results in context.results.items():
        result = results["value"]
        least = min(
            tally.served_share
            for tally in result.by_account.values()
            if tally.sent >= MIN_REQUESTS
        )
        assert least >= 0.25 * result.total.served_share, (load, least)
