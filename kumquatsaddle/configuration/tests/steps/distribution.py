import json
import random

import trio
from behave import given, then, when

from kumquatsaddle.configuration.changes import Change, make_change_key, parse_change
from kumquatsaddle.configuration.commits import Edit, commit_edit
from kumquatsaddle.configuration.snapshots import decode_snapshot, encode_snapshot
from kumquatsaddle.configuration.state import make_configuration
from kumquatsaddle.configuration.transport import ChangesReply, dump_change
from kumquatsaddle.configuration.values import dump_entity
from kumquatsaddle.exceptions import (
    ConfigurationError,
    ConflictError,
    PlatformError,
)
from kumquatsaddle.storage.interface import InstanceList, ListedInstance
from kumquatsaddle.testing.configuration import (
    FakeNetwork,
    RandomFaultPlatform,
)
from kumquatsaddle.testing.runs import (
    expect,
    in_mock_run,
    in_trio,
    run_with_mock_clock,
)

_COMMIT_SECONDS = 90
_PROPAGATION_LIMIT_SECONDS = 5.0
_SEEDS = (1, 2, 3)
_NODE_NAMES = ("n0", "n1", "n2", "n3")


def make_server(name):
    return ListedInstance(name, "backend", "s", "127.0.0.1:1", "a", "r")


async def wait_until_ready(nodes):
    while not all(node.ready_at is not None for node in nodes):
        await trio.sleep(0.05)


def dump_entities(configuration):
    return {
        (kind, name): (entity.version, dump_entity(entity))
        for kind in ("service", "template", "account", "drain")
        for name, entity in configuration.entities(kind).items()
    }


class FleetRun:
    """One seeded run of 40 nodes with operators, restarts, outages and stale nodes."""

    def __init__(self, seed, count=40):
        self.rng = random.Random(seed)
        self.seed = seed
        self.count = count
        self.accepted = []
        self.problems = []
        self.joined_at = {}

    async def run(self):
        async with trio.open_nursery() as nursery:
            self.platform = RandomFaultPlatform(nursery, self.seed, fault_rate=0.05)
            self.network = FakeNetwork(nursery, self.seed)
            for index in range(self.count):
                self.start_node(f"n{index:02d}")
            await wait_until_ready(self.network.nodes.values())
            nursery.start_soon(self.check_versions_never_fall)
            faults = trio.CancelScope()
            nursery.start_soon(self.inject_faults, faults)
            await self.commit_edits(nursery)
            # One that restarts or is cut off now could not be up to date in time.
            faults.cancel()
            self.platform.down = False
            for node in self.network.nodes.values():
                node.isolated = False
            await trio.sleep(_PROPAGATION_LIMIT_SECONDS)
            self.final = {node.version for node in self.network.nodes.values()}
            nursery.cancel_scope.cancel()

    def start_node(self, name):
        self.joined_at[name] = trio.current_time()
        return self.network.add(name, self.platform, self.rng.randrange(1 << 30))

    async def commit_edits(self, nursery):
        end = trio.current_time() + _COMMIT_SECONDS
        while trio.current_time() < end:
            await trio.sleep(self.rng.uniform(0.0, 3.0))
            node = self.rng.choice(list(self.network.nodes.values()))
            if node.isolated or not node.distribution.ready:
                continue
            name = f"s{self.rng.randrange(20)}"
            expected = node.distribution.configuration.version_of("service", name)
            edit = Edit("service", name, {"slots": 3}, expected)
            try:
                change = await commit_edit(node.distribution, edit)
            except (ConflictError, PlatformError):
                continue
            self.accepted.append(change.version)
            nursery.start_soon(self.check_in_force, change, trio.current_time())

    async def check_in_force(self, change, accepted_at):
        connected = {
            name: node
            for name, node in self.network.nodes.items()
            if not node.isolated and self.joined_at[name] <= accepted_at
        }
        await trio.sleep(_PROPAGATION_LIMIT_SECONDS)
        for name, node in connected.items():
            if self.network.nodes[name] is not node or node.isolated:
                continue
            if node.version < change.version:
                self.problems.append((name, node.version, change.version))

    async def check_versions_never_fall(self):
        highest = {}
        while True:
            await trio.sleep(0.05)
            for node in self.network.nodes.values():
                if node.version < highest.get(node, 0):
                    self.problems.append((node.name, "version fell", node.version))
                highest[node] = max(node.version, highest.get(node, 0))

    async def inject_faults(self, scope):
        with scope:
            while True:
                await self.inject_next_fault()

    async def inject_next_fault(self):
        await trio.sleep(self.rng.uniform(1.0, 6.0))
        event = self.rng.choice(("restart", "outage", "stale"))
        name = self.rng.choice(sorted(self.network.nodes))
        if event == "outage":
            self.platform.down = not self.platform.down
        elif event == "stale":
            node = self.network.nodes[name]
            node.isolated = not node.isolated
            self.joined_at[name] = trio.current_time()
        else:
            self.network.nodes[name].kill()
            node = self.start_node(name)
            self.network.nursery.start_soon(self.check_version_at_start, node)

    async def check_version_at_start(self, node):
        """Check that a node starts with at least the versions accepted before."""
        known = max(self.accepted, default=0)
        await trio.sleep(_PROPAGATION_LIMIT_SECONDS)
        while node.ready_at is None and self.network.nodes[node.name] is node:
            await trio.sleep(0.05)
        if node.ready_at is not None and node.version < known and not node.isolated:
            self.problems.append(
                (node.name, "started with an old version", node.version, known)
            )


@given("40 connected configurations, 10 percent of the messages lost")
def make_fleet(context):
    context.runs = [FleetRun(seed) for seed in _SEEDS]


@when("operators commit for 90 seconds while instances restart and the platform fails")
def run_fleet(context):
    for run in context.runs:
        run_with_mock_clock(run.run)


@then("no version ever went down and restarted instances started up to date")
def check_versions(context):
    for run in context.runs:
        drops = [problem for problem in run.problems if isinstance(problem[1], str)]
        assert not drops, drops
        for node in run.network.nodes.values():
            assert node.versions == sorted(node.versions)


@then("every change was in force within 5 seconds at every connected instance")
def check_propagation_time(context):
    for run in context.runs:
        assert len(run.accepted) >= 10
        assert not run.problems, run.problems


@then("all instances reach the last accepted version")
def check_final_versions(context):
    for run in context.runs:
        assert len(run.final) == 1 and min(run.final) >= max(run.accepted)


@when("the platform fails and an instance starts with one stale peer in reach")
@in_mock_run
async def start_in_outage(context, nursery):
    platform = RandomFaultPlatform(nursery)
    platform.store.instances["b1"] = make_server("b1")
    network = FakeNetwork(nursery, 1, loss=0.0)
    nodes = [network.add(name, platform, 1) for name in _NODE_NAMES]
    await wait_until_ready(nodes)
    stale = nodes[0]
    await commit_edit(nodes[1].distribution, Edit("service", "s", {}, None))
    await trio.sleep(2)
    stale.isolated = True
    for name in ("t", "u"):
        await commit_edit(nodes[1].distribution, Edit("service", name, {}, None))
    await trio.sleep(2)
    assert stale.version == 1
    platform.down, stale.isolated = True, False
    new = network.add("new", platform, 7)
    await wait_until_ready([new])
    context.started = new.version, new.distribution.backends


@then("it starts with the version and the list of its peers")
def check_started_from_peers(context):
    assert context.started == (3, [make_server("b1")])


@given("3 instances that start while the platform is unavailable")
@in_mock_run
async def start_in_outage_without_peers(context, nursery):
    platform = RandomFaultPlatform(nursery)
    platform.down = True
    network = FakeNetwork(nursery, 1)
    nodes = [network.add(f"n{index}", platform, index) for index in range(3)]
    await trio.sleep(60)
    context.ready_in_outage = [node.ready_at for node in nodes]
    platform.down = False
    await trio.sleep(10)
    context.ready_after = [node.ready_at for node in nodes]


@then("none of them becomes ready before the platform is back")
def check_not_ready(context):
    assert context.ready_in_outage == [None] * 3
    assert None not in context.ready_after


@given("an instance with 450 changes")
def set_change_count(context):
    context.changes = 450


async def make_node_with_changes(context, nursery):
    platform = RandomFaultPlatform(nursery)
    network = FakeNetwork(nursery, 1, loss=0.0)
    node = network.add("old", platform, 1)
    await wait_until_ready([node])
    for number in range(context.changes):
        name = f"s{number % 30}"
        version = node.distribution.configuration.version_of("service", name)
        present = name in node.distribution.configuration.services
        value = None if present and number % 7 == 0 else {"slots": 1 + number % 9}
        edit = Edit("service", name, value, version)
        await commit_edit(node.distribution, edit)
    await trio.sleep(1)
    return platform, network, node


@then("a peer behind by any number of changes reaches its version in one fetch")
@in_mock_run
async def check_fetch_from_any_version(context, nursery):
    platform, network, node = await make_node_with_changes(context, nursery)
    rows = await platform.store.list_rows("config/changes/")
    wanted = dump_entities(node.distribution.configuration)
    for behind in (0, 1, 199, 200, 201, 350, 450):
        separate_network = FakeNetwork(nursery, 2, loss=0.0)
        peer = separate_network.add(f"p{behind}", platform, 3, start=False)
        for row in rows[: context.changes - behind]:
            peer.distribution.apply_changes([parse_change(row.value)])
        peer.network.nodes["old"] = node
        await peer.distribution._fetch("old")
        assert peer.version == context.changes
        assert dump_entities(peer.distribution.configuration) == wanted


@then("a starting instance reaches the same entities whatever happened to snapshots")
@in_mock_run
async def check_damaged_snapshots(context, nursery):
    platform, network, node = await make_node_with_changes(context, nursery)
    wanted = dump_entities(node.distribution.configuration)
    objects = platform.store.objects
    removed = node.distribution.configuration.removed
    assert sorted(objects)[-1].endswith("0400")
    intact = dict(objects)
    rng = random.Random(1)

    async def start(label):
        separate_network = FakeNetwork(nursery, 5, loss=0.0)
        new = separate_network.add(label, platform, 9)
        await wait_until_ready([new])
        assert new.version == context.changes, label
        assert dump_entities(new.distribution.configuration) == wanted, label
        assert new.distribution.configuration.removed == removed
        new.kill()

    await start("intact")
    latest_key = sorted(objects)[-1]
    for trial in range(40):
        data = bytearray(intact[latest_key])
        position = rng.randrange(len(data))
        if trial % 2:
            data = data[:position]
        else:
            data[position] ^= 1 << rng.randrange(8)
        objects[latest_key] = bytes(data)
        await start(f"damaged-{trial}")
    objects[latest_key] = b"[" * 100000 + b"\n"
    await start("nested")
    del objects[latest_key]
    await start("lost")
    objects.clear()
    await start("all-lost")
    objects.update(intact)
    for pointer in (100, 999999, -5):
        key = "config/snapshot"
        platform.store.rows[key] = ('{"version": %d}' % pointer, "1")
        await start(f"pointer{pointer}")


class PreparedListPlatform:
    """A platform that returns one prepared list of instances after a delay."""

    def __init__(self, listed, delay):
        self.listed, self.delay = listed, delay

    async def list_instances(self):
        await trio.sleep(self.delay)
        return self.listed


@then("of lists from the platform and from peers the latest read is in force")
@in_mock_run
async def check_latest_list_wins(context, nursery):
    network = FakeNetwork(nursery, 1, loss=0.0)
    nodes = {}
    for name, time in (("old", 100.0), ("new", 200.0), ("own", 150.0)):
        listed = InstanceList([make_server(name)], time)
        node = nodes[name] = network.add(name, None, 1, start=False)
        node.distribution.platform = PreparedListPlatform(listed, 0.01)
        await node.distribution.read_instance_list()
    own = nodes["own"].distribution
    await own._fetch("old", True)
    assert own.backends == [make_server("own")]
    await own._fetch("new", True)
    assert own.backends == [make_server("new")]
    # A read that began before the newer list arrived does not replace it.
    own.platform.delay = 1.0
    own.backends, own.listed_at = [make_server("own")], 150.0
    async with trio.open_nursery() as inner:
        inner.start_soon(own.read_instance_list)
        inner.start_soon(own._fetch, "new", True)
    assert own.backends == [make_server("new")]
    # A later read replaces the list, even if the platform's clock was set back.
    await own.read_instance_list()
    assert own.backends == [make_server("own")]


@then("after an invalid row the list of servers is still read and peers are served")
@in_mock_run
async def check_invalid_row(context, nursery):
    platform = RandomFaultPlatform(nursery)
    network = FakeNetwork(nursery, 1, loss=0.0)
    node = network.add("one", platform, 1)
    await wait_until_ready([node])
    await commit_edit(node.distribution, Edit("service", "s", {}, None))
    invalid = {"version": 2, "change_id": "x", "kind": "service", "name": "/"}
    await platform.store.put_row("config/changes/0000000002", invalid, None)
    platform.store.instances["b1"] = make_server("b1")
    await trio.sleep(20)
    assert node.version == 1
    assert node.distribution.backends == [make_server("b1")]
    other = network.add("two", platform, 2)
    platform.down = True
    await wait_until_ready([other])
    assert other.version == 1
    # An instance without peers reads the rows before the invalid one.
    platform.down = False
    single_node = FakeNetwork(nursery, 3, loss=0.0).add("three", platform, 3)
    await wait_until_ready([single_node])
    assert single_node.version == 1


@then("a reply with an old snapshot and old changes leaves it as it was")
@in_mock_run
async def check_stale_reply(context, nursery):
    platform, network, node = await make_node_with_changes(context, nursery)
    wanted = dump_entities(node.distribution.configuration)
    rows = await platform.store.list_rows("config/changes/")
    entries = tuple(dump_change(parse_change(row.value)) for row in rows[:120])
    data = platform.store.objects["config/snapshots/0000000100"]
    reply = ChangesReply(120, True, entries, data)
    await node.distribution._apply_reply(reply)
    assert node.version == context.changes
    assert dump_entities(node.distribution.configuration) == wanted


@when("the platform fails and an instance starts that has heard of version 2")
@in_mock_run
async def start_with_hidden_version(context, nursery):
    platform = RandomFaultPlatform(nursery)
    network = FakeNetwork(nursery, 1, loss=0.0)
    nodes = [network.add(name, platform, 1) for name in _NODE_NAMES]
    await wait_until_ready(nodes)
    ahead = nodes[-1]
    await commit_edit(nodes[0].distribution, Edit("service", "s", {}, None))
    await trio.sleep(2)
    ahead.isolated = True
    await commit_edit(ahead.distribution, Edit("service", "t", {}, None))
    platform.down = True
    new = network.add("new", platform, 5)
    new.distribution.record_peer_version("ahead", 2)
    await trio.sleep(30)
    context.before = new.ready_at, new.version
    ahead.isolated = False
    await trio.sleep(15)
    context.after = new.ready_at, new.version


@then("it becomes ready only when version 2 can be fetched")
def check_hidden_version(context):
    assert context.before == (None, 1)
    assert context.after[0] is not None and context.after[1] == 2


@then("a reply of a peer that is not ready does not make an instance ready")
@in_mock_run
async def check_starting_peer(context, nursery):
    platform = RandomFaultPlatform(nursery)
    platform.down = True
    network = FakeNetwork(nursery, 1, loss=0.0)
    peer = network.add("peer", platform, 1, start=False)
    peer.distribution._set_backends([make_server("b")], 1.0)
    new = network.add("new", platform, 2)
    await trio.sleep(30)
    assert new.ready_at is None
    peer.distribution.ready = True
    await trio.sleep(15)
    assert new.ready_at is not None


@then("a snapshot whose head was changed is refused by its digest")
@in_trio
async def check_changed_header(context):
    configuration = make_configuration()
    configuration.version = 400
    data = await encode_snapshot(configuration)
    assert (await decode_snapshot(data)).version == 400
    changed = data.replace(b": 400", b": 500", 1)
    await expect(ConfigurationError, decode_snapshot(changed))


@then("an instance starts from 1700 rows of the table")
@in_mock_run
async def check_start_from_long_log(context, nursery):
    platform = RandomFaultPlatform(nursery)
    for version in range(1, 1701):
        change = Change(version, f"c{version}", "service", f"s{version}", {})
        value = json.loads(dump_change(change))
        await platform.store.put_row(make_change_key(version), value, None)
    node = FakeNetwork(nursery, 1).add("one", platform, 1)
    await wait_until_ready([node])
    assert node.version == len(node.distribution.configuration.services) == 1700


@then("a server that leaves the list is gone after the next reads of the platform")
@in_mock_run
async def check_changing_list(context, nursery):
    platform = RandomFaultPlatform(nursery)
    platform.store.instances["b1"] = make_server("b1")
    platform.store.instances["b2"] = make_server("b2")
    node = FakeNetwork(nursery, 1).add("one", platform, 1)
    await wait_until_ready([node])
    del platform.store.instances["b1"]
    # The poll interval is 10 s with a jitter of up to half of it.
    await trio.sleep(16)
    assert node.distribution.backends == [make_server("b2")]
