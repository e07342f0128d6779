import math
from types import SimpleNamespace

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.accounts import (
    ClientAccount,
    compute_key_digest,
    make_account_table,
)
from kumquatsaddle.accounts.access import make_account_access, read_revoke_after
from kumquatsaddle.entry.authentication import (
    KeyRefusedError,
    authenticate,
    read_api_key,
)
from kumquatsaddle.exceptions import ConfigurationError, RefusedError
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.testing.caller_servers import make_default_settings
from kumquatsaddle.types import KeyProblem, RefusalReason

KEYS = [f"key-{number}".encode() for number in range(8)]
NAMES = ["farms", "mills", "ports"]
# The account of each key, or None, in one version.
VERSIONS = st.lists(
    st.sampled_from([None, *NAMES]), min_size=len(KEYS), max_size=len(KEYS)
)


def make_table(owners):
    """Return the table in which each key belongs to the account at its place."""
    accounts = [
        (
            ClientAccount(name),
            [
                compute_key_digest(key)
                for key, owner in zip(KEYS, owners, strict=True)
                if owner == name
            ],
        )
        for name in NAMES
    ]
    return make_account_table(accounts)


@then("after any versions each key gives the account of the newest one, or none")
def check_versions(context):
    @for_all(st.lists(VERSIONS, min_size=1, max_size=4), st.binary(max_size=12))
    def check(versions, other):
        for owners in versions:
            table = make_table(owners)
            assert len(table) == len(NAMES)
            assert table.count_keys() == sum(owner is not None for owner in owners)
            for key, owner in zip(KEYS, owners, strict=True):
                account = table.find_by_key(key)
                assert (account and account.name) == owner
                digest = compute_key_digest(key)
                held = [name for name in NAMES if table.holds_key(digest, name)]
                assert held == ([owner] if owner else [])
                # The digest itself is no key.
                assert table.find_by_key(digest) is None
            assert other in KEYS or table.find_by_key(other) is None

    check()


@then(
    "a version in which two accounts share a key or a name is refused without the key"
)
def check_conflicts(context):
    digest = compute_key_digest(b"secret")
    conflicts = [
        [(ClientAccount("farms"), [digest]), (ClientAccount("mills"), [digest])],
        [(ClientAccount("farms"), [digest]), (ClientAccount("farms"), [])],
    ]
    for accounts in conflicts:
        try:
            make_account_table(accounts)
        except ConfigurationError as error:
            assert "secret" not in str(error) and digest.hex() not in str(error)
        else:
            raise AssertionError(f"accepted: {accounts}")


TOKENS = st.text("abc-._~+/=", min_size=1, max_size=6).map(str.encode)
SCHEMES = st.sampled_from([b"Bearer", b"bearer", b"BEARER"])
OTHERS = st.sampled_from(
    [b"", b"Bearer", b"Bearer ", b"Basic abc", b"abc", b"Bearer a b", b"Bearer\ta"]
)


@then("any headers give the key of the only bearer token, or a problem without it")
def check_headers(context):
    valid = st.tuples(SCHEMES, st.integers(1, 3), TOKENS).map(
        lambda parts: (parts[0] + b" " * parts[1] + parts[2], parts[2])
    )
    values = st.one_of(valid, OTHERS.map(lambda value: (value, None)))
    accounts = make_table([None] * len(KEYS))

    @for_all(st.lists(values, max_size=3))
    def check(values):
        headers = [(b"host", b"x"), *((b"authorization", item[0]) for item in values)]
        expected = None
        if not values:
            expected = KeyProblem.MISSING
        elif len(values) > 1:
            expected = KeyProblem.SEVERAL
        elif values[0][1] is None:
            expected = KeyProblem.MALFORMED
        try:
            assert read_api_key(headers) == values[0][1] and expected is None
        except KeyRefusedError as error:
            assert error.problem is expected, (error, values)
            assert error.reason is RefusalReason.UNAUTHORIZED
            assert str(error) == f"unauthorized: {expected.value}"
        else:
            try:
                authenticate(headers, accounts)
            except KeyRefusedError as error:
                assert error.problem is KeyProblem.UNKNOWN
            else:
                raise AssertionError("an unknown key was accepted")

    check()


@then("at any versions and ages a waiting request is refused for what holds then")
def check_waiting(context):
    changes = st.lists(st.tuples(VERSIONS, st.floats(0, 20)), min_size=1, max_size=4)

    @for_all(VERSIONS, st.sampled_from(KEYS), changes, st.sampled_from([5.0, math.inf]))
    def check(owners, key, changes, revoke_after):
        state = SimpleNamespace(accounts=make_table(owners), age=0.0)
        access = make_account_access(
            lambda: state, lambda: state.age, make_metrics(), revoke_after
        )
        try:
            account, digest = authenticate(
                [(b"authorization", b"Bearer " + key)], state.accounts
            )
        except KeyRefusedError:
            assert owners[KEYS.index(key)] is None
            return
        request = SimpleNamespace(account=account, key_digest=digest)
        public = SimpleNamespace(account=None, key_digest=None)
        for owners, age in changes:
            state.accounts, state.age = make_table(owners), age
            refusal = access.find_refusal(request)
            if age > revoke_after:
                assert refusal is RefusalReason.KEYS_STALE
            elif owners[KEYS.index(key)] != account.name:
                assert refusal is RefusalReason.UNAUTHORIZED
            else:
                assert refusal is None
            assert access.find_refusal(public) is None

    check()


@then("keys are refused as stale beyond the age of the settings, and never by default")
def check_settings(context):
    def is_refused(age, **changes):
        revoke_after = read_revoke_after(make_default_settings(**changes))
        access = make_account_access(
            lambda: None, lambda: age, make_metrics(), revoke_after
        )
        try:
            access.check_age()
        except RefusedError as error:
            assert error.reason is RefusalReason.KEYS_STALE
            return True
        return False

    assert not is_refused(math.inf) and not is_refused(1e9)
    chosen = {"accounts__revoke_when_partitioned": True}
    assert is_refused(5.1, **chosen) and not is_refused(4.9, **chosen)
    assert is_refused(math.inf, **chosen)
    assert not is_refused(8.0, accounts__revoke_after=9.0, **chosen)
