import trio
import trio.testing
from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st
from quota_zones import BOUNDS, QuotaZones, compute_bound, count_most

from kumquatsaddle.accounts import Quota

SETTLE_SECONDS = 6.0
CALM_SECONDS = 10.0
# Until an instance that returned has learnt of the others, and the takeover delay.
RECOVERY_SECONDS = 6.0
MIN_USED = 0.9
ROUNDING = 1e-6
SEED = 7


async def cut_off(fleet, rate):
    chosen = fleet.random.sample(fleet.instances, int(0.3 * len(fleet.instances)))
    for group, instance in enumerate(chosen, 1):
        instance.group = group
    await fleet.send_load(rate, 8.0)
    for instance in chosen:
        instance.group = 0


async def separate_zones(fleet, rate):
    for instance in fleet.instances:
        instance.group = instance.record.zone
    await fleet.send_load(rate, 8.0)
    for instance in fleet.instances:
        instance.group = 0


async def kill_half(fleet, rate):
    chosen = fleet.random.sample(fleet.instances, len(fleet.instances) // 2)
    for instance in chosen:
        fleet.kill(instance)
    await fleet.send_load(rate, 2.0)
    for instance in chosen:
        fleet.restart(instance)


async def kill_owner(fleet, rate):
    owner = fleet.find_owner()
    fleet.kill(owner)
    await fleet.send_load(rate, 8.0)
    fleet.restart(owner)


async def suspend_owner(fleet, rate):
    await fleet.suspend(fleet.find_owner(), lambda: fleet.send_load(rate, 4.0))


async def do_nothing(fleet, rate):
    await fleet.send_load(rate, 8.0)


FAULTS = {
    "nothing happens for 8 seconds": do_nothing,
    "30 % of the instances are cut off for 8 seconds": cut_off,
    "the zones cannot communicate for 8 seconds": separate_zones,
    "half of the instances are killed and return after 2 seconds": kill_half,
    "the owner is killed and returns after 8 seconds": kill_owner,
    "the owner is suspended for 4 seconds": suspend_owner,
}


@given(
    "3 zones of {size:d} instances and an account with {rate:d} requests/s"
    " and a burst of {burst:d}"
)
def prepare_zones(context, size, rate, burst):
    context.size, context.quota = size, Quota(rate, burst)


@when("the account sends twice its quota and {fault}")
def play_fault(context, fault):
    # Hypothesis seeds the scheduler of trio.
    @settings(max_examples=1, phases=[Phase.generate])
    @for_all(st.none())
    def run_once(_):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(play, context, FAULTS[fault], clock=clock)

    run_once()


async def play(context, fault):
    quota = context.quota
    rate = 2 * quota.rate
    async with trio.open_nursery() as nursery:
        fleet = context.fleet = QuotaZones(nursery, context.size, quota, SEED)
        for instance in fleet.instances:
            fleet.start(instance)
        await fleet.send_load(rate, SETTLE_SECONDS)
        context.calm_from = trio.current_time()
        await fleet.send_load(rate, CALM_SECONDS)
        await fault(fleet, rate)
        await fleet.send_load(rate, RECOVERY_SECONDS)
        context.recovered_from = trio.current_time()
        await fleet.send_load(rate, CALM_SECONDS)
        nursery.cancel_scope.cancel()


def check_used(context, since):
    times = context.fleet.runs
    used = sum(since <= time < since + CALM_SECONDS for time in times)
    expected = context.quota.rate * CALM_SECONDS
    assert used >= MIN_USED * expected, (used, expected)


@then("in no window it gets more than its bound")
def check_bound(context):
    most = count_most(context.fleet.runs, BOUNDS.window)
    assert most <= compute_bound(context.quota), (most, compute_bound(context.quota))


@then("it got at least 90 % of its quota before")
def check_used_before(context):
    check_used(context, context.calm_from)


@then("it gets at least 90 % of its quota again from 6 seconds after")
def check_used_after(context):
    check_used(context, context.recovered_from)


@then("every refusal has a Retry-After and took at most {seconds:g} seconds")
def check_refusals(context, seconds):
    assert context.fleet.refusals
    for _, error, time in context.fleet.refusals:
        assert error.retry_after > 0, error
        assert time <= seconds + ROUNDING, (error, time)
