import contextlib
import io
import json
import re
import tempfile
from pathlib import Path

import trio
from behave import given, then, when
from harness import ROUTED_TARGET, open_harness, send_request

from kumquatsaddle.balance.fatal_requests import ServerEnd, compute_digest
from kumquatsaddle.commands import ctl
from kumquatsaddle.logs import set_log_level
from kumquatsaddle.testing.loops import start_loop

OTHER_TARGET = "/b/c/other"
TOKEN = "operators-token-of-the-test"


@given("a platform with a server and an instance whose operators have a token")
def prepare(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.token_file = Path(folder.name) / "token"
    context.token_file.write_text(TOKEN)
    context.log_lines = []
    set_log_level("INFO", context.log_lines.append)
    context.add_cleanup(set_log_level, "CRITICAL")
    secrets = {"operator_token_file": str(context.token_file)}
    context.loop = start_loop(context, open_harness(True, secrets=secrets))
    context.harness = context.loop.resource


@when("servers have ended under a request twice")
def block(context):
    dispatcher = context.harness.node.dispatcher
    digests = []
    dispatch = dispatcher.dispatch

    async def record(request):
        digests.append(compute_digest(request))
        return await dispatch(request)

    dispatcher.dispatch = record
    send_request(context, "callers", ROUTED_TARGET)
    dispatcher.dispatch = dispatch

    async def act():
        earlier = trio.current_time() - 5
        for number, server in enumerate(("i-8", "i-9"), 1):
            started_at = earlier + number
            end = ServerEnd(digests[0], server, started_at, started_at + 0.5)
            dispatcher.end_records.add(end)

    context.loop.run(act)
    context.digest = f"{digests[0]:016x}"


@then("the request is answered 502 with reason fatal_request, others are served")
def check_blocked(context):
    answer = send_request(context, "callers", ROUTED_TARGET)
    assert answer.status == 502
    assert answer.get_header(b"kumquatsaddle-reason") == b"fatal_request"
    assert send_request(context, "callers", OTHER_TARGET).status == 200


def run_ctl(context, *arguments):
    """Run the command in a thread; return its exit code and what it printed."""
    address = context.harness.node.settings.get("listen", "operators")
    output = io.StringIO()

    def run():
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            return ctl.main([*arguments, f"--node={address}", "--json"])

    code = context.loop.run(lambda: trio.to_thread.run_sync(run))
    return code, output.getvalue()


@then("its log line has the digest under which kumquatsaddle-ctl lists the servers")
def check_listed(context):
    lines = [str(line) for line in context.log_lines]
    (line,) = [line for line in lines if "reason=fatal_request" in line]
    assert re.search(r" digest=([0-9a-f]{16})\b", line)[1] == context.digest
    code, output = run_ctl(context, "fatal-requests")
    assert code == 0, output
    (entry,) = json.loads(output)["fatal_requests"]
    assert entry == {"digest": context.digest, "backends": ["i-8", "i-9"]}


@then(
    "kumquatsaddle-ctl without the token is refused, and with it unblocks the request"
)
def check_unblocked(context):
    code, output = run_ctl(context, "unblock", context.digest)
    assert code == 7, output
    token = f"--token-file={context.token_file}"
    code, output = run_ctl(context, "unblock", context.digest, token)
    assert code == 0, output
    code, output = run_ctl(context, "unblock", "nonsense", token)
    assert code != 0, output


@then("the request is served again")
def check_served(context):
    assert send_request(context, "callers", ROUTED_TARGET).status == 200
