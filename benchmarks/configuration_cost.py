"""Measures memory and processing time of configurations of several sizes.

Usage:
  benchmarks.configuration_cost [--size=N]

Options:
  --size=N  Only measure this number of accounts, in this process, and print JSON.

Each size is measured in a separate process that reads a snapshot, as an instance does
at its start. Growth is the resident memory after the snapshot was read, less the
resident memory of the same process before.
"""

import gc
import json
import os
import random
import statistics
import subprocess
import sys
import time
from pathlib import Path

import trio
from docopt import docopt

from kumquatsaddle.configuration.snapshots import decode_snapshot, encode_snapshot
from kumquatsaddle.configuration.state import make_configuration

__all__ = ["main"]

ACCOUNT_COUNTS = (5000, 10000, 20000, 35000, 70000)
_SERVICES = 110
_TEMPLATES = 110
# 110 templates of 50 routes are the 5,500 routes of the target size.
_ROUTES_PER_TEMPLATE = 50
# One account in this many has its own limit, which is one of 40 different limits.
_ACCOUNTS_PER_OVERRIDE = 5
_DISTINCT_LIMITS = 40
_LOOKUPS = 20000
_REPEATS = 5


def make_sample_configuration(accounts):
    """Return a configuration with services and routes of the target size.

    Parameters
    ----------
    accounts : int
        Number of client accounts.
    """
    rng = random.Random(1)
    configuration = make_configuration()
    for number in range(_SERVICES):
        configuration.set_entity("service", f"service-{number}", {"floor": 0.6}, number)
    for number in range(_TEMPLATES):
        routes = [
            {
                "method": rng.choice(("GET", "POST")),
                "prefix": f"/area-{index % 7}/resource-{number}-{index}",
                "service": f"service-{rng.randrange(_SERVICES)}",
                "rank": rng.choice(("urgent", "standard", "bulk")),
                "idempotent": bool(index % 2),
            }
            for index in range(_ROUTES_PER_TEMPLATE)
        ]
        configuration.set_entity(
            "template", f"template-{number}", {"routes": routes}, number
        )
    for number in range(accounts):
        value = {"template": f"template-{number % _TEMPLATES}"}
        if number % _ACCOUNTS_PER_OVERRIDE == 0:
            limit = {"rate": 1 + rng.randrange(_DISTINCT_LIMITS), "burst": 10}
            value["limits"] = {f"service-{rng.randrange(_SERVICES)}": limit}
        configuration.set_entity(
            "account", f"account-{number:06d}", value, 1000 + number
        )
    configuration.version = 1000 + accounts
    return configuration


def measure_costs(accounts):
    """Return the costs of a configuration with this number of accounts as a dict."""
    data = subprocess.run(
        [sys.executable, "-c", _SNAPSHOT_SCRIPT, str(accounts)],
        check=True,
        stdout=subprocess.PIPE,
    ).stdout
    gc.collect()
    before = _read_resident_bytes()
    started = time.perf_counter()
    configuration = trio.run(decode_snapshot, data)
    parse_seconds = time.perf_counter() - started
    gc.collect()
    after = _read_resident_bytes()
    started = time.perf_counter()
    trio.run(encode_snapshot, configuration)
    encode_seconds = time.perf_counter() - started
    return {
        "accounts": accounts,
        "snapshot_bytes": len(data),
        "growth_bytes": after - before,
        "parse_s": parse_seconds,
        "encode_s": encode_seconds,
        "resolve_us": _time_resolve_us(configuration),
    }


_SNAPSHOT_SCRIPT = """
import sys, trio
from benchmarks.configuration_cost import make_sample_configuration
from kumquatsaddle.configuration.snapshots import encode_snapshot
data = trio.run(encode_snapshot, make_sample_configuration(int(sys.argv[1])))
sys.stdout.buffer.write(data)
"""


def _time_resolve_us(configuration):
    """Return the median time of one call of resolve_route, in microseconds."""
    rng = random.Random(2)
    accounts = rng.sample(sorted(configuration.accounts), 200)
    requests = []
    for account in accounts:
        template = configuration.templates[configuration.accounts[account].template]
        for _ in range(_LOOKUPS // len(accounts)):
            route = rng.choice(template.routes)
            requests.append((account, route.method, route.prefix + "/17/details"))
    seconds_per_request = []
    for _ in range(_REPEATS):
        started = time.perf_counter()
        for account, method, path in requests:
            configuration.resolve_route(account, method, path)
        seconds_per_request.append((time.perf_counter() - started) / len(requests))
    return statistics.median(seconds_per_request) * 1e6


def _read_resident_bytes():
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _fit_line(points):
    """Return slope and intercept by least squares."""
    mean_x = statistics.mean(x for x, _ in points)
    mean_y = statistics.mean(y for _, y in points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = covariance / sum((x - mean_x) ** 2 for x, _ in points)
    return slope, mean_y - slope * mean_x


def main(arguments=None):
    """Measure all sizes and print a table."""
    options = docopt(__doc__, argv=arguments)
    if options["--size"]:
        print(json.dumps(measure_costs(int(options["--size"]))))
        return 0
    print(f"{_TEMPLATES * _ROUTES_PER_TEMPLATE} routes, {_SERVICES} services")
    print("accounts  growth MB  snapshot KB  parse s  encode s  resolve us")
    points = []
    for size in ACCOUNT_COUNTS:
        command = [sys.executable, "-m", "benchmarks.configuration_cost"]
        run = subprocess.run(
            [*command, f"--size={size}"], check=True, stdout=subprocess.PIPE
        )
        result = json.loads(run.stdout)
        points.append((size, result["growth_bytes"]))
        print(
            f"{size:>8}  {result['growth_bytes'] / 1e6:>9.2f}"
            f"  {result['snapshot_bytes'] / 1e3:>11.0f}  {result['parse_s']:>7.3f}"
            f"  {result['encode_s']:>8.3f}  {result['resolve_us']:>10.2f}"
        )
    slope, intercept = _fit_line(points)
    print(f"fit: {intercept / 1e6:.2f} MB + {slope:.0f} B an account")
    return 0


if __name__ == "__main__":
    sys.exit(main())
