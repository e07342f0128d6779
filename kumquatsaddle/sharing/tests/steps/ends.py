from dataclasses import replace

import trio
import trio.testing
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from limited_fleet import LimitedFleet

from kumquatsaddle.balance.fatal_requests import ServerEnd
from kumquatsaddle.discovery.records import InstanceRecord
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.sharing.messages import (
    EndAge,
    Report,
    decode_report,
    encode_report,
)

DIGEST, OTHER_DIGEST = 0xFEDCBA9876543210, 7


@given("a fleet of two zones whose instances know each other")
def prepare(context):
    context.acts = []


def run(context, check):
    async def main():
        async with trio.open_nursery() as nursery:
            fleet = LimitedFleet(nursery, 2, 4, 3, seed=3)
            await fleet.start()
            for act in context.acts:
                await act(fleet)
            await check(fleet)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def see_end(instance, server, digest=DIGEST):
    """Let an instance see the end of a server under an attempt that has just begun."""
    now = trio.current_time()
    end = ServerEnd(digest, server, now - 0.05, now)
    instance.dispatcher.end_records.share(end)


def is_blocked(instance, digest=DIGEST):
    fatal = instance.dispatcher.end_records.fatal_requests
    return fatal.is_blocked(digest, trio.current_time())


@when("an end under one digest is seen in each zone, 2 seconds apart")
def see_both(context):
    async def act(fleet):
        see_end(fleet.instances[0], "b-0-0")
        see_end(fleet.instances[0], "b-0-0", OTHER_DIGEST)
        await trio.sleep(2)
        see_end(fleet.instances[5], "b-1-4")

    context.acts.append(act)


@when("an instance is restarted 20 seconds later")
def restart(context):
    async def act(fleet):
        await trio.sleep(20)
        fleet.instances[2].kill()
        await trio.sleep(0.5)
        await fleet.restart_instance(fleet.instances[2])

    context.acts.append(act)


@when("an instance sees an end and is killed, and another one sees an end later")
def see_and_kill(context):
    async def act(fleet):
        see_end(fleet.instances[0], "b-0-0")
        await trio.sleep(1.5)
        fleet.instances[0].kill()
        await trio.sleep(6)
        see_end(fleet.instances[6], "b-1-4")

    context.acts.append(act)


@when("a digest that all instances suspect is answered at one of them")
def answer_suspect(context):
    async def act(fleet):
        see_end(fleet.instances[0], "b-0-0")
        await trio.sleep(2)
        for instance in fleet.instances:
            assert instance.dispatcher.end_records.fatal_requests.is_suspect(DIGEST)
        assert fleet.instances[3].dispatcher.end_records.clear(DIGEST)

    context.acts.append(act)


@then("all instances block the digest within a second, and no other one")
def check_all(context):
    async def check(fleet):
        await trio.sleep(1)
        for instance in fleet.instances:
            assert is_blocked(instance), instance.record.name
            assert not is_blocked(instance, OTHER_DIGEST), instance.record.name

    run(context, check)


@then("it blocks the digest within a second")
def check_restarted(context):
    async def check(fleet):
        await trio.sleep(1)
        assert is_blocked(fleet.instances[2])

    run(context, check)


@then("all instances that are left block the digest within a second")
def check_left(context):
    async def check(fleet):
        await trio.sleep(1)
        for instance in fleet.instances[1:]:
            assert is_blocked(instance), instance.record.name

    run(context, check)


@then("no instance suspects it 2 seconds later")
def check_cleared(context):
    async def check(fleet):
        await trio.sleep(2)
        for instance in fleet.instances:
            fatal = instance.dispatcher.end_records.fatal_requests
            assert not fatal.is_suspect(DIGEST), instance.record.name

    run(context, check)


@then("ends with any digest, server and age survive encoding and decoding")
def check_encoding(context):
    address = Address("10.0.0.1", 7540)
    sender = InstanceRecord("i", "z", address, address)
    report = Report(sender, 1, 2, True, False, 3, 4, 0.5, ())
    seconds = st.integers(0, 10**6).map(lambda ms: ms / 1000)
    ends = st.builds(
        EndAge, st.integers(0, 2**64 - 1), st.text("ab-", max_size=5), seconds, seconds
    )

    @for_all(st.lists(ends, max_size=4).map(tuple))
    def check(items):
        decoded = decode_report(encode_report(replace(report, ends=items))).ends
        assert len(decoded) == len(items)
        for one, other in zip(decoded, items, strict=True):
            assert one[:2] == other[:2]
            assert abs(one.started_ago - other.started_ago) < 0.0015
            assert abs(one.ended_ago - other.ended_ago) < 0.0015

    check()
