"""Measures how processor time and memory grow with size, for docs/CAPACITY.md.

Usage:
  benchmarks.slopes [--quick]

Options:
  --quick  Fewer repeats.

Each measure runs at four or more sizes and is fitted by a straight line. Processor
times refer to one core of this machine; memory is the growth that tracemalloc reports.
Measures of other packages are in benchmarks.control_cost and
benchmarks.configuration_cost.
"""

import random
import sys
import time
import tracemalloc

from docopt import docopt

from benchmarks.fits import fit_line, print_lines
from kumquatsaddle.addresses.answers import order_homes
from kumquatsaddle.addresses.groups import Backend
from kumquatsaddle.addresses.homes import HomeCandidate
from kumquatsaddle.addresses.planner import make_placement
from kumquatsaddle.admission.limits import make_account_limits
from kumquatsaddle.configuration.entities import Limit, parse_entity
from kumquatsaddle.dispatch.peers import fill_forward, read_answer, write_answer
from kumquatsaddle.entry.routing import TO_HOME
from kumquatsaddle.exchange import Answer, Request
from kumquatsaddle.messages.codec import make_codec
from kumquatsaddle.operations.issuer import make_incarnation, make_issuer
from kumquatsaddle.operations.ledger import make_ledger
from kumquatsaddle.registries import Registry
from kumquatsaddle.types import Outcome, Rank, RefusalReason

__all__ = ["main", "make_placement_inputs", "measures"]

measures = Registry("measure")

_ZONES = 7
_SERVICES = 110
_BACKENDS = 4300
_NODES = 520


def make_placement_inputs(nodes=_NODES, backends=_BACKENDS):
    """Return the arguments of `make_placement` for a fleet.

    Returns
    -------
    tuple
        Lists of services, backend servers and home candidates.
    """
    rng = random.Random(1)
    services = [
        parse_entity("service", f"service-{number}", {}) for number in range(_SERVICES)
    ]
    listed = [
        Backend(
            f"backend-{number}",
            f"service-{rng.randrange(_SERVICES)}",
            f"10.0.{number // 250}.{number % 250}:7000",
            f"zone-{number % _ZONES}",
            f"region-{number % _ZONES // 4}",
        )
        for number in range(backends)
    ]
    candidates = [
        HomeCandidate(
            f"entry-{number}",
            f"zone-{number % _ZONES}",
            f"region-{number % _ZONES // 4}",
        )
        for number in range(nodes)
    ]
    return services, listed, candidates


def _time_call_ms(call, repeats):
    """Return the shortest processor time of a call, in milliseconds."""
    shortest = float("inf")
    for _ in range(repeats):
        started = time.process_time()
        call()
        shortest = min(shortest, time.process_time() - started)
    return shortest * 1000


def _measure_growth_kib(create):
    """Return the memory that the result of a call occupies, in KiB."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = create()
    growth = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del result
    return growth / 1024


@measures.register("placement time by nodes")
def measure_placement_by_nodes(repeats):
    """Return the line of the time to compute the placement, by nodes."""
    sizes = (65, 130, 260, 390, 520)
    values = []
    for nodes in sizes:
        inputs = make_placement_inputs(nodes, _BACKENDS)
        make_placement(*inputs)
        values.append(_time_call_ms(lambda: make_placement(*inputs), repeats))
    return fit_line("placement, 4300 backend servers", "ms", "nodes", sizes, values)


@measures.register("placement time by backend servers")
def measure_placement_by_backends(repeats):
    """Return the line of the time to compute the placement, by backend servers."""
    sizes = (540, 1080, 2150, 3200, 4300)
    values = []
    for backends in sizes:
        inputs = make_placement_inputs(_NODES, backends)
        make_placement(*inputs)
        values.append(_time_call_ms(lambda: make_placement(*inputs), repeats))
    return fit_line("placement, 520 nodes", "ms", "servers", sizes, values)


@measures.register("placement memory")
def measure_placement_memory(repeats):
    """Return the line of the memory of the server list and placement, by servers."""
    sizes = (540, 1080, 2150, 3200, 4300)

    def make(backends):
        inputs = make_placement_inputs(_NODES, backends)
        return inputs, make_placement(*inputs)

    make(sizes[0])
    values = [_measure_growth_kib(lambda size=size: make(size)) for size in sizes]
    return fit_line("list and placement, 520 nodes", "KiB", "servers", sizes, values)


@measures.register("address answer")
def measure_home_order(repeats):
    """Return the line of the time to order the homes of an account, by homes."""
    sizes = (4, 8, 16, 32)
    values = []
    for count in sizes:
        weights = {f"entry-{number}": 4 for number in range(count)}

        def call():
            for number in range(2000):
                order_homes(weights, "service", f"account-{number}")

        values.append(_time_call_ms(call, repeats) / 2)
    return fit_line("order of homes", "us", "homes", sizes, values)


@measures.register("ledger memory")
def measure_ledger_memory(repeats):
    """Return the line of the memory of the ledger, by operations on record."""
    sizes = (5000, 10000, 20000, 40000)

    def make(count):
        ledger, issuer = make_ledger(lambda: 0.0), make_issuer(make_incarnation())
        for _ in range(count):
            ledger.record_refusal(issuer.issue(0.0), 0.0, RefusalReason.DEADLINE)
        return ledger

    values = [_measure_growth_kib(lambda size=size: make(size)) for size in sizes]
    return fit_line("ledger", "KiB", "records", sizes, values)


@measures.register("limits memory")
def measure_limits_memory(repeats):
    """Return the line of the memory of account limits, by active accounts."""
    sizes = (500, 1000, 2000, 4000)

    def make(count):
        limits, limit = make_account_limits(), Limit(10.0, 20.0)
        for number in range(count):
            limits.admit(f"account-{number}", "service", limit, 1.0, 0.0)
        return limits

    values = [_measure_growth_kib(lambda size=size: make(size)) for size in sizes]
    return fit_line("account limits", "KiB", "accounts", sizes, values)


@measures.register("operation ids")
def measure_operation_ids(repeats):
    """Return the line of the time to issue, verify and record operation ids."""
    sizes = (1000, 2000, 4000, 8000)
    issuer = make_issuer(make_incarnation())

    def run(count):
        ledger = make_ledger(lambda: 0.0)
        for _ in range(count):
            operation = issuer.issue(0.0)
            issuer.read_issue_time(operation)
            ledger.record_refusal(operation, 0.0, RefusalReason.DEADLINE)

    values = [_time_call_ms(lambda size=size: run(size), repeats) for size in sizes]
    return fit_line("operation ids", "ms", "operations", sizes, values)


@measures.register("forwarded request")
def measure_forwarding(repeats):
    """Return the line of the time to encode and decode a forward, by body size.

    A forward is a request between two instances and its reply.
    """
    sizes = (0, 1, 4, 16)
    key = [b"k" * 32]

    def run(kibibytes):
        body = b"x" * (kibibytes * 1024)
        sender, receiver = make_codec("a", "a", key), make_codec("b", "b", key)
        for number in range(500):
            _forward_request(sender, receiver, number, body)

    values = [_time_call_ms(lambda size=size: run(size), repeats) * 2 for size in sizes]
    return fit_line("hop, both messages", "us", "KiB of body", sizes, values)


def _forward_request(sender, receiver, number, body):
    request = Request(
        "POST", "/order", [], body, "shop", "order", Rank.STANDARD, False, 0.0
    )
    envelope = sender.new_envelope()
    fill_forward(envelope, number, TO_HOME, request, 1.0, "b")
    received = receiver.open(sender.seal(envelope)).forward
    answer = Answer(Outcome.DONE, 200, (), bytes(received.body))
    reply = receiver.new_envelope()
    write_answer(reply, received.number, answer)
    read_answer(sender.open(receiver.seal(reply)))


def main(arguments=None):
    """Run the measures and print a table of the lines."""
    options = docopt(__doc__, argv=arguments)
    repeats = 2 if options["--quick"] else 5
    lines = []
    for name in measures.names():
        print(f"measuring {name}", file=sys.stderr, flush=True)
        lines.append(measures.get(name)(repeats))
    print_lines(lines)
    return 0


if __name__ == "__main__":
    sys.exit(main())
