from dataclasses import fields, replace

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.accounts import ClientAccount, Quota, make_account_table
from kumquatsaddle.entry.heads import RequestReadError, check_head
from kumquatsaddle.exceptions import ConfigurationError
from kumquatsaddle.routes import (
    CallerLimits,
    PublishedRoute,
    PublishedService,
    RouteShare,
    make_route_table,
)
from kumquatsaddle.routes.capacity import Capacity
from kumquatsaddle.routes.differences import compare_tables
from kumquatsaddle.routes.findings import Severity
from kumquatsaddle.routes.review import (
    DecodedConfiguration,
    review_configuration,
    review_table,
)
from kumquatsaddle.types import Rank

SHARES = (RouteShare("s", 90.0), RouteShare("t", 10.0))
ROUTE = PublishedRoute(
    "r", "h.example", "/a/", True, 5.0, 2.0, Rank.STANDARD, 2, SHARES
)
SERVICES = {name: PublishedService(name, 100) for name in ("s", "t")}
LIMITS = CallerLimits(16384, 1000, 3.0, 15.0)
ACCOUNT = ClientAccount("farms", Rank.URGENT, Quota(5.0, 10.0))
# 6 slots of 0.5 s in each of two services take 24 requests a second.
CAPACITY = Capacity({"s": 6, "t": 6}, {"r": 0.5})


def make_table(
    routes=(ROUTE,),
    services=SERVICES,
    limits=LIMITS,
    accounts=((ACCOUNT, [b"k1"]),),
    version=7,
):
    account_table = make_account_table(accounts) if accounts else None
    return make_route_table(version, routes, services, limits, account_table)


def make_odd_table(oddity):
    """Return the table of an example of the outline."""
    routes = {
        "a host with a port": replace(ROUTE, host="h.example:80"),
        "a host outside ASCII": replace(ROUTE, host="hé.example"),
        "a prefix with a question mark": replace(ROUTE, prefix="/a?b/"),
        "a share of weight 0": replace(ROUTE, shares=(SHARES[0], RouteShare("t", 0.0))),
        "an objective above the timeout": replace(ROUTE, objective=5.5),
        "a timeout below the work": replace(ROUTE, timeout=0.4, objective=0.3),
    }
    accounts = {
        "an account without keys": ACCOUNT,
        "a burst of half a request": replace(ACCOUNT, quota=Quota(5.0, 0.5)),
        "a quota above all services": replace(ACCOUNT, quota=Quota(24.5, 10.0)),
    }
    if oddity in routes:
        return make_table([routes[oddity]])
    if oddity in accounts:
        keys = [] if oddity == "an account without keys" else [b"k1"]
        return make_table(accounts=[(accounts[oddity], keys)])
    if oddity == "two routes of one name":
        return make_table([ROUTE, replace(ROUTE, prefix="/b/")])
    if oddity == "an idle timeout below the head's":
        return make_table(limits=replace(LIMITS, idle_timeout=2.5))
    if oddity == "a service that no route names":
        return make_table(services={**SERVICES, "u": PublishedService("u", 9)})
    assert oddity == "no routes and services"
    return make_table([], {})


def list_checks(findings):
    return [finding.check for finding in findings]


@then("a sound table has no finding, with its capacity and without")
def check_sound(context):
    assert review_table(make_table()) == []
    assert review_table(make_table(), CAPACITY) == []
    assert review_table(make_table(accounts=(), limits=None)) == []


@then("a table with {oddity} gives only the warning {check}")
def check_warning(context, oddity, check):
    findings = review_table(make_odd_table(oddity), CAPACITY)
    assert list_checks(findings) == [check], findings
    assert findings[0].severity is Severity.WARNING


@then("any prefix is unreachable if and only if no request can have it as its path")
def check_prefixes(context):
    parts = st.sampled_from(
        ["a", "/", ".", "%2e", "%2F", "?", "#", "\\", " ", "é", ";"]
    )
    characters = st.characters(codec="utf-8")
    texts = st.lists(parts | characters, max_size=5).map("".join)
    for_all(texts)(check_prefix)()
    for separator in ("/", ";", "%2f", "%5C"):
        for segment in (".", "..", "%2E.", "...", "a.", ".a"):
            check_prefix(f"a{separator}{segment}{separator}b")


def check_prefix(middle):
    prefix = f"/{middle}/" if middle else "/"
    findings = review_table(make_table([replace(ROUTE, prefix=prefix)]))
    assert (findings == []) == is_accepted(prefix), (prefix, findings)


def is_accepted(path):
    """Return whether the entry accepts a request with this path."""
    if "?" in path:
        return False
    head = f"GET {path} HTTP/1.1\r\nHost: h.example\r\n\r\n"
    try:
        check_head(head.encode("utf-8"), 0)
    except RequestReadError:
        return False
    return True


@then("a table with entries left out has only warnings about single entries")
def check_partial(context):
    error = ConfigurationError("is wrong", "routes/x.Host")
    table = make_odd_table("a share of weight 0")
    table.services = {**SERVICES, "u": PublishedService("u", 9)}
    findings = review_configuration(
        DecodedConfiguration(table, (error,)), make_table(), CAPACITY
    )
    assert list_checks(findings) == ["invalid", "zero_weight"], findings
    assert findings[0].severity is Severity.ERROR
    assert (findings[0].subject, findings[0].problem) == ("routes/x.Host", "is wrong")


@then("any table compared with itself, in any order, has no finding")
def check_reflexive(context):
    names = st.text("abc", min_size=1, max_size=2)
    routes = st.lists(
        st.builds(
            PublishedRoute,
            name=names,
            host=names,
            prefix=st.sampled_from(["/", "/a/", "/a/b/"]),
            idempotent=st.booleans(),
            timeout=st.floats(0.001, 1e9),
            objective=st.floats(0.001, 1e9),
            rank=st.sampled_from(Rank),
            max_attempts=st.integers(1, 9),
            shares=st.just(SHARES),
            public=st.booleans(),
        ),
        unique_by=lambda route: (route.host, route.prefix),
        max_size=5,
    )
    quotas = st.none() | st.builds(Quota, st.floats(0.1, 1e9), st.floats(0, 1e9))
    accounts = st.lists(
        st.builds(ClientAccount, names, st.none() | st.sampled_from(Rank), quotas),
        unique_by=lambda account: account.name,
        max_size=4,
    )

    @for_all(routes, accounts, st.randoms(use_true_random=False))
    def check(routes, accounts, random):
        accounts = [(account, [account.name.encode()]) for account in accounts]
        first = make_table(routes, accounts=accounts)
        random.shuffle(routes)
        random.shuffle(accounts)
        assert compare_tables(first, make_table(routes, accounts=accounts)) == []

    check()


def list_changes():
    """Yield the subject and the table of each change of one field."""
    changes = {"rank": Rank.BULK, "shares": SHARES[:1], "host": "i", "prefix": "/b/"}
    changes |= {"quota": None, "name": None}
    for entry, subject in (
        (ROUTE, "routes/r"),
        (SERVICES["s"], "services/s"),
        (LIMITS, "limits"),
        (ACCOUNT, "accounts/farms"),
    ):
        for name in (field.name for field in fields(entry) if field.name != "name"):
            value = getattr(entry, name)
            # The smallest change of a number, which rounding would hide.
            changed = changes[name] if name in changes else type(value)(value + 1e-9)
            if isinstance(value, bool):
                changed = not value
            elif isinstance(value, int) and name not in changes:
                changed = value + 1
            yield subject, name, value, make_changed_table(entry, name, changed)


def make_changed_table(entry, name, value):
    changed = replace(entry, **{name: value})
    if entry is ROUTE:
        return make_table([changed], version=8)
    if entry is LIMITS:
        return make_table(limits=changed, version=8)
    if entry is ACCOUNT:
        return make_table(accounts=[(changed, [b"k1"])], version=8)
    return make_table(services={**SERVICES, "s": changed}, version=8)


@then("a change of any field of any entry gives a difference of that entry")
def check_changes(context):
    count = 0
    for subject, name, value, table in list_changes():
        (finding,) = compare_tables(make_table(), table)
        assert finding.severity is Severity.DIFFERENCE
        assert finding.subject == subject, finding
        assert finding.problem.startswith(f"{name} "), finding
        before, after = finding.problem.removeprefix(f"{name} ").split(" -> ")
        assert before != after, (value, finding)
        count += 1
    assert count == 9 + 1 + 4 + 2, count


@then("each added or removed entry and key is a difference")
def check_added(context):
    small = make_table()
    large = make_table(
        [ROUTE, replace(ROUTE, name="q", prefix="/b/")],
        {**SERVICES, "u": PublishedService("u", 9)},
        accounts=[(ACCOUNT, [b"k2", b"k3"]), (ClientAccount("mills"), [b"k4"])],
        version=8,
    )
    added = [(item.subject, item.problem) for item in compare_tables(small, large)]
    assert added == [
        ("accounts/mills", "is added"),
        ("accounts/farms", "API keys: 2 added, 1 removed, 2 now"),
        ("accounts/mills", "API keys: 1 added, 0 removed, 1 now"),
        ("routes/q", "is added"),
        ("services/u", "is added"),
    ], added
    swapped = compare_tables(
        small, make_table(accounts=[(ACCOUNT, [b"k9"])], version=8)
    )
    assert [item.problem for item in swapped] == [
        "API keys: 1 added, 1 removed, 1 now"
    ], swapped
    small.version = 9
    removed = [item.problem for item in compare_tables(large, small)]
    assert removed.count("is removed") == 3, removed


@then("a changed table gives a warning unless its version is newer")
def check_versions(context):
    for version, expected in ((6, 1), (7, 1), (8, 0)):
        table = make_table(limits=None, version=version)
        findings = compare_tables(make_table(), table)
        warnings = [item for item in findings if item.severity is Severity.WARNING]
        assert len(warnings) == expected, (version, findings)
    assert list_checks(compare_tables(make_table(), make_table(version=6))) == [
        "version_not_newer"
    ]


@then("a table that loses all its accounts gives a warning")
def check_lost_accounts(context):
    findings = compare_tables(make_table(), make_table(accounts=(), version=8))
    assert list_checks(findings) == ["no_accounts_left", "accounts", "keys"], findings
