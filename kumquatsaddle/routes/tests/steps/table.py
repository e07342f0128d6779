from dataclasses import replace
from random import Random

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.exceptions import ConfigurationError
from kumquatsaddle.routes import (
    PublishedRoute,
    PublishedService,
    RouteShare,
    make_route_table,
)
from kumquatsaddle.routes.table import WeightedRoundRobin
from kumquatsaddle.types import Rank

SERVICES = {name: PublishedService(name, 100) for name in ("a", "b", "c")}
SEGMENTS = st.sampled_from(["x", "y", "zz"])
FAULTS = {
    "unknown service": {"shares": (RouteShare("nowhere", 1.0),)},
    "no attempt": {"max_attempts": 0},
    "no timeout": {"timeout": 0.0},
    "no share": {"shares": ()},
    "zero weights": {"shares": (RouteShare("a", 0.0),)},
    "open prefix": {"prefix": "/x"},
}


def make_route(name="r", prefix="/", shares=(RouteShare("a", 1.0),)):
    return PublishedRoute(
        name, "h.example", prefix, True, 5.0, 2.0, Rank.BULK, 2, shares
    )


def join_segments(segments):
    return "/" + "".join(f"{segment}/" for segment in segments)


@then("any path is matched by the same longest prefix as a linear scan finds")
def check_matches(context):
    @for_all(
        st.sets(st.lists(SEGMENTS, max_size=3).map(join_segments)), st.lists(SEGMENTS)
    )
    def check(prefixes, segments):
        routes = [make_route(prefix, prefix) for prefix in prefixes]
        table = make_route_table(1, routes, SERVICES)
        path = join_segments(segments) + "leaf"
        matching = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = table.match_route("H.example:80", path)
        assert (found.prefix if found else None) == max(matching, key=len, default=None)
        assert table.match_route("other.example", path) is None

    check()


@then("after any number of requests each share is within two requests of its weight")
def check_shares(context):
    @for_all(
        st.lists(st.integers(1, 99), min_size=2, max_size=3),
        st.integers(1, 200),
        st.integers(),
    )
    def check(weights, number, seed):
        shares = tuple(
            RouteShare(name, float(weight))
            for name, weight in zip("abc", weights, strict=False)
        )
        counter, counts = WeightedRoundRobin(Random(seed)), dict.fromkeys("abc", 0)
        for _ in range(number):
            # Each call passes a new version of the route; the credits carry over.
            counts[counter.choose_service(make_route(shares=shares))] += 1
        for share in shares:
            expected = number * share.weight / sum(weights)
            assert abs(counts[share.service] - expected) <= 2.0, (counts, expected)

    check()


@then("a table with {fault} is refused with the name of the route")
def check_refused(context, fault):
    routes = [make_route("r", "/x/")]
    if fault == "a route twice":
        routes.append(make_route("r", "/x/"))
    else:
        routes = [replace(routes[0], **FAULTS[fault])]
    try:
        make_route_table(1, routes, SERVICES)
    except ConfigurationError as error:
        assert error.field == "r", error
    else:
        raise AssertionError(f"accepted: {fault}")


@then("no service gets a request while its weight is 0, whatever the weights before")
def check_zero_weights(context):
    weights = st.tuples(*[st.sampled_from([0, 1, 5, 10, 90])] * 3).filter(any)
    versions = st.lists(st.tuples(weights, st.integers(0, 30)), min_size=1, max_size=5)

    @for_all(versions, st.integers(0, 9))
    def check(history, seed):
        counter = WeightedRoundRobin(Random(seed))
        for version, number in history:
            shares = zip("abc", version, strict=True)
            route = make_route(shares=tuple(RouteShare(*share) for share in shares))
            for _ in range(number):
                chosen = counter.choose_service(route)
                assert version["abc".index(chosen)] > 0, (history, chosen)

    check()
