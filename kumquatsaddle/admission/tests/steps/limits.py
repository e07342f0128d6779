from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.admission.limits import make_account_limits
from kumquatsaddle.configuration.entities import Limit

SECONDARY_SHARE = 0.25
gaps = st.lists(st.floats(0, 2, allow_nan=False), min_size=1, max_size=300)
limits = st.builds(
    lambda rate, burst: Limit(rate, burst),
    st.integers(1, 50),
    st.integers(1, 50),
)


def admit(limiter, limit, share, now):
    return limiter.admit("account", "service", limit, share, now)


@then("two instances admit at most 125 percent of the limit for any arrivals")
def check_alive(context):
    @for_all(limits, gaps, st.randoms(use_true_random=False))
    def check(limit, arrivals, rng):
        primary, secondary = make_account_limits(), make_account_limits()
        now, admitted = 0.0, 0
        for gap in arrivals:
            now += gap * rng.random() / limit.rate
            admitted += admit(primary, limit, 1.0, now)
            admitted += admit(secondary, limit, SECONDARY_SHARE, now)
        # A bucket holds at least one request, however small the share.
        bursts = limit.burst + max(1.0, SECONDARY_SHARE * limit.burst)
        assert admitted <= 1.25 * limit.rate * now + bursts + 1e-6

    check()


@then("after the primary is lost at most the limit and one burst are admitted")
def check_lost(context):
    quiet = st.floats(0, 60, allow_nan=False)

    @for_all(limits, gaps, gaps, quiet)
    def check(limit, before, after, idle):
        primary, secondary = make_account_limits(), make_account_limits()
        now = 0.0
        for gap in before:
            now += gap / limit.rate
            admit(primary, limit, 1.0, now)
            admit(secondary, limit, SECONDARY_SHARE, now)
        # No requests arrive for a time. Then the primary is lost, and the secondary
        # takes over the limit.
        now += idle
        started, admitted = now, 0
        tokens = secondary._buckets["account", "service"]._tokens
        held = min(limit.burst * SECONDARY_SHARE, tokens + idle * limit.rate * 0.25)
        for gap in after:
            now += gap / limit.rate
            admitted += admit(secondary, limit, 1.0, now)
        spent = limit.rate * (now - started)
        assert admitted <= spent + limit.burst + 1e-6
        assert admitted <= spent + max(1.0, held) + 1e-6

    check()


@then("requests at the rate of the limit are all admitted")
def check_modest(context):
    @for_all(limits, st.lists(st.booleans(), min_size=20, max_size=200))
    def check(limit, late):
        limiter = make_account_limits()
        now = 0.0
        for is_late in late:
            # Slightly above the interval, because floats are rounded up or down.
            now += (1.0 + 0.5 * is_late) * 1.000001 / limit.rate
            assert admit(limiter, limit, 1.0, now)

    check()


@then("10000 accounts leave at most 4096 buckets")
def check_bound(context):
    limiter = make_account_limits()
    for number in range(10000):
        limiter.admit(f"a{number}", "service", Limit(1.0, 1.0), 1.0, float(number))
    assert len(limiter) == 4096
