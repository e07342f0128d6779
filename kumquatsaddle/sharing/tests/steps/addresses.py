from random import Random
from types import SimpleNamespace

from behave import given, then

from kumquatsaddle.discovery.records import InstanceRecord
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.sharing.peers import Peer, PeerTable

CALLERS = 4000


def make_record(number):
    return InstanceRecord(
        f"i-{number}", "z", Address("127.0.0.1", 1), Address("127.0.0.1", 2)
    )


@given("a zone whose active instances have the capacities {first}, {others} and {last}")
def prepare_zone(context, first, others, last):
    capacities = [int(text) for text in (first, *others.split(", "), last)]
    context.peer_table = PeerTable(make_record(0))
    context.own_capacity = capacities[0]
    for number, capacity in enumerate(capacities[1:], 1):
        peer = Peer(make_record(number), 0.0)
        peer.alive = True
        peer.report = SimpleNamespace(serving=True, capacity=capacity)
        context.peer_table.peers[peer.record.name] = peer


def count_told(context):
    """Return how many of the callers are told each active instance."""
    random = Random(1)
    counts = {}
    for _ in range(CALLERS):
        for record in context.peer_table.choose_addresses(
            True, context.own_capacity, random
        ):
            counts[record.name] = counts.get(record.name, 0) + 1
    return counts


@then(
    "each caller is told the first {number:d}, and a part of the callers each other one"
)
def check_weighted(context, number):
    counts = count_told(context)
    active = context.peer_table.list_active(True, context.own_capacity)
    names = [record.name for record in active]
    assert all(counts[name] == CALLERS for name in names[:number]), counts
    for name in names[number:]:
        assert 0.1 < counts[name] / CALLERS < 0.2, counts


@then("each caller is told all {number:d}")
def check_all(context, number):
    counts = count_told(context)
    active = context.peer_table.list_active(True, context.own_capacity)
    assert len(counts) == len(active) == number
    assert set(counts.values()) == {CALLERS}, counts
