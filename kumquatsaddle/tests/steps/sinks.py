import os
from types import SimpleNamespace

from behave import given, then, when

from kumquatsaddle.sinks import BoundedSink

LINE = "event=request id=0123456789abcdef outcome=done " + "x" * 60 + "\n"


class Message(str):
    record = {"level": SimpleNamespace(no=20)}


@given("a bounded sink on a pipe that nobody reads")
def open_sink(context):
    context.reader, writer = os.pipe()
    context.now = 0.0
    context.sink = BoundedSink(writer, lambda: context.now)
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)


@when("{count:d} lines are written over {seconds:d} seconds")
def write_lines(context, count, seconds):
    for _ in range(count):
        context.now += seconds / count
        context.sink(Message(LINE))


def is_complete(line):
    """Return whether a line is a complete log line or report of dropped lines."""
    if line == LINE:
        return True
    return line.startswith("level=WARNING event=log_lines") and line.endswith("\n")


def read_pipe(context):
    os.set_blocking(context.reader, False)
    data = b""
    while True:
        try:
            data += os.read(context.reader, 1 << 20)
        except BlockingIOError:
            return data.decode()


@then("no call has blocked and the pipe contains only complete lines")
def check_complete_lines(context):
    assert context.sink.dropped > 0
    context.written = read_pipe(context)
    lines = context.written.splitlines(keepends=True)
    assert lines and all(is_complete(line) for line in lines)


@then("a line reports the number of dropped lines once the pipe is read")
def check_dropped_reported(context):
    context.now += 10
    context.sink(Message(LINE))
    context.sink(Message(LINE))
    text = context.written + read_pipe(context)
    assert "event=log_lines_dropped count=" in text
    assert all(is_complete(line) for line in text.splitlines(keepends=True))


@then("at most {count:d} lines are in the pipe")
def check_bounded(context, count):
    assert len(read_pipe(context).splitlines()) <= count
