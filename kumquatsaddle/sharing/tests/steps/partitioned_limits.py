import trio
from behave import then
from limited_fleet import LimitedFleet
from rate_limits import FACTOR, GRACE_SECONDS, SLACK, WINDOW_SECONDS, play_repeatably

RATE, LOAD = 8.0, 160.0
CUT_SECONDS = 12.0


async def serve_separated(nursery, zones, separate, seed):
    fleet = LimitedFleet(nursery, zones, 5, 2, seed)
    await fleet.start()
    for server in fleet.servers:
        server.name_rate(RATE)
    await fleet.send_load(LOAD, 5.0)
    fleet.separate_zones = frozenset(separate)
    fleet.separated_at = trio.current_time()
    await fleet.send_load(LOAD, CUT_SECONDS)
    fleet.separate_zones = frozenset()
    await fleet.send_load(LOAD, 5.0)
    return fleet


@then("no server gets more than its limit while zones do not hear each other")
def check_separated(context):
    for zones, separate in ((2, ["z0"]), (3, ["z1"]), (4, ["z0", "z3"])):
        fleet = play_repeatably(serve_separated, zones, separate, 1)
        for server in fleet.servers:
            server.rate_named_at = fleet.separated_at
        excess = fleet.count_excess(WINDOW_SECONDS, SLACK, FACTOR, 0.0)
        assert excess <= 0, (zones, separate, excess)


@then("each server gets at least half of its rate while one zone of three is cut off")
def check_used(context):
    fleet = play_repeatably(serve_separated, 3, ["z2"], 1)
    start = fleet.separated_at + GRACE_SECONDS
    end = fleet.separated_at + CUT_SECONDS
    for server in fleet.servers:
        number = sum(start < time < end for time, _ in server.arrivals)
        rate = number / (end - start)
        # The zone that is cut off has a third of each rate.
        least = 0.5 if server.record.zone != "z2" else 0.25
        assert rate >= least * RATE, (server.record.name, rate)
