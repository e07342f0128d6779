import json
from contextlib import asynccontextmanager

import trio
from behave import given, then, when

from kumquatsaddle.configuration.changes import make_change_id
from kumquatsaddle.testing.fleet import open_fleet
from kumquatsaddle.testing.loops import start_loop
from kumquatsaddle.testing.platforms import copy_store

TIMEOUT_SECONDS = 20.0
ACCOUNT = "/api/v1/accounts/shop"
# Number of stale reads of each instance before its configuration is checked.
MIN_STALE_READS = 6


class VersionMonitor:
    """Checks every millisecond that no instance decreases its configuration version."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.accepted = 0
        self.violations = []
        self._seen = {}

    async def run(self):
        while True:
            for entry in self.fleet.nodes:
                self._check(entry)
            await trio.sleep(0.001)

    def _check(self, entry):
        node = entry.node
        version, key = node.distribution.version, (node.name, node.incarnation)
        started = key not in self._seen
        if version < self._seen.get(key, 0):
            self.violations.append(
                f"{node.name} went from {self._seen[key]} to {version}"
            )
        if node.distribution.ready:
            if started and version < self.accepted:
                self.violations.append(f"{node.name} started at {version}")
            self._seen[key] = version


@asynccontextmanager
async def open_monitored_fleet(count):
    async with open_fleet(count, 2) as fleet, trio.open_nursery() as nursery:
        fleet.version_monitor = VersionMonitor(fleet)
        nursery.start_soon(fleet.version_monitor.run)
        yield fleet
        nursery.cancel_scope.cancel()


async def wait_for(condition):
    with trio.fail_after(TIMEOUT_SECONDS):
        while not condition():
            await trio.sleep(0.01)


async def ask_operators(fleet, entry, method, target, value=None, headers=()):
    address = entry.node.settings.get("listen", "operators")
    token = ("Authorization", f"Bearer {fleet.operator_token}")
    body = b"" if value is None else json.dumps(value).encode()
    raw = await fleet.call(
        address, method, target, body, [token, *headers], TIMEOUT_SECONDS
    )
    return json.loads(raw.body)


async def edit_account(fleet, entry, base, rate, change_id, *headers):
    value = {"template": "default", "limits": {"order": {"rate": rate, "burst": 10}}}
    fields = [("If-Match", str(base)), ("Kumquatsaddle-Change-Id", change_id), *headers]
    reply = await ask_operators(fleet, entry, "PUT", ACCOUNT, value, fields)
    if reply["outcome"] == "accepted":
        fleet.version_monitor.accepted = max(
            fleet.version_monitor.accepted, reply["version"]
        )
    return reply


async def read_base(fleet, entry):
    return (await ask_operators(fleet, entry, "GET", ACCOUNT))["version"]


def is_in_force(fleet):
    return all(
        entry.node.distribution.version >= fleet.version_monitor.accepted
        for entry in fleet.list_running()
    )


def read_rate(entry):
    return entry.node.configuration.accounts["shop"].limits["order"].rate


def set_platform(fleet, **values):
    for entry in fleet.nodes:
        for name, value in values.items():
            setattr(entry.platform, name, value)


async def crash_nodes(fleet, entries):
    for entry in entries:
        fleet.crash(entry)
        await entry.ended.wait()


@given("a monitored fleet of {count:d} instances")
def start_monitored_fleet(context, count):
    context.loop = start_loop(context, open_monitored_fleet(count))
    context.fleet, context.rate = context.loop.resource, 100


@when("an edit of an account is accepted by an instance")
def accept_edit(context):
    fleet, entry = context.fleet, context.fleet.list_running()[0]
    context.before_edit = copy_store(fleet.platform.store)
    context.rate += 1

    async def edit():
        base = await read_base(fleet, entry)
        return await edit_account(fleet, entry, base, context.rate, make_change_id())

    context.reply = context.loop.run(edit)
    assert context.reply["outcome"] == "accepted", context.reply


@then("it comes into force at all instances")
@then("the accepted edits come into force at all instances")
def check_in_force(context):
    context.loop.run(wait_for, lambda: is_in_force(context.fleet))
    rates = {read_rate(entry) for entry in context.fleet.list_running()}
    assert rates == {context.rate}, rates


@when("the platform becomes unavailable and {count:d} instances crash")
def take_platform_down_and_crash(context, count):
    fleet = context.fleet
    set_platform(fleet, down=True)
    context.ended = fleet.list_running()[-count:]
    context.loop.run(crash_nodes, fleet, context.ended)


@when("they are replaced by instances with the running ones as seeds")
def replace_with_seeds(context):
    fleet = context.fleet
    addresses = [
        entry.node.settings.get("listen", "control") for entry in fleet.list_running()
    ]
    seeds = {"seeds": ", ".join(map(str, addresses))}

    async def replace():
        return [
            await fleet.replace_node(one, membership=seeds) for one in context.ended
        ]

    context.replaced = context.loop.run(replace)


@then("the replaced instances serve with the accepted configuration")
def check_replaced(context):
    fleet = context.fleet

    async def check():
        await fleet.wait_until_serving()
        return [await fleet.call(one.callers, "GET", "/x") for one in context.replaced]

    for raw in context.loop.run(check):
        assert raw.get_header(b"kumquatsaddle-outcome") == b"done", raw
    check_in_force(context)


@then('an edit during the outage is refused as "{outcome}"')
def check_refused(context, outcome):
    fleet, entry = context.fleet, context.replaced[0]

    async def edit():
        base = await read_base(fleet, entry)
        return await edit_account(fleet, entry, base, 1, make_change_id())

    reply = context.loop.run(edit)
    assert reply["outcome"] == outcome, reply


@when("the platform is available again with reads from before the edit")
def return_stale_reads(context):
    # The list of instances is up to date; only the table is stale.
    stale = context.before_edit
    stale.instances = context.fleet.platform.store.instances
    set_platform(context.fleet, down=False, stale=stale)


@then("the edit stays in force while all instances read the stale state")
def check_stays(context):
    fleet = context.fleet
    context.loop.run(
        wait_for,
        lambda: all(
            one.platform.stale_reads >= MIN_STALE_READS for one in fleet.list_running()
        ),
    )
    check_in_force(context)


@when("an instance crashes and its replacement knows only the platform's list")
def replace_without_seeds(context):
    fleet, ended = context.fleet, context.fleet.list_running()[-1]

    async def replace():
        await crash_nodes(fleet, [ended])
        new = await fleet.replace_node(ended)
        new.platform.stale = context.before_edit
        return new

    context.replaced = [context.loop.run(replace)]


@when("the reads of the platform are up to date again")
def end_stale_reads(context):
    set_platform(context.fleet, stale=None)


@then("no version decreased at any time")
def check_versions(context):
    assert not context.fleet.version_monitor.violations, (
        context.fleet.version_monitor.violations
    )


@when("two operators change an account concurrently at two instances, {count:d} times")
def change_at_once(context, count):
    fleet, (one, other) = context.fleet, context.fleet.nodes[:2]
    # The delay lets both edits read the log before either is written.
    set_platform(fleet, delay=0.02)
    context.rounds = []

    async def change(entry, base, rate, replies):
        reply = await edit_account(fleet, entry, base, rate, make_change_id())
        replies.append((reply["outcome"], rate))

    async def run():
        for number in range(count):
            await wait_for(lambda: is_in_force(fleet))
            replies, base = [], await read_base(fleet, one)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(change, one, base, 200 + number, replies)
                nursery.start_soon(change, other, base, 300 + number, replies)
            context.rounds.append(sorted(replies))

    context.loop.run(run)
    context.rate = context.rounds[-1][0][1]


@then("each time one edit was accepted and the other got a conflict")
def check_one_accepted(context):
    for replies in context.rounds:
        assert [outcome for outcome, _ in replies] == ["accepted", "conflict"], replies


@when("the reply to an edit is lost and the platform {then}")
def lose_reply(context, then):
    fleet, entry = context.fleet, context.fleet.nodes[0]
    context.change_id, context.rate = make_change_id(), 400
    entry.platform.lose_replies = 1
    entry.platform.down_after_loss = then == "goes away"

    async def edit():
        context.base = await read_base(fleet, entry)
        return await edit_account(
            fleet, entry, context.base, context.rate, context.change_id
        )

    context.reply = context.loop.run(edit)


@then('the operator is told "{outcome}"')
def check_told(context, outcome):
    assert context.reply["outcome"] == outcome, context.reply


@when("the platform answers again and the edit is repeated at another instance")
def repeat_edit(context):
    fleet, repeated = context.fleet, ("Kumquatsaddle-Repeated", "1")
    set_platform(fleet, down=False)
    context.reply = context.loop.run(
        edit_account,
        fleet,
        fleet.nodes[1],
        context.base,
        context.rate,
        context.change_id,
        repeated,
    )


@then("the log has the edit once")
def check_log(context):
    rows = context.fleet.platform.store.rows
    changes = [json.loads(text) for key, (text, _) in rows.items() if "changes" in key]
    ids = [change["change_id"] for change in changes]
    assert ids.count(context.change_id) == 1, ids
    assert len(changes) == context.base + 1


@when("the version of an instance decreases")
def decrease_version(context):
    configuration = context.fleet.nodes[0].node.configuration

    async def decrement_version():
        configuration.version -= 1
        await wait_for(lambda: context.fleet.version_monitor.violations)

    context.loop.run(decrement_version)


@then("the check finds a version that decreased")
def check_fault(context):
    assert "went from" in context.fleet.version_monitor.violations[0]
