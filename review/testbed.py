"""A small deployment on loopback addresses for the cases 6 to 10 of the review.

It starts instances with the run command and the settings template of the deploy file,
as separate processes, and holds stand-ins for the platform's store, for backend
servers and for callers. The stand-ins follow PROTOCOL.md of the users' pages and use
the standard library only. Import it from a script of a case; `run_case` is the entry.
"""

import asyncio
import base64
import json
import os
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
_CASE_SECONDS = 118.0
_READY_SECONDS = 30.0
# Below the ports that Linux gives to outgoing connections.
_PORTS = (20000, 32000)
# Ports that an instance of this case has, also before it listens.
_given_ports = set()
_FEED_POLL_SECONDS = 0.005

# Figures of the settings as in DEPLOY.md, for Westmark.
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
MACHINE = {"CpuShare": 0.86, "Cores": 1, "MemoryMb": 300, "MaxFds": 4100}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 1048576,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


class CouldNotRun(Exception):
    """The case could not be played."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def note(self, text):
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self.started:9.3f} s  {text}\n")
        self._file.flush()

    def say(self, text):
        """Write one line here and on the standard output."""
        print(text, flush=True)
        self.note(text)


def has_trouble():
    """Return whether the disruption of the case is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


# --- HTTP ---------------------------------------------------------------------------


async def read_head(reader):
    """Return the first line and the headers (lower case) of a message, or None."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message whose headers were read."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


def make_message(first_line, headers, body=b""):
    """Return the bytes of a message with these headers."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def make_reply(status, headers, body=b""):
    """Return the bytes of a reply with the length of its body."""
    headers = [*headers, ("Content-Length", len(body))]
    return make_message(f"HTTP/1.1 {status} X", headers, body)


# --- the platform's store -----------------------------------------------------------


class Store:
    """The calls about rows that an instance makes; linearizable, nothing is lost."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.address = None
        # How long changes can be read from the feed, and the version before them.
        self.history_seconds = float("inf")
        self._forgotten = 0
        self._written = []
        # When a feed was last answered, by the port of the caller and the table.
        self.feeds_answered = {}
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Write a row."""
        self._advance()
        text = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"Table": table, "part": "", "Key": key, "Value": text}
        self.rows[table, key] = {**row, "Ver": self.version}

    def remove(self, table, key):
        """Remove a row; feeds report it as deleted."""
        self._advance()
        row = {"Table": table, "part": "", "Key": key, "Deleted": True}
        self.rows[table, key] = {**row, "Ver": self.version}

    def _advance(self):
        """Begin a new version and forget what is older than the history."""
        self.version += 1
        now = time.monotonic()
        self._written.append((now, self.version))
        while self._written[0][0] < now - self.history_seconds:
            _, self._forgotten = self._written.pop(0)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                status, reply = await self._call(method, target, body)
                headers = [("Content-Type", "application/json")]
                writer.write(make_reply(status, headers, json.dumps(reply).encode()))
                await writer.drain()
                port = writer.get_extra_info("peername")[1]
                self._note_feed(port, urlsplit(target))
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            return
        finally:
            writer.close()

    def _note_feed(self, port, parts):
        if parts.path == "/v1/rows-feed":
            (table,) = parse_qs(parts.query)["Table"]
            self.feeds_answered[port, table] = time.monotonic()

    async def _call(self, method, target, body):
        await asyncio.sleep(0.003)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if parts.path == "/v1/rows-get":
            return 200, self._read(query)
        if parts.path == "/v1/rows-feed":
            if int(query["after"]) < self._forgotten:
                return 410, self._stamp({})
            return 200, await self._feed(query)
        return 404, self._stamp({})

    def _stamp(self, reply):
        return {**reply, "Ver": self.version, "NowMs": int(time.monotonic() * 1000)}

    def _find(self, table, key):
        row = self.rows.get((table, key))
        return None if row is None or row.get("Deleted") else row

    def _transact(self, change):
        expected = change.get("Expected", [])
        rows = [self._find(item["Table"], item["Key"]) for item in expected]
        wanted = [item["Ver"] for item in expected]
        if [row["Ver"] if row else 0 for row in rows] != wanted:
            return 412, self._stamp({"Rows": [row for row in rows if row]})
        for row in change.get("SetKeys", []):
            if row["Table"] in ("op", "servers"):
                return 403, self._stamp({})
            self.put(
                row["Table"], row["Key"], json.loads(base64.b64decode(row["Value"]))
            )
        return 200, self._stamp({})

    def _read(self, query):
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["Table"]
            and not row.get("Deleted")
            and key >= query.get("From", "")
            and ("Target" not in query or key < query["Target"])
        ]
        limit = min(500, int(query.get("Limit", 500)))
        return self._stamp({"Rows": rows[:limit], "HasMore": len(rows) > limit})

    async def _feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + min(30000, int(query.get("WaitMs", 0))) / 1000
        while True:
            rows = [
                row
                for (table, _), row in self.rows.items()
                if table == query["Table"] and row["Ver"] > after
            ]
            if rows or time.monotonic() >= end:
                rows.sort(key=lambda row: row["Ver"])
                return self._stamp({"Rows": rows})
            await asyncio.sleep(_FEED_POLL_SECONDS)


def make_route(name, service, kind="safe", **fields):
    """Return a route for the paths below the name."""
    spec = {
        "Host": HOST,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 2000,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        **fields,
    }
    return {"ResourceKind": "Routes", "Metadata": {"Name": f"r-{name}"}, "Spec": spec}


def make_configuration(version, routes):
    """Return a configuration with these routes and their services."""
    services = sorted({route["Spec"]["Service"] for route in routes})
    resources = [*routes]
    for name in services:
        spec = {"HealthPath": "/health", "MaxConnections": 390}
        resources.append(
            {"ResourceKind": "Services", "Metadata": {"Name": name}, "Spec": spec}
        )
    resources.append({"ResourceKind": "Limits", "Metadata": {}, "Spec": dict(LIMITS)})
    return {"Version": f"{version:08x}", "Resources": resources}


class StorePath:
    """The path of one machine to the store, which can be cut silently."""

    def __init__(self, store):
        self.address = None
        self.is_cut = False
        self._store = store
        self._ports = set()

    def get_read_age(self, table):
        """Return how long ago the store last answered a feed of a table here."""
        answered = [
            at
            for (port, name), at in self._store.feeds_answered.items()
            if port in self._ports and name == table
        ]
        return time.monotonic() - max(answered, default=float("-inf"))

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        host, _, port = self._store.address.rpartition(":")
        try:
            onward = await asyncio.open_connection(host, int(port))
            self._ports.add(onward[1].get_extra_info("sockname")[1])
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, onward[1]))
                group.create_task(self._forward(onward[0], writer))
        except (OSError, asyncio.CancelledError, ExceptionGroup):
            return
        finally:
            writer.close()

    async def _forward(self, reader, writer):
        while data := await reader.read(65536):
            if self.is_cut:
                # Neither side hears anything any more, as behind a partition.
                await asyncio.sleep(3600)
            writer.write(data)
            await writer.drain()
        writer.close()


# --- backend servers ----------------------------------------------------------------


class Run:
    """One request that reached a backend server."""

    def __init__(self, server, method, target, headers, body):
        self.server = server
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.id = headers.get("x-request-id", "")
        self.at = time.monotonic()
        self.ran = False


class Backend:
    """A backend server of one incarnation, with slots and a short queue."""

    def __init__(self, record, store, name, service, zone="north-depot", work=0.1):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.work = work
        self.slots = 6
        self.queue = 24
        self.born = int(time.time() * 1000) + random.randrange(1000)
        self.arrivals = []
        self.sequence = 0
        self.cold_ms = 0
        self.address = None
        # Returns None, or (status, headers) to reply with after the run; gets the Run.
        self.choose_failure = lambda run: None
        # Returns None, or (status, headers) of a rejection before any work.
        self.choose_rejection = lambda run: None
        self._busy = 0
        self._waiting = 0
        self._freed = asyncio.Condition()
        self._server = None

    async def start(self, port=0):
        """Listen and write the entry."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, backlog=512
        )
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        self.register()

    def register(self, state="ready"):
        """Write the entry in the store."""
        self.sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": self.cold_ms,
            "Sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("servers", self.name, entry)

    def unregister(self):
        """Remove the entry from the store."""
        self.store.remove("servers", self.name)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                reply = await self._answer(method, target, head[1], body)
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            return
        finally:
            writer.close()

    def _sign(self, run):
        return [("X-Request-Id", run.id), ("X-Response-Signature", f"sig.{self.name}")]

    def _reject(self, run, status, headers=()):
        self.record.note(f"{self.name} rejects {run.id} with {status}, not executed")
        own = [("X-Request-Id", run.id), ("X-Not-Executed", "1"), *headers]
        return make_reply(status, own)

    async def _answer(self, method, target, headers, body):
        if target == "/health":
            return make_reply(200, [("X-Instance-Id", self.name)])
        run = Run(self.name, method, target, headers, body)
        self.arrivals.append(run)
        expected = headers.get("x-expected-instance")
        if not run.id:
            return self._reject(run, 400)
        if expected not in (None, self.name):
            return self._reject(run, 421)
        rejection = self.choose_rejection(run)
        if rejection is not None:
            return self._reject(run, *rejection)
        deadline = run.at + int(headers.get("x-deadline-ms", "60000")) / 1000
        if self._busy >= self.slots and self._waiting >= self.queue:
            return self._reject(run, 503)
        async with self._freed:
            self._waiting += 1
            while self._busy >= self.slots:
                await self._freed.wait()
            self._waiting -= 1
            self._busy += 1
        try:
            if time.monotonic() >= deadline:
                return self._reject(run, 503)
            run.ran = True
            self.record.note(f"{self.name} runs {run.id} {method} {target}")
            await asyncio.sleep(self.work)
        finally:
            async with self._freed:
                self._busy -= 1
                self._freed.notify()
        failure = self.choose_failure(run)
        if failure is not None:
            status, extra = failure
            self.record.note(f"{self.name} has run {run.id} and answers {status}")
            return make_reply(status, [*self._sign(run), *extra], b"failed")
        return make_reply(200, self._sign(run), f"{self.name} {run.id}".encode())


# --- callers ------------------------------------------------------------------------


class Answer:
    """What a caller got: status 0 if the connection ended without an answer."""

    def __init__(self, status=0, headers=None, body=b"", problem=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.problem = problem

    @property
    def served(self):
        """Whether it is a success of a backend server."""
        return 200 <= self.status < 300 and "x-response-signature" in self.headers


async def ask(address, method, target, headers=(), body=b"", timeout=10.0):
    """Send one request on a new connection and return the `Answer`."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = [("Host", HOST), *headers]
            if body or method not in ("GET", "HEAD"):
                fields.append(("Content-Length", len(body)))
            writer.write(make_message(f"{method} {target} HTTP/1.1", fields, body))
            await writer.drain()
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(problem=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader):
    """Return the `Answer` that arrives next."""
    head = await read_head(reader)
    if head is None:
        return Answer(problem="closed")
    body = await read_body(reader, head[1])
    return Answer(int(head[0].split(" ")[1]), head[1], body)


class Caller:
    """Sends requests with ids of their own and records what comes of them."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        self.answers = {}

    def make_id(self):
        """Return the id of a new request."""
        self.count += 1
        return f"{self.count:08x}"

    async def send(
        self, address, method, target, deadline_ms=8000, headers=(), body=b""
    ):
        """Send one request; return its id and `Answer`."""
        request_id = self.make_id()
        fields = [
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", deadline_ms),
            *headers,
        ]
        self.record.note(f"caller sends {request_id} {method} {target} to {address}")
        answer = await ask(
            address, method, target, fields, body, timeout=deadline_ms / 1000 + 1
        )
        self.answers[request_id] = answer
        shown = answer.status or f"no answer ({answer.problem})"
        self.record.note(f"caller gets {shown} for {request_id}")
        return request_id, answer


class TimedRequests:
    """Requests of one route, with the time at which each was sent and answered.

    The check is that of the rule CONFIG for requests that outlast their route.
    """

    # Fewer unanswered requests are no sign.
    _FEWEST = 8

    def __init__(self, world, timeout_seconds):
        self._world = world
        self._timeout = timeout_seconds
        self._seconds = []

    async def send(self, address, method, target, body=b""):
        """Send one request; its caller waits a second past the check."""
        started = time.monotonic()
        wait_ms = int((self._timeout + 1.0) * 1000)
        _, answer = await self._world.caller.send(
            address, method, target, deadline_ms=wait_ms, body=body
        )
        seconds = time.monotonic() - started if answer.status else float("inf")
        self._seconds.append(seconds)

    async def send_steadily(self, address, method, prefix, number, interval):
        """Send requests at a fixed interval, each on a connection of its own."""
        async with asyncio.TaskGroup() as group:
            for index in range(number):
                group.create_task(self.send(address, method, f"{prefix}{index}"))
                await asyncio.sleep(interval)

    def check(self, record):
        """Return whether the rule was broken, and say what was counted."""
        late = [item for item in self._seconds if item > self._timeout]
        later = [item for item in late if item > self._timeout + 0.5]
        record.say(
            f"{len(self._seconds)} requests; {len(late)} unanswered at TimeoutMs, "
            f"{len(later)} of them also half a second later"
        )
        return len(late) >= self._FEWEST and len(later) > len(late) / 2


# --- instances ----------------------------------------------------------------------


def render_template(text, fields):
    """Fill in the placeholders and sections that deploy/instance.ini uses."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def render_section(match):
        value = find(match[1])
        return match[2] if value not in (None, False, [], {}) else ""

    def render_value(match):
        value = find(match[1])
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value).lower() if isinstance(value, bool) else str(value)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", render_section, text, flags=re.S
    )
    return re.sub(r"\{\{([\w.]+)\}\}", render_value, text)


def find_free_ports(count):
    """Return free ports that no outgoing connection is given."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*_PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as server:
            try:
                server.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        ports.append(port)
    return ports


class Instance:
    """One process of the system, started as the deploy file says."""

    def __init__(self, record, folder, name, store, zone="north-depot", **options):
        self.record = record
        self.name = name
        self.zone = zone
        ports = find_free_ports(6)
        front, ready, directory, control, first, last = ports
        self.front = f"127.0.0.1:{front}"
        self.ready = f"127.0.0.1:{ready}"
        self.directory = f"127.0.0.1:{directory}"
        self.settings = Path(folder) / f"{name}.ini"
        log = open(Path(folder) / f"{name}.log", "wb")
        # Where the process writes; a case may set pipes.
        self.stdout = self.stderr = log
        self.process = None
        zones = ["north-depot", "river-depot", "south-depot"]
        self._fields = {
            "NodeName": name,
            "Role": "entry",
            "MachineClass": "front",
            "Ip": "127.0.0.1",
            "Zone": zone,
            "Region": "westmark",
            "Zones": dict.fromkeys(zones, "westmark"),
            "Listen": {
                "Front": self.front,
                "Ready": self.ready,
                "Control": f"127.0.0.1:{control}",
                "Directory": self.directory,
            },
            "InternalPorts": [first, last],
            "Seeds": options.get("seeds", []),
            "Limits": {**MACHINE, "LinkMbps": 1000.0, "DiskMb": 0},
            "Bounds": dict(BOUNDS),
            "Platform": {"Address": store.address},
        }

    def write_settings(self):
        """Render the template of the deploy file into the settings file."""
        template = (ROOT / self._read_role()["template"]).read_text()
        self.settings.write_text(render_template(template, self._fields))

    def _read_role(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        return deploy["roles"]["entry"]

    def start(self):
        """Start the process; it is not ready yet."""
        self.write_settings()
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["KUMQUATSADDLE_CONFIG"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = subprocess.Popen(
            self._read_role()["run"].split(" "),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.stdout,
            stderr=self.stderr,
        )
        self.record.note(f"{self.name} is started, process {self.process.pid}")

    def signal(self, number):
        """Send a signal to the process."""
        self.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def has_ended(self):
        """Return whether the process is gone."""
        return self.process.poll() is not None

    async def is_ready(self, timeout=1.0):
        """Ask as the platform does whether the instance is ready."""
        answer = await ask(self.ready, "GET", "/v1/readiness", timeout=timeout)
        return answer.status == 200

    async def wait_until_ready(self):
        """Wait until the instance says that it is ready."""
        end = time.monotonic() + _READY_SECONDS
        while time.monotonic() < end:
            if self.has_ended():
                raise CouldNotRun(f"{self.name} ended before it was ready")
            if await self.is_ready():
                self.record.note(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} was not ready in time")

    def read_memory_mb(self, key="VmRSS"):
        """Return the resident memory of the process in MB."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(rf"^{key}:\s+(\d+) kB", text, re.M)
        return int(found[1]) * 1024 / 1e6 if found else 0.0

    def read_cpu_seconds(self):
        """Return the processor time that the process has used."""
        try:
            text = Path(f"/proc/{self.process.pid}/stat").read_text()
        except OSError:
            return 0.0
        values = text.rpartition(")")[2].split()
        return (int(values[11]) + int(values[12])) / os.sysconf("SC_CLK_TCK")


class World:
    """What one case has started; everything ends with it."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.store = Store(record)
        self.caller = Caller(record)
        self.instances = []
        self.backends = {}

    async def start_backend(self, name, service, **options):
        """Start a backend server and list it in the store."""
        cold_ms = options.pop("cold_ms", 0)
        backend = Backend(self.record, self.store, name, service, **options)
        backend.cold_ms = cold_ms
        await backend.start()
        self.backends[name] = backend
        return backend

    def add_instance(self, name, **options):
        """Return an instance that is not started yet."""
        store = options.pop("store", self.store)
        instance = Instance(self.record, self.folder, name, store, **options)
        self.instances.append(instance)
        return instance

    def list_runs(self, request_id):
        """Return the runs of a request at all backend servers."""
        return [
            run
            for backend in self.backends.values()
            for run in backend.arrivals
            if run.id == request_id and run.ran
        ]

    def end(self):
        """Kill the instances that still run."""
        for instance in self.instances:
            if instance.process is not None and not instance.has_ended():
                instance.process.kill()
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait()


def run_case(play, file):
    """Play a case and exit with its result; `play` is async and gets a `World`."""
    folder = Path(file).resolve().parent
    record = Record(folder)
    record.say(f"trouble: {'yes' if has_trouble() else 'no'}")
    # So that the processes of the case end with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 16384 if hard == resource.RLIM_INFINITY else min(hard, 16384)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        world = World(record, temporary)

        async def main():
            descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
            if descriptors < MACHINE["MaxFds"]:
                raise CouldNotRun(f"only {descriptors} descriptors are allowed")
            await world.store.start()
            async with asyncio.timeout(_CASE_SECONDS):
                return await play(world)

        try:
            result = asyncio.run(main())
        except (CouldNotRun, TimeoutError) as error:
            record.say(f"the case could not run: {error!r}")
            result = NOT_RUN
        except Exception as error:
            record.say(f"the case failed to run: {error!r}")
            result = NOT_RUN
        finally:
            world.end()
            if os.environ.get("KEEP_LOGS"):
                for log in Path(temporary).glob("*.log"):
                    (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(
                        log.read_bytes()
                    )
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "no result"}
    record.say(f"result {result}: {words[result]}")
    sys.exit(result)
