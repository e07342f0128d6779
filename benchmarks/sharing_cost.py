"""Measures the cost of load reports and of the choice of a server at several sizes.

Usage:
  benchmarks.sharing_cost [--rounds=N]

Options:
  --rounds=N  Repetitions of each measure [default: 2000].

A report with a number of server loads is encoded and decoded; a server is chosen from a
number of servers of one service.
"""

import sys
import time

from docopt import docopt

from benchmarks.fits import fit_line, print_lines
from kumquatsaddle.balance.choice import choose_server
from kumquatsaddle.balance.requests import RoutedRequest
from kumquatsaddle.balance.servers import BalancedServer
from kumquatsaddle.discovery.records import InstanceRecord, ServerRecord
from kumquatsaddle.dispatch.protocol import DEFAULT_PROTOCOL
from kumquatsaddle.routes import PublishedRoute, RouteShare
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.sharing.messages import (
    Report,
    ServerLoad,
    decode_report,
    encode_report,
)
from kumquatsaddle.types import Rank

__all__ = ["main"]

_LOAD_COUNTS = (0, 8, 32, 128)
_SERVER_COUNTS = (6, 24, 48, 96)
_MICROSECONDS_PER_SECOND = 1e6


def _make_report(loads):
    address = Address("10.0.0.1", 7540)
    sender = InstanceRecord("entry-1", "north", address, address)
    entries = tuple(
        ServerLoad(f"i-{number:08x}", 3, (100, 2, 1), 1) for number in range(loads)
    )
    return Report(sender, 1, 1, True, False, 1, 1, 0.5, entries, capacity=100.0)


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
    ]
    print_lines(lines)
    return 0


if __name__ == "__main__":
    sys.exit(main())
