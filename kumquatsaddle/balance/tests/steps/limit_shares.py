from types import SimpleNamespace

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.balance.limit_shares import LimitShares
from kumquatsaddle.balance.servers import BalancedServer
from kumquatsaddle.discovery.records import ServerRecord
from kumquatsaddle.dispatch.protocol import BackendProtocol
from kumquatsaddle.settings.parsers import Address

# A server may get this many requests at once, and more in proportion to its rate.
MAX_BURST = 5
MAX_BURST_SECONDS = 1.75
ROUNDING = 1e-9


@st.composite
def draw_fleets(draw, max_zones=7):
    """Return the number of active instances by zone, and the limited servers."""
    zones = [f"z{number}" for number in range(draw(st.integers(1, max_zones)))]
    instances = {zone: draw(st.integers(1, 12)) for zone in zones}
    supplied = draw(st.lists(st.sampled_from(zones), min_size=1, max_size=9))
    rates = st.floats(0.0, 30.0)
    servers = [
        _make_server(f"b-{number}", zone, draw(rates))
        for number, zone in enumerate(supplied)
    ]
    return instances, servers


def compute_shares(instances, server, servers):
    """Return the share of each instance, by zone and name."""
    supplied = {other.record.zone for other in servers}
    shares = {}
    for zone, number in instances.items():
        names = [f"i-{zone}-{index}" for index in range(number)]
        for name in names:
            computed = LimitShares(SimpleNamespace(name=name, zone=zone))
            computed.update(names, set(instances) - {zone}, set(instances))
            shares[zone, name] = computed.compute_share(server, supplied)
    return shares


@then("for any fleet the shares of each server add up to at most its rate")
def check_sum(context):
    @for_all(draw_fleets())
    def check(fleet):
        instances, servers = fleet
        for server in servers:
            shares = compute_shares(instances, server, servers).values()
            assert abs(sum(share.fraction for share in shares) - 1.0) < ROUNDING

    check()


def compute_group_shares(instances, group, known, server, servers):
    """Return the share of each instance of zones that hear only each other."""
    supplied = {other.record.zone for other in servers}
    shares = []
    for zone in group:
        names = [f"i-{zone}-{index}" for index in range(instances[zone])]
        for name in names:
            computed = LimitShares(SimpleNamespace(name=name, zone=zone))
            computed.update(names, group - {zone}, known - {zone})
            shares.append(computed.compute_share(server, supplied).fraction)
    return shares


def draw_groups(data, instances):
    """Return a division of the zones into groups."""
    groups = {}
    for zone in instances:
        groups.setdefault(data.draw(st.integers(0, 2)), set()).add(zone)
    return list(groups.values())


@then("for any groups of zones the shares of each server add up to at most its rate")
def check_groups(context):
    @for_all(draw_fleets(), st.data())
    def check(fleet, data):
        instances, servers = fleet
        groups = draw_groups(data, instances)
        for server in servers:
            total = 0.0
            for group in groups:
                total += sum(
                    compute_group_shares(
                        instances, group, set(instances), server, servers
                    )
                )
            assert total < 1.0 + ROUNDING, (groups, total)

    check()


@then(
    "a group uses the part of the zones in it, and all of it once the others have left"
)
def check_group_part(context):
    @for_all(draw_fleets(), st.data())
    def check(fleet, data):
        instances, servers = fleet
        group = draw_groups(data, instances)[0]
        part = len(group) / len(instances)
        for known, expected in ((set(instances), part), (group, 1.0)):
            shares = compute_group_shares(instances, group, known, servers[0], servers)
            assert abs(sum(shares) - expected) < ROUNDING, (known, shares)

    check()


@then("few instances have a share of a server with a low rate")
def check_number(context):
    @for_all(draw_fleets())
    def check(fleet):
        instances, servers = fleet
        for server in servers:
            shares = compute_shares(instances, server, servers).values()
            users = sum(share.fraction > 0 for share in shares)
            rate = server.rate_limit.rate
            assert users <= MAX_BURST + MAX_BURST_SECONDS * rate, (users, rate)

    check()


@then("for any fleet each of up to {number:d} zones without servers has a share")
def check_zones(context, number):
    @for_all(draw_fleets(number + 1))
    def check(fleet):
        instances, servers = fleet
        served = set()
        for server in servers:
            shares = compute_shares(instances, server, servers)
            served |= {zone for (zone, _), share in shares.items() if share.fraction}
        assert served == set(instances)

    check()


def _make_server(name, zone, rate):
    address = Address("127.0.0.1", 1)
    record = ServerRecord(name, 1, "s", address, zone, 6, False)
    server = BalancedServer(record, BackendProtocol(b"request", b"deadline"), 0.0)
    server.rate_limit.rate = rate
    return server
