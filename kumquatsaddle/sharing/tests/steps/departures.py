from dataclasses import replace

import trio
import trio.testing
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from limited_fleet import LimitedFleet

from kumquatsaddle.discovery.records import InstanceRecord
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.sharing.messages import (
    Departure,
    Report,
    decode_report,
    encode_report,
)

LOAD_PER_SECOND = 30
BEFORE_SECONDS, AFTER_SECONDS = 3.0, 8.0


@given("a fleet of two zones in which a server says that it leaves")
def prepare(context):
    context.act = None
    context.before_departure = None


async def play(context):
    """Play the load; return the fleet and the time of the first such answer."""
    async with trio.open_nursery() as nursery:
        fleet = LimitedFleet(nursery, 2, 4, 3, seed=5)
        await fleet.start()
        nursery.start_soon(
            fleet.send_load, LOAD_PER_SECOND, BEFORE_SECONDS + AFTER_SECONDS + 4
        )
        await trio.sleep(BEFORE_SECONDS)
        if context.before_departure:
            nursery.start_soon(context.before_departure, fleet)
            await trio.sleep(1)
        server = fleet.servers[0]
        server.leaves = True
        while not any(is_leaving(instance, server) for instance in fleet.instances):
            await trio.sleep(0.01)
        context.left_at = trio.current_time()
        if context.act:
            nursery.start_soon(context.act, fleet)
        await trio.sleep(AFTER_SECONDS)
        context.fleet, context.server = fleet, server
        nursery.cancel_scope.cancel()


def is_leaving(instance, server):
    known = instance.dispatcher.find_server(server.record.name)
    return known is not None and known.leaving


def run(context, check=None):
    async def main():
        await play(context)
        if check:
            check()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def list_arrivals_after(context, seconds, instance=None):
    return [
        (time - context.left_at, name)
        for time, name in context.server.arrivals
        if time > context.left_at + seconds and instance in (None, name)
    ]


@then("2 seconds after its first such answer no instance sends to it")
def check_stopped(context):
    run(context)
    assert not list_arrivals_after(context, 2.0), list_arrivals_after(context, 2.0)
    assert all(is_leaving(item, context.server) for item in context.fleet.instances)


@when("an instance is restarted 4 seconds later")
def restart(context):
    async def act(fleet):
        await trio.sleep(4)
        instance = context.instance = fleet.instances[1]
        instance.kill()
        await trio.sleep(0.5)
        await fleet.restart_instance(instance)

    context.act = act


@then("it sends nothing to that server once it has heard of a peer")
def check_restarted(context):
    run(context)
    name = context.instance.record.name
    assert is_leaving(context.instance, context.server)
    assert not list_arrivals_after(context, 4.8, name)


@when("an instance was cut off for the 6 seconds around it")
def cut(context):
    async def act(fleet):
        context.instance = fleet.instances[2]
        context.instance.is_cut = True
        await trio.sleep(6)
        context.instance.is_cut = False
        context.returned_at = trio.current_time()

    context.before_departure = act


@then("a second after its return it sends nothing to that server")
def check_returned(context):
    run(context)
    name = context.instance.record.name
    assert is_leaving(context.instance, context.server)
    late = context.returned_at + 1.0 - context.left_at
    assert not list_arrivals_after(context, late, name)


@then("once the list shows it as draining no report names it")
def check_forgotten(context):
    async def main():
        await play(context)
        for instance in context.fleet.instances:
            shared = instance.exchange._announcements.departures
            assert len(shared.list_all()) == 1
            records = [
                replace(item.record, draining=item is context.server)
                for item in context.fleet.servers
            ]
            await instance.dispatcher.update_servers(records)
            assert shared.list_all() == ()
            assert shared.list_first_hand() == ()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@then("departures survive encoding and decoding")
def check_encoding(context):
    address = Address("10.0.0.1", 7540)
    sender = InstanceRecord("i", "z", address, address)
    report = Report(sender, 1, 2, True, False, 3, 4, 0.5, ())
    names = st.text("abc-7", min_size=1, max_size=9)
    departures = st.builds(Departure, names, st.integers(0, 2**63))

    @for_all(st.lists(departures, max_size=4).map(tuple))
    def check(items):
        sent = replace(report, departures=items)
        assert decode_report(encode_report(sent)).departures == items

    check()
