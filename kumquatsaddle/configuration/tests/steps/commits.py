import random
from dataclasses import asdict

import trio
from behave import given, then, when

from kumquatsaddle.configuration.changes import Change, make_change_key, read_changes
from kumquatsaddle.configuration.commits import Edit, commit_edit, withdraw_edit
from kumquatsaddle.exceptions import (
    ChangeNotWrittenError,
    ChangeUnknownError,
    ConfigurationError,
    ConflictError,
    PlatformUnavailableError,
)
from kumquatsaddle.testing.configuration import (
    FakeNetwork,
    FakeNode,
    RandomFaultPlatform,
)
from kumquatsaddle.testing.runs import expect, in_mock_run, run_with_mock_clock

_INTERLEAVING_RUNS = 60
_OPERATOR_COUNT = 5
_EDITS_PER_OPERATOR = 4
_NODE_COUNT = 3
_SERVICE_NAMES = ("a", "b")


def make_nodes(nursery, platform, count, seed):
    network = FakeNetwork(nursery, seed)
    return [FakeNode(f"n{index}", network, platform, seed) for index in range(count)]


async def commit_until_answered(rng, nodes, edit):
    """Commit an edit, repeat it while its result is unknown and return the answer.

    Some unknown edits are withdrawn instead of repeated.
    """
    while True:
        distribution = rng.choice(nodes).distribution
        try:
            change = await commit_edit(distribution, edit, trio.current_time)
            return "accepted", change.version
        except ConflictError:
            return "conflict", None
        except ChangeNotWrittenError:
            return "not-written", None
        except ChangeUnknownError:
            pass
        edit = Edit(
            edit.kind, edit.name, edit.value, edit.expected, edit.change_id, "", True
        )
        if rng.random() < 0.2:
            try:
                change = await withdraw_edit(
                    distribution, edit.kind, edit.name, edit.change_id
                )
            except ChangeUnknownError:
                continue
            return ("accepted", change.version) if change else ("not-written", None)
        await trio.sleep(rng.uniform(0.0, 2.0))


async def run_operator(rng, nodes, number, answers):
    for index in range(_EDITS_PER_OPERATOR):
        name = rng.choice(_SERVICE_NAMES)
        configuration = rng.choice(nodes).distribution.configuration
        present = name in configuration.services
        expected = configuration.version_of("service", name) if present else None
        value = {"slots": rng.randrange(1, 9)}
        if present and rng.random() < 0.2:
            value = None
        edit = Edit("service", name, value, expected, f"{number}-{index}")
        try:
            answer = await commit_until_answered(rng, nodes, edit)
        except ConfigurationError:
            # Another operator removed the entity first.
            answer = "invalid", None
        answers[edit.change_id] = (edit, *answer)
        await trio.sleep(rng.uniform(0.0, 1.0))


async def run_interleaving(seed):
    rng = random.Random(seed)
    answers = {}
    async with trio.open_nursery() as late:
        platform = RandomFaultPlatform(late, seed, fault_rate=rng.choice((0.1, 0.4)))
        nodes = make_nodes(late, platform, _NODE_COUNT, seed)
        async with trio.open_nursery() as nursery:
            for number in range(_OPERATOR_COUNT):
                nursery.start_soon(run_operator, rng, nodes, number, answers)
            for _ in range(rng.randrange(3)):
                await trio.sleep(rng.uniform(0.0, 2.0))
                platform.down = True
                await trio.sleep(rng.uniform(0.0, 2.0))
                platform.down = False
            platform.fault_rate = min(platform.fault_rate, 0.3)
        platform.fault_rate = 0.0
        await trio.sleep(platform.max_late_effect_seconds)
    log = await read_changes(platform.store, 0)
    return log, len(await platform.store.list_rows("config/changes/")), answers


def check_log(log, rows, answers):
    assert [change.version for change in log] == list(range(1, rows + 1))
    versions, latest = {}, {}
    for change in log:
        if change.kind == "none":
            continue
        assert change.change_id not in versions, "a change was accepted twice"
        versions[change.change_id] = change.version
        assert change.previous == latest.get(change.name, 0)
        latest[change.name] = change.version
        edit = answers[change.change_id][0]
        assert edit.expected in (None, change.previous)
    for change_id, (_, outcome, version) in answers.items():
        assert (outcome == "accepted") == (change_id in versions), outcome
        assert versions.get(change_id) == version


@then("the log is gapless and agrees with every answer in 60 seeded runs")
def check_interleavings(context):
    outcomes = set()
    for seed in range(_INTERLEAVING_RUNS):
        log, rows, answers = run_with_mock_clock(run_interleaving, seed)
        check_log(log, rows, answers)
        outcomes |= {outcome for _, outcome, _ in answers.values()}
    assert {"accepted", "conflict", "not-written"} <= outcomes


class DelayedWritePlatform(RandomFaultPlatform):
    """Takes 3 seconds to apply each of the first `delayed_writes` puts.

    These puts raise an error without a reply at once.
    """

    delayed_writes = 1

    def __getattr__(self, name):
        call = super().__getattr__(name)
        if name != "put_row":
            return call

        async def put(*arguments):
            if self.delayed_writes <= 0:
                return await call(*arguments)
            self.delayed_writes -= 1
            method = self.store.put_row
            self._nursery.start_soon(self._take_effect, method, arguments, 3.0)
            raise PlatformUnavailableError("no reply")

        return put


@then("after a write that is 3 seconds late the log has the change once")
@in_mock_run
async def check_late_write(context, nursery):
    platform = DelayedWritePlatform(nursery)
    node = make_nodes(nursery, platform, 1, 1)[0]
    mine = Edit("service", "s", {}, None, "mine")
    change = await commit_edit(node.distribution, mine)
    # Another change takes the next version before the late write arrives.
    await commit_edit(node.distribution, Edit("service", "t", {}, None, "x"))
    await trio.sleep(10)
    log = await read_changes(platform.store, 0)
    assert [(one.change_id, one.version) for one in log] == [("mine", 1), ("x", 2)]
    assert change.version == 1


@then('after 4 late writes, "unknown" and a withdrawal the log has no change of it')
@in_mock_run
async def check_withdrawal(context, nursery):
    platform = DelayedWritePlatform(nursery)
    # All 4 writes of the edit are delayed; that of the withdrawal is answered.
    platform.delayed_writes = 4
    node = make_nodes(nursery, platform, 1, 1)[0]
    mine = Edit("service", "s", {}, None, "mine")
    await expect(ChangeUnknownError, commit_edit(node.distribution, mine))
    assert await withdraw_edit(node.distribution, "service", "s", "mine") is None
    await trio.sleep(10)
    log = await read_changes(platform.store, 0)
    assert [change.kind for change in log] == ["none"]


@given("a configuration with 2 accounts that two operators have read")
def prepare_edits(context):
    context.edits = [
        ("service", "s", {}),
        ("template", "t", {"routes": [{"prefix": "/", "service": "s"}]}),
        ("account", "one", {"template": "t"}),
        ("account", "two", {"template": "t"}),
    ]


async def make_node_with_edits(context, nursery):
    platform = RandomFaultPlatform(nursery)
    node = make_nodes(nursery, platform, 1, 1)[0]
    for kind, name, value in context.edits:
        await commit_edit(node.distribution, Edit(kind, name, value, None))
    return node, platform


@when("both edit different accounts at the same version of the log")
@in_mock_run
async def edit_different_accounts(context, nursery):
    node, platform = await make_node_with_edits(context, nursery)
    other = make_nodes(nursery, platform, 1, 2)[0]
    context.accepted = {}

    async def edit(distribution, name):
        value = {"template": "t", "floors": {"s": 1}}
        edit = Edit("account", name, value, 3 + (name == "two"), name)
        context.accepted[name] = await commit_edit(distribution, edit)

    async with trio.open_nursery() as inner:
        inner.start_soon(edit, node.distribution, "one")
        inner.start_soon(edit, other.distribution, "two")
    value = {"template": "t"}
    again = Edit("account", "one", value, 3, "late")
    context.conflict = await expect(
        ConflictError, commit_edit(node.distribution, again)
    )
    # After a later edit, the entity alone does not show the first one.
    await commit_edit(
        node.distribution,
        Edit("account", "one", value, context.accepted["one"].version, "new"),
    )
    first = Edit("account", "one", value, 3, "one", "", True)
    context.repeated = await commit_edit(other.distribution, first)


@then("both edits are accepted")
def check_both_accepted(context):
    versions = {change.version for change in context.accepted.values()}
    assert versions == {5, 6}


@then("an edit of an entity that has changed since is a conflict")
def check_conflict_was_raised(context):
    assert context.conflict.exit_code == 6


@then("a repetition of the earlier edit is accepted with its first version")
def check_repetition(context):
    assert context.repeated.version == context.accepted["one"].version


def check_refusal(context, edit, field):
    @in_mock_run
    async def check(context, nursery):
        node, platform = await make_node_with_edits(context, nursery)
        call = commit_edit(node.distribution, edit)
        assert (await expect(ConfigurationError, call)).field == field
        assert len(await read_changes(platform.store, 0)) == len(context.edits)

    check(context)


@then("an account of an unknown template is refused with its field")
def check_unknown_template(context):
    edit = Edit("account", "x", {"template": "none"}, None)
    check_refusal(context, edit, "accounts/x.template")


@then("a route to an unknown service is refused with its field")
def check_unknown_service(context):
    value = {"routes": [{"prefix": "/a", "service": "none"}]}
    check_refusal(
        context, Edit("template", "x", value, None), "templates/x.routes * /a"
    )


@then("a template and a service in use cannot be deleted")
def check_removal_in_use(context):
    check_refusal(context, Edit("service", "s", None, 1), "services/s")
    check_refusal(context, Edit("template", "t", None, 2), "templates/t")


@then("without the platform a first attempt is not written and a repeated one unknown")
@in_mock_run
async def check_without_platform(context, nursery):
    node, platform = await make_node_with_edits(context, nursery)
    platform.down = True
    for repeated in (False, True):
        edit = Edit("account", "x", {"template": "t"}, None, "id", "", repeated)
        error_type = ChangeUnknownError if repeated else ChangeNotWrittenError
        await expect(error_type, commit_edit(node.distribution, edit))


@then("the withdrawal answers that the edit was accepted")
@in_mock_run
async def check_write_during_withdrawal(context, nursery):
    platform = RandomFaultPlatform(nursery)
    node = make_nodes(nursery, platform, 1, 1)[0]
    store, put_row = platform.store, platform.store.put_row
    mine = Change(1, "mine", "service", "t", {})

    async def put_after_late_write(*arguments):
        store.put_row = put_row
        await put_row(make_change_key(1), asdict(mine), None)
        return await put_row(*arguments)

    store.put_row = put_after_late_write
    change = await withdraw_edit(node.distribution, "service", "t", "mine")
    assert change == mine
    assert await read_changes(store, 0) == [mine]


@then("without the last row edits and withdrawals write nothing until it is back")
@in_mock_run
async def check_restored_table(context, nursery):
    node, platform = await make_node_with_edits(context, nursery)
    rows = platform.store.rows
    last = rows.pop(make_change_key(4))
    edit = Edit("service", "new", {}, None, "mine")
    for replaced in (None, '{"version": 4, "change_id": "x", "kind": "none"'):
        if replaced:
            text = replaced + ', "name": "", "value": null}'
            rows[make_change_key(4)] = (text, "1")
        call = commit_edit(node.distribution, edit)
        assert "version 4" in str(await expect(ChangeNotWrittenError, call))
        call = withdraw_edit(node.distribution, "service", "new", "mine")
        await expect(ChangeUnknownError, call)
        assert make_change_key(5) not in rows and node.version == 4
    rows[make_change_key(4)] = last
    assert (await commit_edit(node.distribution, edit)).version == 5
