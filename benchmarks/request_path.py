"""Measures the latency and processor time that an instance adds to a request.

Usage:
  benchmarks.request_path [--seconds=N] [--rate=N] [--profile] [--json]

Options:
  --seconds=N  Time of each phase, 1 to 60 [default: 5].
  --rate=N     Requests/s of the open loop [default: 250].
  --profile    Profile the node and print the most expensive functions of four modules.
  --json       Print the figures as JSON.

Added latency is the latency through a node less the latency to the backend server
directly, both without the time that the server reports itself (Backend-Time-Us). The
phases alternate, so that the noise of the machine affects all of them alike. A relay
that only forwards bytes shows the latency that one more process on the path adds.
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

from benchmarks.keep_alive import count_failed_connections, count_incomplete_pairs
from benchmarks.library_roles import send_open_loop
from kumquatsaddle.dispatch.connections import ExchangeError, open_connection
from kumquatsaddle.settings.parsers import Address

__all__ = ["main"]

_HOST = "127.0.57"
_BACKEND = Address(f"{_HOST}.1", 7000)
_NODE = Address(f"{_HOST}.2", 8000)
_RELAY = Address(f"{_HOST}.4", 8000)
_TRIVIAL_SERVER = Address(f"{_HOST}.3", 8000)
_ROUNDS = 2
_CLOSED_LOOP_CLIENTS = 8
_START_TIMEOUT_SECONDS = 15.0
_STOP_TIMEOUT_SECONDS = 15.0
_MAX_BODY_BYTES = 1 << 20
_PROFILED_MODULES = (
    "callers.py",
    "caller_connections.py",
    "proxy.py",
    "connections.py",
)
_CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
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


class _ChildProcess:
    """A child process that is terminated at the end of a with block."""

    def __init__(self, *command, output=None):
        self._command = [sys.executable, *command]
        self._output = output

    def __enter__(self):
        self.process = subprocess.Popen(self._command, stderr=self._output)
        return self

    def __exit__(self, *exc):
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(_STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def read_processor_seconds(self):
        """Return the processor time of the process so far, in seconds."""
        text = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_SECOND


class _Client:
    """HTTP client of one address that keeps its connections."""

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
            "GET", "/lookup/1", headers, b"", _MAX_BODY_BYTES, lambda: None
        )
        if raw.status != 200:
            raise RuntimeError(f"request failed with status {raw.status}: {raw.body!r}")
        if connection.is_reusable():
            self.idle.append(connection)
        return int(raw.get_header(b"backend-time-us") or 0) / 1e6


async def _wait_for(address):
    with trio.fail_after(_START_TIMEOUT_SECONDS):
        while True:
            try:
                await (await open_connection(address, 1.0)).close()
                return
            except ExchangeError:
                await trio.sleep(0.05)


async def _wait_until_serving():
    await _wait_for(_NODE)
    client = _Client(_NODE)
    with trio.fail_after(_START_TIMEOUT_SECONDS):
        while True:
            try:
                await client.send()
                return
            except (RuntimeError, ExchangeError):
                await trio.sleep(0.1)


def _percentiles_ms(latencies):
    ordered = sorted(latencies)
    return {
        name: ordered[min(len(ordered) - 1, int(len(ordered) * share))] * 1000
        for name, share in (("p50", 0.5), ("p99", 0.99))
    }


async def _measure_added_latency_ms(rate, seconds):
    """Return the added latency in ms, and the latencies that it is derived from."""
    direct, relayed, through = [], [], []
    targets = ((_BACKEND, direct), (_RELAY, relayed), (_NODE, through))
    for number in range(_ROUNDS):
        for address, latencies in targets:
            client = _Client(address)
            part = seconds / _ROUNDS
            latencies += await send_open_loop(client.send, rate, part, number)
            for connection in client.idle:
                await connection.close()
    figures = {
        "direct": _percentiles_ms(direct),
        "through a byte relay": _percentiles_ms(relayed),
        "through the node": _percentiles_ms(through),
    }
    for name in ("byte relay", "node"):
        through_name = f"through {'a' if name == 'byte relay' else 'the'} {name}"
        figures[f"added by the {name}"] = {
            share: figures[through_name][share] - figures["direct"][share]
            for share in ("p50", "p99")
        }
    return figures | {"requests": len(through)}


async def _measure_closed_loop(node, seconds):
    """Return the rate of a closed loop and the node's processor time per request."""
    client, count = _Client(_NODE), 0
    end = trio.current_time() + seconds

    async def run():
        nonlocal count
        while trio.current_time() < end:
            await client.send()
            count += 1

    before, started = node.read_processor_seconds(), trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(_CLOSED_LOOP_CLIENTS):
            nursery.start_soon(run)
    elapsed = trio.current_time() - started
    used = node.read_processor_seconds() - before
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
        with (
            _ChildProcess(*backend),
            _ChildProcess(*relay),
            _ChildProcess(*node) as node_process,
        ):
            trio.run(_wait_for, _BACKEND)
            trio.run(_wait_for, _RELAY)
            trio.run(_wait_until_serving)
            figures = {"added ms": trio.run(_measure_added_latency_ms, rate, seconds)}
            figures["closed loop"] = trio.run(
                _measure_closed_loop, node_process, seconds
            )
        if profile:
            figures["costs"] = _read_largest_costs(stats)
    return figures


def _read_largest_costs(file):
    """Return the six most expensive functions of each module, in us per request."""
    stats = pstats.Stats(str(file)).stats
    answers = sum(
        profile[1]
        for function, profile in stats.items()
        if function[2] == "encode_answer"
    )
    costs = {}
    for module in _PROFILED_MODULES:
        rows = [
            (profile[3] / answers * 1e6, profile[2] / answers * 1e6, function[2])
            for function, profile in stats.items()
            if Path(function[0]).name == module and "kumquatsaddle" in function[0]
        ]
        # A coroutine is counted at each resumption; its cumulative time includes only
        # the time in which it runs.
        costs[module] = [
            {"function": name, "cumulative us": total, "own us": own}
            for total, own, name in sorted(rows, reverse=True)[:6]
        ]
    return costs


async def _measure_server(server_process, rate, seconds):
    client = _Client(_TRIVIAL_SERVER)
    await client.send()
    before = server_process.read_processor_seconds()
    latencies = await send_open_loop(client.send, rate, seconds)
    used = server_process.read_processor_seconds() - before
    return _percentiles_ms(latencies) | {
        "processor ms/request": used / len(latencies) * 1000
    }


def _start_trivial_server(name, output=None):
    command = [
        "-m",
        "benchmarks.library_roles",
        "serve",
        name,
        f"--listen={_TRIVIAL_SERVER}",
    ]
    return _ChildProcess(*command, output=output)


def _measure_servers(rate, seconds):
    figures = {}
    for name in ("hypercorn", "callers"):
        with _start_trivial_server(name) as server_process:
            trio.run(_wait_for, _TRIVIAL_SERVER)
            figures[name] = trio.run(_measure_server, server_process, rate, seconds)
    return figures


def _measure_clients(rate, seconds):
    figures = {}
    with _start_trivial_server("callers"):
        trio.run(_wait_for, _TRIVIAL_SERVER)
        for name in ("httpcore", "backend"):
            command = ["-m", "benchmarks.library_roles", "call", name]
            command += [
                f"--target={_TRIVIAL_SERVER}",
                f"--seconds={seconds}",
                f"--rate={rate}",
            ]
            run = subprocess.run(
                [sys.executable, *command],
                check=True,
                stdout=subprocess.PIPE,
                timeout=180,
            )
            result = json.loads(run.stdout)
            count = len(result["latencies"])
            figures[name] = _percentiles_ms(result["latencies"]) | {
                "processor ms/request": result["processor"] / count * 1000
            }
    return figures


def _count_broken_connections():
    """Count connections that break when the next request follows at once."""
    figures = {}
    paths = {"hypercorn": ("/whole", "/split", "/split-1ms", "/split-20ms")}
    paths["callers"] = ("/whole",)
    for name in paths:
        with tempfile.TemporaryFile() as errors:
            with _start_trivial_server(name, errors):
                trio.run(_wait_for, _TRIVIAL_SERVER)
                incomplete = trio.run(count_incomplete_pairs, _TRIVIAL_SERVER)
                cut = trio.run(count_failed_connections, _TRIVIAL_SERVER, paths[name])
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
        figures["next request at once"] = _count_broken_connections()
    if options["--json"]:
        print(json.dumps(figures))
    else:
        _print_figures(figures)
    return 0


if __name__ == "__main__":
    sys.exit(main())
