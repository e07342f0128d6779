"""Crowds of hostile connections: what each connection sends, and whether it reads."""

import selectors
import socket
import time
from dataclasses import dataclass
from typing import Any

from deployments import make_head

__all__ = ["CROWDS", "PLACES", "Crowd", "open_crowd"]

_BODY_BYTES = 1 << 20
_PIECE_BYTES = 1024
_CHUNK_BYTES = 4096
_TINY_CHUNK_BYTES = 4
_TINY_CHUNKS = 1500
_FIELDS = 1200
_OVERSIZE_FACTOR = 4
# Longest first message that is legal between instances.
_FRAME_BYTES = 4096
_SMALL_RECEIVE_BUFFER_BYTES = 4096
_SLOW_READ_BYTES = 256
_SLOW_READS = 20
# The crowd is complete when no connection has made progress for this time.
_QUIET_SECONDS = 0.3
# Bounds the time of a crowd that is always served a little.
_LONGEST_SECONDS = 6.0
_SELECT_SECONDS = 0.05

# Places by name: address, by the key of [listen], and target of the requests.
PLACES = {
    "route": ("callers", "/work/1"),
    "held route": ("callers", "/hold/1"),
    "large route": ("callers", "/large/1"),
    "no route": ("callers", "/none/1"),
    "readiness": ("readiness", "/v1/readiness"),
    "node readiness": ("operators", "/readyz"),
    "directory": ("directory", "/v1/resolve"),
    "operators": ("operators", "/metrics"),
    "node operators": ("operators", "/api/v1/services"),
    "control": ("control", "/"),
}


@dataclass(frozen=True)
class Crowd:
    """A number of connections that all do the same.

    Parameters
    ----------
    connections : int
    make_parts : callable
        Takes a target and returns the parts that a connection sends one by one.
    reads_slowly : bool
        Whether it reads a few bytes at a time; otherwise it reads nothing.
    """

    connections: int
    make_parts: Any
    reads_slowly: bool = False


def _make_whole_bodies(target):
    """Return a body of legal size without its last byte."""
    return [make_head(target, length=_BODY_BYTES) + bytes(_BODY_BYTES - 1)]


def _make_body_pieces(target):
    """Return the same body in small pieces."""
    head = make_head(target, length=_BODY_BYTES)
    pieces = [bytes(_PIECE_BYTES)] * (_BODY_BYTES // _PIECE_BYTES - 1)
    return [head, *pieces, bytes(_PIECE_BYTES - 1)]


def _make_chunked_head(target):
    head = make_head(target, b"Transfer-Encoding: chunked\r\n")
    return head.replace(b"GET ", b"POST ", 1)


def _make_chunked_bodies(target):
    """Return a body of legal size in chunks, without the last chunk."""
    chunk = b"%x\r\n%b\r\n" % (_CHUNK_BYTES, bytes(_CHUNK_BYTES))
    return [_make_chunked_head(target) + chunk * (_BODY_BYTES // _CHUNK_BYTES)]


def _make_tiny_chunks(target):
    """Return a body in chunks of a few bytes, without the last chunk."""
    chunk = b"%x\r\n%b\r\n" % (_TINY_CHUNK_BYTES, bytes(_TINY_CHUNK_BYTES))
    return [_make_chunked_head(target) + chunk * _TINY_CHUNKS]


def _make_declared_oversize(target):
    """Return a body that announces more than the limit."""
    size = _OVERSIZE_FACTOR * _BODY_BYTES
    return [make_head(target, length=size) + bytes(size)]


def _make_undeclared_oversize(target):
    """Return a body in chunks that grows beyond the limit."""
    chunk = b"%x\r\n%b\r\n" % (_CHUNK_BYTES, bytes(_CHUNK_BYTES))
    count = _OVERSIZE_FACTOR * _BODY_BYTES // _CHUNK_BYTES
    return [_make_chunked_head(target) + chunk * count]


def _make_many_fields(target):
    """Return pipelined requests of many short fields each."""
    fields = b"".join(b"f%x: 1\r\n" % number for number in range(_FIELDS))
    return [make_head(target, fields) * 16]


def _make_pipeline(target):
    """Return many pipelined requests."""
    return [make_head(target) * 200]


def _make_half_head(target):
    """Return the first half of a head."""
    return [make_head(target, b"X-Filler: %b\r\n" % bytes(64).hex().encode())[:160]]


def _make_slow_reader(target):
    """Return one request; its answer is read slowly."""
    return [make_head(target)]


def _make_half_handshake(target):
    """Return the start of a TLS record that contains a ClientHello."""
    return [b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(100)]


CROWDS = {
    "bodies in one piece": Crowd(64, _make_whole_bodies),
    "bodies in small pieces": Crowd(64, _make_body_pieces),
    "bodies in chunks": Crowd(64, _make_chunked_bodies),
    "bodies in tiny chunks": Crowd(64, _make_tiny_chunks),
    "bodies far over the limit, declared": Crowd(64, _make_declared_oversize),
    "bodies far over the limit, undeclared": Crowd(64, _make_undeclared_oversize),
    "requests of many fields": Crowd(24, _make_many_fields),
    "pipelined requests without reading": Crowd(64, _make_pipeline),
    "answers read slowly": Crowd(64, _make_slow_reader, reads_slowly=True),
    "half heads": Crowd(300, _make_half_head),
    "half TLS handshakes": Crowd(300, _make_half_handshake),
}


class _Connection:
    """One connection of a crowd."""

    def __init__(self, address, parts):
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_RECEIVE_BUFFER_BYTES
        )
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        self.socket.connect_ex(address)
        self._parts = iter(parts)
        self._unsent = memoryview(b"")

    def send(self):
        """Send what the socket takes of one part; return False after the last part."""
        if not self._unsent:
            self._unsent = memoryview(next(self._parts, b""))
            if not self._unsent:
                return False
        self._unsent = self._unsent[self.socket.send(self._unsent) :]
        return True


def open_crowd(context, instance, crowd, places):
    """Let a crowd send until it makes no progress; its connections stay open.

    Parameters
    ----------
    context : behave.runner.Context
        Closes the connections at the end of the scenario.
    instance : Instance
    crowd : Crowd
    places : list of str
        Keys of `PLACES`; each one gets a whole crowd.
    """
    connections = []
    for place in places:
        connections += _connect(context, instance, crowd, *PLACES[place])
    _drive(connections, instance)
    if crowd.reads_slowly:
        _read_slowly(connections, instance)


def _connect(context, instance, crowd, key, target):
    parts = crowd.make_parts(target)
    if key == "control" and crowd.make_parts is _make_whole_bodies:
        # A message of legal size without its last byte.
        frame = _FRAME_BYTES.to_bytes(4, "big") + parts[0]
        parts = [frame[: _FRAME_BYTES + 3]]
    elif key == "control" and crowd.make_parts is _make_half_head:
        # Half of the length of a message.
        parts = [bytes(2)]
    connections = []
    for _ in range(crowd.connections):
        connections.append(_Connection(instance.addresses[key], parts))
        context.add_cleanup(connections[-1].socket.close)
    return connections


def _drive(connections, instance):
    """Send all parts, until no connection makes progress any more."""
    selector = selectors.DefaultSelector()
    for connection in connections:
        selector.register(connection.socket, selectors.EVENT_WRITE, connection)
    end = time.monotonic() + _LONGEST_SECONDS
    progress_at = time.monotonic()
    while time.monotonic() < min(end, progress_at + _QUIET_SECONDS):
        instance.sample_descriptors()
        if not selector.get_map():
            time.sleep(_SELECT_SECONDS)
            continue
        for key, _ in selector.select(_SELECT_SECONDS):
            try:
                sent = key.data.send()
            except BlockingIOError:
                continue
            except OSError:
                # The instance closed the connection.
                sent = False
            if sent:
                progress_at = time.monotonic()
            else:
                selector.unregister(key.fileobj)


def _read_slowly(connections, instance):
    """Read a few bytes of each answer again and again."""
    for _ in range(_SLOW_READS):
        instance.sample_descriptors()
        for connection in connections:
            try:
                connection.socket.recv(_SLOW_READ_BYTES)
            except OSError:
                # Nothing has arrived, or the instance closed the connection.
                continue
        time.sleep(_SELECT_SECONDS)
