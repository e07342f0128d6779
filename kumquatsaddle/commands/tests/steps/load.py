import contextlib
import io
import json
import ssl
import tempfile
from functools import partial
from pathlib import Path

import trio
import trio.testing
import trustme
from behave import then

from kumquatsaddle.caller import make_caller
from kumquatsaddle.commands.load import LoadLimits, main, parse_flow, run_load
from kumquatsaddle.exchange import Answer
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.testing.caller_servers import make_test_server
from kumquatsaddle.types import Outcome, RefusalReason


class FleetProxy:
    """Answers as a fleet of one instance; `handle` may replace the answer."""

    def __init__(self, handle=None):
        self.handle = handle
        self.issued = 0
        self.address_requests = 0
        self.requests = []
        self.address = None

    def allows_overlap(self, request):
        return False

    async def answer(self, request):
        if "addresses" in request.target:
            self.address_requests += 1
            entries = [{"address": str(self.address), "instance": "one"}]
            return make_reply({"addresses": entries, "ttl": 60})
        if "operations" in request.target:
            start, self.issued = self.issued, self.issued + 32
            return make_reply({"operations": [f"op-{start + n}" for n in range(32)]})
        self.requests.append(request)
        return (await self.handle(request)) if self.handle else make_reply({})


def make_reply(value):
    return Answer(Outcome.DONE, 200, (), json.dumps(value).encode())


def get_operation_id(request):
    return request.get_header(b"kumquatsaddle-operation")


async def run_with_fleet(proxy, run, **changes):
    """Serve the proxy and run an async function that takes the server's address."""
    server = make_test_server(proxy, **changes)
    async with trio.open_nursery() as nursery:
        (listener,) = await nursery.start(server.run, Address("127.0.0.1", 0))
        proxy.address = Address("127.0.0.1", listener.socket.getsockname()[1])
        result = await run(proxy.address)
        nursery.cancel_scope.cancel()
    return result


def load(proxy, flows, seconds=0.5, count=1000, in_flight=100):
    limits = LoadLimits(seconds, count, in_flight, 5.0, 2)
    parsed = [parse_flow(text) for text in flows]
    return trio.run(
        run_with_fleet, proxy, lambda address: run_load([address], parsed, limits)
    )


def send_all(proxy, count, method="POST", idempotent=False):
    async def run(address):
        caller = make_caller([address], "s", "a")
        results = []
        for _ in range(count):
            results.append(await caller.send(method, "/x", idempotent=idempotent))
        await caller.close()
        return results

    return trio.run(run_with_fleet, proxy, run)


@then("an open-loop load of three ranks is counted by rank, outcome and reason")
def check_load(context):
    async def handle(request):
        if request.target == "/bulk":
            return Answer.from_reason(RefusalReason.ACCOUNT_LIMIT)
        if request.target == "/standard":
            return Answer.from_reason(RefusalReason.ANSWER_LOST)
        return make_reply({})

    proxy = FleetProxy(handle)
    ranks = ("urgent", "standard", "bulk")
    run = load(
        proxy,
        [
            f"service=s,account={rank},target=/{rank},rank={rank},rate=100,accounts=2"
            for rank in ranks
        ],
    )
    urgent, standard, bulk = (run.tallies[rank] for rank in sorted(run.tallies))
    tallies = urgent.to_json(), standard.to_json(), bulk.to_json()
    assert urgent.outcomes == {"done": urgent.sent} and urgent.sent > 0, tallies
    assert urgent.histogram.get_total_count() == urgent.sent, tallies
    assert standard.outcomes == {"unknown": standard.sent}, tallies
    assert bulk.refusals == {"account_limit": bulk.sent}, tallies
    sent = urgent.sent + standard.sent + bulk.sent
    assert sent == len(proxy.requests), (tallies, len(proxy.requests))
    accounts = {r.get_header(b"kumquatsaddle-account") for r in proxy.requests}
    assert accounts == {f"{rank}-{n}" for rank in ranks for n in (0, 1)}, accounts


@then("a load stops at its count and skips what exceeds its requests in flight")
def check_bounds(context):
    flow = ["service=s,account=a,target=/x,rate=1000"]
    run = load(FleetProxy(), flow, seconds=600.0, count=20)
    assert sum(tally.sent for tally in run.tallies.values()) == 20

    async def handle(request):
        await trio.sleep(0.3)
        # After a pause of the process, arrivals that are due may be still to come.
        await trio.testing.wait_all_tasks_blocked()
        return make_reply({})

    run = load(FleetProxy(handle), flow, seconds=0.2, in_flight=1)
    (tally,) = run.tallies.values()
    assert tally.sent == 1 and tally.skipped > 0, tally.to_json()


@then("every request that is not idempotent carries its own issued id")
def check_operation_ids(context):
    proxy = FleetProxy()
    send_all(proxy, 40)
    ids = [get_operation_id(request) for request in proxy.requests]
    assert len(set(ids)) == 40 and all(name.startswith("op-") for name in ids)
    assert proxy.issued == 64
    send_all(proxy, 1, "GET", True)
    assert get_operation_id(proxy.requests[-1]) == ""


@then("a request without an answer is repeated with its id")
def check_repeat(context):
    async def handle(request):
        if len(proxy.requests) == 1:
            raise RuntimeError("ends the connection")
        return make_reply({})

    proxy = FleetProxy(handle)
    (result,) = send_all(proxy, 1)
    assert result.outcome is Outcome.DONE and result.attempts == 2
    assert len({get_operation_id(request) for request in proxy.requests}) == 1


@then("a repeat that is refused leaves the outcome unknown")
def check_refused_repeat(context):
    async def handle(request):
        if len(proxy.requests) == 1:
            raise RuntimeError("ends the connection")
        return Answer.from_reason(RefusalReason.NOT_READY)

    proxy = FleetProxy(handle)
    (result,) = send_all(proxy, 1)
    assert result.outcome is Outcome.UNKNOWN and result.reason == "not_ready"


@then("addresses are fetched once in their time to live and again after a failure")
def check_addresses(context):
    async def handle(request):
        if len(proxy.requests) == 6:
            raise RuntimeError("ends the connection")
        return make_reply({})

    proxy = FleetProxy(handle)
    send_all(proxy, 5)
    assert proxy.address_requests == 1
    proxy.requests, proxy.address_requests = [], 0
    send_all(proxy, 10)
    assert proxy.address_requests == 2


@then("requests over TLS reuse their connection and trust only the given authority")
def check_tls(context):
    with tempfile.TemporaryDirectory() as folder:
        authority = trustme.CA()
        issued = authority.issue_cert("127.0.0.1")
        paths = {
            name: str(Path(folder) / name) for name in ("ca", "certificate", "key")
        }
        authority.cert_pem.write_to_path(paths["ca"])
        issued.cert_chain_pems[0].write_to_path(paths["certificate"])
        issued.private_key_pem.write_to_path(paths["key"])
        changes = {
            "tls__certificate_file": paths["certificate"],
            "tls__key_file": paths["key"],
        }
        trusting = ssl.create_default_context(cafile=paths["ca"])

        async def run(address):
            outcomes = []
            for tls in (trusting, ssl.create_default_context()):
                caller = make_caller([address], "s", "a", context=tls)
                for _ in range(3):
                    result = await caller.send("GET", "/x", idempotent=True)
                    outcomes.append((result.outcome, result.reason))
                await caller.close()
            return outcomes

        outcomes = trio.run(partial(run_with_fleet, **changes), FleetProxy(), run)
        assert outcomes[:3] == [(Outcome.DONE, "")] * 3
        assert outcomes[3:] == [(Outcome.NOT_RUN, "no_address")] * 3


@then('load with "{arguments}" exits with {code:d} and says "{message}"')
def check_arguments(context, arguments, code, message):
    errors = io.StringIO()
    with contextlib.redirect_stderr(errors), contextlib.redirect_stdout(io.StringIO()):
        assert main(arguments.split(" ")) == code
    assert message in errors.getvalue(), errors.getvalue()
