"""The demonstration: a small fleet in front of six backend servers, one of them gray.

Starts a stand-in of the platform, six backend servers and three entry instances in
three zones as plain processes, sends lookups and orders of all three ranks, and
prints a table by rank. The exit status is 0 only if nothing ran twice and no answer
was wrong.
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
_PAUSE = 0.03
_GRAY_MODE = {"error_rate": 0.3}
# Share of the requests sent before one server turns gray.
_GRAY_AFTER = 0.25
# The time that a backend server itself took, in microseconds.
_TIME_HEADER = b"backend-time-us"


def _configuration():
    """Yield kind, name and value of the entities of the demonstration."""
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
    """Counts of one rank."""

    def __init__(self):
        self.sent = 0
        self.whole = 0
        self.refused = {}
        self.unknown = 0
        self.wrong = 0
        self.latencies = []
        self.not_run = set()

    def add(self, result, target, body):
        """Add the result of a request."""
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


async def _send_lookups(caller, tally, tag, count):
    for number in range(count):
        target = f"/lookup/{tag}/{number}"
        result = await caller.send("GET", target, idempotent=True)
        tally.add(result, target, b"")
        await trio.sleep(_PAUSE)


async def _send_orders(caller, tally, tag, count):
    for number in range(count):
        target, body = f"/order/{tag}", f"order {tag} {number}".encode()
        result = await caller.send("POST", target, body)
        tally.add(result, target, body)
        await trio.sleep(_PAUSE)


def _subtract_work(latency, value):
    """Return a latency in seconds less the time that the server itself took."""
    return latency - int(value or 0) / 1e6


async def _measure_direct(backend, count):
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
        latencies.append(_subtract_work(latency, raw.get_header(_TIME_HEADER)))
    await connection.close()
    return latencies


async def _measure_added(caller, backend, count=200):
    """Return ordered overheads in seconds, straight and through the fleet."""
    direct = await _measure_direct(backend, count)
    through = []
    for number in range(count):
        result = await caller.send("GET", f"/lookup/added/{number}", idempotent=True)
        through.append(
            _subtract_work(result.latency, result.get_header("backend-time-us"))
        )
    return sorted(direct), sorted(through)


async def _count_executions(backends):
    totals = {}
    for backend in backends:
        raw = await call_http(backend.address, "GET", "/.executions")
        for operation, count in json.loads(raw.body).items():
            totals[operation] = totals.get(operation, 0) + count
    return totals


async def _watch_gray(gray, report):
    """Make a server gray and note when it stops to get work."""
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
            report["gray"] = None
            return
        await trio.sleep(0.05)
    report["gray"] = last_change - started


async def _run(fleet):
    started = time.monotonic()
    await fleet.start_platform()
    platform = HttpPlatform(f"http://{fleet.platform}", 2.0)
    for version, (kind, name, value) in enumerate(_configuration()):
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
    nodes = [await fleet.start_node(i, zone) for i, zone in enumerate(ZONES)]
    await _wait_until_serving(nodes)
    print(f"fleet started in {time.monotonic() - started:.1f} s", flush=True)
    tallies = {rank: Tally() for rank in RANKS}
    report = {}
    caller = make_caller(nodes, "lookup", "urgent-0")
    direct, through = await _measure_added(caller, backends[0])
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
        await trio.sleep(_LOOKUPS_PER_CALLER * _PAUSE * _GRAY_AFTER)
        nursery.start_soon(_watch_gray, backends[1], report)
    executions = await _count_executions(backends)
    return _print_report(tallies, executions, direct, through, report)


async def _wait_until_serving(nodes):
    """Wait until every instance answers addresses of all instances."""
    with trio.fail_after(20):
        for node in nodes:
            while True:
                raw = await call_http(
                    node, "GET", "/.kumquatsaddle/addresses?service=lookup&account=x"
                )
                if len(json.loads(raw.body)["addresses"]) == len(nodes):
                    break
                await trio.sleep(0.1)


def _quantile(ordered, fraction):
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] * 1000


def _print_report(tallies, executions, direct, through, report):
    twice = sum(count > 1 for count in executions.values())
    ran_though_refused = sum(
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
    print(f"\nrun twice: {twice}; run although refused: {ran_though_refused}")
    for fraction, label in ((0.5, "p50"), (0.99, "p99")):
        through_ms = _quantile(through, fraction)
        direct_ms = _quantile(direct, fraction)
        print(
            f"added latency {label}: {through_ms - direct_ms:.2f} ms"
            f" (through {through_ms:.2f}, direct {direct_ms:.2f}, server time left out)"
        )
    gray = report.get("gray")
    took = "not taken out within 20 s" if gray is None else f"{gray:.2f} s"
    print(f"gray server taken out: {took}")
    return 1 if twice or wrong or ran_though_refused else 0


def main():
    """Run the demonstration; return its exit code."""
    fleet = Fleet()
    try:
        return trio.run(_run, fleet)
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
