"""The two kinds of processes of the system, each as one process on loopback.

``node`` is `kumquatsaddle-node` with the embedded platform, ``platform`` is
``platform/run.py`` with a stand-in for the platform's store.
"""

import os
import random
import socket
import ssl
import subprocess
import sys
import tempfile
import time
from contextlib import asynccontextmanager
from pathlib import Path

import trio
import trustme
from backend import start_backend
from standin import StoreStandin, start_standin

from kumquatsaddle.settings.fields import known_fields
from kumquatsaddle.testing.loops import start_loop

__all__ = [
    "DESCRIPTORS",
    "HEAD_TIMEOUT_SECONDS",
    "Instance",
    "MEMORY_BYTES",
    "make_head",
    "read_to_end",
    "start_instance",
]

_ROOT = Path(__file__).resolve().parent.parent.parent
# Memory and descriptors of the machine for which the instance is set up. All limits
# that depend on the machine follow from these two.
_MEMORY_MEGABYTES = 64
MEMORY_BYTES = _MEMORY_MEGABYTES * 1_000_000
DESCRIPTORS = 256
_MAX_CONNECTIONS = 100
HEAD_TIMEOUT_SECONDS = 2.0
_IDLE_TIMEOUT_SECONDS = 4.0
_BODY_BYTES = 1 << 20
# A hanging process fails its test after this time.
_GUARD_SECONDS = 30.0
_ORDINARY_TIMEOUT_SECONDS = 10.0
_POLL_SECONDS = 0.05
_LISTEN_KEYS = ("callers", "control", "operators", "directory", "readiness")
# Below the ports that Linux gives to outgoing connections: one of another process could
# take a free port before the instance binds it.
_PORTS = (20000, 32000)
_SERVICES = ("work", "hold", "large")
_HOST = "shop.example"


class Instance:
    """One process of the system.

    Parameters
    ----------
    process : subprocess.Popen
    addresses : dict of str to (str, int)
        By the key of ``[listen]``.
    readiness : (str, str)
        Key of the address and path that tell whether the instance is ready.
    trust : ssl.SSLContext or None
        Verifies the certificate towards callers.
    """

    def __init__(self, process, addresses, readiness, trust=None):
        self.process = process
        self.addresses = addresses
        self.readiness = readiness
        self.memory_before = 0
        self.most_descriptors = 0
        self._trust = trust

    def read_peak_memory(self):
        """Return the largest resident memory up to now (VmHWM), in bytes."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [line for line in text.splitlines() if line.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024

    def sample_descriptors(self):
        """Count the open descriptors; keep the largest number."""
        count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        self.most_descriptors = max(self.most_descriptors, count)

    def wait_until_answered(self, key, target, body=b""):
        """Send one ordinary request, repeatedly if it is refused, until served."""
        end, last = time.monotonic() + _GUARD_SECONDS, b""
        while time.monotonic() < end and self.process.poll() is None:
            try:
                last = self.send_request(key, target, body)
            except OSError as error:
                last = repr(error).encode()
            if last.startswith(b"HTTP/1.1 200 "):
                return
            self.sample_descriptors()
            time.sleep(_POLL_SECONDS)
        raise AssertionError(f"{target} was not served, last answer {last[:200]!r}")

    def send_request(self, key, target, body=b"", fields=b""):
        """Send one request on a new connection; return its answer as bytes."""
        head = make_head(target, b"Connection: close\r\n" + fields, len(body))
        with self.connect(key) as stream:
            stream.sendall(head + body)
            return read_to_end(stream)

    def connect(self, key):
        """Return a new connection, over TLS if callers use it."""
        stream = socket.create_connection(
            self.addresses[key], timeout=_ORDINARY_TIMEOUT_SECONDS
        )
        if self._trust is None or key != "callers":
            return stream
        return self._trust.wrap_socket(stream, server_hostname="localhost")


def make_head(target, fields=b"", length=0, method=b"POST"):
    """Return the head of a request that both deployments route by its path."""
    if length == 0 and method == b"POST":
        method = b"GET"
    else:
        fields += b"Content-Length: %d\r\n" % length
    start = b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (
        method,
        target.encode(),
        _HOST.encode(),
    )
    account = b"Kumquatsaddle-Account: shop\r\nX-Request-Id: id-1\r\n"
    return start + account + fields + b"\r\n"


def read_to_end(stream):
    """Return what the other side sends until it closes the connection."""
    parts = []
    while part := stream.recv(1 << 16):
        parts.append(part)
    return b"".join(parts)


def start_instance(
    context, kind, memory=_MEMORY_MEGABYTES, body_bytes=_BODY_BYTES, **limits
):
    """Start an instance with a backend server; it ends with the scenario.

    Parameters
    ----------
    context : behave.runner.Context
    kind : str
        ``node``, ``platform``, or ``node with TLS``.
    memory : int
        Memory of its machine in MB.
    body_bytes : int
        Largest legal body of a request.
    **limits : str
        Further settings of the section ``[limits]``.

    Returns
    -------
    Instance
    """
    folder = tempfile.TemporaryDirectory(prefix="kumquatsaddle-")
    context.add_cleanup(folder.cleanup)
    backend = start_backend(context)
    addresses = {key: ("127.0.0.1", port) for key, port in _find_free_ports()}
    sections = _make_sections(addresses, memory, body_bytes)
    sections["limits"] |= limits
    trust = None
    if kind == "platform":
        command = [str(_ROOT / "platform" / "run.py")]
        readiness = "readiness", "/v1/readiness"
        url = _start_store(context, backend, body_bytes)
        sections["platform"] = {"kind": "http", "url": url}
        sections["listen"]["metrics"] = sections["listen"]["operators"]
    else:
        command = ["-m", "kumquatsaddle.commands.node"]
        readiness = "operators", "/readyz"
        del sections["listen"]["readiness"], sections["listen"]["directory"]
        sections["platform"] = {"kind": "memory"}
        sections |= _make_initial_sections(backend)
        if kind == "node with TLS":
            sections["tls"], trust = _make_certificates(Path(folder.name))
    file = Path(folder.name) / "instance.ini"
    file.write_text(_format_sections(sections))
    process = subprocess.Popen(
        [sys.executable, *command, f"--settings={file}", "--log-level=ERROR"],
        cwd=_ROOT,
    )
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)
    instance = Instance(process, addresses, readiness, trust)
    for service in ("callers", "/work/1"), readiness:
        instance.wait_until_answered(*service)
    instance.memory_before = instance.read_peak_memory()
    return instance


def _make_sections(addresses, memory, body_bytes):
    """Return the settings, without keys that this version does not know yet.

    The tests were written before ``memory`` and ``descriptors`` existed, and show the
    fault of versions without them.
    """
    known = {(field.section, field.key) for field in known_fields()}
    instance = {
        "id": "entry-1",
        "zone": "north",
        "memory": memory,
        "descriptors": DESCRIPTORS,
    }
    return {
        "instance": {
            key: value for key, value in instance.items() if ("instance", key) in known
        },
        "listen": {
            **{key: f"{host}:{port}" for key, (host, port) in addresses.items()},
            "max_connections": _MAX_CONNECTIONS,
        },
        "limits": {
            "body_bytes": body_bytes,
            "head_timeout": HEAD_TIMEOUT_SECONDS,
            "idle_timeout": _IDLE_TIMEOUT_SECONDS,
        },
        "stop": {"notice": "0.1", "grace": "1"},
    }


def _make_initial_sections(backend):
    routes = ", ".join(
        f'{{"prefix": "/{name}/", "service": "{name}", "rank": "standard", '
        f'"idempotent": true}}'
        for name in _SERVICES
    )
    sections = {
        "template:default": {"routes": f"[{routes}]"},
        "account:shop": {"template": "default"},
    }
    for name in _SERVICES:
        sections[f"service:{name}"] = {"floor": "0.5", "slots": "64"}
        sections[f"backend:{name}-1"] = {"service": name, "address": backend}
    return sections


def _start_store(context, backend, body_bytes):
    """Serve a store with the routes; return its URL."""
    store = StoreStandin()
    store.put("op", "config", _make_configuration(body_bytes))
    for name in _SERVICES:
        entry = {
            "Service": name,
            "Address": backend,
            "Zone": "north",
            "Version": "v1",
            "Slots": 64,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": 1700000000000,
        }
        store.put("servers", f"{name}-1", entry)

    @asynccontextmanager
    async def open_store():
        async with trio.open_nursery() as nursery:
            yield await start_standin(nursery, store)
            nursery.cancel_scope.cancel()

    return f"http://{start_loop(context, open_store()).resource}"


def _make_configuration(body_bytes):
    resources = []
    for name in _SERVICES:
        route = {
            "Host": _HOST,
            "Prefix": f"/{name}/",
            "Kind": "safe",
            "TimeoutMs": 60000,
            "TargetLatencyMs": 2000,
            "Priority": 1,
            "Service": name,
            "MaxAttempts": 1,
        }
        resources.append(_make_resource("Routes", f"r-{name}", route))
        service = {"HealthPath": "/health", "MaxConnections": 330}
        resources.append(_make_resource("Services", name, service))
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": body_bytes,
        "HeaderTimeoutMs": int(HEAD_TIMEOUT_SECONDS * 1000),
        "IdleTimeoutMs": int(_IDLE_TIMEOUT_SECONDS * 1000),
    }
    resources.append(
        {"ResourceKind": "Limits", "Metadata": {}, "Spec": limits},
    )
    return {"Version": "0000000c", "BaseVersion": "00000005", "Resources": resources}


def _make_resource(kind, name, spec):
    return {"ResourceKind": kind, "Metadata": {"Name": name}, "Spec": spec}


def _make_certificates(folder):
    """Write certificates; return the section ``[tls]`` and the callers' context."""
    authority = trustme.CA()
    issued = authority.issue_cert("localhost", "127.0.0.1")
    certificate, key, ca = (folder / name for name in ("tls.pem", "tls.key", "ca.pem"))
    issued.cert_chain_pems[0].write_to_path(str(certificate))
    issued.private_key_pem.write_to_path(str(key))
    authority.cert_pem.write_to_path(str(ca))
    trust = ssl.create_default_context()
    authority.configure_trust(trust)
    section = {
        "certificate_file": certificate,
        "key_file": key,
        "control_certificate_file": certificate,
        "control_key_file": key,
        "control_ca_file": ca,
    }
    return section, trust


def _format_sections(sections):
    lines = []
    for name, values in sections.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {value}" for key, value in values.items()]
    return "\n".join(lines) + "\n"


def _find_free_ports():
    """Return a free port for each key; all are found before one is released."""
    sockets = [_open_server() for _ in _LISTEN_KEYS]
    ports = [server.getsockname()[1] for server in sockets]
    for server in sockets:
        server.close()
    return list(zip(_LISTEN_KEYS, ports, strict=True))


def _open_server():
    """Return a server on a free port that no outgoing connection is given."""
    while True:
        port = random.randrange(*_PORTS)
        try:
            return socket.create_server(("127.0.0.1", port))
        except OSError:
            continue
