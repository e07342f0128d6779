import io
import json
import re

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.logs import format_fields, log_event, set_log_level
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.testing.caller_servers import make_default_settings
from kumquatsaddle.types import Rank, RefusalReason, RetryReason

PAIR = re.compile(r'([A-Za-z0-9_.-]+)=("(?:[^"\\]|\\.)*"|[^\s"=]+)')
LABEL_LINE = re.compile(r'kumquatsaddle_x_total\{a="((?:[^"\\\n]|\\.)*)"\} [0-9.]+')
SECRET = "s3cr3t-value"


@then("any fields make one line that reads back as the same fields")
def check_lines(context):
    names = st.from_regex(r"[a-z][a-z_]{0,8}", fullmatch=True)
    names = names.filter(lambda name: "token" not in name and "secret" not in name)
    values = st.one_of(st.text(max_size=30), st.integers(), st.none())

    @for_all(st.dictionaries(names, values))
    def check(fields):
        line = format_fields(fields)
        assert line.isprintable() and line.isascii()
        read = {
            name: json.loads(text) if text.startswith('"') else text
            for name, text in PAIR.findall(line)
        }
        assert read == {name: str(value) for name, value in fields.items()}
        assert PAIR.sub("", line).strip() == ""

    @for_all(st.dictionaries(st.text(), st.text()))
    def check_names(fields):
        assert PAIR.sub("", format_fields(fields)).strip() == ""

    check()
    check_names()


@then("values of secret fields and bytes are not written")
def check_secrets(context):
    names = ("operator_token", "Authorization", "client_secret", "password", "Cookie")
    line = format_fields({name: SECRET for name in names} | {"body": SECRET.encode()})
    assert SECRET not in line and line.count("***") == len(names) + 1


@then("a value whose str fails is logged as the name of the error")
def check_failing_str(context):
    class Broken:
        def __str__(self):
            raise RuntimeError

    assert "RuntimeError" in format_fields({"value": Broken()})


@then("a new level applies to the next event")
def check_level(context):
    sink = io.StringIO()
    try:
        set_log_level("WARNING", sink)
        log_event("first", level="DEBUG")
        set_log_level("DEBUG", sink)
        log_event("second", level="DEBUG", value="{brace} <red>\n")
    finally:
        set_log_level("CRITICAL")
    assert "first" not in sink.getvalue()
    (line,) = sink.getvalue().splitlines()
    assert line.endswith('event=second value="{brace} <red>\\n"'), line


@then("new metrics show every reason, rank and limit")
def check_initial_metrics(context):
    metrics = make_metrics()
    settings = make_default_settings()
    metrics.set_limits(settings)
    text = metrics.render_text().decode()
    for reason in RefusalReason:
        assert f'kumquatsaddle_refusals_total{{reason="{reason.value}"}} 0' in text
    for reason in RetryReason:
        assert f'kumquatsaddle_retries_total{{reason="{reason.value}"}} 0' in text
    for rank in Rank:
        assert f'request_seconds_count{{rank="{rank.name.lower()}"}} 0' in text
    limits = [key for section, key in settings.values if section == "limits"]
    for key in limits:
        assert f'kumquatsaddle_limit{{key="{key}",section="limits"}}' in text
    assert "kumquatsaddle_caller_timeouts_total 0" in text


@then("any label value is one valid line and label sets are bounded")
def check_labels(context):
    @for_all(st.text(alphabet=st.characters(codec="utf-8")))
    def check(value):
        metrics = make_metrics()
        metrics.count("x", a=value)
        text = metrics.render_text().decode()
        lines = [line for line in text.split("\n") if "x_total{" in line]
        assert len(lines) == 1 and LABEL_LINE.fullmatch(lines[0]), lines

    check()
    metrics = make_metrics()
    for number in range(3000):
        metrics.count("x", a=number)
    series = [name for name, _ in metrics.counts if name == "x"]
    assert len(series) == 1001
    assert metrics.counts["x", (("a", "other"),)] == 2000
