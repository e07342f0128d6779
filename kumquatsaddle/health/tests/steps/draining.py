from types import SimpleNamespace

import trio
import trio.testing
from behave import then, when

from kumquatsaddle.addresses.groups import Backend, Group
from kumquatsaddle.dispatch.answers import RawAnswer
from kumquatsaddle.dispatch.pools import make_pool
from kumquatsaddle.dispatch.probes import is_draining, probe_server, watch_pools
from kumquatsaddle.health.new_servers import NewServers
from kumquatsaddle.testing.pools import SERVICE, read_count
from kumquatsaddle.types import BackendState
from standins.http import reply_json, serve_http


@then("each server has 3 slots for 2 seconds and 6 later")
def check_taken_over(context):
    servers = context.bench.pool.servers.values()
    assert {server.count_free_slots() for server in servers} == {3}
    context.bench.wait(2)
    assert {server.count_free_slots() for server in servers} == {6}


@when("b4 is new in the list")
def add_server(context):
    context.bench.set_servers(5, new={"b4"})


@then("b4 is warming with limit 1")
def check_new(context):
    server = context.bench.pool.servers["b4"]
    assert (
        server.health.state is BackendState.WARMING and server.count_free_slots() == 1
    )
    assert server.has_room(False)


@then("only servers that were not in the first list are new")
def check_newcomers(context):
    newcomers = NewServers()
    newcomers.update(["b0"], 0.0)
    newcomers.update(["b0", "b1"], 1.0)
    assert newcomers.list_new(2.0) == {"b1"}
    assert newcomers.list_new(60.0) == set()


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
    assert (
        server.health.state is BackendState.WARMING and server.count_free_slots() == 1
    )


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
    bench.set_servers(4, leaving={"b2"})
    check_drained(bench, "b2")
    bench.set_servers(4)
    assert bench.health("b2").state is BackendState.WARMING


@then("headers and health endpoints are read for draining only")
def check_statement(context):
    header = (b"backend-state", b"draining")
    assert is_draining(RawAnswer(503, [header], b""))
    assert is_draining(RawAnswer(200, [], b'{"state": "draining"}'))
    for body in (b"", b"\xff", b"[]", b'"draining"', b'{"state": "ok"}', b"9" * 5000):
        assert not is_draining(RawAnswer(200, [], body)), body


class FakeConnection:
    """Answers every request with status 200 and a body.

    Attributes
    ----------
    body : bytes
    closed : bool
    """

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
    trio.run(server.release_connection, connection)
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
    trio.run(server.release_connection, idle)
    trio.run(bench.pool.update_groups, SERVICE, [])
    assert idle.closed and not used.closed
    bench.pool.record_answer(server, 0.02, False, "k")
    trio.run(server.release_connection, used)
    assert used.closed and server.health.state is BackendState.GONE


@when("b0, b1 and b2 fail all requests")
def fail_three(context):
    for name in ("b0", "b1", "b2"):
        for _ in range(20):
            context.bench.record_request(name, failed=True)


@then("2 ejections and 1 withheld ejection are counted")
def check_withheld(context):
    metrics = context.bench.metrics
    assert read_count(metrics, "ejections", cause="errors") == 2
    assert read_count(metrics, "ejections_withheld", cause="errors") == 1


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
        pool = make_pool(SERVICE)
        async with trio.open_nursery() as nursery:
            (listener,) = await nursery.start(serve_http, answer, "127.0.0.1", 0)
            port = listener.socket.getsockname()[1]
            backend = Backend("b0", "s", f"127.0.0.1:{port}", "z", "r")
            group = Group("g", "s", "z", "r", (backend,), 0)
            await pool.update_groups(SERVICE, [group])
            nursery.start_soon(watch_pools, {"s": pool})
            with trio.fail_after(60):
                while pool.servers["b0"].health.state is not BackendState.DRAINING:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(run)
