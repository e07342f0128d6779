import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.addresses.answers import order_homes
from kumquatsaddle.addresses.groups import Backend, ejection_allowance, plan_groups
from kumquatsaddle.addresses.homes import HomeCandidate, assign_homes
from kumquatsaddle.addresses.planner import make_placement, make_planner
from kumquatsaddle.configuration.entities import parse_entity

zones = st.sampled_from(["a", "b", "c"])
regions = st.sampled_from(["east", "west"])
backends = st.lists(st.tuples(regions, zones), min_size=1, max_size=60).map(
    lambda places: [
        Backend(f"b{index}", "s", f"127.0.0.1:{index + 1}", zone, region)
        for index, (region, zone) in enumerate(places)
    ]
)
floors = st.floats(0, 1, allow_nan=False)


@then("the tokens of all groups stay within the allowance for any servers and floor")
def check_tokens(context):
    @for_all(backends, floors)
    def check(servers, floor):
        groups = plan_groups("s", servers, floor)
        allowance = ejection_allowance(len(servers), floor)
        assert 0 <= sum(group.tokens for group in groups) <= allowance
        assert len(servers) - allowance >= floor * len(servers) - 1e-6
        assert all(group.tokens <= len(group.members) for group in groups)

    check()


@then("the groups of any list of servers are a partition of the list")
def check_partition(context):
    @for_all(backends, floors)
    def check(servers, floor):
        groups = plan_groups("s", servers, floor)
        names = [member.name for group in groups for member in group.members]
        assert sorted(names) == sorted(server.name for server in servers)
        for group in groups:
            assert {member.region for member in group.members} == {group.region}

    check()


@given("110 services with 4300 backend servers and 520 instances in 7 zones")
def make_target_size(context):
    rng = random.Random(1)
    context.services = [
        parse_entity("service", f"s{number}", {"floor": 0.6}) for number in range(110)
    ]
    context.backends = [
        Backend(
            f"b{number}",
            f"s{rng.randrange(110)}",
            "127.0.0.1:1",
            f"z{number % 7}",
            f"r{number % 7 // 4}",
        )
        for number in range(4300)
    ]
    context.candidates = [
        HomeCandidate(f"n{number}", f"z{number % 7}", f"r{number % 7 // 4}")
        for number in range(520)
    ]
    context.before = make_placement(
        context.services, context.backends, context.candidates
    )


@when("each of 40 instances leaves in turn")
def remove_instances(context):
    context.moved = []
    for number in range(40):
        rest = [entry for entry in context.candidates if entry.name != f"n{number}"]
        context.after = make_placement(context.services, context.backends, rest)
        context.moved.append(count_moves(context.before.homes, context.after.homes))
    context.remaining = rest


def count_moves(before, after):
    return sum(before[name] != after[name] for name in before)


@then("on average at most 2 times its share of the groups change their home")
def check_movement(context):
    share = len(context.before.homes) / 520
    mean = sum(context.moved) / len(context.moved)
    assert mean <= 2 * share, (mean, share)


@then("no instance is loaded above 1.25 times the mean and one group")
def check_load(context):
    loads, totals = Counter(), Counter()
    for name, home in context.after.homes.items():
        group = context.after.groups[name]
        loads[home] += len(group.members)
        totals[group.zone] += len(group.members)
    zones_of = {entry.name: entry.zone for entry in context.candidates}
    sizes = Counter(entry.zone for entry in context.remaining)
    largest = max(len(group.members) for group in context.after.groups.values())
    for home, load in loads.items():
        zone = zones_of[home]
        assert load <= 1.25 * totals[zone] / sizes[zone] + largest


@then("20000 accounts spread over weighted homes within 10 percent")
def check_spread(context):
    weights = {"n1": 1, "n2": 2, "n3": 5}
    primaries = Counter(
        order_homes(weights, "s", f"account-{number}")[0] for number in range(20000)
    )
    for name, weight in weights.items():
        expected = 20000 * weight / 8
        assert abs(primaries[name] - expected) < 0.1 * expected, primaries


@then("a zone without instances is served from its region only")
def check_region(context):
    groups = plan_groups("s", [Backend("b1", "s", "127.0.0.1:1", "z1", "east")], 0.5)
    same_region = HomeCandidate("n1", "z2", "east")
    same_zone = HomeCandidate("n2", "z1", "west")
    assert set(assign_homes(groups, [same_region, same_zone]).values()) == {"n1"}
    assert assign_homes(groups, [same_zone]) == {}


@then("after any sequence of inputs a planner derives the same as a new one")
def check_planner(context):
    names = st.sets(st.integers(0, 11))
    step = st.tuples(names, names, floors)

    @for_all(st.lists(step, min_size=1, max_size=6))
    def check(steps):
        planner = make_planner()
        for servers, instances, floor in steps:
            services = [parse_entity("service", "s", {"floor": floor})]
            listed = [make_backend(number) for number in sorted(servers)]
            candidates = [make_candidate(number) for number in sorted(instances)]
            derived = planner.derive(services, listed, candidates)
            fresh = make_placement(services, listed, candidates)
            assert derived.groups == fresh.groups and derived.homes == fresh.homes

    check()


def make_backend(number):
    return Backend(f"b{number}", "s", "127.0.0.1:1", f"z{number % 3}", "r")


def make_candidate(number):
    return HomeCandidate(f"n{number}", f"z{number % 3}", "r")
