import re

import trio
from behave import given, then, when
from harness import ROUTED_TARGET, send_request

from kumquatsaddle.logs import set_log_level

REQUEST_ID = "id-1"
ATTEMPT_PATTERN = re.compile(r"([\w-]+):(\w+):(\d+)ms:sick=([\d.]+):load=(\d+)")
_TIMEOUT_SECONDS = 5.0


@given("the log of an instance is captured")
def capture_log(context):
    context.log_lines = []
    set_log_level("INFO", context.log_lines.append)
    context.add_cleanup(set_log_level, "CRITICAL")


def find_lines(context, *pairs):
    return [
        line
        for line in map(str, context.log_lines)
        if all(f" {pair} " in line.replace("\n", " ") for pair in pairs)
    ]


def wait_for_line(context, *pairs):
    async def wait():
        with trio.move_on_after(_TIMEOUT_SECONDS):
            while not find_lines(context, *pairs):
                await trio.sleep(0.02)

    context.loop.run(wait)
    lines = find_lines(context, *pairs)
    assert lines, f"no line with {pairs}"
    return lines[0]


@when("the server fails a request at once")
def fail_request(context):
    context.harness.server.status = 500
    send_request(context, "callers", ROUTED_TARGET)


@when("the only server is removed and a request comes")
def remove_server(context):
    context.harness.store.remove("servers", "i-1")
    wait_for_line(context, "event=backend_listed", "state=removed")
    send_request(context, "callers", ROUTED_TARGET)


@when("the server leaves a request without an answer")
def delay_answer(context):
    context.harness.server.delay_seconds = 60.0
    send_request(context, "callers", ROUTED_TARGET)


@when("the store fails and a request comes")
def fail_store(context):
    context.harness.store.forced_reply = "503"
    wait_for_line(context, "event=store_lost")
    send_request(context, "callers", ROUTED_TARGET)


@then("the line of the request has {pairs}")
def check_line(context, pairs):
    context.request_line = wait_for_line(
        context, "event=request", f"id={REQUEST_ID}", *pairs.split()
    )


@then("its attempts name the server, verdict {verdict}, failure estimate and load")
def check_attempts(context, verdict):
    attempts = ATTEMPT_PATTERN.findall(context.request_line)
    assert [(name, said) for name, said, *_ in attempts] == [("i-1", verdict)]
    assert 0 <= float(attempts[0][3]) < 0.5


@then("its attempts are empty")
def check_no_attempts(context):
    assert ' attempts="" ' in context.request_line, context.request_line


@then("a line {event} of that server has {pair}")
def check_server_line(context, event, pair):
    wait_for_line(context, f"event={event}", "backend=i-1", pair)


@then("the request has a line request_refused with reason=not_ready")
def check_refused_line(context):
    pairs = ("event=request_refused", f"id={REQUEST_ID}", "reason=not_ready")
    wait_for_line(context, *pairs)


@then("a line store_lost names the table and the error")
def check_store_line(context):
    line = wait_for_line(context, "event=store_lost")
    assert " table=" in line and " error=" in line, line
