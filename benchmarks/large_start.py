"""Measures how long a node process with a large configuration takes until it serves.

Usage:
  benchmarks.large_start [--accounts=N] [--rounds=N]

Options:
  --accounts=N  Client accounts of the configuration [default: 35000].
  --rounds=N    Starts from each source [default: 3].

The configuration has 5,500 routes, the list 4,300 backend servers. The configuration
comes from the change log in the table, from a snapshot in the object store, or from a
peer while the platform is unavailable. The time runs from the start of the process
until ``/readyz`` reports that it is ready. A node without a configuration is measured
for comparison.
"""

import os
import statistics
import sys
import time
from dataclasses import asdict

import trio
from docopt import docopt

from benchmarks.configuration_cost import make_sample_configuration
from benchmarks.idle_cost import IdleFleet, wait_until_ready
from demo.fleet import Fleet
from kumquatsaddle.configuration.changes import Change, make_change_key
from kumquatsaddle.configuration.snapshots import write_snapshot
from kumquatsaddle.configuration.values import dump_entity
from standins.http import serve_http

__all__ = ["main"]

_CONTROL_PORT = 8001
_SOURCES = ("nothing", "table", "snapshot", "peer")


async def write_change_log(store, configuration):
    """Write a configuration to the table as a change log, one change per entity."""
    version = 0
    for kind in ("service", "template", "account"):
        for name, entity in configuration.entities(kind).items():
            version += 1
            change = Change(version, f"id-{version}", kind, name, dump_entity(entity))
            await store.put_row(make_change_key(version), asdict(change), None)


async def time_start(fleet, index):
    """Start a node and return the seconds until it is ready."""
    started = time.monotonic()
    await wait_until_ready(await fleet.start_node(index, "a"))
    return time.monotonic() - started


async def measure_starts(index, source, configuration, rounds):
    """Return the times of the starts from one source in seconds."""
    fleet = Fleet(f"{os.getpid() % 250 + 2}.{180 + index}")
    idle, times = IdleFleet(fleet), []
    store = idle.standin.store
    idle.set_remote_servers()
    if source == "table":
        await write_change_log(store, configuration)
    elif source != "nothing":
        await write_snapshot(store, configuration)
    try:
        async with trio.open_nursery() as nursery:
            address = fleet.platform
            await nursery.start(serve_http, idle.handle, address.host, address.port)
            if source == "peer":
                callers_address = await fleet.start_node(0, "a")
                await wait_until_ready(callers_address)
                fleet.seeds = f"{callers_address.host}:{_CONTROL_PORT}"
                idle.standin.faults["down"] = True
            for number in range(1, rounds + 1):
                times.append(await time_start(fleet, number))
                # Later starts must find no peer except the first node.
                fleet.processes[f"entry-{number}"].kill()
            nursery.cancel_scope.cancel()
    finally:
        fleet.stop()
    return times


def main(arguments=None):
    """Measure and print all sources, one after another."""
    options = docopt(__doc__, argv=arguments)
    accounts, rounds = int(options["--accounts"]), int(options["--rounds"])
    configuration = make_sample_configuration(accounts)
    for index, source in enumerate(_SOURCES):
        times = trio.run(measure_starts, index, source, configuration, rounds)
        print(
            f"{accounts} accounts from {source}: median {statistics.median(times):.2f}"
            f" s, longest {max(times):.2f} s, {rounds} starts",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
