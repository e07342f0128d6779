"""A fleet of operating system processes, for tests that kill and pause them."""

import itertools
import json
import os
import signal
from contextlib import asynccontextmanager

import trio

from demo.fleet import Fleet, call_http
from kumquatsaddle.configuration.changes import commit_change
from kumquatsaddle.storage.http import HttpPlatform
from kumquatsaddle.testing.fleet import ROUTES

__all__ = ["ProcessFleet", "open_processes"]

_network_numbers = itertools.count(1)
_START_TIMEOUT_SECONDS = 30.0
ZONES = ("a", "b", "c")


class ProcessNode:
    """One instance: index, name and address for callers."""

    def __init__(self, index, name, callers):
        self.index = index
        self.name = name
        self.callers = callers


class ProcessFleet:
    """A fleet of processes with part of the interface of `testing.fleet.Fleet`.

    Parameters
    ----------
    fleet : demo.fleet.Fleet
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.nodes = []
        self.backends = []
        self._stopped_names = set()

    def list_running(self):
        """Return the instances that were not killed, stopped or paused."""
        return [entry for entry in self.nodes if entry.name not in self._stopped_names]

    async def call(self, address, method, target, body=b"", headers=(), timeout=10.0):
        """Send one request on a new connection."""
        fields = [("Kumquatsaddle-Account", "shop"), *headers]
        return await call_http(address, method, target, body, fields, timeout)

    async def issue_operations(self, entry, count=1):
        """Return operation ids issued by an instance."""
        target = f"/.kumquatsaddle/operations?count={count}"
        raw = await self.call(entry.callers, "POST", target, timeout=2.0)
        return json.loads(raw.body)["operations"]

    async def sum_counts(self, page):
        """Return the counts of ``/.executions`` or ``/.bodies`` over all servers."""
        totals = {}
        for backend in self.backends:
            raw = await call_http(backend.address, "GET", page)
            for name, count in json.loads(raw.body).items():
                totals[name] = totals.get(name, 0) + count
        return totals

    def send_signal(self, name, number):
        """Send a signal to an instance and update `list_running`.

        SIGKILL, SIGTERM and SIGSTOP remove it from the list; SIGCONT restores it.
        """
        self._fleet.send_signal(name, number)
        if number in (signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM):
            self._stopped_names.add(name)
        elif number == signal.SIGCONT:
            self._stopped_names.discard(name)

    async def restart(self, entry):
        """Restart an instance that was killed."""
        await self._fleet.wait_for_exit(entry.name)
        await self._fleet.start_node(entry.index, ZONES[entry.index])
        self._stopped_names.discard(entry.name)

    async def wait_for_exit(self, name):
        """Wait until a process has ended; return its exit code."""
        return await self._fleet.wait_for_exit(name)

    async def set_mode(self, backend, **mode):
        """Set the faults of a backend server, as for ``PUT /.mode``."""
        await call_http(backend.address, "PUT", "/.mode", json.dumps(mode))

    async def wait_until_serving(self):
        """Wait until each running instance returns the addresses of all of them."""
        with trio.fail_after(_START_TIMEOUT_SECONDS):
            for entry in self.list_running():
                while len(await self._fetch_addresses(entry)) != len(
                    self.list_running()
                ):
                    await trio.sleep(0.1)

    async def _fetch_addresses(self, entry):
        target = "/.kumquatsaddle/addresses?service=order&account=shop"
        raw = await self.call(entry.callers, "GET", target)
        return json.loads(raw.body)["addresses"]


@asynccontextmanager
async def open_processes(nodes=3, backends=2):
    """Run a fleet of processes: platform, instances and backend servers.

    Yields
    ------
    ProcessFleet
    """
    fleet = Fleet(f"{os.getpid() % 250 + 2}.{250 - next(_network_numbers)}")
    try:
        processes = ProcessFleet(fleet)
        await fleet.start_platform()
        await _configure(fleet)
        for index in range(2 * backends):
            service = ("lookup", "order")[index % 2]
            backend = await fleet.start_backend(
                index, f"{service}-{index}", service, ZONES[index % nodes]
            )
            processes.backends.append(backend)
        for index in range(nodes):
            address = await fleet.start_node(index, ZONES[index])
            processes.nodes.append(ProcessNode(index, f"entry-{index}", address))
        await processes.wait_until_serving()
        yield processes
    finally:
        fleet.stop()


async def _configure(fleet):
    platform = HttpPlatform(f"http://{fleet.platform}", 5.0)
    entities = [
        ("service", "lookup", {"floor": 0.5}),
        ("service", "order", {"floor": 0.5}),
        ("template", "default", {"routes": ROUTES}),
        ("account", "shop", {"template": "default"}),
    ]
    for version, (kind, name, value) in enumerate(entities):
        await commit_change(platform, version, kind, name, value)
    await platform.close()
