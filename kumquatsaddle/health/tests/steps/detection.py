import random

import trio
import trio.testing
from behave import given, then, when

from benchmarks.detection import Simulation
from kumquatsaddle.addresses.groups import Backend, Group
from kumquatsaddle.dispatch.digests import ServiceDigest
from kumquatsaddle.dispatch.pools import make_pool
from kumquatsaddle.health.sequential import make_slow_test
from kumquatsaddle.testing.pools import SERVICE, SimulatedPool, read_count
from kumquatsaddle.types import BackendState, RefusalReason


@then("no server is ejected when all 4 become 10 times slower, for 5 seeds")
def check_slow_service(context):
    for seed in range(5):
        sim = Simulation(random.Random(seed))
        sim.run_until(10)
        sim.behaviour = dict.fromkeys(sim.behaviour, lambda now: (0.01, 10.0))
        sim.run_until(60)
        assert not sim.ejected, (seed, sim.ejected)


def run_lone_server(other_homes_median):
    sim = Simulation(random.Random(1), servers=1, floor=0.0)
    digest = ServiceDigest("s", 0.02, 0.07, 512, 0, 0)
    sim.pool.update_peers([digest])
    sim.run_until(10)
    sim.behaviour["b0"] = lambda now: (0.01, 10.0)
    sim.run_until(11)
    digest = ServiceDigest("s", other_homes_median, 3 * other_homes_median, 512, 0, 0)
    sim.pool.update_peers([digest])
    sim.run_until(20)
    return sim.ejected


@then("the only server of a home stays while the digests of the other homes are slow")
def check_lone_stays(context):
    assert not run_lone_server(0.2)


@then(
    "the only server of a home is ejected while the digests of the other homes are fast"
)
def check_lone_ejected(context):
    assert 11 < run_lone_server(0.02)["b0"] < 13


@then("1 slow server of 2 is ejected for slow answers, for 5 seeds")
def check_slow_server(context):
    for seed in range(5):
        sim = Simulation(random.Random(seed), servers=2)
        sim.run_until(10)
        sim.behaviour["b0"] = lambda now: (0.01, 10.0)
        sim.run_until(13)
        assert list(sim.ejected) == ["b0"], (seed, sim.ejected)
        assert read_count(sim.metrics, "ejections", cause="slow") == 1


@given("a pool with 4 servers")
def make_bench(context):
    context.bench = SimulatedPool()


@when("3 requests to b0 pass the slow limit and are answered later")
def pass_limit(context):
    bench = context.bench
    server = bench.pool.servers["b0"]
    for key in range(3):
        bench.pool.begin_request(server, key)
    bench.wait(1.1)
    bench.pool.advance()
    assert bench.health("b0").slow_evidence > 9
    for key in range(3):
        bench.pool.record_answer(server, 1.2, False, key)


@then("b0 has the evidence of 3 slow answers")
def check_evidence(context):
    test = make_slow_test()
    for _ in range(3):
        test.add(True)
    assert context.bench.health("b0").slow_evidence == test.value


@when("7 requests to b0 are never answered")
def never_answer(context):
    bench = context.bench
    for key in range(10, 17):
        bench.pool.begin_request(bench.pool.servers["b0"], key)
    # A fast answer of a peer shows that the service is not slow.
    bench.now += 1.05
    bench.record_request("b1")
    bench.wait(0.2)


@then("requests tracked by their task count once on trio's clock")
def check_task_key(context):
    async def run():
        pool = make_pool(SERVICE)
        backend = Backend("b0", "s", "127.0.0.1:1", "z", "r")
        await pool.update_groups(SERVICE, [Group("g", "s", "z", "r", (backend,), 0)])
        server = pool.servers["b0"]
        with pool.watch_request(server):
            await trio.sleep(1.5)
            pool.advance()
            once = server.health.slow_evidence
            pool.record_answer(server, 1.5, False)
        assert once == server.health.slow_evidence > 3

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@when("callers send 50 bad requests and set 50 short deadlines on b0")
def send_bad_requests(context):
    pool = context.bench.pool
    for _ in range(50):
        pool.record_failure(pool.servers["b0"], RefusalReason.BAD_REQUEST, "k")
        pool.record_unanswered(pool.servers["b0"], 0.01, "k")


@then("b0 is healthy and without evidence")
def check_no_evidence(context):
    health = context.bench.health("b0")
    assert health.state is BackendState.HEALTHY
    assert health.bad_share == 0 and not health.suspect


@when("6 connections to b0 fail")
def fail_connections(context):
    pool = context.bench.pool
    for _ in range(6):
        reason = RefusalReason.BACKEND_UNREACHABLE
        pool.record_failure(pool.servers["b0"], reason, "k")


@then("b0 is ejected for {cause:l}")
def check_ejected(context, cause):
    assert context.bench.health("b0").state is BackendState.EJECTED
    assert read_count(context.bench.metrics, "ejections", cause=cause) == 1
