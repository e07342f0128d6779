import trio
import trio.testing
from behave import given, then
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st
from limited_fleet import TIMEOUT_SECONDS, LimitedFleet

from kumquatsaddle.types import Outcome, RefusalReason

# A server may get this factor times its rate in a window, and a few requests more, from
# some seconds after it first stated a rate.
WINDOW_SECONDS = 4.0
FACTOR = 1.5
SLACK = 5
GRACE_SECONDS = 3.0
# Of times on the virtual clock, in seconds.
ROUNDING = 1e-6
# Low, because each example plays half a minute of a fleet.
EXAMPLES = 12
RATES = st.sampled_from([0.0, 0.3, 1.0, 2.4, 6.0, 20.0])


def play(scenario, *arguments):
    """Run an async function with a nursery on a virtual clock."""

    async def run():
        async with trio.open_nursery() as nursery:
            result = await scenario(nursery, *arguments)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def play_repeatably(scenario, *arguments):
    """Run an async function as `play`, with the tasks in the same order each time."""
    results = []

    # Hypothesis seeds the scheduler of trio.
    @settings(max_examples=1, phases=[Phase.generate])
    @for_all(st.none())
    def run_once(_):
        results.append(play(scenario, *arguments))

    run_once()
    return results[0]


async def serve_limited(nursery, rates, instances, load, seed):
    fleet = LimitedFleet(nursery, 3, instances, 3, seed)
    await fleet.start()
    await fleet.send_load(load, 3.0)
    for server, rate in zip(fleet.servers, rates, strict=False):
        server.name_rate(rate)
    await fleet.send_load(load, 20.0)
    return fleet


@then("for any limits and numbers of instances no server gets more than its limit")
def check_within_limits(context):
    # Without shrinking, which would play hundreds of fleets after a failure.
    @settings(max_examples=EXAMPLES, phases=[Phase.explicit, Phase.generate])
    @for_all(
        st.lists(RATES, min_size=1, max_size=9),
        st.sampled_from([1, 4, 12, 24]),
        st.sampled_from([10.0, 40.0, 90.0]),
        st.integers(0, 1000),
    )
    def check(rates, instances, load, seed):
        fleet = play(serve_limited, rates, instances, load, seed)
        excess = fleet.count_excess(WINDOW_SECONDS, SLACK, FACTOR, GRACE_SECONDS)
        assert excess <= 0, excess

    check()


async def serve_disturbed(nursery, rates, disturbance, seed):
    fleet = LimitedFleet(nursery, 3, 5, 3, seed)
    await fleet.start()
    for server, rate in zip(fleet.servers, rates, strict=False):
        server.name_rate(rate)
    await fleet.send_load(40.0, 6.0)
    await disturbance(fleet)
    await fleet.send_load(40.0, 12.0)
    return fleet


async def kill_zone(fleet):
    for instance in fleet.instances:
        if instance.record.zone == "z1":
            instance.kill()


async def kill_and_restart(fleet):
    instance = fleet.instances[0]
    instance.kill()
    await fleet.send_load(40.0, 3.0)
    await fleet.restart_instance(instance)


async def cut_off(fleet):
    fleet.instances[0].is_cut = True
    await fleet.send_load(40.0, 4.0)
    fleet.instances[0].is_cut = False


async def lower_and_raise(fleet):
    for rate in (1.0, 8.0):
        for server in fleet.servers[::2]:
            server.name_rate(rate)
        await fleet.send_load(40.0, 6.0)


@then("no server gets more than its limit from instances that are not disturbed")
def check_disturbed(context):
    for disturbance in (kill_zone, kill_and_restart, cut_off, lower_and_raise):
        for seed in range(3):
            rates = [1.0, 3.0, 0.5, 6.0]
            fleet = play_repeatably(serve_disturbed, rates * 3, disturbance, seed)
            excess = fleet.count_excess(WINDOW_SECONDS, SLACK, FACTOR, GRACE_SECONDS)
            assert excess <= 0, (disturbance.__name__, seed, excess)


@given("a fleet with more requests than its servers with limits accept")
def prepare_overload(context):
    rates = [2.0, 1.0, 4.0] * 3
    context.fleet = play_repeatably(serve_limited, rates, 4, 60.0, 1)


@given("an overloaded fleet in which all servers but one have limits")
def prepare_spared(context):
    rates = [None, *[1.0] * 8]
    context.fleet = play_repeatably(serve_limited, rates, 4, 60.0, 1)


@then("few requests wait until their time is over and are refused then")
def check_waited(context):
    start = context.fleet.servers[1].rate_named_at + GRACE_SECONDS
    refused = [item for item in context.fleet.answers if item[2].status == 503]
    waited = [end - begin for begin, end, _ in refused if begin > start]
    assert waited
    long = sum(time > 0.5 * TIMEOUT_SECONDS for time in waited)
    assert long < 0.1 * len(waited), (long, len(waited))


@then("each server gets at least {share:g} times its rate")
def check_used(context, share):
    for server in context.fleet.servers:
        start = server.rate_named_at + GRACE_SECONDS
        times = [time for time, _ in server.arrivals if time > start]
        rate = len(times) / (20.0 - GRACE_SECONDS)
        assert rate >= share * server.rate, (server.record.name, server.rate, rate)


@then("each request that was refused is told when to come back and was refused at once")
def check_refused(context):
    refused = [item for item in context.fleet.answers if item[2].status == 503]
    assert refused
    at_once = 0
    for started, ended, answer in refused:
        assert answer.outcome is Outcome.NOT_RUN
        assert answer.reason is RefusalReason.BACKEND_LIMIT, answer
        assert answer.retry_after > 0
        assert ended - started < TIMEOUT_SECONDS
        at_once += ended - started < 0.01
    # The others waited for a place that a newer request with an earlier deadline took,
    # or for a limit that became known later.
    assert at_once > 0.9 * len(refused), (at_once, len(refused))


@then("no request that was accepted misses its deadline")
def check_in_time(context):
    for started, ended, answer in context.fleet.answers:
        assert ended - started <= TIMEOUT_SECONDS + ROUNDING, (started, ended, answer)


async def end_limits(nursery):
    fleet = LimitedFleet(nursery, 2, 6, 3, 5)
    await fleet.start()
    for server in fleet.servers:
        server.name_rate(1.0)
    await fleet.send_load(30.0, 10.0)
    for server in fleet.servers:
        server.name_rate(None)
    before = [len(server.arrivals) for server in fleet.servers]
    await fleet.send_load(30.0, 4.0)
    known = [
        server.rate_limit.rate
        for instance in fleet.instances
        for server in instance.dispatcher.list_servers()
    ]
    await fleet.send_load(30.0, 6.0)
    return fleet, before, known


@given("a fleet in which limits of 1 request a second end")
def prepare_end(context):
    context.fleet, context.before, context.known = play_repeatably(end_limits)


@then("no instance knows a limit 4 seconds later")
def check_ended(context):
    assert set(context.known) == {None}, context.known


@then("each server gets more than before")
def check_used_again(context):
    for server, before in zip(context.fleet.servers, context.before, strict=True):
        assert len(server.arrivals) - before > before, (before, len(server.arrivals))


async def end_while_cut(nursery):
    fleet = LimitedFleet(nursery, 2, 6, 3, 5)
    await fleet.start()
    for server in fleet.servers:
        server.name_rate(1.0)
    await fleet.send_load(30.0, 5.0)
    cut = fleet.instances[0]
    cut.is_cut = True
    for server in fleet.servers:
        server.name_rate(None)
    await fleet.send_load(30.0, 20.0, without=cut)
    cut.is_cut = False
    await fleet.send_load(30.0, 35.0, without=cut)
    await fleet.send_load(30.0, 8.0)
    return cut


@given("limits that end while an instance without requests is cut off for 20 seconds")
def prepare_cut(context):
    context.cut = play_repeatably(end_while_cut)


@then("it knows no limit 35 seconds later, after 8 seconds with requests")
def check_forgotten(context):
    servers = context.cut.dispatcher.list_servers()
    limited = [server.name for server in servers if server.rate_limit.rate is not None]
    assert not limited, limited


async def serve_dark_zone(nursery):
    fleet = LimitedFleet(nursery, 3, 4, 3, 7)
    await fleet.start()
    for server in fleet.servers:
        if server.record.zone == "z1":
            server.name_rate(1.0)
    await fleet.send_load(30.0, 5.0)
    await kill_zone(fleet)
    await fleet.send_load(30.0, 70.0)
    return fleet


@given("limits for 75 seconds in a zone that loses all its instances")
def prepare_dark_zone(context):
    context.fleet = play_repeatably(serve_dark_zone)


@then("all other instances still know the limits")
def check_known(context):
    for instance in context.fleet.instances:
        servers = instance.dispatcher.list_servers()
        rates = {item.name for item in servers if item.rate_limit.rate is not None}
        named = {item.record.name for item in context.fleet.servers if item.rate}
        assert not instance.alive or rates == named, (instance.record.name, rates)


@then("no server gets more than its limit, from any zone")
def check_dark_zone(context):
    excess = context.fleet.count_excess(WINDOW_SECONDS, SLACK, FACTOR, GRACE_SECONDS)
    assert excess <= 0, excess
