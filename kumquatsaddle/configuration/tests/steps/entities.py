import json

import trio
from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.configuration.entities import parse_entity
from kumquatsaddle.configuration.snapshots import decode_snapshot, encode_snapshot
from kumquatsaddle.configuration.state import make_configuration
from kumquatsaddle.configuration.transport import load_backends, load_change
from kumquatsaddle.configuration.values import dump_entity
from kumquatsaddle.exceptions import ConfigurationError
from kumquatsaddle.types import Rank

kinds = st.sampled_from(["service", "template", "account", "drain", "none", "x", ""])
numbers = st.one_of(
    st.integers(),
    st.floats(),
    # Hypothesis cannot print integers of more digits than these; the scenario with one
    # invalid field has one.
    st.sampled_from([10**400, True, float("nan"), float("inf")]),
)
leaves = st.one_of(st.none(), numbers, st.text(max_size=200), st.just("\ud800"))
json_values = st.recursive(
    leaves,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=20), inner, max_size=4),
    ),
    max_leaves=15,
)
fields = st.sampled_from(
    "floor slots deadline rank_floors routes limits floors template services ranks "
    "reason urgent s rate burst method prefix service rank idempotent".split()
)
arbitrary_objects = st.dictionaries(
    fields,
    st.one_of(json_values, st.dictionaries(fields, json_values, max_size=3)),
    max_size=5,
)
names = st.sampled_from(["s", "lookup", "order", "\u00fc-1"])
ranks = st.sampled_from(["urgent", "standard", "bulk", "BULK"])
rates = st.floats(0, 1e6, allow_nan=False)
fixed_object = st.fixed_dictionaries
limits = st.dictionaries(
    names, fixed_object({"rate": rates, "burst": st.integers(1, 1000)})
)
floors = st.dictionaries(names, rates)
prefixes = st.sampled_from(["/", "/a", "/ab", "/a/b", "/a/b/c", "/b"])
route = {
    "method": st.sampled_from(["GET", "post", "*"]),
    "prefix": prefixes,
    "service": names,
    "rank": ranks,
    "idempotent": st.booleans(),
}
routes = st.lists(fixed_object(route), max_size=8)
service = {
    "floor": st.floats(0, 1),
    "slots": st.integers(1, 1000),
    "deadline": st.floats(0.01, 60),
    "rank_floors": st.dictionaries(
        st.sampled_from(["urgent", "standard", "bulk"]), st.floats(0, 0.3)
    ),
}
template = {"routes": routes, "limits": limits, "floors": floors}
overrides = {
    "services": st.lists(names),
    "ranks": st.dictionaries(names, ranks),
    "limits": limits,
    "floors": floors,
}
valid_values = st.one_of(
    st.tuples(st.just("service"), fixed_object(service)),
    st.tuples(st.just("template"), fixed_object(template)),
    st.tuples(
        st.just("account"), fixed_object({"template": names}, optional=overrides)
    ),
    st.tuples(st.just("drain"), st.just({"reason": "disk"})),
)


@then("any JSON value of any kind is an entity or an error that names its field")
def check_arbitrary_values(context):
    @for_all(
        kinds, st.one_of(names, json_values), st.one_of(json_values, arbitrary_objects)
    )
    def check(kind, name, value):
        try:
            parse_entity(kind, name, value)
        except ConfigurationError as error:
            assert error.field and len(str(error)) < 2000
            assert error.field == "kind" or error.field.startswith(f"{kind}s")

    check()


@then("each field of a valid entity rejects invalid values with an error naming it")
def check_invalid_fields(context):
    cases = [
        ("service", {}, "floor", [None, "1", -0.1, 1.1, float("nan"), True, 10**400]),
        ("service", {}, "slots", [0, 1.5, "6", 10**6, False, [], -(10**5000)]),
        ("service", {}, "deadline", [0, 61, float("inf"), "5 s", {}]),
        ("service", {}, "rank_floors", [[], {"urgent": 1.1}, {"x": 0.1}, "urgent"]),
        ("template", {}, "routes", [{}, "x", [1], [{"prefix": "a", "service": "s"}]]),
        ("template", {}, "limits", [[], {"s": 1}, {"s": {"rate": -1}}, {"s": {}}]),
        ("template", {}, "floors", [{"s": "1"}, {"": 1}, {"a/b": 1}, 7]),
        ("account", {"template": "t"}, "template", [None, "", "a/b", 5, "x" * 200]),
        ("account", {"template": "t"}, "services", ["s", [1], {"s": 1}, [""]]),
        ("account", {"template": "t"}, "ranks", [{"s": 0}, {"s": "high"}, ["s"]]),
        ("account", {"template": "t"}, "unknown", [1]),
        ("drain", {}, "reason", [1, "x" * 300]),
    ]
    for kind, base, field, values in cases:
        parse_entity(kind, "n", base)
        for value in values:
            try:
                parse_entity(kind, "n", {**base, field: value})
                raise AssertionError((kind, field, value))
            except ConfigurationError as error:
                assert error.field.startswith(f"{kind}s/n.{field}"), error


@then("every valid entity is equal after a dump, a parse and a snapshot")
def check_round_trip(context):
    @for_all(st.lists(valid_values, min_size=1, max_size=5))
    def check(values):
        configuration = make_configuration()
        for index, (kind, value) in enumerate(values):
            entity = parse_entity(kind, f"n{index}", value, index + 1)
            text = json.dumps(dump_entity(entity))
            again = parse_entity(kind, f"n{index}", json.loads(text), index + 1)
            assert again == entity
            configuration.set_entity(kind, f"n{index}", value, index + 1)
        configuration.set_entity("service", "gone", None, 9)
        configuration.version = 9

        async def copy():
            return await decode_snapshot(await encode_snapshot(configuration))

        copied = trio.run(copy)
        assert vars(copied) == vars(configuration)

    check()


@then("a rank of value 0 and a floor of 0 are not interned as one value")
def check_interning(context):
    first = parse_entity("account", "a", {"template": "t", "floors": {"s": 0}})
    value = {"template": "t", "ranks": {"s": "urgent"}}
    second = parse_entity("account", "b", value)
    assert second.ranks["s"] is Rank.URGENT
    assert not isinstance(first.floors["s"], Rank)


@then("the index of a template finds the same route as a linear search")
def check_route_lookup(context):
    paths = st.sampled_from(["/", "/a", "/a/b/x", "/ab", "/b/", "/c", "", "/a/b/c/d"])

    @for_all(routes, paths, st.sampled_from(["GET", "POST", "PUT"]))
    def check(entries, path, method):
        template = parse_entity("template", "t", {"routes": entries})
        matching = (
            route
            for route in template.routes
            if path.startswith(route.prefix) and route.method in ("*", method)
        )
        assert template.find_route(method, path) == next(matching, None)

    check()


@then("any bytes are a valid change, list or snapshot or a configuration error")
def check_arbitrary_bytes(context):
    texts = json_values.map(lambda value: json.dumps(value).encode())
    change = {"version": 1, "change_id": "x", "kind": "service", "name": "s"}
    changes = st.fixed_dictionaries(
        {}, optional={**dict.fromkeys([*change, "value", "time", "x"], json_values)}
    ).map(lambda value: json.dumps({**change, **value}).encode())

    @for_all(st.one_of(st.binary(max_size=200), texts, changes))
    def check(data):
        for load in (load_change, load_backends, decode_in_trio):
            try:
                load(data)
            except ConfigurationError:
                pass

    check()


def decode_in_trio(data):
    async def run():
        return await decode_snapshot(data)

    return trio.run(run)
