import random

from behave import then, when

from benchmarks.detection import Simulation
from kumquatsaddle.testing.pools import read_count
from kumquatsaddle.types import BackendState

FLAP_PHASE_SECONDS = 0.5


@when("b0 is ejected by errors and {seconds:d} seconds pass")
def eject_by_errors(context, seconds):
    for _ in range(6):
        context.bench.record_request("b0", failed=True)
    assert context.bench.health("b0").state is BackendState.EJECTED
    context.bench.wait(seconds)


@then("b0 takes 1 idempotent request at a time and no other requests")
def check_probation(context):
    server = context.bench.pool.servers["b0"]
    assert server.health.state is BackendState.PROBATION
    assert server.has_room(True) and not server.has_room(False)
    server.in_flight = 1
    assert not server.has_room(True)
    server.in_flight = 0


@when("b0 answers well for 3 seconds")
def answer_well(context):
    for _ in range(30):
        context.bench.record_request("b0")
        context.bench.wait(0.08)
        if context.bench.health("b0").state is BackendState.WARMING:
            return


@then("b0 doubles its limit from 1 to 6 and takes non-idempotent requests from 4 on")
def check_warming(context):
    server = context.bench.pool.servers["b0"]
    for limit in (1, 2, 4):
        assert server.health.state is BackendState.WARMING
        assert server.count_free_slots() == limit
        assert server.has_room(False) == (limit >= 3)
        for _ in range(20):
            context.bench.record_request("b0")
    assert (
        server.health.state is BackendState.HEALTHY and server.count_free_slots() == 6
    )


@then("b0 had 1 return by {cause:w}")
def check_returns(context, cause):
    assert read_count(context.bench.metrics, "returns", cause=cause) == 1


@when("b0 answers slowly 2 times")
def answer_slowly(context):
    for _ in range(2):
        context.bench.record_request("b0", latency=5.0)


@then("b0 is ejected for 10 seconds")
def check_doubled(context):
    health = context.bench.health("b0")
    assert health.state is BackendState.EJECTED
    assert health.ejection_time == 10


@when("30 seconds pass without idempotent requests")
def wait_idle(context):
    context.bench.wait(30)


@then("b0 takes non-idempotent requests with limit 1")
def check_idle_return(context):
    server = context.bench.pool.servers["b0"]
    assert server.has_room(False) and server.count_free_slots() == 1
    check_returns(context, "probation_idle")


@then("a flapping server is used less than 5 percent of 600 seconds, for 3 seeds")
def check_flapping(context):
    for seed in range(3):
        sim = Simulation(random.Random(seed))
        sim.run_until(10)
        sim.behaviour["b0"] = lambda now: (
            0.6 if int(now / FLAP_PHASE_SECONDS) % 2 else 0.01,
            1.0,
        )
        used = 0
        for tick in range(6000):
            sim.run_until(10 + tick / 10)
            used += sim.pool.servers["b0"].health.state in (
                BackendState.HEALTHY,
                BackendState.WARMING,
            )
        assert used < 0.05 * 6000, (seed, used)
        assert sim.pool.servers["b0"].health.ejection_time >= 80
