"""Measures the cost of reports, updates, server choice and rate limits by size.

Usage:
  benchmarks.sharing_cost [--rounds=N]

Options:
  --rounds=N  Repetitions of each measure [default: 2000].

A report with a number of server loads, rate limits, departures or ends of servers is
encoded and decoded; an end is counted while a number of digests is held; a server
is chosen from a number of servers of one service; an instance computes its share of a
rate limit among a number of active instances; an update with a number of routes is
compressed and decoded.
"""

import json
import sys
import time
from dataclasses import replace
from functools import partial
from itertools import count
from random import Random

from docopt import docopt

from benchmarks.fits import fit_line, print_lines
from kumquatsaddle.balance.choice import choose_server
from kumquatsaddle.balance.fatal_requests import FatalRequests, ServerEnd
from kumquatsaddle.balance.limit_shares import LimitShares
from kumquatsaddle.balance.requests import RoutedRequest
from kumquatsaddle.balance.servers import BalancedServer
from kumquatsaddle.discovery.records import InstanceRecord, ServerRecord
from kumquatsaddle.dispatch.protocol import DEFAULT_PROTOCOL
from kumquatsaddle.routes import PublishedRoute, RouteShare
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.sharing.messages import (
    Departure,
    EndAge,
    Report,
    ServerLoad,
    StatedLimit,
    decode_report,
    encode_report,
)
from kumquatsaddle.sharing.update_messages import (
    Update,
    decode_update,
    encode_update,
)
from kumquatsaddle.types import Rank, RequestDigest

__all__ = ["main"]

_LOAD_COUNTS = (0, 8, 32, 128)
_SERVER_COUNTS = (6, 24, 48, 96)
_LIMIT_COUNTS = (0, 8, 32, 128)
_DEPARTURE_COUNTS = (0, 8, 32, 128)
_END_COUNTS = (0, 8, 32, 100)
_DIGEST_COUNTS = (0, 500, 1000, 1900)
_INSTANCE_COUNTS = (4, 13, 26, 52)
_ZONES = tuple(f"z{number}" for number in range(7))
_ROUTE_COUNTS = (100, 500, 1800, 5500)
# An update takes about this much longer than a report.
_UPDATE_ROUNDS_DIVISOR = 100
_MICROSECONDS_PER_SECOND = 1e6


def _make_report(loads=0, limits=0, departures=0, ends=0):
    address = Address("10.0.0.1", 7540)
    sender = InstanceRecord("entry-1", "north", address, address)
    entries = tuple(
        ServerLoad(f"i-{number:08x}", 3, (100, 2, 1), 1) for number in range(loads)
    )
    stated = tuple(StatedLimit(f"i-{number:08x}", 1.5, 0.2) for number in range(limits))
    return Report(
        sender,
        1,
        1,
        True,
        False,
        1,
        1,
        0.5,
        entries,
        capacity=100.0,
        limits=stated,
        departures=tuple(
            Departure(f"i-{number:08x}", number) for number in range(departures)
        ),
        ends=tuple(
            EndAge(RequestDigest(number), f"i-{number:08x}", 0.2, 0.1)
            for number in range(ends)
        ),
    )


def _make_fatal_requests(digests):
    fatal = FatalRequests()
    for number in range(digests):
        fatal.add(_make_end(number), 1.0)
    return fatal


def _make_end(digest):
    return ServerEnd(RequestDigest(digest), "i-00000001", 0.5, 1.0)


def _check_and_count(fatal):
    """Do what a request and an end of a server take."""
    fatal.is_blocked(RequestDigest(-1), 1.0)
    fatal.add(_make_end(-2), 1.0)
    fatal.add(ServerEnd(RequestDigest(-2), "", 2.0, 2.0), 2.0)


def _make_servers(count):
    address = Address("10.0.0.1", 80)
    return [
        BalancedServer(
            ServerRecord(f"i-{number}", 1, "s", address, "north", 6, False),
            DEFAULT_PROTOCOL,
            0.0,
        )
        for number in range(count)
    ]


def _make_shares(instances):
    names = [f"entry-{number}" for number in range(instances)]
    address = Address("10.0.0.1", 7540)
    shares = LimitShares(InstanceRecord(names[0], "north", address, address))
    shares.update(names, _ZONES)
    return shares


def _make_limited_server():
    (server,) = _make_servers(1)
    server.rate_limit.rate = 4.0
    return server


def _make_request():
    shares = (RouteShare("s", 1.0),)
    route = PublishedRoute("r", "h", "/", True, 5.0, 2.0, Rank.BULK, 2, shares)
    return RoutedRequest(b"1", "GET", "/", [], b"", route, "s", 0.0, 5.0)


def _time_call_us(function, rounds):
    started = time.process_time()
    for _ in range(rounds):
        function()
    return (time.process_time() - started) / rounds * _MICROSECONDS_PER_SECOND


def _make_update(routes):
    """Return an update with a configuration in an encoding like that of a platform."""
    random = Random(1)
    resources = [
        {
            "kind": "route",
            "name": f"r-{random.randrange(1 << 24):06x}",
            "host": f"h{number % 9}.example",
            "prefix": f"/{random.randrange(1 << 24):06x}/",
            "service": f"s-{number % 110}",
            "attempts": 2,
            "timeout_ms": 6000,
            "objective_ms": 2000,
        }
        for number in range(routes)
    ]
    return Update(1, json.dumps(resources).encode(), 1, (), ())


def _send_update(updates):
    # Another one each time, since the sender compresses the same one only once.
    decode_update(encode_update(next(updates), compresses=True))


def _vary(update):
    """Yield an update with a new version each time."""
    for version in count(1):
        yield replace(update, routes_version=version)


def _fit_time(name, per, sizes, functions, rounds):
    """Fit a line to the processor time of functions, in microseconds."""
    times = [_time_call_us(function, rounds) for function in functions]
    return fit_line(name, "us", per, sizes, times)


def _fit_sizes(name, per, sizes, messages):
    """Fit a line to the lengths of encoded messages, in bytes."""
    return fit_line(name, "B", per, sizes, list(map(len, messages)))


def _send_report(report):
    decode_report(encode_report(report))


def main(arguments=None):
    """Print the fitted lines; return 0."""
    options = docopt(__doc__, argv=arguments)
    rounds = int(options["--rounds"])
    reports = [_make_report(loads=loads) for loads in _LOAD_COUNTS]
    limit_reports = [_make_report(limits=number) for number in _LIMIT_COUNTS]
    departure_reports = [_make_report(departures=size) for size in _DEPARTURE_COUNTS]
    end_reports = [_make_report(ends=number) for number in _END_COUNTS]
    updates = [_make_update(routes) for routes in _ROUTE_COUNTS]
    request, limited = _make_request(), _make_limited_server()
    lines = [
        _fit_time(
            "report, encode and decode",
            "load",
            _LOAD_COUNTS,
            [partial(_send_report, report) for report in reports],
            rounds,
        ),
        _fit_sizes("report, size", "load", _LOAD_COUNTS, map(encode_report, reports)),
        _fit_time(
            "choice of a server",
            "server",
            _SERVER_COUNTS,
            [
                partial(choose_server, _make_servers(size), request, 1.0, "north")
                for size in _SERVER_COUNTS
            ],
            rounds,
        ),
        _fit_time(
            "report, encode and decode",
            "limit",
            _LIMIT_COUNTS,
            [partial(_send_report, report) for report in limit_reports],
            rounds,
        ),
        _fit_sizes(
            "report, size", "limit", _LIMIT_COUNTS, map(encode_report, limit_reports)
        ),
        _fit_time(
            "report, encode and decode",
            "departure",
            _DEPARTURE_COUNTS,
            [partial(_send_report, report) for report in departure_reports],
            rounds,
        ),
        _fit_sizes(
            "report, size",
            "departure",
            _DEPARTURE_COUNTS,
            map(encode_report, departure_reports),
        ),
        _fit_time(
            "report, encode and decode",
            "end",
            _END_COUNTS,
            [partial(_send_report, report) for report in end_reports],
            rounds,
        ),
        _fit_sizes("report, size", "end", _END_COUNTS, map(encode_report, end_reports)),
        _fit_time(
            "check and count an end",
            "digest held",
            _DIGEST_COUNTS,
            [
                partial(_check_and_count, _make_fatal_requests(size))
                for size in _DIGEST_COUNTS
            ],
            rounds,
        ),
        _fit_time(
            "share of a limit",
            "active instance",
            _INSTANCE_COUNTS,
            [
                partial(_make_shares(size).compute_share, limited, _ZONES)
                for size in _INSTANCE_COUNTS
            ],
            rounds,
        ),
        _fit_time(
            "update, compress and decode",
            "route",
            _ROUTE_COUNTS,
            [partial(_send_update, _vary(update)) for update in updates],
            max(1, rounds // _UPDATE_ROUNDS_DIVISOR),
        ),
        _fit_sizes(
            "update, plain size", "route", _ROUTE_COUNTS, map(encode_update, updates)
        ),
        _fit_sizes(
            "update, compressed size",
            "route",
            _ROUTE_COUNTS,
            [encode_update(update, compresses=True) for update in updates],
        ),
    ]
    print_lines(lines)
    return 0


if __name__ == "__main__":
    sys.exit(main())
