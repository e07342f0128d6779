import gzip
import json
from contextlib import asynccontextmanager
from dataclasses import asdict
from email.utils import formatdate
from functools import partial

import trio
from behave import given, then, when

from kumquatsaddle.configuration.changes import commit_change, read_changes
from kumquatsaddle.exceptions import (
    ChangeUnknownError,
    ConflictError,
    PlatformUnavailableError,
)
from kumquatsaddle.storage.http import HttpPlatform
from kumquatsaddle.storage.interface import ListedInstance, parse_instances
from kumquatsaddle.storage.memory import MemoryPlatform
from kumquatsaddle.testing.raw_servers import open_raw_server
from kumquatsaddle.testing.runs import expect, in_trio
from standins.http import Reply, serve_http
from standins.platform import PlatformStandin

_HOST = "127.0.33.1"
_TIMEOUT_SECONDS = 5.0


@asynccontextmanager
async def open_platform(handle, timeout=_TIMEOUT_SECONDS):
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(serve_http, handle, _HOST, 0))
        port = listeners[0].socket.getsockname()[1]
        platform = HttpPlatform(f"http://{_HOST}:{port}", timeout)
        yield platform
        await platform.close()
        nursery.cancel_scope.cancel()


async def call_all_methods(platform):
    """Call each method; return the results that do not depend on version tags."""
    first = await platform.put_row("a/1 \u00fc%/?", {"x": 1}, None)
    await expect(ConflictError, platform.put_row("a/1 \u00fc%/?", {}, None))
    second = await platform.put_row("a/1 \u00fc%/?", {"x": 2}, first)
    await expect(ConflictError, platform.put_row("a/1 \u00fc%/?", {}, first))
    await expect(ConflictError, platform.put_row("a/2", {}, second))
    await platform.put_row("a/3", {"y": None}, None)
    await platform.put_row("b/1", {}, None)
    await platform.write_object("o/1", bytes(range(256)))
    results = [
        (await platform.read_row("a/1 \u00fc%/?")).value,
        await platform.read_row("none"),
        [row.key for row in await platform.list_rows("a/")],
        [row.value for row in await platform.list_rows("a/", "a/1 \u00fc%/?", 1)],
        await platform.read_object("o/1"),
        await platform.read_object("o/2"),
        list(await platform.list_instances()),
    ]
    await expect(ConflictError, platform.delete_row("a/3", first))
    await platform.delete_row("a/1 \u00fc%/?", second)
    await expect(ConflictError, platform.delete_row("a/1 \u00fc%/?", second))
    return [*results, [row.key for row in await platform.list_rows("")]]


@then("the memory and the HTTP platform give the same results for rows and objects")
def check_same_results(context):
    entry = ListedInstance("b", "backend", "s", "127.0.0.1:1", "a", "r", True)

    async def run():
        memory = MemoryPlatform()
        memory.instances["b"] = entry
        standin = PlatformStandin()
        standin._set_instance(asdict(entry))
        async with open_platform(standin.handle) as platform:
            assert await call_all_methods(platform) == await call_all_methods(memory)
            listed = await platform.list_instances()
            assert abs(listed.read_at - (await memory.list_instances()).read_at) < 60

    trio.run(run)


@given("a stand-in of the platform that loses the replies of 2 writes")
def lose_replies(context):
    context.faults = {"lose_replies": 2}


@when("a change is committed through the HTTP client")
@in_trio
async def commit_with_lost_replies(context):
    standin = PlatformStandin()
    standin.faults.update(context.faults)
    async with open_platform(standin.handle) as platform:
        context.change = await commit_change(platform, 0, "service", "s", {})
        context.log = await read_changes(platform, 0)


@then("the change log contains it once, with the returned version")
def check_committed(context):
    assert context.log == [context.change]


@given("a stand-in of the platform that handles calls after 0.4 seconds")
def delay_calls(context):
    context.faults = {"delay": 0.4}


@when("a change is committed with a timeout of 0.1 seconds for each call")
@in_trio
async def commit_with_delay(context):
    standin = PlatformStandin()
    standin.faults.update(context.faults)
    async with open_platform(standin.handle, 0.1) as platform:
        commit = partial(commit_change, platform, 0, "service", "s", {})
        try:
            await commit(change_id="mine")
            context.first = None
        except ChangeUnknownError as error:
            context.first = error
        standin.faults["delay"] = 0.0
        context.second = await commit(change_id="mine")
        await trio.sleep(1.0)
        context.log = await read_changes(platform, 0)


@then("its result is unknown and a repeated request finds it committed once")
def check_repeated(context):
    assert "change id mine" in str(context.first)
    assert [change.change_id for change in context.log] == ["mine"]
    assert context.second.version == 1


@given("a stand-in of the platform that refuses every call")
def refuse_calls(context):
    context.faults = {"down": True}


def make_calls(platform):
    return [
        partial(platform.read_row, "k"),
        partial(platform.put_row, "k", {}, None),
        partial(platform.delete_row, "k", "1"),
        partial(platform.list_rows, "k"),
        partial(platform.read_object, "k"),
        partial(platform.write_object, "k", b"x"),
        platform.list_instances,
    ]


@then("every method of the HTTP client raises the error of an unavailable platform")
@in_trio
async def check_unavailable(context):
    standin = PlatformStandin()
    standin.faults.update(context.faults)
    async with open_platform(standin.handle) as platform:
        for call in make_calls(platform):
            await expect(PlatformUnavailableError, call())
    # The server no longer listens.
    for call in make_calls(platform):
        await expect(PlatformUnavailableError, call())


@then("hostile replies raise the error of an unavailable platform")
def check_hostile_replies(context):
    replies = [
        Reply(200, b"<html>"),
        Reply(200, b"[" * 100000),
        Reply(200, b'{"a": 1}'),
        Reply(200, b"[1, null]"),
        Reply(200, b'[{"key": 1}]'),
        Reply(500, b"{}"),
        Reply(302, b""),
        Reply(403, b""),
        Reply(200, b'{"whole": "but cut"}', cut=True),
    ]

    async def run():
        for reply in replies:

            async def handle(method, target, headers, body, reply=reply):
                return reply

            async with open_platform(handle) as platform:
                calls = make_calls(platform)
                for call in (calls[0], calls[1], calls[3]):
                    await expect(PlatformUnavailableError, call())
                if reply.body != b"[1, null]" and reply.body != b'[{"key": 1}]':
                    await expect(PlatformUnavailableError, platform.list_instances())

    trio.run(run)


@then("invalid entries are left out and the others are returned")
def check_entries(context):
    valid = asdict(ListedInstance("b", "backend", "s", "127.0.0.1:1", "a", "r"))
    invalid = [
        None,
        5,
        {},
        {**valid, "address": "somewhere:1"},
        {**valid, "address": 5},
        {**valid, "leaving": "no"},
        {**valid, "name": ""},
        {**valid, "more": 1},
    ]
    listed = parse_instances(json.loads(json.dumps([*invalid, valid])))
    assert listed == [ListedInstance(**valid)]


@then("the HTTP client gets the list only when it has changed, with a later time")
def check_conditional_list(context):
    entry = asdict(ListedInstance("b", "backend", "s", "127.0.0.1:1", "a", "r"))
    standin, sent_statuses = PlatformStandin(), []

    async def handle(*call):
        reply = await standin.handle(*call)
        # The clock of the platform advances by 10 s with each reply.
        date = formatdate(10.0 * (1 + len(sent_statuses)), usegmt=True)
        tag = dict(reply.headers)["ETag"]
        encoding = dict(reply.headers).get("Content-Encoding", "identity")
        reply.headers = [("Date", date), ("ETag", tag), ("Content-Encoding", encoding)]
        sent_statuses.append(reply.status)
        return reply

    async def run():
        async with open_platform(handle) as platform:
            for leaving in (False, False, True):
                standin._set_instance({**entry, "leaving": leaving})
                listed = await platform.list_instances()
                assert [instance.leaving for instance in listed] == [leaving]
                assert listed.read_at == 10.0 * len(sent_statuses)

    trio.run(run)
    assert sent_statuses == [200, 304, 200], sent_statuses


@then("a damaged compressed list raises the error of an unavailable platform")
def check_damaged_list(context):
    valid_body = gzip.compress(b"[]")
    bodies = [b"[]", valid_body[:-9], b"", gzip.compress(b"{"), gzip.compress(b"{}")]

    async def answer_first_body(*call):
        return Reply(200, bodies[0], [("Content-Encoding", "gzip"), ("ETag", "1")])

    async def answer_not_modified(*call):
        return Reply(304)

    async def run():
        async with open_platform(answer_first_body) as platform:
            while bodies:
                await expect(PlatformUnavailableError, platform.list_instances())
                bodies.pop(0)
            bodies.append(valid_body)
            assert await platform.list_instances() == []
        async with open_platform(answer_not_modified) as platform:
            await expect(PlatformUnavailableError, platform.list_instances())

    trio.run(run)


_OK = b"HTTP/1.1 200 OK\r\nETag: 1\r\n"
# What is sent once and what is repeated without end.
_BROKEN_REPLIES = {
    "a line without end": (b"", b"z" * 65536),
    "a head without end": (_OK, b"X-More: a\r\n" * 1000),
    "a body without end": (_OK + b"\r\n[", b" " * 65536),
    "chunks without end": (
        _OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b" " * 65536 + b"\r\n",
    ),
    "bytes that are no answer": (b"nonsense\r\n\r\n", b""),
    "half of a body": (_OK + b"Content-Length: 4\r\n\r\n{}", b""),
    "half of a JSON text": (_OK + b'\r\n{"x":', b""),
}


async def read_broken_reply(name):
    """Read a row from a platform; return the bytes that it sent."""
    async with trio.open_nursery() as nursery:
        server, address = await open_raw_server(nursery, *_BROKEN_REPLIES[name])
        platform = HttpPlatform(f"http://{address}", _TIMEOUT_SECONDS)
        await expect(PlatformUnavailableError, platform.read_row("a"))
        await platform.close()
        nursery.cancel_scope.cancel()
    return server.sent_bytes


@when("a platform sends {name}")
def send_broken_reply(context, name):
    context.sent_bytes = trio.run(read_broken_reply, name)


@then("a read through the HTTP client fails after at most 24 MB")
def check_sent_bytes(context):
    # The limit of a reply is 16 MiB; the buffers of the connection hold the rest.
    assert context.sent_bytes <= 24e6, context.sent_bytes
