"""Measures the cost of load reports, server choice and rate limits at several sizes.

Usage:
  benchmarks.sharing_cost [--rounds=N]

Options:
  --rounds=N  Repetitions of each measure [default: 2000].

A report with a number of server loads or rate limits is encoded and decoded; a server
is chosen from a number of servers of one service; an instance computes its share of a
rate limit among a number of active instances.
"""

import sys
import time

from docopt import docopt

from benchmarks.fits import fit_line, print_lines
from kumquatsaddle.balance.choice import choose_server
from kumquatsaddle.balance.limit_shares import LimitShares
from kumquatsaddle.balance.requests import RoutedRequest
from kumquatsaddle.balance.servers import BalancedServer
from kumquatsaddle.discovery.records import InstanceRecord, ServerRecord
from kumquatsaddle.dispatch.protocol import DEFAULT_PROTOCOL
from kumquatsaddle.routes import PublishedRoute, RouteShare
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.sharing.messages import (
    Report,
    ServerLoad,
    StatedLimit,
    decode_report,
    encode_report,
)
from kumquatsaddle.types import Rank

__all__ = ["main"]

_LOAD_COUNTS = (0, 8, 32, 128)
_SERVER_COUNTS = (6, 24, 48, 96)
_LIMIT_COUNTS = (0, 8, 32, 128)
_INSTANCE_COUNTS = (4, 13, 26, 52)
_ZONES = tuple(f"z{number}" for number in range(7))
_MICROSECONDS_PER_SECOND = 1e6


def _make_report(loads, limits=0):
    address = Address("10.0.0.1", 7540)
    sender = InstanceRecord("entry-1", "north", address, address)
    entries = tuple(
        ServerLoad(f"i-{number:08x}", 3, (100, 2, 1), 1) for number in range(loads)
    )
    stated = tuple(StatedLimit(f"i-{number:08x}", 1.5, 0.2) for number in range(limits))
    return Report(
        sender, 1, 1, True, False, 1, 1, 0.5, entries, capacity=100.0, limits=stated
    )


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


def main(arguments=None):
    """Print the fitted lines; return 0."""
    options = docopt(__doc__, argv=arguments)
    rounds = int(options["--rounds"])
    reports = [_make_report(loads) for loads in _LOAD_COUNTS]
    request = _make_request()
    pools = [_make_servers(count) for count in _SERVER_COUNTS]
    limit_reports = [_make_report(0, limits) for limits in _LIMIT_COUNTS]
    shares, limited = map(_make_shares, _INSTANCE_COUNTS), _make_limited_server()
    lines = [
        fit_line(
            "report, encode and decode",
            "us",
            "load",
            _LOAD_COUNTS,
            [
                _time_call_us(lambda r=report: decode_report(encode_report(r)), rounds)
                for report in reports
            ],
        ),
        fit_line(
            "report, size",
            "B",
            "load",
            _LOAD_COUNTS,
            [len(encode_report(report)) for report in reports],
        ),
        fit_line(
            "choice of a server",
            "us",
            "server",
            _SERVER_COUNTS,
            [
                _time_call_us(
                    lambda p=pool: choose_server(p, request, 1.0, "north"), rounds
                )
                for pool in pools
            ],
        ),
        fit_line(
            "report, encode and decode",
            "us",
            "limit",
            _LIMIT_COUNTS,
            [
                _time_call_us(lambda r=report: decode_report(encode_report(r)), rounds)
                for report in limit_reports
            ],
        ),
        fit_line(
            "report, size",
            "B",
            "limit",
            _LIMIT_COUNTS,
            [len(encode_report(report)) for report in limit_reports],
        ),
        fit_line(
            "share of a limit",
            "us",
            "active instance",
            _INSTANCE_COUNTS,
            [
                _time_call_us(lambda s=item: s.compute_share(limited, _ZONES), rounds)
                for item in shares
            ],
        ),
    ]
    print_lines(lines)
    return 0


if __name__ == "__main__":
    sys.exit(main())
