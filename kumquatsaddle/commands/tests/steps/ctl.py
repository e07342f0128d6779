import io
import json
import tempfile
from contextlib import asynccontextmanager, redirect_stderr, redirect_stdout
from pathlib import Path

import httpcore
import trio
from behave import given, then

from kumquatsaddle.commands import ctl
from kumquatsaddle.commands.client import OperatorsClient
from kumquatsaddle.commands.offline import prune_claims
from kumquatsaddle.exceptions import (
    ChangeNotWrittenError,
    ChangeUnknownError,
    ConflictError,
    PlatformUnavailableError,
)
from kumquatsaddle.lifecycle.node import make_node
from kumquatsaddle.settings.files import load_settings
from kumquatsaddle.storage.memory import MemoryPlatform
from kumquatsaddle.testing.loops import start_loop
from kumquatsaddle.testing.operators import write_settings
from kumquatsaddle.testing.raw_servers import open_raw_server

_HOUR_SECONDS = 3600.0


def run_ctl(*arguments):
    """Run the command; return exit code, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    with redirect_stdout(out), redirect_stderr(err):
        code = ctl.main(list(arguments))
    return code, out.getvalue(), err.getvalue()


@given("a running instance with an operators' token")
def write_instance_settings(context):
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.file, context.token = write_settings(context.folder.name, "127.0.35.1")


def run_with_node(context, function):
    """Run a function in a thread while an instance runs; pass it a `run_ctl`."""

    async def run():
        settings = load_settings(context.file)
        node, application = make_node(settings)
        address = settings.get("listen", "operators")
        # The first address refuses connections; the command tries the second.
        common = [f"--node=127.0.35.2:1,{address}", f"--token-file={context.token}"]

        def call(*arguments):
            return run_ctl(*arguments, *common, "--json")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(application.run)
            await application.started.wait()
            await node.update_placement()
            await trio.to_thread.run_sync(function, call)
            application.stop()

    trio.run(run)


@then("accounts are created, edited, compared, explained and deleted by the command")
def check_round_trip(context):
    def check(call):
        def run_ok(*arguments):
            code, out, err = call(*arguments)
            assert code == 0, err
            return json.loads(out)

        created = run_ok("create", "account", "x", "template=crew", "--operator=me")
        file = Path(context.folder.name, "account.json")
        file.write_text('{"template": "crew", "floors": {"lookup": 3}}')
        edited = run_ok("edit", "account", "x", f"--file={file}")
        assert edited["version"] == created["version"] + 1
        run_ok("edit", "accounts", "x", 'ranks={"lookup": "bulk"}', "floors=")
        shown = run_ok("show", "account", "x")
        assert shown["value"] == {"template": "crew", "ranks": {"lookup": "bulk"}}
        listed = run_ok("list", "account", "--prefix=x")["entities"]
        assert [entry["name"] for entry in listed] == ["x"]
        differences = run_ok("diff", "account", "x", f"--from={created['version']}")[
            "differences"
        ]
        assert [entry["field"] for entry in differences] == ["ranks"]
        explained = run_ok("explain", "x", "GET", "/lookup/1")
        assert explained["rank"] == "bulk" and explained["homes"]
        run_ok("drain", "b1", "--reason=disk")
        run_ok("undrain", "b1")
        assert run_ok("versions")["version"] == edited["version"] + 3
        run_ok("delete", "account", "x")
        history = run_ok("history", "account", "x")["changes"]
        assert len(history) == 4 and history[-1]["operator"] == "me"
        withdrawn = run_ok("withdraw", "account", "x", "--change-id=never")
        assert withdrawn["outcome"] == "not-written"

    run_with_node(context, check)


@then("each class of error has its exit code")
def check_exit_codes(context):
    def check(call):
        cases = [
            (3, "create", "account", "y", "template=none"),
            (3, "create", "account", "y", "template"),
            (3, "show", "account", "none"),
            (3, "create", "backend", "y"),
            (6, "create", "account", "shop", "template=crew"),
            (6, "edit", "account", "shop", "template=crew", "--at=1"),
            (7, "explain", "shop", "GET", "/none"),
        ]
        for code, *arguments in cases:
            got, out, err = call(*arguments)
            assert got == code, (arguments, got, err)
            assert json.loads(out)["exit_code"] == code and err
        context.token.write_text("wrong wrong wrong")
        assert call("versions")[0] == 7

    run_with_node(context, check)
    assert run_ctl("versions", "--node=127.0.35.2:1")[0] == 5
    assert run_ctl("versions", "--node=here")[0] == 2
    assert run_ctl("versions", "--token-file=/nonexistent")[0] == 2


class FakeInstances:
    """Returns one prepared reply per request; raises it if it is an exception."""

    def __init__(self, *results):
        self.results = list(results)
        self.sent = []

    def send(self, method, url, headers, content, extensions):
        self.sent.append((url, dict(headers)))
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        status, value = result
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        response = httpcore.Response(status, content=content)
        response.read()
        return response


def send_change(*results, repeated=False):
    instances = FakeInstances(*results)
    client = OperatorsClient(["one:1", "two:1"], "t", instances.send)
    headers = {"Kumquatsaddle-Change-Id": "mine"}
    try:
        answer = client.send_change("PUT", "accounts/x", {}, headers, repeated)
    except (ChangeNotWrittenError, ChangeUnknownError, ConflictError) as error:
        answer = type(error)
    repeated_headers = [
        fields["Kumquatsaddle-Repeated"] for _, fields in instances.sent
    ]
    ids = {fields["Kumquatsaddle-Change-Id"] for _, fields in instances.sent}
    assert ids == {"mine"}
    return answer, repeated_headers, [url.split("/")[2] for url, _ in instances.sent]


_ACCEPTED = (200, {"outcome": "accepted"})
_UNKNOWN = (504, {"outcome": "unknown", "error": "?"})
_NOT_WRITTEN = (503, {"outcome": "not-written", "error": "down"})


@then(
    "a repeated change goes to the next address with the same id and a repeated header"
)
def check_repeated_header(context):
    for lost in (
        httpcore.ReadTimeout(),
        httpcore.RemoteProtocolError(),
        _UNKNOWN,
        (200, b"nonsense"),
        (200, b"[" * 100000),
    ):
        answer, repeated_headers, hosts = send_change(lost, _ACCEPTED)
        assert answer == {"outcome": "accepted"}
        assert (repeated_headers, hosts) == (["0", "1"], ["one:1", "two:1"])
    answer, repeated_headers, _ = send_change(httpcore.ConnectError(), _ACCEPTED)
    assert repeated_headers == ["0", "0"]
    # A conflict is final: no instance reports it for a change that was accepted.
    conflict = (409, {"outcome": "conflict", "error": "c"})
    assert send_change(httpcore.ReadError(), conflict)[0] is ConflictError


@then("a change that gets no conclusive reply is reported as unknown with its id")
def check_unknown(context):
    results = [httpcore.ReadTimeout()] * 4
    assert send_change(*results)[0] is ChangeUnknownError
    # An instance that cannot reach the platform does not know what the first one wrote.
    results = [httpcore.ReadTimeout(), _NOT_WRITTEN, _UNKNOWN, _NOT_WRITTEN]
    assert send_change(*results)[0] is ChangeUnknownError
    assert send_change(*[_NOT_WRITTEN] * 4, repeated=True)[0] is ChangeUnknownError
    code, _, err = run_ctl("drain", "b1", "--node=127.0.35.2:1", "--change-id=mine")
    assert code == 10 and "--change-id=mine" in err


@asynccontextmanager
async def open_endless_instance():
    start = b"HTTP/1.1 200 OK\r\n\r\n["
    async with trio.open_nursery() as nursery:
        yield await open_raw_server(nursery, start, b" " * 65536)
        nursery.cancel_scope.cancel()


@given("an instance that sends a reply without end")
def start_endless_instance(context):
    context.loop = start_loop(context, open_endless_instance())


@then("a command through the client fails after at most 32 MB")
def check_endless_reply(context):
    server, address = context.loop.resource
    client = OperatorsClient([address], "")
    try:
        client.send_idempotent("GET", "versions")
    except PlatformUnavailableError:
        # The limit of a reply is 16 MiB; the buffers of the connection hold the rest.
        assert server.sent_bytes <= 32e6, server.sent_bytes
        return
    raise AssertionError("the reply was accepted")


@then("a change that no instance can have received is reported as not written")
def check_not_written(context):
    results = [httpcore.ConnectError(), _NOT_WRITTEN] * 2
    assert send_change(*results)[0] is ChangeNotWrittenError


@then("a repeated edit needs the version that the first attempt was based on")
def check_needs_version(context):
    for arguments in (("edit", "account", "x", "a=1"), ("delete", "account", "x")):
        code, _, err = run_ctl(*arguments, "--change-id=mine", "--node=127.0.35.2:1")
        assert code == 3 and "--at" in err


@then("files of entities are checked offline with the place of the first problem")
def check_offline(context):
    service = {"kind": "service", "name": "s", "value": {}}
    account = {"kind": "account", "name": "a", "value": {"template": "t"}}
    template = {"kind": "template", "name": "t", "value": {}}
    cases = [
        ([account, template, service], None),
        ([], None),
        ({}, "list"),
        ([account], "accounts/a.template"),
        ([service, service], "services/s"),
        ([{**service, "value": {"floor": 2}}], "services/s.floor"),
        ([{**service, "value": None}], "services/s"),
        ([{**service, "name": None}], "services"),
        ([{"kind": "none"}], "[0].kind"),
        ([{"kind": ["service"]}], "[0].kind"),
        ([5], "[0].kind"),
    ]
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder, "entities.json")
        for value, place in cases:
            file.write_text(json.dumps(value))
            code, out, err = run_ctl("validate", str(file))
            assert code == (0 if place is None else 3), (value, err)
            assert place is None or (place in err and str(file) in err), err
        for content in (b"{", b"\xff", b"[" * 100000, b"\n\n[1,]"):
            file.write_bytes(content)
            code, _, err = run_ctl("validate", str(file))
            assert code == 3 and str(file) in err
        assert "line 3" in err


@then("only claims older than 24 hours are removed")
def check_prune(context):
    async def run():
        platform, now = MemoryPlatform(), 1e9
        for index, age in enumerate((0, 23.9, 24.1, 48, 1000)):
            operation = f"inc.{int(now - age * _HOUR_SECONDS)}.{index}.mac"
            value = {"operation": operation}
            await platform.put_row(f"claims/{index}", value, None)
        for index in range(1500):
            value = {"operation": f"inc.{int(now - 30 * _HOUR_SECONDS)}.{index}.mac"}
            await platform.put_row(f"claims/old-{index:04d}", value, None)
        await platform.put_row("claims/odd", {"operation": "x"}, None)
        await platform.put_row("config/changes/0000000001", {}, None)
        removed = await prune_claims(platform, now)
        return removed, sorted(platform.rows)

    removed, remaining = trio.run(run)
    assert removed == 1503
    assert remaining == [
        "claims/0",
        "claims/1",
        "claims/odd",
        "config/changes/0000000001",
    ]
