import random
from types import SimpleNamespace

import trio
import trio.testing
from behave import given, then, when

from benchmarks.detection import Simulation
from kumquatsaddle.addresses.groups import Backend, Group
from kumquatsaddle.configuration.entities import parse_entity
from kumquatsaddle.dispatch.connections import RawAnswer
from kumquatsaddle.dispatch.digests import ServiceDigest
from kumquatsaddle.dispatch.pools import make_pool
from kumquatsaddle.health.newcomers import Newcomers
from kumquatsaddle.health.probes import is_draining, probe_server, watch_pools
from kumquatsaddle.health.sequential import make_slow_test
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.types import BackendState, RefusalReason
from standins.http import reply_json, serve_http

service = parse_entity("service", "s", {"floor": 0.5, "slots": 6})
FLAP_HALF = 0.5


class Bench:
    """A pool of one group with 2 tokens, in simulated time."""

    def __init__(self):
        self.now, self.key, self.metrics = 100.0, 0, make_metrics()
        self.pool = make_pool(service, self.metrics, lambda: self.now)
        self.list_servers(4)

    def list_servers(self, count, new=frozenset(), leaving=()):
        members = tuple(
            Backend(f"b{n}", "s", f"127.0.0.1:{n + 1}", "z", "r", f"b{n}" in leaving)
            for n in range(count)
        )
        group = Group("g", "s", "z", "r", members, 2)
        trio.run(self.pool.update_groups, service, [group], new)

    def health(self, name):
        return self.pool.servers[name].health

    def exchange(self, name, latency=0.02, failed=False):
        server = self.pool.servers[name]
        self.key += 1
        self.pool.begin_request(server, self.key)
        self.now += min(latency, 0.02)
        self.pool.record_answer(server, latency, failed, self.key)

    def wait(self, seconds):
        self.now += seconds
        self.pool.advance()


def count(metrics, name, **labels):
    return metrics.counts.get((name, tuple(sorted(labels.items()))), 0)


@then("nobody is ejected when all 4 servers become 10 times slower, for 5 seeds")
def check_slow_service(context):
    for seed in range(5):
        sim = Simulation(random.Random(seed))
        sim.run_until(10)
        sim.behaviour = dict.fromkeys(sim.behaviour, lambda now: (0.01, 10.0))
        sim.run_until(60)
        assert not sim.ejected, (seed, sim.ejected)


def run_lone_server(peer_median):
    sim = Simulation(random.Random(1), servers=1, floor=0.0)
    digest = ServiceDigest("s", 0.02, 0.07, 512, 0, 0)
    sim.pool.update_peers([digest])
    sim.run_until(10)
    sim.behaviour["b0"] = lambda now: (0.01, 10.0)
    sim.run_until(11)
    digest = ServiceDigest("s", peer_median, 3 * peer_median, 512, 0, 0)
    sim.pool.update_peers([digest])
    sim.run_until(20)
    return sim.ejected


@then("the only server of a home stays while the digests of the others are slow")
def check_lone_stays(context):
    assert not run_lone_server(0.2)


@then("the only server of a home is ejected while the digests of the others are quick")
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
        assert count(sim.metrics, "ejections", cause="slow") == 1


@given("a pool with 4 servers")
def make_bench(context):
    context.bench = Bench()


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
    # A quick peer shows that the service is not slow.
    bench.now += 1.05
    bench.exchange("b1")
    bench.wait(0.2)


@then("requests watched by their task count once on trio's clock")
def check_task_key(context):
    async def run():
        pool = make_pool(service)
        backend = Backend("b0", "s", "127.0.0.1:1", "z", "r")
        await pool.update_groups(service, [Group("g", "s", "z", "r", (backend,), 0)])
        server = pool.servers["b0"]
        with pool.watch_late(server):
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
    assert health.severity == 0 and not health.suspect


@when("6 connections to b0 fail")
def fail_connections(context):
    pool = context.bench.pool
    for _ in range(6):
        reason = RefusalReason.BACKEND_UNREACHABLE
        pool.record_failure(pool.servers["b0"], reason, "k")


@then("b0 is ejected for {cause:l}")
def check_ejected(context, cause):
    assert context.bench.health("b0").state is BackendState.EJECTED
    assert count(context.bench.metrics, "ejections", cause=cause) == 1


@when("b0 is ejected by errors and {seconds:d} seconds pass")
def eject_by_errors(context, seconds):
    for _ in range(6):
        context.bench.exchange("b0", failed=True)
    assert context.bench.health("b0").state is BackendState.EJECTED
    context.bench.wait(seconds)


@then("b0 takes 1 idempotent request at a time and no other work")
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
        context.bench.exchange("b0")
        context.bench.wait(0.08)
        if context.bench.health("b0").state is BackendState.WARMING:
            return


@then("b0 doubles its limit from 1 to 6 and takes orders from 4 on")
def check_warming(context):
    server = context.bench.pool.servers["b0"]
    for limit in (1, 2, 4):
        assert server.health.state is BackendState.WARMING
        assert server.room() == limit
        assert server.has_room(False) == (limit >= 3)
        for _ in range(20):
            context.bench.exchange("b0")
    assert server.health.state is BackendState.HEALTHY and server.room() == 6


@then("b0 had 1 return by {cause:w}")
def check_returns(context, cause):
    assert count(context.bench.metrics, "returns", cause=cause) == 1


@when("b0 answers slowly 2 times")
def answer_slowly(context):
    for _ in range(2):
        context.bench.exchange("b0", latency=5.0)


@then("b0 is ejected for 10 seconds")
def check_doubled(context):
    health = context.bench.health("b0")
    assert health.state is BackendState.EJECTED
    assert health.ejection_time == 10


@when("30 seconds pass without idempotent requests")
def wait_idle(context):
    context.bench.wait(30)


@then("b0 takes orders with limit 1")
def check_idle_return(context):
    server = context.bench.pool.servers["b0"]
    assert server.has_room(False) and server.room() == 1
    check_returns(context, "probation_idle")


@then("a flapping server is used less than 5 percent of 600 seconds, for 3 seeds")
def check_flapping(context):
    for seed in range(3):
        sim = Simulation(random.Random(seed))
        sim.run_until(10)
        sim.behaviour["b0"] = lambda now: (
            0.6 if int(now / FLAP_HALF) % 2 else 0.01,
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


@then("each server has 3 slots for 2 seconds and 6 later")
def check_taken_over(context):
    servers = context.bench.pool.servers.values()
    assert {server.room() for server in servers} == {3}
    context.bench.wait(2)
    assert {server.room() for server in servers} == {6}


@when("b4 is new in the list")
def add_server(context):
    context.bench.list_servers(5, new={"b4"})


@then("b4 is warming with limit 1")
def check_new(context):
    server = context.bench.pool.servers["b4"]
    assert server.health.state is BackendState.WARMING and server.room() == 1
    assert server.has_room(False)


@then("only servers that were not in the first list are new")
def check_newcomers(context):
    newcomers = Newcomers()
    newcomers.update(["b0"], 0.0)
    newcomers.update(["b0", "b1"], 1.0)
    assert newcomers.current(2.0) == {"b1"}
    assert newcomers.current(60.0) == set()


def check_drained(bench, name):
    assert not bench.pool.servers[name].has_room(True)
    assert bench.health(name).state is BackendState.DRAINING


@then("b0 drains by a probe and comes back warming after 2 clear probes")
def check_probe_drain(context):
    bench = context.bench
    server = bench.pool.servers["b0"]
    for draining in (True, False):
        bench.pool.record_probe(server, draining)
        check_drained(bench, "b0")
    bench.pool.record_probe(server, False)
    assert server.health.state is BackendState.WARMING and server.room() == 1


@then("b1 drains by an answer for 30 seconds although its probes are clear")
def check_answer_drain(context):
    bench = context.bench
    server = bench.pool.servers["b1"]
    for hold in (30, 60):
        bench.pool.record_draining(server)
        for _ in range(5):
            bench.pool.record_probe(server, False)
        bench.wait(hold - 1)
        check_drained(bench, "b1")
        bench.wait(1)
        assert server.health.state is BackendState.WARMING


@then("b2 drains while the list says that it is leaving")
def check_list_drain(context):
    bench = context.bench
    bench.list_servers(4, leaving={"b2"})
    check_drained(bench, "b2")
    bench.list_servers(4)
    assert bench.health("b2").state is BackendState.WARMING


@then("headers and health endpoints are read for draining only")
def check_statement(context):
    header = (b"backend-state", b"draining")
    assert is_draining(RawAnswer(503, [header], b""))
    assert is_draining(RawAnswer(200, [], b'{"state": "draining"}'))
    for body in (b"", b"\xff", b"[]", b'"draining"', b'{"state": "ok"}', b"9" * 5000):
        assert not is_draining(RawAnswer(200, [], body)), body


class FakeConnection:
    """Answers a probe with a body; `closed` says whether it was closed."""

    def __init__(self, body=b"{}"):
        self.body, self.closed = body, False

    async def exchange(self, *arguments):
        return RawAnswer(200, [], self.body)

    def is_reusable(self):
        return not self.closed

    async def close(self):
        self.closed = True


@then("probes of b0 that succeed change nothing")
def check_probe_ignored(context):
    bench = context.bench
    server = bench.pool.servers["b0"]
    connection = FakeConnection()
    trio.run(server.return_connection, connection)
    for _ in range(40):
        trio.run(probe_server, bench.pool, server)
    assert server.health.state is BackendState.EJECTED
    connection.body = b'{"state": "draining"}'
    trio.run(probe_server, bench.pool, server)
    assert server.health.state is BackendState.DRAINING


@then("b0 closes its connection in use only when it is returned")
def check_close(context):
    bench = context.bench
    server = bench.pool.servers["b0"]
    idle, used = FakeConnection(), FakeConnection()
    trio.run(server.return_connection, idle)
    trio.run(bench.pool.update_groups, service, [])
    assert idle.closed and not used.closed
    bench.pool.record_answer(server, 0.02, False, "k")
    trio.run(server.return_connection, used)
    assert used.closed and server.health.state is BackendState.GONE


@when("b0, b1 and b2 fail all requests")
def fail_three(context):
    for name in ("b0", "b1", "b2"):
        for _ in range(20):
            context.bench.exchange(name, failed=True)


@then("2 ejections and 1 withheld ejection are counted")
def check_withheld(context):
    metrics = context.bench.metrics
    assert count(metrics, "ejections", cause="errors") == 2
    assert count(metrics, "ejections_withheld", cause="errors") == 1


@then("the gauges show 2 healthy and 2 ejected servers")
def check_gauges(context):
    context.bench.pool.update_gauges()
    text = context.bench.metrics.render_text().decode()
    for state in ("healthy", "ejected"):
        line = f'kumquatsaddle_backend_servers{{service="s",state="{state}"}} 2'
        assert line in text, text


@then("b2 is chosen after b3")
def check_last(context):
    pool = context.bench.pool
    waiter = SimpleNamespace(
        excluded=frozenset(), request=SimpleNamespace(idempotent=True)
    )
    context.bench.wait(2)
    chosen = []
    while (server := pool.choose_server(waiter)) is not None:
        server.in_flight += 1
        chosen.append(server.name)
    assert chosen == ["b3"] * 6 + ["b2"] * 6


@then("a home finds a draining server by its health endpoint over HTTP")
def check_http_probe(context):
    async def answer(method, target, headers, body):
        assert (method, target) == ("GET", "/health")
        return reply_json({"state": "draining"})

    async def run():
        pool = make_pool(service)
        async with trio.open_nursery() as nursery:
            (listener,) = await nursery.start(serve_http, answer, "127.0.0.1", 0)
            port = listener.socket.getsockname()[1]
            backend = Backend("b0", "s", f"127.0.0.1:{port}", "z", "r")
            group = Group("g", "s", "z", "r", (backend,), 0)
            await pool.update_groups(service, [group])
            nursery.start_soon(watch_pools, {"s": pool})
            with trio.fail_after(60):
                while pool.servers["b0"].health.state is not BackendState.DRAINING:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(run)
