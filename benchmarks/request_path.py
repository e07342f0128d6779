"""Measures what the request path of one instance costs.

Usage:
  benchmarks.request_path [--seconds=N] [--rate=N] [--profile] [--json]

Options:
  --seconds=N  Time of each phase, 1 to 60 [default: 5].
  --rate=N     Requests/s of the open loop [default: 250].
  --profile    Profiles the node and prints the largest costs of three modules.
  --json       Prints the figures as JSON.

Added latency is the latency through a node less the latency to the backend server
directly, both without the time that the server reports itself (Backend-Time-Us). The
phases alternate, so that all sides see the same noise of the machine. A relay that only
passes bytes on shows what one more process on the way costs here.
"""

import json
import os
import pstats
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import trio
from docopt import docopt

from benchmarks.keep_alive import measure_follow_ups, measure_pipelining
from benchmarks.library_roles import send_open_loop
from kumquatsaddle.dispatch.connections import ExchangeError, open_connection
from kumquatsaddle.settings.parsers import Address

__all__ = ["main"]

_HOST = "127.0.57"
_BACKEND = Address(f"{_HOST}.1", 7000)
_NODE = Address(f"{_HOST}.2", 8000)
_RELAY = Address(f"{_HOST}.4", 8000)
_TRIVIAL = Address(f"{_HOST}.3", 8000)
_ROUNDS = 2
_CLOSED_LOOP_CALLERS = 8
_START_TIMEOUT = 15.0
_STOP_TIMEOUT = 15.0
_MAX_BODY = 1 << 20
_PROFILED = ("callers.py", "caller_connections.py", "proxy.py", "connections.py")
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_SETTINGS = f"""\
[instance]
id = bench
zone = a
[listen]
callers = {_NODE}
control = {_HOST}.2:8001
operators = {_HOST}.2:8002
[platform]
kind = memory
[stop]
notice = 0.1 s
grace = 5 s
[service:lookup]
floor = 0.5
slots = 64
[template:default]
routes = [{{"prefix": "/", "service": "lookup", "idempotent": true}}]
[account:bench]
template = default
[backend:one]
service = lookup
address = {_BACKEND}
"""


class _Child:
    """A child process that is ended with the block."""

    def __init__(self, *command, output=None):
        self._command = [sys.executable, *command]
        self._output = output

    def __enter__(self):
        self.process = subprocess.Popen(self._command, stderr=self._output)
        return self

    def __exit__(self, *exc):
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(_STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def processor_time(self):
        """Return the processor time of the process so far, in seconds."""
        text = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


class _Client:
    """Idle connections to one address."""

    def __init__(self, address):
        self.address = address
        self.idle = []

    async def send(self):
        """Send a request; return the time that the backend server reports."""
        if self.idle:
            connection = self.idle.pop()
        else:
            connection = await open_connection(self.address, 2.0)
        headers = [("Host", "bench"), ("Kumquatsaddle-Account", "bench")]
        raw = await connection.exchange(
            "GET", "/lookup/1", headers, b"", _MAX_BODY, lambda: None
        )
        if raw.status != 200:
            raise RuntimeError(f"status {raw.status}: {raw.body!r}")
        if connection.is_reusable():
            self.idle.append(connection)
        return int(raw.get_header(b"backend-time-us") or 0) / 1e6


async def _wait_for(address):
    with trio.fail_after(_START_TIMEOUT):
        while True:
            try:
                await (await open_connection(address, 1.0)).close()
                return
            except ExchangeError:
                await trio.sleep(0.05)


async def _wait_until_serving():
    await _wait_for(_NODE)
    client = _Client(_NODE)
    with trio.fail_after(_START_TIMEOUT):
        while True:
            try:
                await client.send()
                return
            except (RuntimeError, ExchangeError):
                await trio.sleep(0.1)


def _percentiles(latencies):
    ordered = sorted(latencies)
    return {
        name: ordered[min(len(ordered) - 1, int(len(ordered) * share))] * 1000
        for name, share in (("p50", 0.5), ("p99", 0.99))
    }


async def _measure_added(rate, seconds):
    """Return the added latency in ms, and the latencies that it comes from."""
    direct, relayed, through = [], [], []
    ways = ((_BACKEND, direct), (_RELAY, relayed), (_NODE, through))
    for number in range(_ROUNDS):
        for address, latencies in ways:
            client = _Client(address)
            part = seconds / _ROUNDS
            latencies += await send_open_loop(client.send, rate, part, number)
            for connection in client.idle:
                await connection.close()
    figures = {
        "direct": _percentiles(direct),
        "through a byte relay": _percentiles(relayed),
        "through the node": _percentiles(through),
    }
    for name in ("byte relay", "node"):
        through_name = f"through {'a' if name == 'byte relay' else 'the'} {name}"
        figures[f"added by the {name}"] = {
            share: figures[through_name][share] - figures["direct"][share]
            for share in ("p50", "p99")
        }
    return figures | {"requests": len(through)}


async def _measure_closed_loop(node, seconds):
    """Return requests/s and the processor time of the node per request."""
    client, count = _Client(_NODE), 0
    end = trio.current_time() + seconds

    async def run():
        nonlocal count
        while trio.current_time() < end:
            await client.send()
            count += 1

    before, started = node.processor_time(), trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(_CLOSED_LOOP_CALLERS):
            nursery.start_soon(run)
    elapsed = trio.current_time() - started
    used = node.processor_time() - before
    return {
        "requests/s": count / elapsed,
        "processor ms/request": used / count * 1000,
        "requests/s of a core": count / used,
        "requests": count,
    }


def _measure_node(rate, seconds, profile):
    with tempfile.TemporaryDirectory() as folder:
        settings, stats = Path(folder) / "node.ini", Path(folder) / "stats"
        settings.write_text(_SETTINGS)
        backend = ["-m", "standins.backend", "--name=one", f"--listen={_BACKEND}"]
        node = ["-m", "kumquatsaddle.commands.node", f"--settings={settings}"]
        node.append("--log-level=WARNING")
        if profile:
            node = ["-m", "cProfile", "-o", str(stats), *node]
        backend += ["--work=0.002", "--slots=64"]
        relay = ["-m", "benchmarks.library_roles", "relay", f"--listen={_RELAY}"]
        relay.append(f"--target={_BACKEND}")
        with _Child(*backend), _Child(*relay), _Child(*node) as child:
            trio.run(_wait_for, _BACKEND)
            trio.run(_wait_for, _RELAY)
            trio.run(_wait_until_serving)
            figures = {"added ms": trio.run(_measure_added, rate, seconds)}
            figures["closed loop"] = trio.run(_measure_closed_loop, child, seconds)
        if profile:
            figures["costs"] = _read_costs(stats)
    return figures


def _read_costs(file):
    """Return the three largest costs of each module, in us per request."""
    stats = pstats.Stats(str(file)).stats
    answers = sum(
        entry[1] for place, entry in stats.items() if place[2] == "encode_answer"
    )
    costs = {}
    for module in _PROFILED:
        rows = [
            (entry[3] / answers * 1e6, entry[2] / answers * 1e6, place[2])
            for place, entry in stats.items()
            if Path(place[0]).name == module and "kumquatsaddle" in place[0]
        ]
        # Coroutines count each resumption; cumulative time is of running only.
        costs[module] = [
            {"function": name, "cumulative us": total, "own us": own}
            for total, own, name in sorted(rows, reverse=True)[:6]
        ]
    return costs


async def _measure_server(child, rate, seconds):
    client = _Client(_TRIVIAL)
    await client.send()
    before = child.processor_time()
    latencies = await send_open_loop(client.send, rate, seconds)
    used = child.processor_time() - before
    return _percentiles(latencies) | {
        "processor ms/request": used / len(latencies) * 1000
    }


def _serve(name, output=None):
    role = ["-m", "benchmarks.library_roles", "serve", name, f"--listen={_TRIVIAL}"]
    return _Child(*role, output=output)


def _measure_servers(rate, seconds):
    figures = {}
    for name in ("hypercorn", "callers"):
        with _serve(name) as child:
            trio.run(_wait_for, _TRIVIAL)
            figures[name] = trio.run(_measure_server, child, rate, seconds)
    return figures


def _measure_clients(rate, seconds):
    figures = {}
    with _serve("callers"):
        trio.run(_wait_for, _TRIVIAL)
        for name in ("httpcore", "backend"):
            role = ["-m", "benchmarks.library_roles", "call", name]
            role += [f"--target={_TRIVIAL}", f"--seconds={seconds}", f"--rate={rate}"]
            run = subprocess.run(
                [sys.executable, *role], check=True, stdout=subprocess.PIPE, timeout=180
            )
            result = json.loads(run.stdout)
            count = len(result["latencies"])
            figures[name] = _percentiles(result["latencies"]) | {
                "processor ms/request": result["processor"] / count * 1000
            }
    return figures


def _reproduce_fault():
    """Count connections that end without all responses when requests follow at once."""
    figures = {}
    paths = {"hypercorn": ("/whole", "/split", "/split-1ms", "/split-20ms")}
    paths["callers"] = ("/whole",)
    for name in paths:
        with tempfile.TemporaryFile() as errors:
            with _serve(name, errors):
                trio.run(_wait_for, _TRIVIAL)
                incomplete = trio.run(measure_pipelining, _TRIVIAL)
                cut = trio.run(measure_follow_ups, _TRIVIAL, paths[name])
            errors.seek(0)
            busy = errors.read().count(b"BusyResourceError")
        figures[name] = {
            "pipelined pairs incomplete, of 200": incomplete,
            "follow-up connections cut, of 3": cut,
            "BusyResourceError": busy,
        }
    return figures


def _print_figures(figures, indent=0):
    for name, value in figures.items():
        if isinstance(value, dict):
            print(f"{' ' * indent}{name}:")
            _print_figures(value, indent + 2)
        elif isinstance(value, list):
            print(f"{' ' * indent}{name}:")
            for entry in value:
                cells = (
                    f"{v:.1f}" if isinstance(v, float) else str(v)
                    for v in entry.values()
                )
                print(f"{' ' * indent}  {', '.join(cells)}")
        else:
            text = f"{value:.3f}" if isinstance(value, float) else value
            print(f"{' ' * indent}{name}: {text}")


def main(arguments=None):
    """Run the benchmark; return its exit code."""
    options = docopt(__doc__, argv=arguments)
    seconds = min(60.0, max(1.0, float(options["--seconds"])))
    rate = min(2000.0, float(options["--rate"]))
    figures = {"request path": _measure_node(rate, seconds, options["--profile"])}
    if not options["--profile"]:
        figures["servers at the same rate"] = _measure_servers(rate, seconds)
        figures["clients at the same rate"] = _measure_clients(rate, seconds)
        figures["next request at once"] = _reproduce_fault()
    if options["--json"]:
        print(json.dumps(figures))
    else:
        _print_figures(figures)
    return 0


if __name__ == "__main__":
    sys.exit(main())
