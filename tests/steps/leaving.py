import trio
from behave import given, then, when

from kumquatsaddle.dispatch.pools import ServicePool

LOAD_PAUSE_SECONDS = 0.01
GRACE_SECONDS = 3.0
OBSERVATION_SECONDS = 2.0


async def send_lookups(fleet, stop):
    number = 0
    async with trio.open_nursery() as nursery:
        while not stop.is_set():
            entry = fleet.nodes[number % len(fleet.nodes)]
            number += 1
            nursery.start_soon(fleet.call, entry.callers, "GET", f"/lookup/{number}")
            await trio.sleep(LOAD_PAUSE_SECONDS)


@when("a server reports draining while callers send lookups")
def drain_under_load(context):
    fleet = context.fleet
    standin = fleet.backends["lookup-0"]

    async def run():
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_lookups, fleet, stop)
            await trio.sleep(0.5)
            context.before = standin.received
            standin.mode["draining"] = True
            await trio.sleep(GRACE_SECONDS)
            context.at_grace = standin.received
            await trio.sleep(OBSERVATION_SECONDS)
            context.after = standin.received
            stop.set()

    context.loop.run(run)


@then("it gets no request after 3 seconds")
def check_no_new_requests(context):
    assert context.before > 0
    assert context.after == context.at_grace, (context.at_grace, context.after)


@given("instances that ignore a server that reports draining")
def ignore_draining(context):
    original = ServicePool.record_draining
    ServicePool.record_draining = lambda self, server: None

    def restore():
        ServicePool.record_draining = original

    context.add_cleanup(restore)


@then("the check finds requests after 3 seconds")
def check_still_used(context):
    assert context.after > context.at_grace, (context.at_grace, context.after)


@when("the list marks all but one server as leaving while lookups run on them")
def leave_under_load(context):
    fleet = context.fleet
    context.answers = []
    for name in ("lookup-0", "lookup-1", "lookup-2"):
        fleet.backends[name].work = 1.0

    async def send(number):
        entry = fleet.nodes[number % len(fleet.nodes)]
        raw = await fleet.call(entry.callers, "GET", f"/lookup/{number}")
        context.answers.append(raw)

    async def run():
        async with trio.open_nursery() as nursery:
            for number in range(9):
                nursery.start_soon(send, number)
            await trio.sleep(0.2)
            for name in ("lookup-0", "lookup-1"):
                listed = fleet.platform.store.instances[name]
                fleet.register_backend(
                    name, listed.service, listed.address, listed.zone, leaving=True
                )

    context.loop.run(run)


@then("each of these lookups gets its complete answer")
def check_whole(context):
    assert [raw.status for raw in context.answers] == [200] * 9
