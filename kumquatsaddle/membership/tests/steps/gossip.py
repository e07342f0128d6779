import random
from dataclasses import replace

import trio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from trio.testing import MockClock

from kumquatsaddle.membership.gossip import Gossip
from kumquatsaddle.membership.members import make_table
from kumquatsaddle.messages.codec import make_codec
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.testing.gossip_fleet import (
    KEY,
    MemoryFleet,
    describe_instance,
    locate_instance,
    read_clock,
)
from kumquatsaddle.testing.network import make_network
from kumquatsaddle.types import InstanceState


def run_in_simulated_time(function, *arguments):
    """Run in simulated time; Hypothesis seeds the order in which trio runs tasks."""

    @settings(max_examples=1)
    @for_all(st.none())
    def run(_):
        trio.run(function, *arguments, clock=MockClock(autojump_threshold=0))

    run()


def run_script(context):
    """Run the actions in `context.script` on a converged fleet, in simulated time."""

    async def main():
        network = make_network(1, loss=context.loss, duplication=0.05)
        async with trio.open_nursery() as nursery:
            fleet = MemoryFleet(
                network, nursery, context.interval, 3 * context.interval
            )
            for number in range(context.size):
                await fleet.start(number)
            assert await fleet.wait_converged(60) is not None
            fleet.fetches = fleet.count("member_table_fetches")
            fleet.deaths = fleet.count("members_declared_dead")
            for action in context.script:
                await action(fleet)
            nursery.cancel_scope.cancel()

    run_in_simulated_time(main)


@given("a converged fleet of {size:d} instances with {loss:d} percent loss")
def start_fleet(context, size, loss):
    context.size, context.loss, context.script = size, loss / 100, []
    context.interval = 1.0
    # The steps only collect actions; the clean-up runs them after the last step.
    context.add_cleanup(run_script, context)


def scripted_step(function):
    """Return a step that appends `function`, bound to its arguments, to the script."""

    def step(context, **arguments):
        async def action(fleet):
            await function(fleet, **arguments)

        context.script.append(action)

    return step


async def pass_periods(fleet, count):
    await trio.sleep(count)


when("{count:d} periods pass")(scripted_step(pass_periods))


async def check_no_death(fleet):
    assert fleet.count("members_declared_dead") == fleet.deaths


then("no member was declared dead")(scripted_step(check_no_death))


async def cut_one_way(fleet, source, target):
    fleet.network.cut(locate_instance(source), locate_instance(target))
    fleet.ends = {source: f"entry-{target:03}", target: f"entry-{source:03}"}


when("datagrams from instance {source:d} to instance {target:d} are dropped")(
    scripted_step(cut_one_way)
)


async def check_unreachable(fleet):
    for number, gossip in fleet.gossips.items():
        expected = {fleet.ends[number]} if number in fleet.ends else set()
        assert gossip.unreachable == expected, (number, gossip.unreachable)


then("only the ends of the cut hold each other as unreachable")(
    scripted_step(check_unreachable)
)


async def heal(fleet):
    fleet.network.heal()
    fleet.ends = {}
    fleet.deaths = fleet.count("members_declared_dead")


when("the cuts heal")(scripted_step(heal))
then("no instance holds another one as unreachable")(scripted_step(check_unreachable))


async def kill(fleet, number):
    fleet.dead = fleet.gossips[number].table.own
    fleet.kill(number)


when("instance {number:d} is killed")(scripted_step(kill))


async def check_dead(fleet, periods):
    assert await fleet.wait_converged(periods) is not None


then("all others hold it as dead within {periods:d} periods")(scripted_step(check_dead))


async def check_stays_dead(fleet, periods):
    for _ in range(periods):
        for gossip in fleet.gossips.values():
            record = gossip.table.members[fleet.dead.name]
            assert record.state is InstanceState.DEAD
        await trio.sleep(1.0)


then("it stays dead for {periods:d} periods")(scripted_step(check_stays_dead))


async def restart(fleet, number):
    fleet.kill(number)
    await fleet.start(number)
    fleet.deaths = fleet.count("members_declared_dead")


when("instance {number:d} is killed and restarted")(scripted_step(restart))


async def check_convergence(fleet, periods):
    assert await fleet.wait_converged(periods) is not None, fleet.views()
    assert fleet.count("members_declared_dead") == fleet.deaths


then("the fleet converges within {periods:d} periods without a death")(
    scripted_step(check_convergence)
)


@when("periods last {seconds:d} seconds")
def set_interval(context, seconds):
    # A simulated hour with fewer probes takes less time to run.
    context.interval = float(seconds)


async def partition(fleet, seconds):
    numbers = list(fleet.gossips)
    half = len(numbers) // 2
    for one in numbers[:half]:
        for other in numbers[half:]:
            fleet.network.cut(locate_instance(one), locate_instance(other))
            fleet.network.cut(locate_instance(other), locate_instance(one))
    await trio.sleep(seconds)


when("the two halves are cut off from each other for {seconds:d} seconds")(
    scripted_step(partition)
)


async def check_halves(fleet):
    assert {len(view) for view in fleet.views().values()} == {len(fleet.gossips) // 2}


then("each half sees only itself")(scripted_step(check_halves))


async def miss_changes(fleet, number, other):
    table = fleet.gossips[number].table
    old = table.members[f"entry-{other:03}"]
    for state in (InstanceState.IMPAIRED, InstanceState.ALIVE):
        fleet.gossips[other].set_own_state(state)
    # Until no datagram carries the updates any more.
    await trio.sleep(60)
    assert fleet.is_converged()
    fleet.fetches = fleet.count("member_table_fetches")
    stale = make_table(table.own)
    for member in (old, *table.members.values()):
        if member.name != old.name or member is old:
            stale.merge(member, trio.current_time())
    for name in ("members", "changed_at", "digest"):
        setattr(table, name, getattr(stale, name))
    assert table.digest != fleet.gossips[other].table.digest


when("instance {number:d} misses the latest changes of instance {other:d}")(
    scripted_step(miss_changes)
)


async def check_fetch(fleet):
    digests = {gossip.table.digest for gossip in fleet.gossips.values()}
    while len(digests) > 1:
        await trio.sleep(1.0)
        digests = {gossip.table.digest for gossip in fleet.gossips.values()}
        assert trio.current_time() < 300, "the tables stay different"
    assert fleet.count("member_table_fetches") > fleet.fetches


then("a table was fetched")(scripted_step(check_fetch))


async def check_no_fetch(fleet):
    assert fleet.count("member_table_fetches") == fleet.fetches


then("no table was fetched since the fleet converged")(scripted_step(check_no_fetch))


@then("fleets of 3 to 12 instances converge after loss, one-way cuts and restarts")
def check_faults(context):
    @settings(max_examples=40)
    @for_all(
        st.integers(3, 12),
        st.floats(0, 0.3),
        st.lists(st.tuples(st.integers(0, 11), st.integers(0, 11)), max_size=4),
        st.lists(st.integers(0, 11), max_size=3),
        st.integers(0, 1000),
    )
    def check(size, loss, cuts, restarts, seed):
        clock = MockClock(autojump_threshold=0)
        trio.run(run_faults, size, loss, cuts, restarts, seed, clock=clock)

    check()


async def run_faults(size, loss, cuts, restarts, seed):
    network = make_network(seed, loss=loss, duplication=0.1, delay=(0.0005, 0.02))
    async with trio.open_nursery() as nursery:
        fleet = MemoryFleet(network, nursery)
        for number in range(size):
            await fleet.start(number, seeds=(0, 1))
        for source, target in cuts:
            network.cut(locate_instance(source % size), locate_instance(target % size))
        for number in restarts:
            await trio.sleep(7)
            fleet.kill(number % size)
            await trio.sleep(seed % 9)
            await fleet.start(number % size, seeds=(0, 1))
        await trio.sleep(20)
        network.heal()
        network.loss = min(loss, 0.05)
        assert await fleet.wait_converged(120) is not None, fleet.views()
        nursery.cancel_scope.cancel()


def make_gossip_instance(network, own, codec_name=None):
    return Gossip(
        make_table(own),
        make_codec(own.name, own.incarnation, [KEY], read_clock),
        make_metrics(),
        1.0,
        3.0,
        lambda: 1,
        lambda name, version: None,
        random.Random(1),
        network.open,
    )


@then("a lag of 10 s extends suspicions by 10 s and lengthens the timeout")
def check_lag(context):
    async def main():
        gossip = make_gossip_instance(make_network(), describe_instance(0))
        gossip.merge_update(describe_instance(1))
        gossip.enqueue_update(gossip.table.suspect("entry-001", 0.0))
        before = gossip.health.suspicion_timeout_factor
        gossip._prober._handle_lag(10.0)
        assert gossip.health.suspicion_timeout_factor == before + 1
        assert gossip.table.expire(12.9, 3.0) == []
        assert [update.name for update in gossip.table.expire(13.0, 3.0)] == [
            "entry-001"
        ]

    run_in_simulated_time(main)


@then("datagrams of a fleet with names of 64 bytes stay below 1400 bytes")
def check_size(context):
    async def main():
        network = make_network()
        long = "n" * 60
        own = replace(describe_instance(0, "i" * 64), name=long + "0000")
        gossip = make_gossip_instance(network, own)
        for number in range(1, 40):
            name, text = f"{long}{number:04}", "z" * 64
            member = describe_instance(number, "i" * 64)
            gossip.merge_update(replace(member, name=name, zone=text, region=text))
        for number in range(40, 80):
            gossip.merge_update(describe_instance(number))
        async with trio.open_nursery() as nursery:
            await nursery.start(gossip.run, Address(*locate_instance(0)))
            await trio.sleep(60)
            assert network.sent > 100
            nursery.cancel_scope.cancel()
        assert 600 < network.longest < 1400, network.longest

    run_in_simulated_time(main)


@then("a probe of an unknown sender is counted, and answered once it introduces itself")
def check_unknown(context):
    async def main():
        network = make_network()
        known = make_gossip_instance(network, describe_instance(0, "a" * 16))
        answers = []
        network.attach(locate_instance(1), lambda *datagram: answers.append(datagram))
        unknown = make_gossip_instance(network, describe_instance(1, "b" * 16))
        unknown._socket = await network.open(Address(*locate_instance(1)))
        async with trio.open_nursery() as nursery:
            await nursery.start(known.run, Address(*locate_instance(0)))
            address = known.table.own.control
            await unknown.send_ping(address)
            await trio.sleep(0.1)
            key = ("messages_rejected", (("reason", "unknown_sender"),))
            assert known.metrics.counts[key] == 1 and not answers
            assert "entry-001" not in known.table.members
            await unknown.send_ping(address, [unknown.table.own])
            await trio.sleep(0.1)
            assert len(answers) == 1 and "entry-001" in known.table.members
            nursery.cancel_scope.cancel()

    run_in_simulated_time(main)
