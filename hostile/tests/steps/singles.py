import socket
import time

from backend import LARGE_ANSWER_BYTES
from behave import given, then, when
from deployments import HEAD_TIMEOUT_SECONDS, make_head, read_to_end, start_instance

_MAX_HEAD_BYTES = 16384
# The fleet adds fields of its own for the backend server.
_ADDED_HEAD_BYTES = 512
_LARGEST_BODY_BYTES = 1 << 20
_HUGE_BODY_BYTES = 1 << 26
_HUGE_MEMORY_MEGABYTES = 200
# 1 second and 2 KiB at 1 KiB a second.
_SLOW_LIMITS = {"body_timeout": "1", "minimum_rate": "1024"}
_SLOW_BODY_BYTES = 2048
_SLOW_BODY_PARTS = 8
_SLOW_BODY_SECONDS = 2.0
# Smaller than the answer; a much smaller one makes the transfer last half a minute.
_RECEIVE_BUFFER_BYTES = 65536
_READ_PARTS = 16


@given("an instance of 200 MB that accepts bodies of 64 MiB")
def start_large_instance(context):
    context.instance = start_instance(
        context, "platform", _HUGE_MEMORY_MEGABYTES, _HUGE_BODY_BYTES
    )


@given("a {kind} instance that allows 3 seconds for a body of 2 KiB")
def start_slow_instance(context, kind):
    context.instance = start_instance(context, kind, **_SLOW_LIMITS)


@when("one request with the largest body is sent")
def send_largest_body(context):
    context.answer = context.instance.send_request(
        "callers", "/work/1", bytes(_LARGEST_BODY_BYTES)
    )


@when("one request with a body of 64 MiB is sent")
def send_huge_body(context):
    context.answer = context.instance.send_request(
        "callers", "/work/1", bytes(_HUGE_BODY_BYTES)
    )


@when("one request with as many fields as fit into a head is sent")
def send_most_fields(context):
    room = _MAX_HEAD_BYTES - _ADDED_HEAD_BYTES - len(make_head("/work/1"))
    field = b"a:1\r\n"
    context.answer = context.instance.send_request(
        "callers", "/work/1", fields=field * (room // len(field))
    )


@when("one request is sent almost too slowly")
def send_slowly(context):
    head = make_head("/work/1", b"Connection: close\r\n", _SLOW_BODY_BYTES)
    part = bytes(_SLOW_BODY_BYTES // _SLOW_BODY_PARTS)
    with context.instance.connect("callers") as stream:
        stream.sendall(head[:40])
        time.sleep(0.7 * HEAD_TIMEOUT_SECONDS)
        stream.sendall(head[40:])
        for _ in range(_SLOW_BODY_PARTS):
            time.sleep(_SLOW_BODY_SECONDS / _SLOW_BODY_PARTS)
            stream.sendall(part)
        context.answer = read_to_end(stream)


@when("the answer of 2 MiB to one request is read in small parts")
def read_slowly(context):
    with context.instance.connect("callers") as stream:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        stream.sendall(make_head("/large/1", b"Connection: close\r\n"))
        parts = []
        for _ in range(_READ_PARTS):
            time.sleep(0.1)
            parts.append(stream.recv(4096))
        context.answer = b"".join(parts) + read_to_end(stream)


@then("it is served")
def check_served(context):
    assert context.answer.startswith(b"HTTP/1.1 200 "), context.answer[:300]
    assert context.answer.endswith(b"\r\n\r\nserved")


@then("it is served whole")
def check_whole(context):
    assert context.answer.startswith(b"HTTP/1.1 200 "), context.answer[:300]
    body = context.answer.partition(b"\r\n\r\n")[2]
    assert len(body) == LARGE_ANSWER_BYTES, len(body)


@then("the process stayed within 200 MB")
def check_memory(context):
    peak = context.instance.read_peak_memory()
    print(f"peak {peak / 1e6:.0f} MB")
    assert peak <= _HUGE_MEMORY_MEGABYTES * 1_000_000, f"{peak / 1e6:.0f} MB"
