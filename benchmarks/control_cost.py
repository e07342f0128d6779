"""Measures what gossip and digests cost one instance, and how fast updates spread.

Usage:
  benchmarks.control_cost [--sizes=LIST] [--seconds=N] [--spread=LIST]

Options:
  --sizes=LIST   Sizes of the fleet [default: 16,64,256,520].
  --seconds=N    Simulated seconds for each size [default: 300].
  --spread=LIST  Sizes for the time that an update takes to reach all instances
                 [default: 16,64,256,520].

One instance runs the real gossip on an in-memory network in simulated time. Its peers
are simulated: they answer probes, and send it the probes, digests and member updates
that a fleet of that size sends to one instance on the target's busy day. The processor
time of the simulated peers is subtracted. The in-memory network makes no UDP system
calls; their cost is measured separately and added.
"""

import math
import random
import socket
import statistics
import sys
import time
import tracemalloc
from dataclasses import dataclass, replace

import trio
from docopt import docopt
from trio.testing import MockClock

from benchmarks.light_peers import (
    STATE_CHANGES_PER_SECOND,
    TARGET_SIZE,
    SimulatedPeers,
    make_service_digests,
)
from kumquatsaddle.dispatch.digests import choose_digests, make_digest_table
from kumquatsaddle.logs import set_log_level
from kumquatsaddle.membership.exchange import fill_members
from kumquatsaddle.membership.gossip import Gossip
from kumquatsaddle.membership.members import make_table, read_member, write_member
from kumquatsaddle.membership.update_queue import make_update_queue
from kumquatsaddle.messages.codec import make_codec
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.testing.gossip_fleet import (
    KEY,
    MemoryFleet,
    describe_instance,
    locate_instance,
    read_clock,
)
from kumquatsaddle.testing.network import make_network
from kumquatsaddle.types import InstanceState

__all__ = ["main"]

# Requirements at 520 instances, for all control traffic and work of a node.
_MAX_BYTES_PER_SECOND = 3000
_MAX_CORE_SHARE = 0.045
_MAX_MEMORY_BYTES = 32 << 20
_MAX_DATAGRAM_BYTES = 1400
# At the target size.
_HOMES_PER_SERVICE = 10
_DISSEMINATION_RUNS = 3
# Number of sequence numbers that a replay window covers.
_REPLAY_WINDOW_BITS = 8192
_SETTLE_SECONDS = 2
# Table fetches are counted in a fleet in which all instances run the real gossip.
_CHURN_SIZE = 128
_CHURN_SECONDS = 240
_MAX_DISSEMINATION_SECONDS = 120.0


@dataclass
class GossipCost:
    """Mean cost of the measured instance in a fleet of one size.

    Parameters
    ----------
    size : int
        Instances of the fleet.
    sent_per_second, received_per_second : float
        Bytes of control messages.
    core_share : float
        Processor time, as a share of one core.
    datagrams_per_second : float
        Datagrams sent and received.
    longest_bytes : int
        Size of the longest datagram.
    """

    size: int
    sent_per_second: float
    received_per_second: float
    core_share: float
    datagrams_per_second: float
    longest_bytes: int


def make_gossip(network, rng):
    """Return the gossip of the measured instance."""
    own = describe_instance(0, "f" * 16, 1e9)
    return Gossip(
        make_table(own),
        make_codec(own.name, own.incarnation, [KEY], read_clock),
        make_metrics(),
        1.0,
        3.0,
        lambda: 1,
        lambda name, version: None,
        rng,
        network.open,
    )


async def send_service_digests(gossip, names, rng):
    """Send the digests of the own services to their homes once a second."""
    own = gossip.table.own.name
    while True:
        await trio.sleep(1.0)
        chosen = choose_digests(make_service_digests(), lambda _: names, own, rng)
        for home, digests in chosen.items():
            await gossip.send_service_digests(home, digests)


async def measure_cost(size, seconds):
    """Return the `GossipCost` of one instance in a fleet of `size`."""
    rng = random.Random(size)
    network = make_network(size)
    gossip = make_gossip(network, rng)
    peers = SimulatedPeers(network, gossip, size, rng)
    digest_table = make_digest_table()

    def record_digests(member, digests):
        for digest in digests:
            digest_table.record(member, digest, trio.current_time())

    gossip.on_service_digests = record_digests
    for member in peers.members:
        gossip.table.merge(member, 0.0)
    names = [member.name for member in peers.members[:_HOMES_PER_SERVICE]]
    async with trio.open_nursery() as nursery:
        await nursery.start(gossip.run, Address(*locate_instance(0)))
        gossip.set_own_state(InstanceState.ALIVE)
        nursery.start_soon(peers.run)
        nursery.start_soon(send_service_digests, gossip, names, rng)
        # Updates about the start of the measured instance are not part of the steady
        # cost.
        await trio.sleep(60)
        before = dict(gossip.metrics.counts)
        peers.processor_seconds, network.sent = 0.0, 0
        started = time.process_time()
        await trio.sleep(seconds)
        processor_seconds = time.process_time() - started - peers.processor_seconds
        after = gossip.metrics.counts
        nursery.cancel_scope.cancel()

    def counter_rate(name):
        return (after[name, ()] - before.get((name, ()), 0)) / seconds

    datagrams_per_second = network.sent / seconds
    return GossipCost(
        size,
        counter_rate("control_bytes_sent"),
        counter_rate("control_bytes_received"),
        processor_seconds / seconds + datagrams_per_second * measure_datagram_call(),
        datagrams_per_second,
        network.longest,
    )


def measure_datagram_call(count=2000):
    """Return the processor time of sending or receiving one datagram, in seconds."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
    ):
        receiver.bind(("127.0.0.1", 0))
        address = receiver.getsockname()
        started = time.process_time()
        for _ in range(count):
            sender.sendto(b"x" * 300, address)
            receiver.recvfrom(2048)
        return (time.process_time() - started) / (2 * count)


async def measure_memory(size):
    """Return the bytes held by the member table, the replay windows and the digests."""
    senders = [
        make_codec(f"entry-{number:03}", f"{number:016x}", [KEY], read_clock)
        for number in range(1, size)
    ]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    gossip = make_gossip(make_network(size), random.Random(1))
    digest_table = make_digest_table()
    for number, sender in enumerate(senders, 1):
        member = describe_instance(number, sender.incarnation)
        _deliver_update(gossip, sender, member)
        # The second message extends the replay window to its maximum length.
        sender._sequence = _REPLAY_WINDOW_BITS - 2
        _deliver_update(gossip, sender, member)
        for digest in make_service_digests():
            digest_table.record(sender.name, digest, 0.0)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used


def _deliver_update(gossip, sender, member):
    envelope = sender.new_envelope()
    write_member(envelope.init("ping").init("updates", 1)[0], member)
    received = gossip._codec.open(sender.seal(envelope))
    gossip.merge_update(read_member(received.ping.updates[0]))


async def measure_dissemination(size, rng):
    """Return the probe periods until all instances know one change of state.

    The value is infinite if that takes more than 120 probe periods of 1 s.
    """
    network = make_network(rng.randrange(1 << 30))
    async with trio.open_nursery() as nursery:
        fleet = MemoryFleet(network, nursery)
        members = make_alive_members(size)
        for number in range(size):
            await fleet.start(number, seeds=(), known=members, started_at=1e9)
        # All tables are equal from the start. Pending updates about the starts are
        # dropped, so that the instances only send the measured change.
        await trio.sleep(_SETTLE_SECONDS)
        for gossip in fleet.gossips.values():
            gossip._updates = make_update_queue()
        origin = fleet.gossips[rng.randrange(size)]
        origin.set_own_state(InstanceState.IMPAIRED)
        started, record = trio.current_time(), origin.table.own
        while not all(
            gossip.table.members.get(record.name) == record
            for gossip in fleet.gossips.values()
        ):
            await trio.sleep(0.1)
            if trio.current_time() - started > _MAX_DISSEMINATION_SECONDS:
                return math.inf
        elapsed = trio.current_time() - started
        nursery.cancel_scope.cancel()
    return elapsed


async def measure_table_fetches(size, seconds):
    """Return the member table fetches per instance and second at the target's churn.

    Also returns the bytes of one table of the target size.
    """
    rng = random.Random(3)
    async with trio.open_nursery() as nursery:
        fleet = MemoryFleet(make_network(1, loss=0.01), nursery)
        members = make_alive_members(size)
        for number in range(size):
            await fleet.start(number, seeds=(), known=members, started_at=1e9)
        # Updates about the starts must have reached all instances.
        await trio.sleep(60)
        before = fleet.count("member_table_fetches")
        for _ in range(seconds):
            await trio.sleep(1.0)
            if rng.random() < STATE_CHANGES_PER_SECOND:
                gossip = fleet.gossips[rng.randrange(size)]
                alive = gossip.table.own.state is InstanceState.ALIVE
                state = InstanceState.IMPAIRED if alive else InstanceState.ALIVE
                gossip.set_own_state(state)
        fetches = fleet.count("member_table_fetches") - before
        nursery.cancel_scope.cancel()
    table = make_table(describe_instance(0, "f" * 16, 1e9))
    for member in make_alive_members(TARGET_SIZE)[1:]:
        table.merge(member, 0.0)
    codec = make_codec("entry-000", "f" * 16, [KEY], read_clock)
    envelope = codec.new_envelope()
    fill_members(envelope, 1, table)
    return fetches / size / seconds, len(codec.seal(envelope))


def make_alive_members(size):
    """Return the records of a fleet whose instances are all ALIVE."""
    return [
        replace(
            describe_instance(number, f"{number + 1:016x}", 1e9),
            state=InstanceState.ALIVE,
            revision=2,
        )
        for number in range(size)
    ]


def fit_least_squares(points):
    """Return slope, intercept and largest absolute residual of a least-squares line."""
    mean_x = statistics.fmean(x for x, _ in points)
    mean_y = statistics.fmean(y for _, y in points)
    squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) for x, y in points)
    return slope, intercept, residual


def print_fit(label, points, unit):
    """Print the fitted line of a cost over the size of the fleet."""
    slope, intercept, residual = fit_least_squares(points)
    print(
        f"{label}: {intercept:.4g} {unit} + {slope:.3g} {unit} per instance, "
        f"largest residual {residual:.3g} {unit}"
    )


def print_verdict(label, value, limit, unit):
    """Print whether a requirement is met."""
    verdict = "met" if value <= limit else "MISSED"
    print(f"{verdict}: {label} {value:.4g} {unit}, at most {limit:.4g} {unit}")


def print_costs(costs):
    """Print a table of costs, the fitted lines and the verdicts."""
    print("size  sent B/s  received B/s  core %  datagrams/s  longest B")
    for cost in costs:
        print(
            f"{cost.size:4}  {cost.sent_per_second:8.0f}  "
            f"{cost.received_per_second:12.0f}  {100 * cost.core_share:6.3f}  "
            f"{cost.datagrams_per_second:11.1f}  {cost.longest_bytes:9}"
        )
    print_fit("sent", [(cost.size, cost.sent_per_second) for cost in costs], "B/s")
    both = [
        (cost.size, cost.sent_per_second + cost.received_per_second) for cost in costs
    ]
    print_fit("sent and received", both, "B/s")
    print_fit("core", [(cost.size, 100 * cost.core_share) for cost in costs], "%")
    last = costs[-1]
    limit = _MAX_BYTES_PER_SECOND
    print_verdict(f"sent at {last.size}", last.sent_per_second, limit, "B/s")
    print_verdict(f"sent and received at {last.size}", both[-1][1], limit, "B/s")
    print_verdict(
        f"core at {last.size}", 100 * last.core_share, 100 * _MAX_CORE_SHARE, "%"
    )
    longest = max(cost.longest_bytes for cost in costs)
    print_verdict("longest datagram", longest, _MAX_DATAGRAM_BYTES - 1, "B")


def run_in_simulated_time(function, *arguments):
    """Run an async function in simulated time and return its result."""
    return trio.run(function, *arguments, clock=MockClock(autojump_threshold=0))


def main(arguments=None):
    """Measure and print; return 0 if all requirements are met."""
    options = docopt(__doc__, argv=arguments)
    set_log_level("CRITICAL", sys.stderr)
    seconds = int(options["--seconds"])
    costs = [
        run_in_simulated_time(measure_cost, int(size), seconds)
        for size in options["--sizes"].split(",")
    ]
    print_costs(costs)
    memory = run_in_simulated_time(measure_memory, TARGET_SIZE)
    print_verdict(
        f"member table, replay windows and digests at {TARGET_SIZE}",
        memory / (1 << 20),
        _MAX_MEMORY_BYTES / (1 << 20),
        "MiB",
    )
    rng = random.Random(1)
    for size in map(int, options["--spread"].split(",")):
        rounds = [
            run_in_simulated_time(measure_dissemination, size, rng)
            for _ in range(_DISSEMINATION_RUNS)
        ]
        text = ", ".join(f"{value:.1f}" for value in sorted(rounds))
        print(f"one change reaches all {size} in {text} probe periods", flush=True)
    fetches, table_bytes = run_in_simulated_time(
        measure_table_fetches, _CHURN_SIZE, _CHURN_SECONDS
    )
    print(
        f"tables fetched at {_CHURN_SIZE} with 1% loss: {fetches:.5f} per instance and "
        f"second; a table of {TARGET_SIZE} has {table_bytes} B"
    )
    last = costs[-1]
    met = (
        last.sent_per_second + last.received_per_second <= _MAX_BYTES_PER_SECOND
        and last.core_share <= _MAX_CORE_SHARE
        and max(cost.longest_bytes for cost in costs) < _MAX_DATAGRAM_BYTES
        and memory <= _MAX_MEMORY_BYTES
    )
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
