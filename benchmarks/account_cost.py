"""Measures what versions of published routes cost by the number of client accounts.

Usage:
  benchmarks.account_cost [--size=N]

Options:
  --size=N  Only measure this number of accounts, in this process, and print JSON.

Each size is measured in a separate process, in which a version is applied and then the
next one, in which one API key is changed. The instance that reads the store decodes the
version and replaces the keys by digests; the others fetch what it makes of it.
Processor times refer to one core of this machine and are the medians of several
versions. Growth is the resident memory after the first versions, less that before; peak
is the highest resident memory of the process, less that before.
"""

import gc
import json
import os
import random
import resource
import statistics
import subprocess
import sys
import time
from pathlib import Path

from docopt import docopt

from benchmarks.fits import fit_line, print_lines
from kumquatsaddle.discovery.routes import RouteDirectory
from kumquatsaddle.discovery.store import RouteRow
from kumquatsaddle.logs import set_log_level
from kumquatsaddle.sharing.update_messages import (
    Update,
    decode_update,
    encode_update,
)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from adapter.store import StoreClient  # noqa: E402

__all__ = ["main"]

ACCOUNT_COUNTS = (5000, 10000, 20000, 35000, 70000)
# The routes and services of the target size.
_ROUTES, _SERVICES = 5500, 110
_KEY_BYTES = 16
# Versions that are timed, each with one changed key.
_CHANGES = 5
# Of `getrusage`, on Linux.
_KIB = 1024
_MEASURES = (
    ("version_bytes", "B"),
    ("update_bytes", "B"),
    ("compressed_bytes", "B"),
    ("read_s", "s"),
    ("encode_s", "s"),
    ("fetched_s", "s"),
    ("growth_bytes", "B"),
    ("peak_bytes", "B"),
)


def make_sample_version(accounts, number=0):
    """Return a configuration as its operator writes it, as JSON.

    Parameters
    ----------
    accounts : int
    number : int, default=0
        Of the version; each has one key that no other one has.
    """
    rng = random.Random(1)
    resources = []
    for index in range(_ROUTES):
        spec = {
            "Host": f"host-{index % 7}.example",
            "Prefix": f"/area-{index % 70}/resource-{index}/",
            "Kind": "safe" if index % 2 else "unsafe",
            "TimeoutMs": 5000,
            "TargetLatencyMs": 1000,
            "Priority": index % 3,
            "Service": f"service-{index % _SERVICES}",
            "MaxAttempts": 2,
        }
        resources.append(_make_resource("Routes", f"route-{index}", spec))
    for index in range(_SERVICES):
        spec = {"HealthPath": "/health", "MaxConnections": 330}
        resources.append(_make_resource("Services", f"service-{index}", spec))
    for index in range(accounts):
        keys = [rng.randbytes(_KEY_BYTES).hex()]
        if index == accounts // 2:
            keys.append(f"changed-{number}")
        spec = {"ApiKeys": keys, "Priority": index % 3, "RatePerS": 20, "Burst": 10}
        resources.append(_make_resource("Tenants", f"account-{index:06d}", spec))
    value = {"Version": f"{number + 1:08x}", "Resources": resources}
    return json.dumps(value, separators=(",", ":")).encode()


def _make_resource(kind, name, spec):
    return {"ResourceKind": kind, "Metadata": {"Name": name}, "Spec": spec}


def measure_costs(accounts):
    """Return the costs at a number of accounts as a dict."""
    texts = [_make_in_other_process(accounts, n) for n in range(_CHANGES + 1)]
    store = StoreClient("http://127.0.0.1:1", 1.0)
    reader, other = RouteDirectory(store), RouteDirectory(store)
    gc.collect()
    before = _read_resident_bytes()
    reader.apply(RouteRow(1, texts[0]))
    gc.collect()
    growth = _read_resident_bytes() - before
    times = {"read_s": [], "encode_s": [], "fetched_s": []}
    for number, text in enumerate(texts[1:], 2):
        row = RouteRow(number, text)
        times["read_s"].append(_time(lambda row=row: reader.apply(row)))
        update = Update(number, reader.row.text, 0, (), ())
        data = encode_update(update)
        compressed = []
        times["encode_s"].append(
            _time(
                lambda update=update, result=compressed: result.append(
                    encode_update(update, compresses=True)
                )
            )
        )
        times["fetched_s"].append(
            _time(lambda data=compressed[0]: _apply_fetched(other, data))
        )
    assert reader.table.version == other.table.version == _CHANGES + 1
    assert len(reader.table.accounts) == accounts
    result = {name: statistics.median(values) for name, values in times.items()}
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KIB
    return result | {
        "accounts": accounts,
        "version_bytes": len(texts[-1]),
        "update_bytes": len(data),
        "compressed_bytes": len(compressed[0]),
        "growth_bytes": growth,
        "peak_bytes": peak - before,
    }


def _apply_fetched(directory, data):
    update = decode_update(data)
    directory.apply(RouteRow(update.routes_version, update.routes), from_peer=True)


def _make_in_other_process(accounts, number):
    """Return a version; making it here would leave free memory that is used again."""
    script = (
        "import sys; from benchmarks.account_cost import make_sample_version;"
        f"sys.stdout.buffer.write(make_sample_version({accounts}, {number}))"
    )
    command = [sys.executable, "-c", script]
    return subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout


def _time(function):
    started = time.process_time()
    function()
    return time.process_time() - started


def _read_resident_bytes():
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def main(arguments=None):
    """Measure all sizes and print the fitted lines."""
    options = docopt(__doc__, argv=arguments)
    if options["--size"]:
        set_log_level("ERROR")
        print(json.dumps(measure_costs(int(options["--size"]))))
        return 0
    print(f"{_ROUTES} routes, {_SERVICES} services, one key of an account")
    results = []
    for size in ACCOUNT_COUNTS:
        command = [sys.executable, "-m", "benchmarks.account_cost", f"--size={size}"]
        run = subprocess.run(command, check=True, stdout=subprocess.PIPE)
        results.append(json.loads(run.stdout))
        print(json.dumps(results[-1]), flush=True)
    print_lines(
        [
            fit_line(
                name,
                unit,
                "accounts",
                ACCOUNT_COUNTS,
                [result[name] for result in results],
            )
            for name, unit in _MEASURES
        ]
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
