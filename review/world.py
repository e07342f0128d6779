"""Stand-ins and process control for the scripts of this review.

One `World` is a small deployment on loopback addresses: the platform's store, backend
servers and clients run in this process, and the instances are processes that the
command of ``deploy/system.toml`` starts. Each instance reaches the store through an
access point of its own, which can be cut off from it.
"""

import asyncio
import base64
import json
import os
import random
import re
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

__all__ = ["BOUNDS", "Backend", "CaseError", "World", "make_route", "run_case"]

ROOT = Path(__file__).resolve().parent.parent
# The bounds of the users' page SYSTEM.md for the deployment of Westmark.
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "StableWindowMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigMs": 2000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetSlack": 62,
    "RecoveryS": 15,
    "ttl_max_s": 5,
    "ProbesPerS": 3,
    "FloorShare": 0.7,
}
HOST = "shop.example"
ZONE = "north-depot"
_RESET = struct.pack("ii", 1, 0)
_STORE_DELAY_S = 0.004
_HISTORY_S = 20.0
_START_TIMEOUT_S = 25.0
_QUEUE = 24
_USUAL_BODY = b"x" * 300
_EXIT_HELD, _EXIT_BROKEN, _EXIT_NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


def make_route(name, service=None, split=None, kind="unsafe", timeout_ms=4000):
    """Return a route of the operator's configuration; its prefix is its name."""
    spec = {
        "Host": HOST,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 4000,
        "Priority": 1,
        "MaxAttempts": 3,
    }
    if split:
        spec["TrafficSplit"] = [
            {"Service": part, "Weight": weight} for part, weight in split
        ]
    else:
        spec["Service"] = service
    return {"ResourceKind": "Routes", "Metadata": {"Name": name}, "Spec": spec}


def make_configuration(version, routes, services):
    """Return a configuration of the operator."""
    resources = list(routes)
    for service in services:
        spec = {"HealthPath": "/health", "MaxConnections": 390}
        resources.append(
            {
                "ResourceKind": "Services",
                "Metadata": {"Name": service},
                "Spec": spec,
            }
        )
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1000000,
        "HeaderTimeoutMs": 5000,
        "IdleTimeoutMs": 15000,
    }
    resources.append({"ResourceKind": "Limits", "Metadata": {}, "Spec": limits})
    return {"Version": f"{version:08x}", "Resources": resources}


class Store:
    """The platform's store: rows with versions from one counter, and a feed."""

    def __init__(self, world):
        self._world = world
        self.rows = {}
        self.version = 100
        self._changes = [(time.monotonic(), 100)]
        self._changed = asyncio.Event()
        # Instances with a feed of the table of servers that is open now.
        self.feeds = {}

    def put(self, table, key, value):
        """Write a row; return the time of the acknowledgement."""
        return self._write(table, key, {"Value": _encode(value)})

    def remove(self, table, key):
        """Remove a row; return the time of the acknowledgement."""
        return self._write(table, key, {"Deleted": True})

    async def answer(self, instance, method, target, body):
        """Return the status and the reply to one call."""
        await asyncio.sleep(_STORE_DELAY_S)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/rows-get":
            return 200, self._get(query)
        if parts.path == "/v1/rows-feed":
            return await self._feed(instance, query)
        if parts.path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _write(self, table, key, content):
        self.version += 1
        row = {"Table": table, "part": "", "Key": key, "Ver": self.version, **content}
        self.rows[table, key] = row
        self._changes.append((time.monotonic(), self.version))
        self._changed.set()
        self._changed = asyncio.Event()
        return self._world.now()

    def _get(self, query):
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["Table"]
            and key >= query.get("From", "")
            and not row.get("Deleted")
        ]
        return self._reply(rows, HasMore=False)

    async def _feed(self, instance, query):
        after = int(query["after"])
        floor = time.monotonic() - _HISTORY_S
        if any(when < floor and version > after for when, version in self._changes):
            return 410, {}
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        if query["Table"] == "servers":
            self.feeds[instance] = self.feeds.get(instance, 0) + 1
        try:
            while True:
                rows = [
                    row
                    for (table, _), row in self.rows.items()
                    if table == query["Table"] and row["Ver"] > after
                ]
                left = end - time.monotonic()
                if rows or left <= 0:
                    rows.sort(key=lambda row: row["Ver"])
                    return 200, self._reply(rows)
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    continue
        finally:
            if query["Table"] == "servers":
                self.feeds[instance] -= 1

    def _transact(self, change):
        current, failed = [], False
        for item in change["Expected"]:
            row = self.rows.get((item["Table"], item["Key"]))
            is_there = row is not None and not row.get("Deleted")
            failed |= item["Ver"] != (row["Ver"] if is_there else 0)
            current += [row] if is_there else []
        if failed:
            return 412, self._reply(current)
        for row in change["SetKeys"]:
            self._write(row["Table"], row["Key"], {"Value": row["Value"]})
        for row in change["Remove"]:
            self._write(row["Table"], row["Key"], {"Deleted": True})
        return 200, self._reply([])

    def _reply(self, rows, **more):
        now_ms = int(time.monotonic() * 1000)
        return {"Rows": rows, "Ver": self.version, "NowMs": now_ms, **more}


class AccessPoint:
    """The path of one instance to the store."""

    def __init__(self, store, instance, address):
        self._store = store
        self._instance = instance
        self.address = address
        self._server = None
        self._writers = set()
        self._silent = set()

    async def open(self):
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def cut(self, seconds):
        """Reset all connections, and refuse new ones for a time."""
        self._server.close()
        for writer in list(self._writers):
            _reset(writer)
        await asyncio.sleep(seconds)
        await self.open()

    def silence(self):
        """Let the open connections go silent for good; new ones work."""
        self._silent |= self._writers

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while head := await _read_head(reader):
                method, target, headers = head
                body = await _read_body(reader, headers)
                status, reply = await self._store.answer(
                    self._instance, method, target, body
                )
                if writer in self._silent:
                    await reader.read()
                    return
                data = json.dumps(reply).encode()
                lines = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                lines += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(lines.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            self._silent.discard(writer)
            writer.close()


class Backend:
    """A backend server of one service, which follows the users' PROTOCOL.md.

    `work` takes a request id and a path and returns the seconds that a run takes.
    """

    def __init__(self, world, name, service, work, slots=6):
        self.world = world
        self.name = name
        self.service = service
        self.slots = slots
        self._work = work
        self.address = world.take_address()
        self.born = int(time.time() * 1000)
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._server = None
        self._writers = set()

    def make_entry(self, state="ready"):
        """Return the entry in the table ``servers``."""
        host, port = self.address
        return {
            "Service": self.service,
            "Address": f"{host}:{port}",
            "Zone": ZONE,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": self.born,
        }

    async def start(self):
        """Accept connections, then register in the store."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.world.store.put("servers", self.name, self.make_entry())
        self.world.note("backend", self.name, "registered")

    def drain(self):
        """Report ``draining``; return the time of the store's acknowledgement."""
        entry = self.make_entry("draining")
        acknowledged = self.world.store.put("servers", self.name, entry)
        self.world.note("backend", self.name, "draining")
        return acknowledged

    def remove_entry(self):
        """Leave the list; return the time of the store's acknowledgement."""
        acknowledged = self.world.store.remove("servers", self.name)
        self.world.note("backend", self.name, "entry removed")
        return acknowledged

    def end(self):
        """End as a process does: close the listener and all connections."""
        self.world.note("backend", self.name, "ended")
        self._server.close()
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while head := await _read_head(reader):
                await self._answer(reader, writer, head)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, reader, writer, head):
        method, target, headers = head
        body = await _read_body(reader, headers)
        request = headers.get("x-request-id", "")
        self.world.arrivals.append((self.world.now(), request, self.name))
        if headers.get("x-expected-instance", self.name) != self.name:
            await self._send(writer, 421, request, b"", "X-Not-Executed: 1\r\n")
            return
        if self._waiting >= _QUEUE:
            await self._send(writer, 503, request, b"", "X-Not-Executed: 1\r\n")
            return
        self._waiting += 1
        await self._free.acquire()
        self._waiting -= 1
        try:
            self.world.note("run", request, "begins at", self.name)
            self.world.runs.append((self.world.now(), request, self.name, target))
            work = asyncio.create_task(
                asyncio.sleep(self._work(request, target)), name=request
            )
            closed = asyncio.create_task(reader.read(1))
            await asyncio.wait({work, closed}, return_when="FIRST_COMPLETED")
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            if not work.done():
                work.cancel()
                self.world.cut_runs.append((self.world.now(), request, self.name))
                self.world.note("run", request, "cut at", self.name)
                raise ConnectionResetError
        finally:
            self._free.release()
        self.world.note("run", request, "done at", self.name)
        answer = f"{method} {target} {len(body)} {self.name}".encode()
        await self._send(
            writer, 200, request, answer, f"X-Response-Signature: s.{request}\r\n"
        )

    async def _send(self, writer, status, request, body, more):
        lines = f"HTTP/1.1 {status} x\r\nX-Request-Id: {request}\r\n{more}"
        lines += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(lines.encode() + body)
        await writer.drain()


class Reply:
    """What a client saw: `status` is 0 if the connection ended without an answer."""

    def __init__(self, status, headers, body, sent_at, ended_at):
        self.status = status
        self.headers = headers
        self.body = body
        self.sent_at = sent_at
        self.ended_at = ended_at


class World:
    """A deployment of `instances` instances in one zone."""

    def __init__(self, instances):
        self._began = time.monotonic()
        self._lines = []
        self.arrivals = []
        self.runs = []
        self.cut_runs = []
        # The instance that took a request, by request id.
        self.taken_by = {}
        self._net = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
        self._hosts = iter(range(100, 250))
        self._ports = _find_ports(self._net, instances)
        self.store = Store(self)
        self.names = [f"front-{number}" for number in range(1, instances + 1)]
        self.access = {}
        self.processes = {}
        self._folder = tempfile.TemporaryDirectory()
        self._ids = 0
        self._random = random.Random(1)

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def note(self, *words):
        """Add a line to the record."""
        self._lines.append(f"{self.now():8.3f} " + " ".join(map(str, words)))

    def write_record(self, file):
        """Write the record."""
        Path(file).write_text("\n".join(self._lines) + "\n")

    def take_address(self):
        """Return a free address for a backend server."""
        return f"{self._net}.{next(self._hosts)}", self._ports["backend"]

    def get_host(self, name):
        """Return the IP address of an instance."""
        return f"{self._net}.{self.names.index(name) + 1}"

    def put_configuration(self, version, routes, services):
        """Write ``op/config``; return the time of the acknowledgement."""
        acknowledged = self.store.put(
            "op", "config", make_configuration(version, routes, services)
        )
        self.note("operator", f"configuration {version} acknowledged")
        return acknowledged

    async def start_instances(self):
        """Start all instances and wait until each is ready."""
        for name in self.names:
            address = (f"{self._net}.250", self._ports["store"][name])
            self.access[name] = AccessPoint(self.store, name, address)
            await self.access[name].open()
        for name in self.names:
            await self.start_instance(name)
        await self.wait_until_ready(self.names)

    async def start_instance(self, name):
        """Start the process of an instance as the deploy file says."""
        role = _read_role()
        settings = self.rewrite_settings(name)
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["KUMQUATSADDLE_CONFIG"] = str(settings)
        with open(Path(self._folder.name) / f"{name}.log", "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.note("instance", name, "started")

    def rewrite_settings(self, name):
        """Fill in the settings template, as at each start; return the file."""
        template = (ROOT / _read_role()["template"]).read_text()
        settings = Path(self._folder.name) / f"{name}.ini"
        settings.write_text(_fill_in(template, self._make_fields(name)))
        return settings

    def read_log(self, name):
        """Return the log of an instance."""
        return (Path(self._folder.name) / f"{name}.log").read_text(errors="replace")

    def signal_instance(self, name, number):
        """Send a signal to the process of an instance."""
        self.note("instance", name, signal.Signals(number).name)
        self.processes[name].send_signal(number)

    async def wait_until_ready(self, names):
        """Wait until the readiness page of each instance answers 200."""
        end = self.now() + _START_TIMEOUT_S
        for name in names:
            while not await self.is_ready(name):
                if self.now() > end:
                    raise CaseError(
                        f"{name} is not ready: {self.read_log(name)[-500:]}"
                    )
                await asyncio.sleep(0.1)

    async def is_ready(self, name):
        """Ask the readiness page of an instance."""
        try:
            status, _, _ = await _get(
                (self.get_host(name), self._ports["ready"]), "/v1/readiness"
            )
        except (OSError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def resolve(self):
        """Return the names of the instances that the directory lists."""
        for name in self.names:
            address = (self.get_host(name), self._ports["directory"])
            path = f"/v1/resolve?Name={HOST}&Region=westmark&Zone={ZONE}"
            try:
                status, _, body = await _get(address, path)
            except (OSError, asyncio.IncompleteReadError):
                continue
            if status == 200:
                hosts = {
                    item.rpartition(":")[0] for item in json.loads(body)["Addresses"]
                }
                return [item for item in self.names if self.get_host(item) in hosts]
        return []

    def find_reader(self):
        """Return the instance that follows the list of servers in the store."""
        readers = [name for name, count in self.store.feeds.items() if count]
        if not readers:
            raise CaseError("no instance follows the store")
        return readers[0]

    def make_id(self):
        """Return a new request id."""
        self._ids += 1
        return f"{self._random.randrange(1 << 40):010x}{self._ids:06x}"

    async def connect(self, name):
        """Connect to the caller address of an instance."""
        return await asyncio.wait_for(
            asyncio.open_connection(self.get_host(name), self._ports["front"]), 1.0
        )

    def make_head(self, request, method, path, size, deadline_ms=8000):
        """Return the head of a request."""
        lines = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        lines += f"X-Request-Id: {request}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        if size:
            lines += f"Content-Length: {size}\r\n"
        return lines.encode() + b"\r\n"

    async def send(self, name, method, path, body=b"", deadline_ms=8000):
        """Send one request on a new connection; return its id and the `Reply`."""
        request = self.make_id()
        self.taken_by[request] = name
        sent_at = self.now()
        self.note("client", request, "sent to", name, method, path)
        writer = None
        try:
            reader, writer = await self.connect(name)
            writer.write(self.make_head(request, method, path, len(body), deadline_ms))
            writer.write(body)
            reply = await self.receive(reader, sent_at, deadline_ms / 1000)
        except (OSError, TimeoutError):
            reply = Reply(0, {}, b"", sent_at, self.now())
        finally:
            if writer is not None:
                writer.close()
        self.note("client", request, "got", reply.status, reply.body.decode()[:60])
        return request, reply

    async def send_traffic(self, names, method, paths, per_s, seconds):
        """Send requests to the instances in turn; return the replies by request id."""
        tasks, end = [], self.now() + seconds
        while self.now() < end:
            turn, position = divmod(len(tasks), len(names))
            path = paths[turn % len(paths)]
            request = self.send(names[position], method, path, _USUAL_BODY)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(1 / per_s)
        return dict(await asyncio.gather(*tasks))

    async def receive(self, reader, sent_at, seconds):
        """Read the answer to a request."""
        try:
            status, headers, body = await asyncio.wait_for(
                _read_answer(reader), seconds
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return Reply(0, {}, b"", sent_at, self.now())
        return Reply(status, headers, body, sent_at, self.now())

    async def stop(self):
        """End all processes."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            for name in self.names:
                (Path(keep) / f"{name}.log").write_text(self.read_log(name))
        self._folder.cleanup()

    def _make_fields(self, name):
        host, ports = self.get_host(name), self._ports
        seeds = [f"{self.get_host(item)}:{ports['control']}" for item in self.names[:3]]
        store = f"{self._net}.250:{ports['store'][name]}"
        return {
            "NodeName": name,
            "Zone": ZONE,
            "Region": "westmark",
            "Ip": host,
            "Listen": {
                "Front": f"{host}:{ports['front']}",
                "Ready": f"{host}:{ports['ready']}",
                "Control": f"{host}:{ports['control']}",
                "Directory": f"{host}:{ports['directory']}",
            },
            "InternalPorts": [ports["internal"], ports["metrics"]],
            "Seeds": seeds,
            "Limits": {"CpuShare": 0.86, "Cores": 1, "LinkMbps": 1000.0},
            "Bounds": BOUNDS,
            "Platform": {"Address": store},
        }


def run_case(case, folder, instances):
    """Run a case; exit with 0 if the rule held, 1 if it broke, 2 if it did not run.

    Parameters
    ----------
    case : callable
        Async; takes the world and whether the disruption happens, and returns a list
        of texts, one for each breach of the rule.
    folder : Path
        Where ``record.txt`` is written.
    instances : int
    """

    async def run():
        # A case that is ended from outside still ends its processes.
        cancel = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, cancel)
        world = World(instances)
        try:
            breaches = await case(world, os.environ.get("TROUBLE", "1") != "0")
            for line in breaches:
                world.note("BREACH", line)
            world.note("result", f"{len(breaches)} breaches")
        finally:
            world.write_record(Path(folder) / "record.txt")
            await world.stop()
        return breaches

    try:
        breaches = asyncio.run(asyncio.wait_for(run(), 115))
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case did not run: {error!r}")
        sys.exit(_EXIT_NOT_RUN)
    for line in breaches[:5]:
        print(line)
    print(f"{len(breaches)} breaches")
    sys.exit(_EXIT_BROKEN if breaches else _EXIT_HELD)


def _read_role():
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return deploy["roles"]["entry"]


def _encode(value):
    return base64.b64encode(json.dumps(value).encode()).decode()


def _reset(writer):
    connection = writer.get_extra_info("socket")
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    except OSError:
        return
    writer.transport.abort()


async def _read_head(reader):
    """Return the method, target and headers of a request, or None at the end."""
    data = await _read_head_bytes(reader)
    if data is None:
        return None
    lines = data.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    return method, target, _parse_headers(lines[1:])


async def _read_head_bytes(reader):
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None


async def _read_body(reader, headers):
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def _read_answer(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = _parse_headers(lines[1:])
    body = await _read_body(reader, headers)
    return int(lines[0].split(" ")[1]), headers, body


def _parse_headers(lines):
    pairs = (line.split(":", 1) for line in lines if line)
    return {name.strip().lower(): value.strip() for name, value in pairs}


async def _get(address, path):
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {address[0]}\r\n\r\n".encode())
        return await asyncio.wait_for(_read_answer(reader), 2.0)
    finally:
        writer.close()


def _fill_in(template, fields):
    """Fill in the placeholders of a settings template."""

    def replace(match):
        value = fields
        for part in match[1].split("."):
            value = value[int(part) if part.isdigit() else part]
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", replace, template)


def _find_ports(net, instances):
    """Return ports that are free on the addresses of a deployment."""
    keys = ("front", "ready", "control", "directory", "internal", "metrics", "backend")
    for _ in range(50):
        base = random.randrange(20000, 30000)
        ports = {key: base + number for number, key in enumerate(keys)}
        first = base + len(keys)
        ports["store"] = {
            f"front-{number + 1}": first + number for number in range(instances)
        }
        try:
            for port in range(base, first + instances):
                with socket.socket() as probe:
                    probe.bind((f"{net}.250", port))
        except OSError:
            continue
        return ports
    raise CaseError("no free ports")
