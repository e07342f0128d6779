from behave import then
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st
from quota_fleet import BOUNDS, QUOTAS, QuotaFleet, compute_bound, count_most

from kumquatsaddle.accounts.owner_choice import choose_owner
from kumquatsaddle.accounts.table import Quota
from kumquatsaddle.addresses.scores import hash_name

# Each example plays up to a minute of a fleet.
EXAMPLES = 40
# For all instances to hear of each other, and for the takeover delay.
SETTLE_SECONDS = 6.0
MIN_USED = 0.9
SIZES = st.lists(st.integers(1, 6), min_size=1, max_size=3)
SEEDS = st.integers(0, 10_000)
DEMANDS = st.sampled_from([0.7, 1.3, 3.0, 9.0])
FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["cut", "isolate", "heal", "freeze", "resume", "kill", "start", "move"]
        ),
        st.floats(0.05, 1.0),
        st.sampled_from([0.1, 0.7, 1.4, 2.2, 3.0, 5.0, 8.0]),
    ),
    max_size=10,
)


def generate(check):
    """Decorate a property; without shrinking, which would play hundreds of fleets."""
    # Created late, because the derandomized profile is loaded after this module.
    phases = [Phase.explicit, Phase.generate]
    return settings(max_examples=EXAMPLES, phases=phases)(check)


def apply_fault(fleet, fault, part):
    """Let a fault happen to a part of the instances, drawn at random."""
    number = max(1, int(part * len(fleet.instances)))
    chosen = fleet.random.sample(fleet.instances, number)
    if fault == "cut":
        for instance in chosen:
            instance.group = 1
    elif fault == "isolate":
        for group, instance in enumerate(chosen):
            instance.group = 2 + group
    elif fault == "heal":
        for instance in fleet.instances:
            instance.group = 0
    elif fault == "move":
        fleet.move_load()
    else:
        for instance in chosen:
            getattr(fleet, fault)(instance)


def assert_within(fleet, quota, times=None):
    most = count_most(fleet.runs if times is None else times, BOUNDS.window)
    assert most <= compute_bound(quota), (most, compute_bound(quota), quota)


def count_used(fleet, since):
    return sum(time >= since for time in fleet.runs)


@then("for any faults no account runs more requests in a window than its bound")
def check_faults(context):
    @generate
    @for_all(SIZES, st.sampled_from(QUOTAS), DEMANDS, FAULTS, SEEDS)
    def check(sizes, quota, demand, faults, seed):
        fleet = QuotaFleet(sizes, quota, seed, refused_share=0.1)
        fleet.play(SETTLE_SECONDS, quota.rate * demand)
        for fault, part, seconds in faults:
            apply_fault(fleet, fault, part)
            fleet.play(seconds, quota.rate * demand)
        assert_within(fleet, quota)

    check()


@then("for any lasting partition of zones no account exceeds its bound")
def check_partitions(context):
    @generate
    @for_all(st.integers(1, 5), st.sampled_from(QUOTAS), DEMANDS, SEEDS)
    def check(size, quota, demand, seed):
        fleet = QuotaFleet([size, size, size + 1], quota, seed)
        fleet.play(SETTLE_SECONDS, quota.rate * demand)
        for instance in fleet.instances:
            instance.group = instance.zone
        fleet.play(15.0, quota.rate * demand)
        apply_fault(fleet, "heal", 1.0)
        fleet.play(8.0, quota.rate * demand)
        assert_within(fleet, quota)

    check()


@then("for any lower quota no account exceeds it one window later")
def check_lower_quota(context):
    @generate
    @for_all(SIZES, st.sampled_from(QUOTAS), st.sampled_from([0.02, 0.3]), SEEDS)
    def check(sizes, quota, factor, seed):
        lower = Quota(quota.rate * factor, max(1, quota.burst * factor))
        fleet = QuotaFleet(sizes, quota, seed)
        fleet.play(SETTLE_SECONDS, quota.rate * 1.3)
        fleet.change_quota(lower)
        # All instances have it after half a second.
        binding_from = fleet.now + 0.5 + BOUNDS.window
        fleet.play(15.0, quota.rate * 1.3)
        assert_within(fleet, lower, [t for t in fleet.runs if t >= binding_from])

    check()


@then("for any demand above the quota at least 90 % of it are used in contact")
def check_use(context):
    @generate
    @for_all(SIZES, st.sampled_from(QUOTAS), st.sampled_from([1.3, 3.0, 9.0]), SEEDS)
    def check(sizes, quota, demand, seed):
        fleet = QuotaFleet(sizes, quota, seed)
        fleet.play(SETTLE_SECONDS, quota.rate * demand)
        since = fleet.now
        for _ in range(10):
            fleet.move_load()
            fleet.play(3.0, quota.rate * demand)
        used = count_used(fleet, since)
        assert used >= MIN_USED * quota.rate * 30.0, (used, quota.rate * 30.0)
        assert_within(fleet, quota)

    check()


@then(
    "for any faults at least 90 % of the quota are used 10 seconds after the last one"
)
def check_use_after_faults(context):
    @generate
    @for_all(SIZES, st.sampled_from(QUOTAS), FAULTS, SEEDS)
    def check(sizes, quota, faults, seed):
        fleet = QuotaFleet(sizes, quota, seed)
        fleet.play(SETTLE_SECONDS, quota.rate * 1.5)
        for fault, part, seconds in faults:
            apply_fault(fleet, fault, part)
            fleet.play(seconds, quota.rate * 1.5)
        for instance in fleet.instances:
            instance.group = 0
            fleet.resume(instance)
            fleet.start(instance)
        fleet.play(10.0, quota.rate * 1.5)
        since = fleet.now
        fleet.play(30.0, quota.rate * 1.5)
        used = count_used(fleet, since)
        assert used >= MIN_USED * quota.rate * 30.0, (used, quota.rate * 30.0)
        assert_within(fleet, quota)

    check()


@then("instances that are cut off refuse with a Retry-After and use a small part only")
def check_cut_off(context):
    @generate
    @for_all(st.integers(2, 6), st.sampled_from(QUOTAS), SEEDS)
    def check(size, quota, seed):
        fleet = QuotaFleet([size, size, size], quota, seed)
        fleet.play(SETTLE_SECONDS, quota.rate * 2)
        for group, instance in enumerate(fleet.instances):
            instance.group = group
        fleet.play(8.0, quota.rate * 2)
        since = fleet.now
        fleet.refusals.clear()
        fleet.play(5.0, quota.rate * 2)
        assert count_used(fleet, since) <= compute_bound(quota)
        assert fleet.refusals
        assert all(grant is not None for _, grant in fleet.refusals), fleet.refusals
        assert_within(fleet, quota)

    check()


@then("for any fleet the loss of an instance moves its accounts only")
def check_moves(context):
    @for_all(st.integers(2, 90), st.integers(0, 89))
    def check(size, lost):
        candidates = [hash_name(f"i-{number}") for number in range(size)]
        lost = candidates[lost % size]
        rest = [candidate for candidate in candidates if candidate != lost]
        owned = 0
        for number in range(300):
            account = f"account-{number}"
            owner = choose_owner(account, candidates)
            owned += owner == lost
            if owner != lost:
                assert choose_owner(account, rest) == owner, account
        assert owned <= 300 / size * 2.5 + 10, (owned, size)

    check()
