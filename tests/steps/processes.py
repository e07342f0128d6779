import random
import signal

import trio
from behave import given, then, when

from kumquatsaddle.dispatch.connections import ExchangeError, open_connection
from kumquatsaddle.testing.callers import CallerRecord, check_caller_record, send_order
from kumquatsaddle.testing.loops import start_loop
from kumquatsaddle.testing.processes import open_processes

RATE = 40.0
DEADLINE = 0.3


@given("a fleet of {count:d} processes")
def start_processes(context, count):
    context.loop = start_loop(context, open_processes(count))
    context.fleet = context.loop.resource


@when(
    "callers send orders for {seconds:d} seconds while instances get {name},"
    " seed {seed:d}"
)
def send_while_signalled(context, seconds, name, seed):
    fleet, rng = context.fleet, random.Random(seed)
    context.record = CallerRecord()

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_load, fleet, context.record, rng, seconds)
            with trio.move_on_after(seconds):
                while True:
                    await disturb(fleet, rng, signal.Signals[name])
        await settle(fleet)
        executions = await fleet.sum_counts("/.executions")
        bodies = await fleet.sum_counts("/.bodies")
        check_caller_record(context.record, executions, bodies)

    context.failure = None
    try:
        context.loop.run(run)
    except AssertionError as error:
        context.failure = error


async def send_load(fleet, record, rng, seconds):
    ends, number = trio.current_time() + seconds, 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < ends:
            number += 1
            stream = random.Random(rng.random())
            nursery.start_soon(send_order, fleet, record, stream, number)
            await trio.sleep(rng.expovariate(RATE))


async def disturb(fleet, rng, number):
    entry = rng.choice(fleet.list_running())
    fleet.send_signal(entry.name, number)
    # Longer than the suspicion timeout, so that others take over its groups.
    with trio.CancelScope(shield=True):
        await trio.sleep(rng.uniform(0.3, 2.5))
        if number == signal.SIGKILL:
            await fleet.restart(entry)
        else:
            fleet.send_signal(entry.name, signal.SIGCONT)
    await trio.sleep(0.3)


async def settle(fleet):
    await fleet.wait_until_serving()
    await trio.sleep(1.0)


@when("orders reach an instance that is paused for longer than their deadline")
def send_to_paused(context):
    async def run():
        fleet = context.fleet
        entry = fleet.nodes[0]
        connections = [await open_connection(entry.callers, 1.0) for _ in range(8)]
        fleet.send_signal(entry.name, signal.SIGSTOP)
        async with trio.open_nursery() as nursery:
            for index, connection in enumerate(connections):
                nursery.start_soon(send_late, connection, index)
            await trio.sleep(4 * DEADLINE)
            fleet.send_signal(entry.name, signal.SIGCONT)
        context.bodies = await fleet.sum_counts("/.bodies")

    context.loop.run(run)


async def send_late(connection, index):
    body = f"late-{index}".encode()
    headers = [
        ("Host", "fleet"),
        ("Kumquatsaddle-Account", "shop"),
        ("Kumquatsaddle-Timeout-Ms", str(int(DEADLINE * 1000))),
        ("Content-Length", str(len(body))),
    ]
    with trio.move_on_after(10 * DEADLINE):
        try:
            await connection.exchange(
                "POST", "/order", headers, body, 1 << 20, lambda: None
            )
        except ExchangeError:
            pass
    await connection.close()


@then("none of these orders runs after it goes on")
def check_not_late(context):
    assert not context.bodies, context.bodies


class Stream:
    """Requests on one connection while instances stop."""

    def __init__(self):
        self.whole = 0
        self.cut = []

    async def run(self, fleet, entry, number):
        connection = await open_connection(entry.callers, 1.0)
        headers = [("Host", "fleet"), ("Kumquatsaddle-Account", "shop")]
        while True:
            target = f"/lookup/{number}/{self.whole}"
            try:
                raw = await connection.exchange(
                    "GET", target, headers, b"", 1 << 20, lambda: None
                )
            except ExchangeError as error:
                # A connection that closes before any byte of an answer, after the
                # instance said that it would, has cut off nothing.
                self.cut.append(error)
                break
            assert target.encode() in raw.body or raw.status == 503, raw.body
            self.whole += 1
            if not connection.is_reusable():
                break
        await connection.close()


@when("one instance is told to stop under load")
def stop_one(context):
    stop(context, context.fleet.nodes[:1])


@when("all instances are told to stop under load")
def stop_all(context):
    stop(context, context.fleet.nodes)


@when("one instance is killed under load")
def kill_one(context):
    stop(context, context.fleet.nodes[:1], signal.SIGKILL)


def stop(context, entries, number=signal.SIGTERM):
    context.streams = [Stream() for _ in range(12)]

    async def run():
        fleet = context.fleet
        async with trio.open_nursery() as nursery:
            for index, stream in enumerate(context.streams):
                entry = entries[index % len(entries)]
                nursery.start_soon(stream.run, fleet, entry, index)
            await trio.sleep(0.5)
            for entry in entries:
                fleet.send_signal(entry.name, number)
        context.codes = [await fleet.wait_for_exit(entry.name) for entry in entries]

    context.loop.run(run)


@then("every request in flight got a whole answer and the process ended well")
@then("every request in flight got a whole answer and the processes ended well")
def check_stopped(context):
    cuts = [error for stream in context.streams for error in stream.cut]
    assert not cuts, cuts
    assert all(stream.whole > 3 for stream in context.streams)
    assert set(context.codes) == {0}


@then("the check finds requests that were cut off")
def check_cut(context):
    assert any(stream.cut for stream in context.streams)
