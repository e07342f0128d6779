"""Measures what control costs one node process while no caller sends anything.

Usage:
  benchmarks.idle_cost [--seconds=N] [--accounts=LIST] [--homes=LIST]

Options:
  --seconds=N      Length of each measurement in seconds [default: 20].
  --accounts=LIST  Sizes of the configuration [default: 500,4000,12000,35000].
  --homes=LIST     Backend servers the node is home of [default: 0,4,8,16].

Each node is a process at the default settings (one probe a second, one read of the
platform in 10 s) with one peer. The list has 4,300 backend servers in 110 services, of
another region but for those that the node is home of; the configuration has 5,500
routes. One entry of the list changes every 30 s, as 1,400 restarts a day do (each
leaves and returns). The nodes of one series run at the same time, each with a platform
of its own in this process. A cost that belongs to the size of the fleet is in
benchmarks/control_cost.py.
"""

import json
import os
import re
import subprocess
import sys
import time
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass
from pathlib import Path

import trio
from docopt import docopt

from benchmarks.configuration_cost import make_sample
from benchmarks.fits import fit_line, print_lines
from demo.fleet import Fleet, call_http
from kumquatsaddle.configuration.snapshots import write_snapshot
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.storage.interface import ListedInstance
from standins.http import serve_http
from standins.platform import PlatformStandin

__all__ = ["IdleFleet", "main", "open_idle_fleet", "wait_until_ready"]

_SERVERS = 4300
_SERVICES = 110
_INTERVALS = {
    "poll_interval": "10 s",
    "probe_interval": "1 s",
    "suspicion_timeout": "3 s",
}
# Requirements for all control of a node: share of a core, bytes, bytes a second.
_MAX_CORE = 0.045
_MAX_MEMORY = 32e6
_MAX_BYTES = 3000.0
_SETTLE = 5.0
# Time in seconds between two changes of the list of instances.
_CHURN_INTERVAL = 30.0
_START_TIMEOUT = 120.0
_OPERATORS_PORT = 8002
_LIBRARIES = "aioprometheus, capnp, docopt, h11, httpcore, hypercorn.trio, loguru, trio"


@dataclass
class Cost:
    """Mean cost of one node; bytes are per second, memory is in bytes."""

    size: int
    core: float
    memory: float
    gossip_bytes: float
    platform_bytes: float


class IdleFleet:
    """One measured node, its peer, its backend servers and its platform.

    Parameters
    ----------
    fleet : demo.fleet.Fleet
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.standin = PlatformStandin()
        self.platform_bytes = 0

    async def handle(self, method, target, headers, body):
        """Answer a call to the platform and count the bytes of the measured node."""
        reply = await self.standin.handle(method, target, headers, body)
        if reply is not None and not target.startswith("/."):
            # The peer makes the same calls.
            self.platform_bytes += (len(reply.body) + len(body) + len(target)) / 2
        return reply

    async def ask(self, path):
        """Return the body of an operators' page of the measured node."""
        address = Address(self._callers.host, _OPERATORS_PORT)
        token = self.fleet.token_file.read_text()
        headers = [("Authorization", f"Bearer {token}")]
        return (await call_http(address, "GET", path, "", headers)).body.decode()

    def list_servers(self):
        """List the backend servers of the other region."""
        listed = {}
        for number in range(_SERVERS):
            name, service = f"server-{number:04}", f"service-{number % _SERVICES}"
            address = f"127.200.{number // 250}.{number % 250 + 1}:7000"
            listed[name] = ListedInstance(
                name, "backend", service, address, "x", "east", False
            )
        self.standin.store.instances = listed

    async def start(self, configuration, homes):
        """Start all processes and wait until the node serves."""
        await write_snapshot(self.standin.store, configuration)
        self.list_servers()
        for number in range(homes):
            await self.fleet.start_backend(
                number, f"home-{number:02}", f"service-{number // 4}", "a"
            )
        self._callers = await self.fleet.start_node(0, "a")
        await wait_until_ready(self._callers)
        await self.fleet.start_node(1, "b")

    async def change_list(self):
        """Change one entry of the list at intervals until cancelled."""
        number = 0
        while True:
            await trio.sleep(_CHURN_INTERVAL)
            entry = asdict(self.standin.store.instances[f"server-{number:04}"])
            body = json.dumps({**entry, "leaving": not entry["leaving"]})
            await self.standin.handle("PUT", "/.instances", {}, body)
            number = (number + 7) % _SERVERS

    async def measure(self, size, seconds, libraries):
        """Return the `Cost` of the node."""
        process = self.fleet.processes["entry-0"].pid
        await trio.sleep(_SETTLE)
        before = _read_processor_time(process), await self._count(), self.platform_bytes
        started = time.monotonic()
        await trio.sleep(seconds)
        passed = time.monotonic() - started
        after = _read_processor_time(process), await self._count(), self.platform_bytes
        core, gossip, platform = (
            (new - old) / passed for new, old in zip(after, before, strict=True)
        )
        memory = _read_resident(process) - libraries
        return Cost(size, core, memory, gossip, platform)

    async def _count(self):
        text = await self.ask("/metrics")
        pattern = r"^kumquatsaddle_control_bytes_\w+_total(?:\{\})? (\S+)$"
        return sum(float(item) for item in re.findall(pattern, text, re.MULTILINE))


async def wait_until_ready(callers):
    """Wait until the node with this address for callers serves."""
    address = Address(callers.host, _OPERATORS_PORT)
    with trio.fail_after(_START_TIMEOUT):
        while (await call_http(address, "GET", "/readyz")).status != 200:
            await trio.sleep(0.02)


@asynccontextmanager
async def open_idle_fleet(index, configuration, homes):
    """Run an `IdleFleet` with loopback addresses of its own."""
    fleet = Fleet(f"{os.getpid() % 250 + 2}.{100 + index}")
    fleet.intervals = _INTERVALS
    idle = IdleFleet(fleet)
    try:
        async with trio.open_nursery() as nursery:
            where = fleet.platform
            await nursery.start(serve_http, idle.handle, where.host, where.port)
            await idle.start(configuration, homes)
            nursery.start_soon(idle.change_list)
            yield idle
            nursery.cancel_scope.cancel()
    finally:
        fleet.stop()


async def measure_series(cases, seconds):
    """Return the costs of nodes that run at the same time.

    Parameters
    ----------
    cases : list of tuple of int
        Accounts, homes and the size to report.
    seconds : float
    """
    libraries = _read_library_memory()
    samples = {accounts: make_sample(accounts) for accounts, _, _ in cases}
    costs = []

    async def run(index, accounts, homes, size):
        async with open_idle_fleet(index, samples[accounts], homes) as idle:
            costs.append(await idle.measure(size, seconds, libraries))

    async with trio.open_nursery() as nursery:
        for index, case in enumerate(cases):
            nursery.start_soon(run, index, *case)
    return sorted(costs, key=lambda cost: cost.size)


def _read_processor_time(process):
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _read_resident(process):
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _read_library_memory():
    """Return the resident bytes of a process that only imports the libraries."""
    code = f"import {_LIBRARIES}; print(open('/proc/self/statm').read().split()[1])"
    run = subprocess.run(
        [sys.executable, "-c", code], check=True, stdout=subprocess.PIPE
    )
    return int(run.stdout) * os.sysconf("SC_PAGE_SIZE")


def report(per, costs):
    """Print the lines of a series and the verdicts; return whether all are met."""
    sizes = [cost.size for cost in costs]
    measures = [
        ("core", "%", [100 * cost.core for cost in costs]),
        ("memory above the libraries", "MB", [cost.memory / 1e6 for cost in costs]),
        ("gossip", "B/s", [cost.gossip_bytes for cost in costs]),
        ("platform", "B/s", [cost.platform_bytes for cost in costs]),
    ]
    print_lines(
        [fit_line(name, unit, per, sizes, values) for name, unit, values in measures]
    )
    last = costs[-1]
    total = last.gossip_bytes + last.platform_bytes
    verdicts = [
        ("core", 100 * last.core, 100 * _MAX_CORE, "%"),
        ("memory", last.memory / 1e6, _MAX_MEMORY / 1e6, "MB"),
        ("gossip and platform", total, _MAX_BYTES, "B/s"),
    ]
    for name, value, limit, unit in verdicts:
        verdict = "met" if value <= limit else "MISSED"
        print(
            f"{verdict}: {name} at {last.size} {per}s: {value:.4g} {unit}, "
            f"at most {limit:.4g} {unit}",
            flush=True,
        )
    return all(value <= limit for _, value, limit, _ in verdicts)


def _read_sizes(text):
    return [int(item) for item in text.split(",")]


def main(arguments=None):
    """Measure and print; return 0 if all requirements are met."""
    options = docopt(__doc__, argv=arguments)
    seconds = float(options["--seconds"])
    accounts = _read_sizes(options["--accounts"])
    homes = _read_sizes(options["--homes"])
    by_accounts = [(size, 0, size) for size in accounts]
    met = report("account", trio.run(measure_series, by_accounts, seconds))
    by_homes = [(accounts[0], size, size) for size in homes]
    met &= report("home server", trio.run(measure_series, by_homes, seconds))
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
