"""Measures what a node process costs while no caller sends requests.

Usage:
  benchmarks.idle_cost [--seconds=N] [--accounts=LIST] [--homes=LIST]

Options:
  --seconds=N      Length of each measurement in seconds [default: 20].
  --accounts=LIST  Sizes of the configuration [default: 500,4000,12000,35000].
  --homes=LIST     Numbers of backend servers for which the node is the home
                   [default: 0,4,8,16].

Each node is a process at the default settings (one probe a second, one read of the
platform in 10 s) with one peer. The list has 4,300 backend servers in 110 services, all
of another region except those that the node is home of; the configuration has 5,500
routes. One entry of the list changes every 30 s, as 1,400 restarts a day cause (each
restarted server leaves the list and returns). The nodes of one series run at the same
time, each with its own simulated platform in this process. The module
benchmarks/control_cost.py measures the costs that depend on the size of the fleet.
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

from benchmarks.configuration_cost import make_sample_configuration
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
_DEFAULT_INTERVALS = {
    "poll_interval": "10 s",
    "probe_interval": "1 s",
    "suspicion_timeout": "3 s",
}
# Requirements for all control traffic and work of a node.
_MAX_CORE_SHARE = 0.045
_MAX_MEMORY_BYTES = 32e6
_MAX_BYTES_PER_SECOND = 3000.0
_SETTLE_SECONDS = 5.0
# Between two changes of the list of instances.
_CHURN_INTERVAL_SECONDS = 30.0
_START_TIMEOUT_SECONDS = 120.0
_OPERATORS_PORT = 8002
_LIBRARIES = "aioprometheus, capnp, docopt, h11, httpcore, hypercorn.trio, loguru, trio"


@dataclass
class IdleCost:
    """Mean cost of one node; memory is without that of the imported libraries."""

    size: int
    core_share: float
    memory_bytes: float
    gossip_bytes_per_second: float
    platform_bytes_per_second: float


class IdleFleet:
    """A measured node with its peer, its backend servers and its simulated platform.

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
            # The peer makes the same calls, so that half of the bytes count.
            self.platform_bytes += (len(reply.body) + len(body) + len(target)) / 2
        return reply

    async def fetch_page(self, path):
        """Return the body of a page for operators, from the measured node."""
        address = Address(self._callers_address.host, _OPERATORS_PORT)
        token = self.fleet.token_file.read_text()
        headers = [("Authorization", f"Bearer {token}")]
        return (await call_http(address, "GET", path, "", headers)).body.decode()

    def set_remote_servers(self):
        """Fill the platform's list with the backend servers of the other region."""
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
        self.set_remote_servers()
        for number in range(homes):
            await self.fleet.start_backend(
                number, f"home-{number:02}", f"service-{number // 4}", "a"
            )
        self._callers_address = await self.fleet.start_node(0, "a")
        await wait_until_ready(self._callers_address)
        await self.fleet.start_node(1, "b")

    async def change_list_periodically(self):
        """Change one entry of the list at intervals until cancelled."""
        number = 0
        while True:
            await trio.sleep(_CHURN_INTERVAL_SECONDS)
            entry = asdict(self.standin.store.instances[f"server-{number:04}"])
            body = json.dumps({**entry, "leaving": not entry["leaving"]})
            await self.standin.handle("PUT", "/.instances", {}, body)
            number = (number + 7) % _SERVERS

    async def measure(self, size, seconds, library_bytes):
        """Return the `IdleCost` of the measured node."""
        pid = self.fleet.processes["entry-0"].pid
        await trio.sleep(_SETTLE_SECONDS)
        before = (
            _read_processor_seconds(pid),
            await self._count_gossip_bytes(),
            self.platform_bytes,
        )
        started = time.monotonic()
        await trio.sleep(seconds)
        elapsed = time.monotonic() - started
        after = (
            _read_processor_seconds(pid),
            await self._count_gossip_bytes(),
            self.platform_bytes,
        )
        core, gossip, platform = (
            (new - old) / elapsed for new, old in zip(after, before, strict=True)
        )
        memory = _read_resident_bytes(pid) - library_bytes
        return IdleCost(size, core, memory, gossip, platform)

    async def _count_gossip_bytes(self):
        text = await self.fetch_page("/metrics")
        pattern = r"^kumquatsaddle_control_bytes_\w+_total(?:\{\})? (\S+)$"
        return sum(float(item) for item in re.findall(pattern, text, re.MULTILINE))


async def wait_until_ready(callers_address):
    """Wait until the node with this address for callers serves."""
    address = Address(callers_address.host, _OPERATORS_PORT)
    with trio.fail_after(_START_TIMEOUT_SECONDS):
        while (await call_http(address, "GET", "/readyz")).status != 200:
            await trio.sleep(0.02)


@asynccontextmanager
async def open_idle_fleet(index, configuration, homes):
    """Run an `IdleFleet` on loopback addresses that no other fleet uses."""
    fleet = Fleet(f"{os.getpid() % 250 + 2}.{100 + index}")
    fleet.intervals = _DEFAULT_INTERVALS
    idle = IdleFleet(fleet)
    try:
        async with trio.open_nursery() as nursery:
            address = fleet.platform
            await nursery.start(serve_http, idle.handle, address.host, address.port)
            await idle.start(configuration, homes)
            nursery.start_soon(idle.change_list_periodically)
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
    library_bytes = _read_library_bytes()
    samples = {
        accounts: make_sample_configuration(accounts) for accounts, _, _ in cases
    }
    costs = []

    async def run(index, accounts, homes, size):
        async with open_idle_fleet(index, samples[accounts], homes) as idle:
            costs.append(await idle.measure(size, seconds, library_bytes))

    async with trio.open_nursery() as nursery:
        for index, case in enumerate(cases):
            nursery.start_soon(run, index, *case)
    return sorted(costs, key=lambda cost: cost.size)


def _read_processor_seconds(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _read_resident_bytes(pid):
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _read_library_bytes():
    """Return the resident bytes of a process that only imports the libraries."""
    code = f"import {_LIBRARIES}; print(open('/proc/self/statm').read().split()[1])"
    run = subprocess.run(
        [sys.executable, "-c", code], check=True, stdout=subprocess.PIPE
    )
    return int(run.stdout) * os.sysconf("SC_PAGE_SIZE")


def print_series(per, costs):
    """Print the fitted lines of a series; return whether all requirements are met."""
    sizes = [cost.size for cost in costs]
    measures = [
        ("core", "%", [100 * cost.core_share for cost in costs]),
        (
            "memory above the libraries",
            "MB",
            [cost.memory_bytes / 1e6 for cost in costs],
        ),
        ("gossip", "B/s", [cost.gossip_bytes_per_second for cost in costs]),
        ("platform", "B/s", [cost.platform_bytes_per_second for cost in costs]),
    ]
    print_lines(
        [fit_line(name, unit, per, sizes, values) for name, unit, values in measures]
    )
    last = costs[-1]
    total = last.gossip_bytes_per_second + last.platform_bytes_per_second
    verdicts = [
        ("core", 100 * last.core_share, 100 * _MAX_CORE_SHARE, "%"),
        ("memory", last.memory_bytes / 1e6, _MAX_MEMORY_BYTES / 1e6, "MB"),
        ("gossip and platform", total, _MAX_BYTES_PER_SECOND, "B/s"),
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
    met = print_series("account", trio.run(measure_series, by_accounts, seconds))
    by_homes = [(accounts[0], size, size) for size in homes]
    met &= print_series("home server", trio.run(measure_series, by_homes, seconds))
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
