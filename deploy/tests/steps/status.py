import copy
import json
import re
import subprocess
import sys

import trio
from behave import given, then, when
from harness import ROUTED_TARGET, open_harness, send_request
from samples import CONFIGURATION

from kumquatsaddle.logs import set_log_level
from kumquatsaddle.testing.loops import start_loop

_TIMEOUT_SECONDS = 10.0
_POLL_SECONDS = 0.02


def prepare(context, configured):
    context.log_lines = []
    set_log_level("INFO", lambda line: context.log_lines.append(str(line)))
    context.add_cleanup(set_log_level, "CRITICAL")
    context.loop = start_loop(context, open_harness(configured))
    context.harness = context.loop.resource
    context.version = 100


@given("an instance on a platform without a configuration")
def prepare_unconfigured(context):
    prepare(context, False)


@given("an instance on a platform with a configuration")
def prepare_configured(context):
    prepare(context, True)


def publish(context, **changes):
    context.version += 1
    value = copy.deepcopy(CONFIGURATION)
    value["Version"] = f"{context.version:08x}"
    value["Resources"][0].update(changes)
    context.harness.store.put("op", "config", value)


@when("a configuration with an unknown kind is published")
def publish_invalid(context):
    publish(context, ResourceKind="Tenant")


@when("a valid configuration is published")
def publish_valid(context):
    publish(context)


def wait_for(context, condition):
    async def wait():
        with trio.fail_after(_TIMEOUT_SECONDS):
            while not condition(context.harness.node.describe_status()):
                await trio.sleep(_POLL_SECONDS)

    context.loop.run(wait)


def read_readiness(context):
    answer = send_request(context, "readiness", "/v1/readiness")
    return answer.status, json.loads(answer.body)


@then('readiness is refused because "{problem}"')
def check_refused(context, problem):
    context.problem = problem
    wait_for(context, lambda status: problem in status.problem)
    status, fields = read_readiness(context)
    assert status == 503 and fields["Ready"] is False
    assert problem in fields["Problem"], fields


@then('readiness is given, with the problem "{problem}"')
def check_given(context, problem):
    context.problem = problem
    wait_for(context, lambda status: problem in status.problem)
    status, fields = read_readiness(context)
    assert status == 200 and fields["Ready"] is True
    assert problem in fields["Problem"], fields


def read_gauge(context, name):
    text = send_request(context, "metrics", "/metrics").body.decode()
    return float(re.search(rf"^kumquatsaddle_{name} (\S+)$", text, re.MULTILINE)[1])


def run_command(context):
    address = context.harness.node.settings.get("listen", "operators")
    command = [sys.executable, "-m", "kumquatsaddle.commands.ctl", "status", "--json"]
    run = subprocess.run(
        [*command, f"--node={address}"], capture_output=True, text=True, check=True
    )
    return json.loads(run.stdout)


def check_status(context, version, row, refused_row):
    answer = send_request(context, "operators", "/api/v1/status")
    assert answer.status == 200
    for shown in (json.loads(answer.body), run_command(context)):
        assert shown["routes_version"] == version, shown
        assert shown["routes_row"] == row, shown
        assert shown["routes_refused_row"] == refused_row, shown
        assert context.problem in shown["problem"], shown
    assert read_gauge(context, "routes_row") == row
    assert read_gauge(context, "routes_refused_row") == refused_row


def find_row(context):
    row = context.harness.store.rows.get(("op", "config"))
    return row["Ver"] if row else 0


@then("the status page, the metrics and the command show no routes and this problem")
def check_no_routes(context):
    check_status(context, 0, 0, find_row(context))


@then("the status page, the metrics and the command show both rows and this problem")
def check_both(context):
    in_force = context.harness.node.follower.routes_row.version
    assert 0 < in_force < find_row(context)
    check_status(context, 12, in_force, find_row(context))


@then("the instance becomes ready and shows no problem")
def check_no_problem(context):
    wait_for(context, lambda status: status.ready and not status.problem)
    assert read_readiness(context) == (200, {"Ready": True, "Problem": ""})
    assert read_gauge(context, "routes_row") == find_row(context)
    assert read_gauge(context, "routes_refused_row") == 0


@then("the log names the row and the problem")
def check_log(context):
    lines = [line for line in context.log_lines if "event=routes_refused" in line]
    assert len(lines) == 1, lines
    assert f"version={find_row(context)}" in lines[0] and "unknown kind" in lines[0]


@then("requests are served by the configuration before")
def check_served(context):
    assert send_request(context, "callers", ROUTED_TARGET).status == 200
