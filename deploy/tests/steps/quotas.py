import trio
from behave import given, then, when
from harness import ROUTED_TARGET, open_harness
from samples import CONFIGURATION

from kumquatsaddle.dispatch.connections import open_connection
from kumquatsaddle.exchange import Answer
from kumquatsaddle.logs import set_log_level
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.testing.loops import start_loop
from kumquatsaddle.types import RefusalReason

KEY, UNLIMITED_KEY = "key-of-farms", "key-of-mills"
# For the takeover delay of a new instance.
SETTLE_SECONDS = 5.0
TIMEOUT_SECONDS = 30.0


def make_account(name, key, **quota):
    return {
        "ResourceKind": "Tenants",
        "Metadata": {"Name": name},
        "Spec": {"ApiKeys": [key], **quota},
    }


@given("an instance with a quota of {rate:d} request/s and a burst of {burst:d}")
def prepare_quota(context, rate, burst):
    context.log_lines = []
    set_log_level("INFO", context.log_lines.append)
    context.add_cleanup(set_log_level, "CRITICAL")
    context.loop = start_loop(context, open_harness(True))
    context.harness = context.loop.resource
    accounts = [
        make_account("farms", KEY, RatePerS=rate, Burst=burst),
        make_account("mills", UNLIMITED_KEY),
    ]
    resources = [*CONFIGURATION["Resources"], *accounts]
    published = {**CONFIGURATION, "Version": "0000000d", "Resources": resources}
    context.harness.store.put("op", "config", published)

    async def wait():
        with trio.fail_after(TIMEOUT_SECONDS):
            while context.harness.node.follower.routes.accounts is None:
                await trio.sleep(0.02)
        await trio.sleep(SETTLE_SECONDS)

    context.loop.run(wait)


async def send_request(harness, key, number):
    address = harness.node.settings.get("listen", "callers")
    connection = await open_connection(Address(*address), 1.0)
    headers = [
        (b"host", b"shop.example"),
        (b"x-request-id", b"id-%d" % number),
        (b"x-deadline-ms", b"5000"),
        (b"authorization", b"Bearer " + key.encode()),
    ]
    try:
        return await connection.exchange(
            "GET", ROUTED_TARGET, headers, b"", 1 << 20, lambda: None
        )
    finally:
        await connection.close()


def send_at_once(context, key, number):
    async def act():
        answers = {}

        async def send(index):
            answers[index] = await send_request(context.harness, key, index)

        with trio.fail_after(TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for index in range(number):
                    nursery.start_soon(send, index)
        return answers

    return context.loop.run(act)


@when("the account sends {number:d} requests at the same moment")
def send_burst(context, number):
    context.before = len(context.harness.server.received)
    context.answers = send_at_once(context, KEY, number)


@then("the backend server gets those that were admitted, {least:d} to {most:d} of them")
def check_received(context, least, most):
    received = len(context.harness.server.received) - context.before
    admitted = [item for item in context.answers.values() if item.status != 429]
    assert received == len(admitted), (received, len(admitted))
    assert least <= received <= most, received


@then("the others are answered 429 account_limit with a Retry-After")
def check_refused(context):
    refused = [item for item in context.answers.values() if item.status == 429]
    assert refused
    for answer in refused:
        headers = dict(answer.headers)
        assert headers[b"kumquatsaddle-reason"] == b"account_limit", headers
        assert headers[b"kumquatsaddle-outcome"] == b"not-run", headers
        assert 0 < float(headers[b"retry-after"]) <= 5, headers


@then('the log and the metrics lead from a request id to the cause "{cause}"')
def check_traces(context, cause):
    refused = [number for number, item in context.answers.items() if item.status == 429]
    lines = [line for line in context.log_lines if "event=quota_refused" in line]
    logged = [line for line in lines if f"id=id-{refused[0]} " in line]
    assert logged and f"cause={cause}" in logged[0], lines
    assert "account=farms" in logged[0] and KEY not in "".join(context.log_lines)
    text = context.harness.node.metrics.render_text().decode()
    series = f'kumquatsaddle_quota_refusals_total{{cause="{cause}"}} {len(refused)}'
    assert series in text, text
    assert f'refusals_total{{reason="account_limit"}} {len(refused)}' in text, text


@then("an account without a quota is not limited")
def check_unlimited(context):
    answers = send_at_once(context, UNLIMITED_KEY, 30).values()
    assert {answer.status for answer in answers} <= {200, 503}, answers
    assert 429 not in {answer.status for answer in answers}


@when("{number:d} requests of the account are admitted and refused for a full queue")
def refuse_admitted(context, number):
    async def refuse(request):
        return Answer.from_reason(RefusalReason.QUEUE_FULL)

    context.harness.node.dispatcher.dispatch = refuse
    context.answers = [
        context.loop.run(send_request, context.harness, KEY, index)
        for index in range(number)
    ]


@then("none of them is answered 429")
def check_none_limited(context):
    assert {answer.status for answer in context.answers} == {503}, context.answers
