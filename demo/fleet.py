"""Starts a small fleet as plain processes on loopback addresses.

Only the demonstration, benchmarks and tests use this module: the processes of the
product start no other processes.
"""

import json
import os
import secrets
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import trio

from kumquatsaddle.dispatch.connections import ExchangeError, open_connection
from kumquatsaddle.settings.parsers import Address

__all__ = ["BackendProcess", "Fleet", "call_http"]

_START_TIMEOUT_SECONDS = 10.0
_STOP_TIMEOUT_SECONDS = 20.0
_PORTS = {"callers": 8000, "control": 8001, "operators": 8002}
_MAX_BODY_BYTES = 1 << 24

_SETTINGS_TEMPLATE = """\
[instance]
id = {name}
zone = {zone}
region = west

[listen]
callers = {host}:{callers}
control = {host}:{control}
operators = {host}:{operators}

[platform]
kind = http
url = http://{platform}
poll_interval = {poll_interval}

[secrets]
control_key_files = {key_file}
operator_token_file = {token_file}

[membership]
probe_interval = {probe_interval}
suspicion_timeout = {suspicion_timeout}
seeds = {seeds}

[stop]
notice = 0.5 s
{extra}
"""


class BackendProcess:
    """Description of a backend server that runs as a process."""

    def __init__(self, name, service, zone, address):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address


class Fleet:
    """The processes of a small fleet.

    Parameters
    ----------
    network : str, optional
        Second and third number of the loopback addresses. The default is derived from
        the process id, so that two fleets on one machine use different addresses.
    verbose : bool, default=False
        Whether the instances log at level INFO.
    """

    def __init__(self, network=None, verbose=False):
        self._network = network or f"{os.getpid() % 250 + 2}.251"
        self._temporary_folder = tempfile.TemporaryDirectory(prefix="kumquatsaddle-")
        self.folder = Path(self._temporary_folder.name)
        self._verbose = verbose
        self.processes = {}
        self.platform = Address(self._make_host(250), 9000)
        self.key_file = self._write_file("control.key", secrets.token_hex(32))
        self.token_file = self._write_file("operator.token", secrets.token_hex(16))
        self.extra_settings = ""
        self.seeds = ""
        self.intervals = {
            "poll_interval": "1 s",
            "probe_interval": "0.2 s",
            "suspicion_timeout": "1 s",
        }

    async def start_platform(self):
        """Start the simulated platform."""
        self._start_process(
            "platform", "standins.platform", f"--listen={self.platform}"
        )
        await self.wait_for(self.platform)

    async def start_backend(self, index, name, service, zone, work=0.02):
        """Start a backend server and register it in the platform's list."""
        address = Address(self._make_host(100 + index), 7000)
        self._start_process(
            name,
            "standins.backend",
            f"--name={name}",
            f"--listen={address}",
            f"--work={work}",
        )
        await self.wait_for(address)
        backend = BackendProcess(name, service, zone, address)
        await self.register_backend(backend)
        return backend

    async def register_backend(self, backend, leaving=False):
        """Add a backend server to the platform's list, or replace its entry."""
        await self.register_instance(
            name=backend.name,
            role="backend",
            service=backend.service,
            address=str(backend.address),
            zone=backend.zone,
            region="west",
            leaving=leaving,
        )

    async def register_instance(self, **entry):
        """Add an entry to the platform's list of instances, or replace it."""
        await call_http(self.platform, "PUT", "/.instances", json.dumps(entry))

    async def start_node(self, index, zone):
        """Start an entry instance and return its address for callers."""
        name, host = f"entry-{index}", self._make_host(10 + index)
        await self.register_instance(
            name=name,
            role="entry",
            service="",
            address=f"{host}:{_PORTS['control']}",
            zone=zone,
            region="west",
        )
        text = _SETTINGS_TEMPLATE.format(
            name=name,
            zone=zone,
            host=host,
            platform=self.platform,
            key_file=self.key_file,
            token_file=self.token_file,
            extra=self.extra_settings,
            seeds=self.seeds,
            **self.intervals,
            **_PORTS,
        )
        settings = self._write_file(f"{name}.ini", text)
        level = "INFO" if self._verbose else "WARNING"
        self._start_process(
            name,
            "kumquatsaddle.commands.node",
            f"--settings={settings}",
            f"--log-level={level}",
        )
        address = Address(host, _PORTS["callers"])
        await self.wait_for(address)
        return address

    def send_signal(self, name, number):
        """Send a signal to a process by name."""
        self.processes[name].send_signal(number)

    async def wait_for(self, address):
        """Wait until an address accepts connections."""
        with trio.fail_after(_START_TIMEOUT_SECONDS):
            while True:
                try:
                    connection = await open_connection(address, 1.0)
                    await connection.close()
                    return
                except ExchangeError:
                    await trio.sleep(0.05)

    async def wait_for_exit(self, name, timeout=_STOP_TIMEOUT_SECONDS):
        """Wait until a process has ended; return its exit code."""
        with trio.fail_after(timeout):
            while self.processes[name].poll() is None:
                await trio.sleep(0.02)
        return self.processes[name].returncode

    def stop(self):
        """Kill all processes, also paused ones, and remove the files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._temporary_folder.cleanup()

    def _make_host(self, number):
        return f"127.{self._network}.{number}"

    def _write_file(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return path

    def _start_process(self, name, module, *arguments):
        command = [sys.executable, "-m", module, *arguments]
        self.processes[name] = subprocess.Popen(command)


async def call_http(address, method, target, body="", headers=(), timeout=10.0):
    """Send one HTTP request on a new connection.

    Returns
    -------
    RawAnswer
    """
    data = body.encode() if isinstance(body, str) else body
    fields = [("Host", str(address)), *headers, ("Content-Length", str(len(data)))]
    connection = await open_connection(address, timeout)
    try:
        with trio.fail_after(timeout):
            return await connection.exchange(
                method, target, fields, data, _MAX_BODY_BYTES, lambda: None
            )
    finally:
        await connection.close()
