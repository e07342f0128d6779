"""The demonstration: a small fleet in front of six backend servers, one of them gray.

Starts a simulated platform, six backend servers and three entry instances in three
availability zones as plain processes, sends lookups and orders of all three ranks, and
prints a table by rank. The exit status is 0 only if no request ran twice,
no refused request ran and no answer was wrong.
"""

import json
import sys
import time

import trio

from demo.fleet import Fleet, call_http
from kumquatsaddle.caller import make_caller
from kumquatsaddle.configuration.changes import commit_change
from kumquatsaddle.dispatch.connections import open_connection
from kumquatsaddle.storage.http import HttpPlatform
from kumquatsaddle.types import Outcome

__all__ = ["main"]

ZONES = ("depot-a", "depot-b", "depot-c")
RANKS = ("urgent", "standard", "bulk")
# Each caller sends this many requests of its kind.
_LOOKUPS_PER_CALLER = 160
_ORDERS_PER_CALLER = 60
_CALLERS_PER_RANK = 4
_PAUSE_SECONDS = 0.03
_GRAY_MODE = {"error_rate": 0.3}
# One server turns gray after this share of the time that sending the lookups takes.
_GRAY_START_SHARE = 0.25
# Header with the time that the backend server itself took, in microseconds.
_SERVER_TIME_HEADER = b"backend-time-us"


def _iterate_entities():
    """Yield kind, name and value of each entity of the configuration."""
    yield "service", "lookup", {"floor": 0.5, "slots": 6}
    yield "service", "order", {"floor": 0.5, "slots": 6}
    for rank in RANKS:
        routes = [
            {
                "method": "GET",
                "prefix": "/lookup",
                "service": "lookup",
                "rank": rank,
                "idempotent": True,
            },
            {"method": "POST", "prefix": "/order", "service": "order", "rank": rank},
        ]
        yield "template", f"crew-{rank}", {"routes": routes}
    for rank in RANKS:
        for number in range(_CALLERS_PER_RANK):
            yield "account", f"{rank}-{number}", {"template": f"crew-{rank}"}


class Tally:
    """Results of the requests of one rank.

    Attributes
    ----------
    sent, whole, unknown, wrong : int
        Requests sent, answered correctly, of unknown outcome, and answered with a body
        that does not match the request.
    refused : dict of str to int
        Refused requests and server errors, by reason.
    latencies : list of float
        Latencies in seconds of the correct answers.
    not_run : set of str
        Operation ids of the refused requests.
    """

    def __init__(self):
        self.sent = 0
        self.whole = 0
        self.refused = {}
        self.unknown = 0
        self.wrong = 0
        self.latencies = []
        self.not_run = set()

    def add(self, result, target, body):
        """Count the result of a request."""
        self.sent += 1
        if result.outcome is Outcome.DONE:
            self._check(result, target, body)
        elif result.outcome is Outcome.NOT_RUN:
            self.refused[result.reason] = self.refused.get(result.reason, 0) + 1
            self.not_run.add(result.operation)
        else:
            self.unknown += 1

    def _check(self, result, target, body):
        if result.status >= 500:
            reason = f"backend_{result.status}"
            self.refused[reason] = self.refused.get(reason, 0) + 1
            return
        answer = json.loads(result.body)
        if answer["target"] != target or answer["echo"] != body.decode():
            self.wrong += 1
            return
        self.whole += 1
        self.latencies.append(result.latency)


async def _send_lookups(caller, tally, account, count):
    for number in range(count):
        target = f"/lookup/{account}/{number}"
        result = await caller.send("GET", target, idempotent=True)
        tally.add(result, target, b"")
        await trio.sleep(_PAUSE_SECONDS)


async def _send_orders(caller, tally, account, count):
    for number in range(count):
        target, body = f"/order/{account}", f"order {account} {number}".encode()
        result = await caller.send("POST", target, body)
        tally.add(result, target, body)
        await trio.sleep(_PAUSE_SECONDS)


def _subtract_server_time(latency, server_time_us):
    """Return a latency in seconds less the time that the server reports."""
    return latency - int(server_time_us or 0) / 1e6


async def _measure_direct_latencies(backend, count):
    latencies = []
    connection = await open_connection(backend.address, 1.0)
    for number in range(count):
        started = trio.current_time()
        raw = await connection.exchange(
            "GET",
            f"/lookup/direct/{number}",
            [("Host", "direct")],
            b"",
            1 << 20,
            lambda: None,
        )
        latency = trio.current_time() - started
        latencies.append(
            _subtract_server_time(latency, raw.get_header(_SERVER_TIME_HEADER))
        )
    await connection.close()
    return latencies


async def _measure_latencies(caller, backend, count=200):
    """Return the latencies to a backend server directly and through the fleet.

    Both are sorted, in seconds, and exclude the time that the server itself took.
    """
    direct = await _measure_direct_latencies(backend, count)
    through = []
    for number in range(count):
        result = await caller.send("GET", f"/lookup/added/{number}", idempotent=True)
        through.append(
            _subtract_server_time(result.latency, result.get_header("backend-time-us"))
        )
    return sorted(direct), sorted(through)


async def _count_executions(backends):
    totals = {}
    for backend in backends:
        raw = await call_http(backend.address, "GET", "/.executions")
        for operation, count in json.loads(raw.body).items():
            totals[operation] = totals.get(operation, 0) + count
    return totals


async def _measure_gray_removal(gray, figures):
    """Make a server gray and record the seconds until it gets no more requests.

    Records None if it still gets requests after 20 s.
    """
    body = json.dumps(_GRAY_MODE)
    await call_http(gray.address, "PUT", "/.mode", body)
    started = trio.current_time()
    last_count, last_change = -1, started
    while trio.current_time() - last_change < 1.5:
        raw = await call_http(gray.address, "GET", "/.served")
        count = json.loads(raw.body)["served"]
        if count != last_count:
            last_count, last_change = count, trio.current_time()
        if trio.current_time() - started > 20:
            figures["gray"] = None
            return
        await trio.sleep(0.05)
    figures["gray"] = last_change - started


async def _run(fleet):
    started = time.monotonic()
    await fleet.start_platform()
    platform = HttpPlatform(f"http://{fleet.platform}", 2.0)
    for version, (kind, name, value) in enumerate(_iterate_entities()):
        await commit_change(platform, version, kind, name, value)
    await platform.close()
    backends = []
    for index in range(6):
        service = "lookup" if index < 3 else "order"
        backends.append(
            await fleet.start_backend(
                index, f"{service}-{index}", service, ZONES[index % 3]
            )
        )
    nodes = [await fleet.start_node(index, zone) for index, zone in enumerate(ZONES)]
    await _wait_until_serving(nodes)
    print(f"fleet started in {time.monotonic() - started:.1f} s", flush=True)
    tallies = {rank: Tally() for rank in RANKS}
    figures = {}
    caller = make_caller(nodes, "lookup", "urgent-0")
    direct, through = await _measure_latencies(caller, backends[0])
    async with trio.open_nursery() as nursery:
        for rank in RANKS:
            for number in range(_CALLERS_PER_RANK):
                account = f"{rank}-{number}"
                lookups = make_caller(nodes, "lookup", account)
                orders = make_caller(nodes, "order", account)
                tally = tallies[rank]
                nursery.start_soon(
                    _send_lookups, lookups, tally, account, _LOOKUPS_PER_CALLER
                )
                nursery.start_soon(
                    _send_orders, orders, tally, account, _ORDERS_PER_CALLER
                )
        await trio.sleep(_LOOKUPS_PER_CALLER * _PAUSE_SECONDS * _GRAY_START_SHARE)
        nursery.start_soon(_measure_gray_removal, backends[1], figures)
    executions = await _count_executions(backends)
    return _print_report(tallies, executions, direct, through, figures)


async def _wait_until_serving(nodes):
    """Wait until every instance returns the addresses of all instances."""
    with trio.fail_after(20):
        for node in nodes:
            while True:
                raw = await call_http(
                    node, "GET", "/.kumquatsaddle/addresses?service=lookup&account=x"
                )
                if len(json.loads(raw.body)["addresses"]) == len(nodes):
                    break
                await trio.sleep(0.1)


def _quantile_ms(ordered, fraction):
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] * 1000


def _print_report(tallies, executions, direct, through, figures):
    executed_twice = sum(count > 1 for count in executions.values())
    executed_refused = sum(
        operation in executions
        for tally in tallies.values()
        for operation in tally.not_run
    )
    print(f"\n{'rank':<10}{'sent':>6}{'whole':>7}{'unknown':>9}{'wrong':>7}  refused")
    for rank, tally in tallies.items():
        refused = ", ".join(f"{k}={v}" for k, v in sorted(tally.refused.items()))
        print(
            f"{rank:<10}{tally.sent:>6}{tally.whole:>7}{tally.unknown:>9}"
            f"{tally.wrong:>7}  {refused or '-'}"
        )
    wrong = sum(tally.wrong for tally in tallies.values())
    print(f"\nrun twice: {executed_twice}; run although refused: {executed_refused}")
    for fraction, label in ((0.5, "p50"), (0.99, "p99")):
        through_ms = _quantile_ms(through, fraction)
        direct_ms = _quantile_ms(direct, fraction)
        print(
            f"added latency {label}: {through_ms - direct_ms:.2f} ms"
            f" (through {through_ms:.2f}, direct {direct_ms:.2f}, server time left out)"
        )
    gray = figures.get("gray")
    removal = "not taken out within 20 s" if gray is None else f"{gray:.2f} s"
    print(f"gray server taken out: {removal}")
    return 1 if executed_twice or wrong or executed_refused else 0


def main():
    """Run the demonstration; return its exit code."""
    fleet = Fleet()
    try:
        return trio.run(_run, fleet)
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
