"""Encodes and decodes the messages of `reports.capnp`."""

import zlib
from dataclasses import dataclass
from functools import lru_cache
from math import isfinite
from pathlib import Path
from typing import NamedTuple

import capnp

from kumquatsaddle.accounts.fleet_contact import ZoneView
from kumquatsaddle.balance.beliefs import Observation
from kumquatsaddle.discovery.records import InstanceRecord
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.types import (
    BackendId,
    InstanceId,
    MessageRejection,
    RequestDigest,
    ZoneId,
)

__all__ = [
    "REPORTED_OBSERVATIONS",
    "Departure",
    "EndAge",
    "EncodedRow",
    "Fetch",
    "Report",
    "ServerLoad",
    "StatedLimit",
    "Update",
    "decode_fetch",
    "decode_report",
    "decode_update",
    "encode_fetch",
    "encode_report",
    "encode_update",
]

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("reports.capnp")))
_WORD_BYTES = 8
# Ages are capped so that they fit into the field of the message.
_MAX_AGE_SECONDS = 1e6
# Rate of a limit that has ended.
_NO_RATE = -1.0
# Cached because each report repeats two addresses, and parsing them costs more than
# decoding the rest.
_parse_address = lru_cache(maxsize=4096)(parse_address)
# Shorter updates are not compressed: they fit into a packet or two.
_MIN_COMPRESSED_BYTES = 2048
_COMPRESSION_LEVEL = 1
# Longest update after decompression.
_MAX_UPDATE_BYTES = 1 << 26
# Kinds of observations whose totals a report carries, in the order of its columns.
REPORTED_OBSERVATIONS = (
    Observation.SERVED,
    Observation.FAILED_FAST,
    Observation.FAILED_SLOWLY,
)

# Per server in the column `numbers`: requests in flight, the totals of observations
# and `past_fast_failure`.
_VALUES_PER_LOAD = len(REPORTED_OBSERVATIONS) + 2


class ServerLoad(NamedTuple):
    """The load and observations of one backend server at one instance or zone.

    Parameters
    ----------
    server : BackendId
    in_flight : int
    counts : tuple of int
        Total observations since the sender first knew the server, in the order of
        `REPORTED_OBSERVATIONS`.
    past_fast_failure : int
        Requests in flight for longer than a fast failure takes.
    """

    server: BackendId
    in_flight: int
    counts: tuple[int, ...]
    past_fast_failure: int = 0


class StatedLimit(NamedTuple):
    """The rate limit that a backend server stated in an answer.

    Parameters
    ----------
    server : BackendId
    rate : float or None
        In requests a second; None if the answer stated none.
    age : float
        Time since the answer arrived, in seconds.
    """

    server: BackendId
    rate: float | None
    age: float


class Departure(NamedTuple):
    """A backend server that has said that it leaves.

    Parameters
    ----------
    server : BackendId
    started_at_ms : int
        Its start in milliseconds since the epoch, which tells its incarnations apart.
    """

    server: BackendId
    started_at_ms: int


class EndAge(NamedTuple):
    """A `ServerEnd` with times before the report in place of times of a clock.

    Parameters
    ----------
    digest : RequestDigest
    server : BackendId
        Empty if the digest was cleared.
    started_ago, ended_ago : float
        Time since the start and the end of the attempt, in seconds.
    """

    digest: RequestDigest
    server: BackendId
    started_ago: float
    ended_ago: float


@dataclass(frozen=True, slots=True)
class Report:
    """The content of a datagram; see `reports.capnp`.

    Here `read_age` and `interval` are in seconds, and `capacity` is in requests per
    second.
    """

    sender: InstanceRecord
    incarnation: int
    sequence: int
    serving: bool
    leaving: bool
    routes_version: int
    servers_version: int
    read_age: float
    loads: tuple[ServerLoad, ...]
    wants_reply: bool = False
    summary: bool = False
    partial: bool = False
    capacity: float = 0.0
    interval: float = 0.0
    silent: tuple[InstanceId, ...] = ()
    limits: tuple[StatedLimit, ...] = ()
    departures: tuple[Departure, ...] = ()
    ends: tuple[EndAge, ...] = ()
    holds_quotas: bool = False
    recently_started: bool = False
    zone_view: ZoneView | None = None
    zone_records: tuple[InstanceRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class Fetch:
    """Request for the routes and servers that changed after given store versions."""

    sender: InstanceId
    routes_after: int
    servers_after: int
    wants_instances: bool = False
    accepts_compressed: bool = False


@dataclass(frozen=True, slots=True)
class EncodedRow:
    """An entry of the list of backend servers as the platform encodes it.

    Parameters
    ----------
    key : str
    version : int
    removed : bool
    text : bytes
    keep_seconds : float, default=0.0
        How long the server of a removed entry stays in use.
    """

    key: str
    version: int
    removed: bool
    text: bytes
    keep_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Update:
    """The answer to a `Fetch`.

    Parameters
    ----------
    routes_version : int
    routes : bytes
        Empty if they are not newer.
    servers_version : int
        Version of the newest change that the sender knows.
    rows : tuple of EncodedRow
    instances : tuple of InstanceRecord
        Empty if not wanted.
    complete_version : int, default=0
        Version as of which the rows are the whole list; 0 if they are only those that
        changed.
    """

    routes_version: int
    routes: bytes
    servers_version: int
    rows: tuple[EncodedRow, ...]
    instances: tuple[InstanceRecord, ...]
    complete_version: int = 0


def encode_report(report):
    """Return the bytes of a report."""
    message = _schema.Report.new_message()
    sender = report.sender
    message.sender, message.zone = sender.name, sender.zone
    message.callers, message.control = str(sender.callers), str(sender.control)
    message.incarnation, message.sequence = report.incarnation, report.sequence
    message.serving, message.leaving = report.serving, report.leaving
    message.routesVersion = report.routes_version
    message.serversVersion = report.servers_version
    message.readAgeMs = int(min(report.read_age, _MAX_AGE_SECONDS) * 1000)
    message.wantsReply = report.wants_reply
    message.summary, message.partial = report.summary, report.partial
    message.capacity = report.capacity
    message.intervalMs = int(report.interval * 1000)
    message.servers = [load.server for load in report.loads]
    numbers = []
    for load in report.loads:
        numbers += (load.in_flight, *load.counts, load.past_fast_failure)
    message.numbers = numbers
    if report.silent:
        message.silent = list(report.silent)
    if report.limits:
        _write_limits(message, report.limits)
    if report.departures:
        _write_departures(message, report.departures)
    if report.ends:
        _write_ends(message, report.ends)
    message.holdsQuotas = report.holds_quotas
    message.recentlyStarted = report.recently_started
    if report.zone_view is not None:
        _write_zone_view(message, report.zone_view, report.zone_records)
    return message.to_bytes()


def decode_report(data):
    """Return the report in a datagram.

    Raises
    ------
    MessageError
    """
    return _decode(_schema.Report, data, _convert_report)


def encode_fetch(fetch):
    """Return the bytes of a fetch."""
    message = _schema.Fetch.new_message()
    message.sender = fetch.sender
    message.routesAfter = fetch.routes_after
    message.serversAfter = fetch.servers_after
    message.wantsInstances = fetch.wants_instances
    message.acceptsCompressed = fetch.accepts_compressed
    return message.to_bytes()


def decode_fetch(data):
    """Return the fetch in a frame; raise `MessageError` if it is invalid."""
    return _decode(
        _schema.Fetch,
        data,
        lambda item: Fetch(
            item.sender,
            item.routesAfter,
            item.serversAfter,
            item.wantsInstances,
            item.acceptsCompressed,
        ),
    )


def encode_update(update, compresses=False):
    """Return the bytes of an update.

    Parameters
    ----------
    update : Update
    compresses : bool, default=False
        Whether a long one may be compressed.
    """
    message = _schema.Update.new_message()
    message.routesVersion, message.routes = update.routes_version, update.routes
    message.serversVersion = update.servers_version
    message.completeVersion = update.complete_version
    rows = message.init("rows", len(update.rows))
    for target, row in zip(rows, update.rows, strict=True):
        target.key, target.version = row.key, row.version
        target.removed, target.text = row.removed, row.text
        target.keepMs = int(min(row.keep_seconds, _MAX_AGE_SECONDS) * 1000)
    _write_instances(message.init("instances", len(update.instances)), update.instances)
    data = message.to_bytes()
    if not compresses or len(data) < _MIN_COMPRESSED_BYTES:
        return data
    return _compress(data)


@lru_cache(maxsize=4)
def _compress(data):
    """Return an update that holds another one compressed.

    Cached because all instances of a zone fetch the same one at about the same time.
    """
    message = _schema.Update.new_message()
    message.compressed = zlib.compress(data, _COMPRESSION_LEVEL)
    return message.to_bytes()


def decode_update(data):
    """Return the update in a frame; raise `MessageError` if it is invalid."""
    compressed = _decode(_schema.Update, data, lambda item: bytes(item.compressed))
    if compressed:
        data = _decompress(compressed)
    return _decode(_schema.Update, data, _convert_update)


def _decode(schema, data, convert):
    if len(data) % _WORD_BYTES or not data:
        raise MessageError(MessageRejection.TRUNCATED.value)
    try:
        with schema.from_bytes(data) as message:
            return convert(message)
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise MessageError(f"{MessageRejection.MALFORMED.value}: {error}") from None


def _write_limits(message, limits):
    targets = message.init("limits", len(limits))
    for target, limit in zip(targets, limits, strict=True):
        target.server = limit.server
        target.rate = _NO_RATE if limit.rate is None else limit.rate
        target.ageMs = int(min(limit.age, _MAX_AGE_SECONDS) * 1000)


def _write_departures(message, departures):
    targets = message.init("departures", len(departures))
    for target, departure in zip(targets, departures, strict=True):
        target.server = departure.server
        target.startedAtMs = departure.started_at_ms


def _write_ends(message, ends):
    targets = message.init("ends", len(ends))
    for target, end in zip(targets, ends, strict=True):
        target.digest, target.server = end.digest, end.server
        target.startedAgoMs = int(min(end.started_ago, _MAX_AGE_SECONDS) * 1000)
        target.endedAgoMs = int(min(end.ended_ago, _MAX_AGE_SECONDS) * 1000)


def _write_zone_view(message, view, records):
    target = message.init("zoneView")
    target.active, target.live, target.known = list(view.active), view.live, view.known
    if records:
        _write_instances(target.init("records", len(records)), records)


def _write_instances(targets, records):
    for target, item in zip(targets, records, strict=True):
        target.name, target.zone = item.name, item.zone
        target.callers, target.control = str(item.callers), str(item.control)


def _convert_report(message):
    has_view = message._has("zoneView")
    return Report(
        sender=InstanceRecord(
            InstanceId(message.sender),
            ZoneId(message.zone),
            _parse_address(message.callers),
            _parse_address(message.control),
        ),
        incarnation=message.incarnation,
        sequence=message.sequence,
        serving=message.serving,
        leaving=message.leaving,
        routes_version=message.routesVersion,
        servers_version=message.serversVersion,
        read_age=message.readAgeMs / 1000,
        loads=_convert_loads(message),
        wants_reply=message.wantsReply,
        summary=message.summary,
        partial=message.partial,
        capacity=message.capacity,
        interval=message.intervalMs / 1000,
        silent=tuple(InstanceId(name) for name in message.silent),
        limits=tuple(_convert_limit(item) for item in message.limits),
        departures=tuple(
            Departure(BackendId(item.server), item.startedAtMs)
            for item in message.departures
        ),
        ends=tuple(
            EndAge(
                RequestDigest(item.digest),
                BackendId(item.server),
                item.startedAgoMs / 1000,
                item.endedAgoMs / 1000,
            )
            for item in message.ends
        ),
        holds_quotas=message.holdsQuotas,
        recently_started=message.recentlyStarted,
        zone_view=_convert_zone_view(message.zoneView) if has_view else None,
        zone_records=tuple(_convert_instance(item) for item in message.zoneView.records)
        if has_view
        else (),
    )


def _convert_zone_view(message):
    return ZoneView(tuple(message.active), message.live, message.known)


def _convert_limit(message):
    """Return a limit; raise `ValueError` if its rate is no number."""
    if not isfinite(message.rate):
        raise ValueError(f"rate of {message.server} is {message.rate}")
    rate = message.rate if message.rate >= 0 else None
    return StatedLimit(BackendId(message.server), rate, message.ageMs / 1000)


def _convert_loads(message):
    """Return the loads of a report; raise `ValueError` if its columns do not match."""
    numbers = iter(message.numbers)
    rows = zip(*[numbers] * _VALUES_PER_LOAD, strict=True)
    return tuple(
        ServerLoad(server, in_flight, (served, fast, slowly), past_fast_failure)
        for server, (in_flight, served, fast, slowly, past_fast_failure) in zip(
            message.servers, rows, strict=True
        )
    )


def _decompress(data):
    """Return the bytes of an update; raise `MessageError` if they are invalid."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, _MAX_UPDATE_BYTES)
    except zlib.error as error:
        raise MessageError(f"{MessageRejection.MALFORMED.value}: {error}") from None
    if not decompressor.eof:
        raise MessageError(MessageRejection.TRUNCATED.value)
    return decompressed


def _convert_update(message):
    return Update(
        routes_version=message.routesVersion,
        routes=bytes(message.routes),
        servers_version=message.serversVersion,
        rows=tuple(
            EncodedRow(
                row.key, row.version, row.removed, bytes(row.text), row.keepMs / 1000
            )
            for row in message.rows
        ),
        instances=tuple(_convert_instance(item) for item in message.instances),
        complete_version=message.completeVersion,
    )


def _convert_instance(message):
    return InstanceRecord(
        InstanceId(message.name),
        ZoneId(message.zone),
        _parse_address(message.callers),
        _parse_address(message.control),
    )
