"""A small deployment for the cases of the third review.

The instances are real processes, started with the run command of the deploy file. The
platform's store, the backend servers and the clients are stand-ins in one asyncio
process; they use the standard library alone.
"""

import asyncio
import base64
import copy
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
# Start of the loopback addresses of the instances, and number of the first one.
_INSTANCE_NETWORK, _FIRST_INSTANCE = "127.0.0.", 11
ZONES = ("north-depot", "river-depot", "south-depot")
REGION = "westmark"
HOST = "shop.example"
# Bounds of the site wmpsa-gw that the cases use, in seconds.
STABLE_WINDOW = 3.0
CONFIG_BOUND = 2.0
MAX_STRETCH = 5.0
DRAIN_BOUND = 2.0
HEARTBEAT = 1.5
_BOUNDS = {
    "StableWindowMs": 3000,
    "DrainMs": 2000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigMs": 2000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetSlack": 62,
}
_LIMITS = {"CpuShare": 0.86, "MemoryMb": 300, "MaxFds": 4100, "LinkMbps": 1000.0}
# Share of the requests of a case that have to be served; some must be refused.
_LEAST_SERVED = 0.25
_PAGE_ROWS = 500


class Record:
    """Writes lines with the time since the start to ``record.txt``."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text):
        """Write one line."""
        elapsed = time.monotonic() - self._start
        self._file.write(f"{elapsed:8.3f} {text}\n")
        self._file.flush()


# ---------------------------------------------------------------- messages


async def read_head(reader):
    """Return the first line and the headers (lower-case) of a message, or None."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_reply(status, body, headers=()):
    """Return the bytes of a reply."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Answer:
    """Status, headers and body of an answer; status 0 if there was none."""

    def __init__(self, status, headers=None, body=b"", error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.error = error


async def send_request(address, method, target, headers, body=b"", timeout=10.0):
    """Send one request on a new connection and return its `Answer`."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await read_head(reader)
            if head is None:
                return Answer(0, error="closed")
            status = int(head[0].split()[1])
            return Answer(status, head[1], await read_body(reader, head[1]))
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(0, error=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


# ---------------------------------------------------------------- the store


class Store:
    """The platform's store, as PROTOCOL.md and LETTER-9 describe it."""

    def __init__(self, record):
        self.record = record
        self.era = 1
        self.version = 1000
        self.rows = {}
        self.changes = []
        self.available = True
        self._connections = set()
        self._changed = asyncio.Event()

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    def write(self, table, key, value):
        """Write one row in a transaction of its own; return its version."""
        self.version += 1
        self._set(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())
        self._notify()
        return self.version

    def count_heartbeat(self):
        """Take a transaction that changes no more than `Sequence`."""
        self.version += 1

    def remove(self, table, key):
        """Remove one row; return the version."""
        self.version += 1
        self.rows.pop((table, "", key), None)
        self.changes.append((self.version, table, "", key))
        self._notify()
        return self.version

    def copy_state(self):
        """Return a copy of all that the store holds now."""
        return self.version, copy.deepcopy(self.rows), list(self.changes)

    def go_away(self):
        """Reset all connections, and refuse new ones until `come_back`."""
        self.available = False
        for writer in list(self._connections):
            writer.transport.abort()

    def come_back(self, state=None):
        """Return to service, from an older copy if `state` is given."""
        if state is not None:
            self.version, self.rows, self.changes = state
            self.era += 1
        self.available = True
        self._notify()

    def _set(self, table, part, key, text):
        row = {"Table": table, "part": part, "Key": key, "Value": text}
        self.rows[table, part, key] = {**row, "Ver": self.version}
        self.changes.append((self.version, table, part, key))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while self.available:
                head = await read_head(reader)
                if head is None or not self.available:
                    return
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                status, value = await self._handle(method, target, body)
                if not self.available:
                    return
                data = json.dumps(value).encode()
                headers = [
                    ("Content-Type", "application/json"),
                    ("Store-Era", self.era),
                ]
                writer.write(encode_reply(status, data, headers))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.transport.abort()

    async def _handle(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/rows-tx":
            return self._apply_transaction(json.loads(body))
        if parts.path == "/v1/rows-get":
            return 200, self._read(query)
        if parts.path == "/v1/rows-feed":
            return await self._watch(query)
        self.record.write(f"store: call not known {method} {target}")
        return 404, {}

    def _add_times(self, reply):
        return {**reply, "Ver": self.version, "NowMs": int(time.monotonic() * 1000)}

    def _apply_transaction(self, change):
        expected = change.get("Expected", [])
        keys = [(e["Table"], e.get("part", ""), e["Key"]) for e in expected]
        current = [self.rows.get(key) for key in keys]
        versions = [row["Ver"] if row else 0 for row in current]
        if versions != [e["Ver"] for e in expected]:
            return 412, self._add_times({"Rows": [row for row in current if row]})
        writes = change.get("SetKeys", [])
        removals = change.get("Remove", [])
        if any(item["Table"] in ("op", "servers") for item in writes + removals):
            return 403, {}
        self.version += 1
        for row in writes:
            self._set(row["Table"], row.get("part", ""), row["Key"], row["Value"])
        for item in removals:
            key = (item["Table"], item.get("part", ""), item["Key"])
            if self.rows.pop(key, None):
                self.changes.append((self.version, *key))
        self._notify()
        return 200, self._add_times({})

    def _read(self, query):
        start, end = query.get("From", ""), query.get("Target")
        selected = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["Table"] and part == query.get("part", "")
            if key >= start and (end is None or key < end)
        ]
        page = selected[: min(int(query.get("Limit", _PAGE_ROWS)), _PAGE_ROWS)]
        more = len(selected) > len(page)
        return self._add_times({"Rows": page, "HasMore": more})

    async def _watch(self, query):
        after, table = int(query["after"]), query["Table"]
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        while self.available:
            if after > self.version:
                self.record.write(f"store: 410 to a read after {after}")
                return 410, {}
            last = {
                (t, part, key): version
                for version, t, part, key in self.changes
                if t == table and version > after
            }
            remaining = end - time.monotonic()
            if last or remaining <= 0:
                rows = [self._describe_change(key, last[key]) for key in last]
                rows.sort(key=lambda row: row["Ver"])
                return 200, self._add_times({"Rows": rows})
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                pass
        return 503, {}

    def _describe_change(self, key, version):
        row = self.rows.get(key)
        if row is not None:
            return row
        table, part, name = key
        return {
            "Table": table,
            "part": part,
            "Key": name,
            "Ver": version,
            "Deleted": True,
        }


# ---------------------------------------------------------------- backend servers


class Server:
    """A sound backend server that registers itself and signs its answers.

    Parameters
    ----------
    deployment : Deployment
    name, service, zone : str
    cold : float
        How long the server is slow after its start, in seconds; its entry changes with
        each heartbeat meanwhile.
    """

    def __init__(self, deployment, name, service, zone, cold=0.0):
        self.record, self.store = deployment.record, deployment.store
        self.name, self.service, self.zone = name, service, zone
        self.state = "ready"
        self.runs = []
        self.respond = None
        self.started = time.time()
        self._cold = cold
        self._sequence = 0
        self._written = None
        self._connections = set()
        self.writing = True
        self.work_seconds = 0.01

    async def start(self):
        """Listen on a free port and write the entry with each heartbeat."""
        self._listener = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self._listener.sockets[0].getsockname()[1]}"
        self._task = asyncio.create_task(self._write_heartbeats())

    def end(self):
        """End as a process that exits: close all sockets, write nothing more."""
        self._task.cancel()
        self._listener.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def make_entry(self):
        """Return the next heartbeat."""
        self._sequence += 1
        cold = max(0.0, self._cold - (time.time() - self.started))
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": int(cold * 1000),
            "Sequence": self._sequence,
            "born": int(self.started * 1000),
        }

    def write_entry(self):
        """Write a heartbeat now; return the version of the store, or None."""
        if not self.store.available or not self.writing:
            return None
        return self.apply_heartbeat(self.make_entry())

    def apply_heartbeat(self, entry):
        """Perform the write of a heartbeat; return the version of the store."""
        # Only more than `Sequence` changes the entry.
        fields = {name: value for name, value in entry.items() if name != "Sequence"}
        is_known = ("servers", "", self.name) in self.store.rows
        if is_known and fields == self._written:
            self.store.count_heartbeat()
            return self.store.version
        self._written = fields
        return self.store.write("servers", self.name, entry)

    def forget_entry(self):
        """Write the whole entry with the next heartbeat, whatever is there."""
        self._written = None

    async def _write_heartbeats(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT)

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                reply = await self._answer(method, target, head[1], body)
                if reply is None:
                    return
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.transport.abort()

    async def _answer(self, method, target, headers, body):
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return encode_reply(status, b"", [("X-Instance-Id", self.name)])
        request = headers.get("x-request-id", "")
        expected = headers.get("x-expected-instance", self.name)
        echo = [("X-Request-Id", request)]
        if expected != self.name:
            return encode_reply(421, b"", [*echo, ("X-Not-Executed", "1")])
        if self.respond is not None:
            return await self.respond(self, method, target, headers, body)
        self.runs.append((time.monotonic(), request, method, target))
        await asyncio.sleep(self.work_seconds)
        return self.sign(request, f"{self.name} ran {target}".encode())

    def sign(self, request, body, status=200, headers=()):
        """Return the bytes of a signed answer."""
        signed = [("X-Request-Id", request), ("X-Response-Signature", "signed")]
        return encode_reply(status, body, [*signed, *headers])


# ---------------------------------------------------------------- instances


class Instance:
    """One process of the project, started with the run command of the deploy file."""

    def __init__(self, deployment, number, zone, addresses):
        self.record, self._deployment = deployment.record, deployment
        self.name = f"front-{zone}-{number}"
        self.zone, self.addresses = zone, addresses
        self.settings_path = deployment.folder / f"{self.name}.ini"
        self.process = None

    @property
    def front(self):
        """Address for clients."""
        return self.addresses["Front"]

    def write_settings(self, **changes):
        """Fill in the template of the deploy file, as the platform does."""
        addresses = self.addresses
        fields = {
            "NodeName": self.name,
            "Zone": self.zone,
            "Region": REGION,
            "Ip": addresses["Control"].rsplit(":", 1)[0],
            "Limits": _LIMITS,
            "Bounds": self._deployment.bounds,
            "Listen": {k: addresses[k] for k in ("Front", "Ready", "Directory")},
            "InternalPorts": [
                int(addresses[name].rsplit(":", 1)[1]) for name in ("Control", "Last")
            ],
            "Platform": {"Address": self._deployment.store.address},
            "Seeds": self._deployment.seeds,
            **changes,
        }
        template = (ROOT / "deploy/instance.ini").read_text(encoding="utf-8")
        self.settings_path.write_text(render(template, fields), encoding="utf-8")

    async def kill(self):
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def start(self):
        """Start the process."""
        if not self.settings_path.exists():
            self.write_settings()
        log = (self._deployment.folder / f"{self.name}.log").open("ab")
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *read_run_command(),
            f"--settings={self.settings_path}",
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"{self.name}: started")

    async def is_ready(self):
        """Ask for the readiness as the platform does."""
        headers = [("Host", "ready")]
        answer = await send_request(
            self.addresses["Ready"], "GET", "/v1/readiness", headers, timeout=1.0
        )
        return answer.status == 200

    async def wait_until_ready(self, timeout=20.0):
        """Wait until the instance is ready."""
        end = time.monotonic() + timeout
        while not await self.is_ready():
            if time.monotonic() > end or self.process.returncode is not None:
                raise CannotRunError(f"{self.name} isn't ready")
            await asyncio.sleep(0.05)

    def send_signal(self, number):
        """Send a signal to the process."""
        self.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def read_run_command():
    """Return the words of the run command of the deploy file."""
    deploy_file = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
    (role,) = tomllib.loads(deploy_file)["roles"].values()
    return role["run"].split()


def render(template, fields):
    """Fill in a template whose sections appear only where they have a value."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill(match):
        value = find(match[1])
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    def select(match):
        return match[2] if find(match[1]) else ""

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", select, template)
    return re.sub(r"\{\{([\w.]+)\}\}", fill, template)


# ---------------------------------------------------------------- the whole


class CannotRunError(Exception):
    """The case could not run."""


class Deployment:
    """A store, backend servers and three instances, one of each zone."""

    def __init__(self, record, folder, instances=3, bounds=None):
        self.record, self.folder = record, Path(folder)
        self.bounds = {**_BOUNDS, **(bounds or {})}
        self.store = Store(record)
        self.servers = []
        self.instances = []
        self._count = instances
        self._request_number = 0
        self.answers = []

    async def start(self):
        """Start the store and choose the addresses of the instances."""
        await self.store.start()
        names = ("Front", "Ready", "Directory", "Control", "Last")
        # Each instance has an address of its own, all with the same ports.
        numbers = range(_FIRST_INSTANCE, _FIRST_INSTANCE + self._count)
        hosts = [f"{_INSTANCE_NETWORK}{number}" for number in numbers]
        ports = find_free_ports(len(names), hosts)
        addresses = [
            {name: f"{host}:{port}" for name, port in zip(names, ports, strict=True)}
            for host in hosts
        ]
        self.seeds = [item["Control"] for item in addresses[:3]]
        for index, item in enumerate(addresses):
            zone = ZONES[index % len(ZONES)]
            self.instances.append(Instance(self, index + 1, zone, item))

    async def start_instances(self):
        """Start all instances and wait until they are ready."""
        for instance in self.instances:
            await instance.start()
        for instance in self.instances:
            await instance.wait_until_ready()
        self.record.write("all instances are ready")

    async def add_server(self, name, service, zone=ZONES[0], cold=0.0):
        """Start a backend server."""
        server = Server(self, name, service, zone, cold)
        await server.start()
        self.servers.append(server)
        return server

    def write_configuration(self, version, routes, services, more=()):
        """Write `op/config`; return the time of the acknowledgement."""
        value = make_configuration(version, [*routes, *more], services)
        store_version = self.store.write("op", "config", value)
        self.record.write(
            f"operator: version {version} acknowledged as {store_version}"
        )
        return time.monotonic()

    async def send(
        self, instance, target, method="GET", body=b"", deadline=5.0, **more
    ):
        """Send a client's request to an instance; return its id and `Answer`.

        `headers` are further headers; `sent` is a dict for the time of the request.
        """
        self._request_number += 1
        request = f"r{self._request_number:06d}"
        more.get("sent", {})[request] = time.monotonic()
        headers = [
            ("Host", HOST),
            ("X-Request-Id", request),
            ("X-Deadline-Ms", int(deadline * 1000)),
            *more.get("headers", ()),
        ]
        answer = await send_request(
            instance.front, method, target, headers, body, timeout=deadline
        )
        self.answers.append(answer.status)
        return request, answer

    def check_service(self):
        """Raise an error if too few requests were served to say anything."""
        served = self.answers.count(200)
        self.record.write(f"{served} of {len(self.answers)} requests got 200")
        if served < _LEAST_SERVED * len(self.answers):
            raise CannotRunError("too few requests were served")

    def find_run(self, request):
        """Return the names of the servers that ran a request."""
        return [
            server.name
            for server in self.servers
            for run in server.runs
            if run[1] == request
        ]

    async def stop(self):
        """Kill all processes."""
        for instance in self.instances:
            await instance.stop()


def make_route(name, prefix, service, kind="safe", **more):
    """Return a route of a configuration."""
    spec = {
        "Host": HOST,
        "Prefix": prefix,
        "Kind": kind,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 2000,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        **more,
    }
    return {"ResourceKind": "Routes", "Metadata": {"Name": name}, "Spec": spec}


def make_configuration(version, routes, services):
    """Return a configuration; `version` is a whole number."""
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1 << 20,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    resources = list(routes)
    for name in services:
        spec = {"HealthPath": "/health", "MaxConnections": 390}
        metadata = {"Name": name}
        resources.append(
            {"ResourceKind": "Services", "Metadata": metadata, "Spec": spec}
        )
    resources.append({"ResourceKind": "Limits", "Metadata": {}, "Spec": limits})
    return {"Version": f"{version:08x}", "Resources": resources}


def find_free_ports(count, hosts):
    """Return as many ports that are free at all of these loopback addresses."""
    found, held = [], []
    try:
        while len(found) < count:
            first = socket.socket()
            held.append(first)
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
            if all(_is_free(host, port, held) for host in hosts[1:]):
                found.append(port)
        return found
    finally:
        for item in held:
            item.close()


def _is_free(host, port, held):
    """Return whether a port is free, and hold it if it is."""
    item = socket.socket()
    held.append(item)
    try:
        item.bind((host, port))
    except OSError:
        return False
    return True


def run_case(case, folder, trouble=True, instances=3, bounds=None):
    """Run `case(deployment, trouble)`; return the exit code.

    The case is an async function that returns whether the rule held. `trouble` tells
    whether the disruption is wanted, `bounds` are further fields of `Bounds`. Whatever
    else goes wrong than the rule, the case couldn't run.
    """
    record = Record(folder)
    record.write(f"disruption: {'yes' if trouble else 'no'}")
    temporary = tempfile.mkdtemp(prefix="review-")

    async def run():
        deployment = Deployment(record, temporary, instances, bounds)
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(110):
                await deployment.start()
                held = await case(deployment, trouble)
                deployment.check_service()
                return held
        finally:
            await deployment.stop()

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case couldn't run: {type(error).__name__}: {error}")
        return 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(temporary, file=sys.stderr)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.write("the rule held" if held else "the rule was broken")
    return 0 if held else 1
