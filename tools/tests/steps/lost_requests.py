from behave import given, then

from kumquatsaddle.logs import format_fields
from tools.lost_requests import Cause, classify_request, count_causes, parse_line


def make_line(service="s", outcome="done", status=200, attempts=""):
    fields = {
        "event": "request",
        "id": "a b",
        "service": service,
        "outcome": outcome,
        "status": status,
        "reason": "",
        "attempts": attempts,
    }
    return format_fields(fields)


@then(
    'a request with outcome {outcome}, status {status:d} and attempts "{attempts}" '
    "counts as {cause}"
)
@then(
    'a request with outcome {outcome}, status {status:d} and attempts "" '
    "counts as {cause}"
)
def check_cause(context, outcome, status, cause, attempts=""):
    line = make_line(outcome=outcome, status=status, attempts=attempts)
    assert classify_request(parse_line(line)) is Cause[cause], line


@given("log lines with a prefix, of other events and with quoted values")
def prepare_lines(context):
    context.lines = [
        f"  12.5 front-a-1 time=now level=INFO {make_line('one')}",
        make_line("one", status=500, attempts="i-1:failed:3ms:sick=0.02:load=1"),
        f"level=WARNING {make_line('two', outcome='not-run', status=503)}",
        "event=request_refused id=a reason=not_ready",
        "event=backend_listed service=one",
        "",
    ]


@then("{first:d} requests of one service and {second:d} of another are counted")
def check_counts(context, first, second):
    counts = count_causes(context.lines)
    assert {name: item.total() for name, item in counts.items()} == {
        "one": first,
        "two": second,
    }
