import random
import signal

import trio
from behave import given, then, when

from kumquatsaddle.dispatch.connections import ExchangeError, open_connection
from kumquatsaddle.testing.callers import CallerRecord, check_caller_record, send_order
from kumquatsaddle.testing.loops import start_loop
from kumquatsaddle.testing.processes import open_processes

ORDERS_PER_SECOND = 40.0
DEADLINE_SECONDS = 0.3


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
                    await signal_instance(fleet, rng, signal.Signals[name])
        await wait_until_settled(fleet)
        executions = await fleet.sum_counts("/.executions")
        bodies = await fleet.sum_counts("/.bodies")
        check_caller_record(context.record, executions, bodies)

    context.failure = None
    try:
        context.loop.run(run)
    except AssertionError as error:
        context.failure = error


async def send_load(fleet, record, rng, seconds):
    ends_at, number = trio.current_time() + seconds, 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < ends_at:
            number += 1
            child_rng = random.Random(rng.random())
            nursery.start_soon(send_order, fleet, record, child_rng, number)
            await trio.sleep(rng.expovariate(ORDERS_PER_SECOND))


async def signal_instance(fleet, rng, number):
    entry = rng.choice(fleet.list_running())
    fleet.send_signal(entry.name, number)
    # May exceed the suspicion timeout, so that other instances take over its groups.
    with trio.CancelScope(shield=True):
        await trio.sleep(rng.uniform(0.3, 2.5))
        if number == signal.SIGKILL:
            await fleet.restart(entry)
        else:
            fleet.send_signal(entry.name, signal.SIGCONT)
    await trio.sleep(0.3)


async def wait_until_settled(fleet):
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
                nursery.start_soon(send_with_deadline, connection, index)
            await trio.sleep(4 * DEADLINE_SECONDS)
            fleet.send_signal(entry.name, signal.SIGCONT)
        context.bodies = await fleet.sum_counts("/.bodies")

    context.loop.run(run)


async def send_with_deadline(connection, index):
    body = f"late-{index}".encode()
    headers = [
        ("Host", "fleet"),
        ("Kumquatsaddle-Account", "shop"),
        ("Kumquatsaddle-Timeout-Ms", str(int(DEADLINE_SECONDS * 1000))),
        ("Content-Length", str(len(body))),
    ]
    with trio.move_on_after(10 * DEADLINE_SECONDS):
        try:
            await connection.exchange(
                "POST", "/order", headers, body, 1 << 20, lambda: None
            )
        except ExchangeError:
            pass
    await connection.close()


@then("none of these orders runs after it resumes")
def check_not_late(context):
    assert not context.bodies, context.bodies


class RequestStream:
    """Sends requests on one connection until the instance closes it."""

    def __init__(self):
        self.whole_count = 0
        self.errors = []

    async def run(self, fleet, entry, number):
        connection = await open_connection(entry.callers, 1.0)
        headers = [("Host", "fleet"), ("Kumquatsaddle-Account", "shop")]
        while True:
            target = f"/lookup/{number}/{self.whole_count}"
            try:
                raw = await connection.exchange(
                    "GET", target, headers, b"", 1 << 20, lambda: None
                )
            except ExchangeError as error:
                # Not reached if the instance announced the end of the connection: the
                # loop ends then before it sends another request.
                self.errors.append(error)
                break
            assert target.encode() in raw.body or raw.status == 503, raw.body
            self.whole_count += 1
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
    context.streams = [RequestStream() for _ in range(12)]

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


@then("every request in flight got a complete answer and the process exited cleanly")
@then("every request in flight got a complete answer and the processes exited cleanly")
def check_stopped(context):
    errors = [error for stream in context.streams for error in stream.errors]
    assert not errors, errors
    assert all(stream.whole_count > 3 for stream in context.streams)
    assert set(context.codes) == {0}


@then("the check finds requests that were aborted")
def check_aborted(context):
    assert any(stream.errors for stream in context.streams)
