from functools import partial

import trio
import trio.testing
from behave import given, then, when

from kumquatsaddle.testing.discovery import FollowerFleet

# Moments of a read at which readers are lost, as the time since its answer.
MOMENTS_SECONDS = (0.0, 0.3, 0.6, 0.9, 1.17)
# Of larger fleets, whose simulation takes longer.
FEW_MOMENTS_SECONDS = (0.0, 0.6)
SMALL_FLEET = 4
# Longer than readers take to be known, and than the store keeps its history.
SETTLE_SECONDS, HISTORY_SECONDS = 4.0, 2.0
SLOW_ANSWER_SECONDS = 0.6


async def settle(fleet, nursery):
    """Run a fleet until only its reader has read within the history of the store."""
    nursery.start_soon(fleet.run)
    await trio.sleep(SETTLE_SECONDS)
    nursery.start_soon(keep_history, fleet.store)
    for _ in range(2):
        await trio.sleep(HISTORY_SECONDS + 0.1)
        fleet.store.write_server("b")


async def keep_history(store):
    """Let the store forget its changes after a while."""
    while True:
        version = store.version
        await trio.sleep(HISTORY_SECONDS)
        store.history_start = version


def make_fleet(count):
    fleet = FollowerFleet([f"i{number:02}" for number in range(count)])
    for name in ("a", "b"):
        fleet.store.write_server(name)
    return fleet


def change(fleet):
    """Write new routes and remove a server; return their version in the store."""
    fleet.store.publish(routes=b"8")
    fleet.store.write_server("a", removed=True)
    return fleet.store.version - 1


def is_in_force(fleet, name, version):
    follower = fleet.followers[name]
    return follower.routes_row.version == version and fleet.list_servers(name) == ["b"]


async def wait_for_answer(fleet, name):
    """Wait until the store has just answered an instance."""
    follower = fleet.followers[name]
    age = follower.get_read_age()
    while follower.get_read_age() >= age:
        age = follower.get_read_age()
        await trio.sleep(0.005)


def lose(fleet, trouble, name):
    access = fleet.access[name]
    if trouble == "cut off from the store":
        access.silence()
    elif trouble == "refused by the store":
        access.cut()
    elif trouble == "slowed down":
        access.delay = SLOW_ANSWER_SECONDS
    else:
        access.silence()
        fleet.silent.add(name)


def run(context, act):
    """Let the loss happen on a simulated clock; collect who is late."""

    async def main():
        fleet = make_fleet(context.instances)
        async with trio.open_nursery() as nursery:
            await settle(fleet, nursery)
            await act(fleet, nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@given(
    "a fleet of {instances:d} followers whose own last reads are older than the history"
)
def prepare(context, instances):
    context.instances = instances


@when("the first {lost:d} are {trouble} at any moment of a read and the routes change")
def lose_first(context, lost, trouble):
    async def act(moment, fleet, nursery):
        names = list(fleet.followers)[:lost]
        await wait_for_answer(fleet, names[0])
        await trio.sleep(moment)
        for name in names:
            lose(fleet, trouble, name)
        return change(fleet), names

    is_small = context.instances <= SMALL_FLEET
    moments = MOMENTS_SECONDS if is_small else FEW_MOMENTS_SECONDS
    context.acts = [partial(act, moment) for moment in moments]


@when(
    "the routes change and the first {lost:d} readers are lost "
    "between their report of it and all fetches"
)
def lose_after_report(context, lost):
    async def act(fleet, nursery):
        reader = list(fleet.followers)[0]
        await wait_for_answer(fleet, reader)
        await trio.sleep(0.5)
        version = change(fleet)
        while not is_in_force(fleet, reader, version):
            await trio.sleep(0.001)
        fleet.report(reader)
        lose(fleet, "killed", reader)
        return version, [reader]

    context.acts = [act]


@when("the routes change and the first {lost:d} readers are lost at their next call")
def lose_at_call(context, lost):
    async def act(fleet, nursery):
        names = list(fleet.followers)
        await wait_for_answer(fleet, names[0])
        version, gone = change(fleet), []
        # The reader itself is lost before it has read the change.
        lose(fleet, "killed", names[0])
        gone.append(names[0])

        def lose_caller(name):
            if len(gone) < lost and name not in gone:
                gone.append(name)
                lose(fleet, "killed", name)

        for name in names[1:]:
            fleet.access[name].on_call = partial(lose_caller, name)
        return version, gone

    context.acts = [act]


@when("the first {lost:d} are cut off again and again for 1 s and the routes change")
def cut_again(context, lost):
    async def flap(access):
        while True:
            access.cut()
            await trio.sleep(1.0)
            access.heal()
            await trio.sleep(0.3)

    async def act(fleet, nursery):
        names = list(fleet.followers)[:lost]
        for number, name in enumerate(names):
            nursery.start_soon(flap, fleet.access[name])
            await trio.sleep(0.4 * number)
        await trio.sleep(2.7)
        return change(fleet), names

    context.acts = [act]


@then("the others have the new routes and the drain within {bound:g} s of the change")
def check_in_force(context, bound):
    async def check(act, fleet, nursery):
        version, lost = await act(fleet, nursery)
        await trio.sleep(bound)
        late = [
            name
            for name in fleet.followers
            if name not in lost and not is_in_force(fleet, name, version)
        ]
        assert not late, (act, late)

    for act in context.acts:
        run(context, partial(check, act))


@then("in {seconds:d} s of calm all together make at most {rate:d} calls a second")
def check_calm(context, seconds, rate):
    async def act(fleet, nursery):
        before = len(fleet.store.calls)
        await trio.sleep(seconds)
        calls = len(fleet.store.calls) - before
        assert calls <= rate * seconds, calls

    run(context, act)


@then("after the loss of the reader at most {most:d} more calls are made in 2 s")
def check_takeover(context, most):
    async def act(fleet, nursery):
        reader = list(fleet.followers)[0]
        await wait_for_answer(fleet, reader)
        before = len(fleet.store.calls)
        lose(fleet, "killed", reader)
        await trio.sleep(2.0)
        # The reader called in vain, and its successor reads both tables and watches.
        calls = len(fleet.store.calls) - before
        assert calls <= most, calls

    run(context, act)


@when(
    "the list changes every {pause:g} s for {seconds:d} s and a fetch takes {time:g} s"
)
def change_often(context, pause, seconds, time):
    async def act(fleet, nursery):
        reader, *others = fleet.followers
        fleet.fetch_seconds = time
        context.callers = set()
        for name in others:
            fleet.access[name].on_call = partial(context.callers.add, name)
        for number in range(int(seconds / pause)):
            fleet.store.write_server(f"c{number}")
            await trio.sleep(pause)
        assert len(fleet.list_servers(others[-1])) > number - 5

    run(context, act)


@then("only the reader has called the store")
def check_callers(context):
    assert not context.callers, context.callers
