import trio
from behave import given, then, when

from kumquatsaddle.entry import claiming, routing
from kumquatsaddle.entry.running import fingerprint_request
from kumquatsaddle.exchange import Answer, Request
from kumquatsaddle.operations.ledger import Ledger
from kumquatsaddle.testing.callers import (
    CallerRecord,
    check_caller_record,
    record_done_order,
)
from kumquatsaddle.testing.chaos import run_chaos
from kumquatsaddle.testing.fleet import open_fleet
from kumquatsaddle.testing.loops import start_loop
from kumquatsaddle.types import Rank, RefusalReason

KEY_HEADER, OPERATION_HEADER = "Idempotency-Key", "Kumquatsaddle-Operation"


def read_outcome(raw):
    return raw.get_header(b"kumquatsaddle-outcome").decode()


def send_order(context, entry, name, value, *extra):
    return context.loop.run(
        context.fleet.call,
        entry.callers,
        "POST",
        "/order",
        b"order",
        [(name, value), *extra],
    )


def issue_operation(context, entry):
    return context.loop.run(context.fleet.issue_operations, entry)[0]


def crash(context, entry):
    async def end():
        context.fleet.crash(entry)
        await entry.ended.wait()

    context.loop.run(end)


def replace_attribute(context, owner, name, value):
    original = getattr(owner, name)
    setattr(owner, name, value)
    context.add_cleanup(setattr, owner, name, original)


@given("a fleet of {count:d} instances")
def start_fleet(context, count):
    context.loop = start_loop(context, open_fleet(count, 3, work=0.005))
    context.fleet = context.loop.resource


@given("instances that do not record operations")
def forget_operations(context):
    async def run_always(self, operation, issued_at, fingerprint, run):
        return await run()

    replace_attribute(context, Ledger, "run_once", run_always)


@given("instances that retry orders whose answer was lost")
def retry_lost_answers(context):
    dispatch = routing.Router.dispatch
    lost = (RefusalReason.ANSWER_LOST, RefusalReason.ANSWER_TRUNCATED)

    async def dispatch_again(self, request):
        for _ in range(3):
            answer = await dispatch(self, request)
            if answer.reason not in lost:
                break
        return answer

    replace_attribute(context, routing.Router, "dispatch", dispatch_again)


@given("instances that take over the claims of a crashed holder")
def take_over_claims(context):
    def refuse_as_not_run(claim):
        return Answer.from_reason(RefusalReason.NO_BACKEND, claim.operation)

    replace_attribute(context, claiming, "_answer_from_claim", refuse_as_not_run)


@when(
    "callers send orders and lookups for {seconds:d} seconds"
    " under {faults} of seed {seed:d}"
)
def send_under_faults(context, seconds, faults, seed):
    names = None if faults == "all faults" else [faults]

    async def run():
        context.record = await run_chaos(context.fleet, seed, seconds, names=names)

    context.failure = None
    try:
        context.loop.run(run)
    except AssertionError as error:
        context.failure = error


@then("no order ran twice and none answered as not run ran")
def check_no_failure(context):
    assert context.failure is None, context.failure


@then("orders were done")
def check_done(context):
    assert context.record.done_bodies


@then("the check finds orders that ran twice")
def check_failure(context):
    assert "ran twice" in str(context.failure)


@when("an order with an issued id is sent to each instance")
def send_to_each(context):
    issued = issue_operation(context, context.fleet.nodes[0])
    context.answers = [
        send_order(context, entry, OPERATION_HEADER, issued)
        for entry in context.fleet.nodes
    ]


@then("all return the same complete answer")
def check_same(context):
    assert {read_outcome(raw) for raw in context.answers} == {"done"}
    assert len({raw.body for raw in context.answers}) == 1


@then("{count:d} order ran")
@then("{count:d} orders ran")
def check_count(context, count):
    executions = context.fleet.count_executions_by_operation()
    assert sum(executions.values()) == count, executions


@when("an order ran and its issuer crashed")
def crash_issuer(context):
    issuer = context.fleet.nodes[0]
    context.issued = issue_operation(context, issuer)
    raw = send_order(context, issuer, OPERATION_HEADER, context.issued)
    assert read_outcome(raw) == "done"
    crash(context, issuer)


@then('the other instances answer "unknown" to a repeat of the id')
def check_unknown_id(context):
    for entry in context.fleet.list_running():
        raw = send_order(context, entry, OPERATION_HEADER, context.issued)
        assert read_outcome(raw) == "unknown"


@when("the platform is unavailable")
def take_platform_down(context):
    for entry in context.fleet.nodes:
        entry.platform.down = True


@then("orders with issued ids are done at each instance")
def order_with_ids(context):
    for entry in context.fleet.nodes:
        raw = send_order(
            context, entry, OPERATION_HEADER, issue_operation(context, entry)
        )
        assert read_outcome(raw) == "done"


@then('an order with a key is "{outcome}" on its first attempt')
def order_first(context, outcome):
    first = ("Kumquatsaddle-Attempt", "1")
    raw = send_order(context, context.fleet.nodes[0], KEY_HEADER, "k", first)
    assert read_outcome(raw) == outcome, raw.headers


@then('an order with a key is "{outcome}" on a later attempt')
def order_later(context, outcome):
    raw = send_order(context, context.fleet.nodes[0], KEY_HEADER, "k")
    assert read_outcome(raw) == outcome, raw.headers


@when("an instance claims a key and crashes before its order is sent")
def claim_and_crash(context):
    holder = context.fleet.nodes[0]
    order = Request(
        "POST", "/order", [], b"order", "shop", "order", Rank.STANDARD, False, 0.0
    )
    claims = holder.node.claims
    context.loop.run(claims.claim, "shop", "k", fingerprint_request(order))
    crash(context, holder)


@then('the other instances answer "unknown" to a repeat of the key')
def check_unknown_key(context):
    for entry in context.fleet.list_running():
        raw = send_order(context, entry, KEY_HEADER, "k")
        assert read_outcome(raw) == "unknown"


@then('a repeat of the key by another instance is "{outcome}"')
def check_taken_over(context, outcome):
    # Wait until another instance has become the home of the servers.
    context.loop.run(context.fleet.wait_until_serving)
    raw = send_order(context, context.fleet.list_running()[0], KEY_HEADER, "k")
    assert read_outcome(raw) == outcome, raw.headers


@when("an order with a key ran and the ledger clocks advance by {seconds:d} seconds")
def advance_ledger_clocks(context, seconds):
    raw = send_order(context, context.fleet.nodes[0], KEY_HEADER, "k")
    assert read_outcome(raw) == "done"
    # The outcome is written to the table in the background.
    context.loop.run(trio.sleep, 0.2)
    for entry in context.fleet.nodes:
        ledger, now = entry.node.ledger, entry.node.clock
        ledger._clock = lambda now=now: now() + seconds


@then('a repeat of the key is "{outcome}" at each instance')
def check_repeated_key(context, outcome):
    for entry in context.fleet.nodes:
        raw = send_order(context, entry, KEY_HEADER, "k")
        assert read_outcome(raw) == outcome, raw.body
        assert raw.get_header(b"kumquatsaddle-reason") == b"answer_forgotten"


@when("an order with a key ran and its holder crashed")
def crash_holder(context):
    holder = context.fleet.nodes[0]
    raw = send_order(context, holder, KEY_HEADER, "order")
    assert read_outcome(raw) == "done"
    # The outcome is written to the table in the background.
    context.loop.run(trio.sleep, 0.3)
    crash(context, holder)


@then("a repeat at another instance is done without the answer and passes the check")
def check_forgotten(context):
    raw = send_order(context, context.fleet.list_running()[0], KEY_HEADER, "order")
    assert read_outcome(raw) == "done", raw.body
    assert raw.get_header(b"kumquatsaddle-reason") == b"answer_forgotten"
    record = CallerRecord()
    record_done_order(record, raw, "order")
    fleet = context.fleet
    check_caller_record(
        record, fleet.count_executions_by_operation(), fleet.count_executions_by_body()
    )
    assert record.done_bodies == {"order"}


@when("an instance is crashed")
def crash_first(context):
    def end():
        entry = context.fleet.nodes[0]
        context.fleet.crash(entry)
        return entry, context.fleet.list_running()

    async def run():
        return end()

    context.crashed, context.running = context.loop.run(run)


@then("it is not listed as running from that moment")
def check_not_running(context):
    assert context.crashed not in context.running
    assert len(context.running) == 2
