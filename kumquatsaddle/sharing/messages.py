"""Encodes and decodes reports, the messages between instances in datagrams."""

from dataclasses import dataclass
from math import isfinite
from typing import NamedTuple

from kumquatsaddle.accounts.fleet_contact import ZoneView
from kumquatsaddle.balance.beliefs import Observation
from kumquatsaddle.discovery.positions import NO_EPOCH
from kumquatsaddle.discovery.records import InstanceRecord
from kumquatsaddle.sharing.encoding import (
    MAX_AGE_SECONDS,
    MAX_REVISION,
    convert_instance,
    decode_message,
    parse_cached_address,
    schema,
    write_instances,
)
from kumquatsaddle.types import (
    BackendId,
    InstanceId,
    RequestDigest,
    StoreEpoch,
    ZoneId,
)

__all__ = [
    "REPORTED_OBSERVATIONS",
    "Departure",
    "EndAge",
    "Report",
    "ServerLoad",
    "StatedLimit",
    "decode_report",
    "encode_report",
]

# Rate of a limit that has ended.
_NO_RATE = -1.0
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
    second. The versions `routes_version` and `servers_version` are of `store_epoch`.
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
    store_epoch: StoreEpoch = NO_EPOCH
    routes_revision: int = 0


def encode_report(report):
    """Return the bytes of a report."""
    message = _choose_report_schema(report).new_message()
    sender = report.sender
    message.sender, message.zone = sender.name, sender.zone
    message.callers, message.control = str(sender.callers), str(sender.control)
    message.incarnation, message.sequence = report.incarnation, report.sequence
    message.serving, message.leaving = report.serving, report.leaving
    message.routesVersion = report.routes_version
    message.serversVersion = report.servers_version
    message.readAgeMs = int(min(report.read_age, MAX_AGE_SECONDS) * 1000)
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
    message.storeEpoch = report.store_epoch
    message.routesRevision = min(report.routes_revision, MAX_REVISION)
    if report.zone_view is not None:
        _write_zone_view(message, report.zone_view, report.zone_records)
    return message.to_bytes()


def _choose_report_schema(report):
    """Return the shortest schema for a report; all are read as `Report`."""
    has_more = (
        report.silent
        or report.limits
        or report.departures
        or report.ends
        or report.zone_view is not None
    )
    return schema.Report if has_more else schema.ShortReport


def decode_report(data):
    """Return the report in a datagram.

    Raises
    ------
    MessageError
    """
    return decode_message(schema.Report, data, _convert_report)


def _write_limits(message, limits):
    targets = message.init("limits", len(limits))
    for target, limit in zip(targets, limits, strict=True):
        target.server = limit.server
        target.rate = _NO_RATE if limit.rate is None else limit.rate
        target.ageMs = int(min(limit.age, MAX_AGE_SECONDS) * 1000)


def _write_departures(message, departures):
    targets = message.init("departures", len(departures))
    for target, departure in zip(targets, departures, strict=True):
        target.server = departure.server
        target.startedAtMs = departure.started_at_ms


def _write_ends(message, ends):
    targets = message.init("ends", len(ends))
    for target, end in zip(targets, ends, strict=True):
        target.digest, target.server = end.digest, end.server
        target.startedAgoMs = int(min(end.started_ago, MAX_AGE_SECONDS) * 1000)
        target.endedAgoMs = int(min(end.ended_ago, MAX_AGE_SECONDS) * 1000)


def _write_zone_view(message, view, records):
    target = message.init("zoneView")
    target.active, target.live, target.known = list(view.active), view.live, view.known
    if records:
        write_instances(target.init("records", len(records)), records)


def _convert_report(message):
    has_view = message._has("zoneView")
    return Report(
        sender=InstanceRecord(
            InstanceId(message.sender),
            ZoneId(message.zone),
            parse_cached_address(message.callers),
            parse_cached_address(message.control),
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
        zone_records=tuple(convert_instance(item) for item in message.zoneView.records)
        if has_view
        else (),
        store_epoch=StoreEpoch(message.storeEpoch),
        routes_revision=message.routesRevision,
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
