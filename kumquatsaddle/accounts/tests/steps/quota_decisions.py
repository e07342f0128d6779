from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.accounts.fleet_contact import (
    TAKEOVER_SECONDS,
    FleetContact,
    FleetView,
    ViewHistory,
)
from kumquatsaddle.accounts.quota_owner import QuotaBounds, QuotaOwner, QuotaRefusal
from kumquatsaddle.accounts.quota_tokens import QuotaTokens
from kumquatsaddle.accounts.table import Quota
from kumquatsaddle.addresses.scores import hash_name

ACCOUNT, OWN = "farms", "own"
QUOTA = Quota(10.0, 40.0)
BOUNDS = QuotaBounds()
ALONE = FleetView((hash_name(OWN),), 2, 2)
TICK_SECONDS = 0.25


def make_owner(now, view=ALONE):
    history = ViewHistory(OWN, now)
    history.update(view, now)
    return history, QuotaOwner(history, BOUNDS)


def prepare(context, now=0.0):
    context.history, context.owner = make_owner(now)
    context.since = context.now = now


def pass_time(context, seconds):
    for _ in range(int(seconds / TICK_SECONDS)):
        context.now += TICK_SECONDS
        context.history.observe(context.now)


@given("an instance that has just become the owner of an account")
def prepare_new_owner(context):
    other = FleetView((hash_name("other"),), 2, 2)
    context.history, context.owner = make_owner(0.0, other)
    context.now = 0.0
    pass_time(context, 30.0)
    grant = context.owner.grant(ACCOUNT, QUOTA, 1, 0, context.now)
    assert grant.refusal is QuotaRefusal.NOT_OWNER, grant
    context.history.update(ALONE, context.now)
    context.since = context.now


@given("an owner that was suspended for 4 seconds")
def prepare_suspended_owner(context):
    prepare(context)
    pass_time(context, 30.0)
    assert context.owner.grant(ACCOUNT, QUOTA, 1, 0, context.now).granted == 1
    context.now += 4.0
    context.since = context.now
    assert context.history.observe(context.now) == 4.0
    context.history.update(ALONE, context.now)


@then("it grants nothing for the takeover delay")
def check_takeover(context):
    while context.now < context.since + TAKEOVER_SECONDS:
        grant = context.owner.grant(ACCOUNT, QUOTA, 1, 0, context.now)
        assert grant.granted == 0, context.now
        assert grant.refusal is QuotaRefusal.TAKEOVER, grant
        assert grant.retry_after == context.since + TAKEOVER_SECONDS - context.now
        context.now += 0.1


@then("afterwards it grants what the rate adds, and not the burst")
def check_empty_start(context):
    now = context.since + TAKEOVER_SECONDS + 0.55
    grant = context.owner.grant(ACCOUNT, QUOTA, 30, 0, now)
    assert grant.granted == 5, grant


@given("an owner that is out of contact with half of the fleet for 1 second")
def prepare_lost_contact(context):
    prepare(context)
    pass_time(context, 30.0)
    context.history.update(FleetView(ALONE.candidates, 1, 2), context.now)
    assert context.history.compute_share(context.now) == 0.5
    pass_time(context, 1.0)
    context.history.update(ALONE, context.now)
    context.since = context.now


@then("its share is a half until the takeover delay has passed")
def check_late_rise(context):
    last = context.since + TAKEOVER_SECONDS
    assert context.history.compute_share(last) == 0.5
    assert context.history.compute_share(last + 0.01) == 1.0


@given("an instance that got tokens in advance")
def prepare_advance(context):
    context.tokens = QuotaTokens()
    context.tokens.hold(ACCOUNT, 3, 100.0, 100.01)


@then("they admit requests for half a second and none later")
def check_expiry(context):
    assert context.tokens.try_take(ACCOUNT, 100.1)
    assert context.tokens.try_take(ACCOUNT, 100.49)
    assert not context.tokens.try_take(ACCOUNT, 100.51)


@then("those whose answer arrives a second after the request admit none")
def check_late_answer(context):
    context.tokens.hold(ACCOUNT, 3, 200.0, 201.0)
    assert not context.tokens.try_take(ACCOUNT, 201.0)


@then("for any quota few tokens are granted in advance, and none when it is used up")
def check_advance(context):
    @for_all(
        st.floats(0.1, 200.0), st.floats(1.0, 400.0), st.floats(0.05, 1.0), st.data()
    )
    def check(rate, burst, share, data):
        quota = Quota(rate, burst)
        view = FleetView(ALONE.candidates, int(share * 100), 100)
        _, owner = make_owner(0.0, view)
        now = 20.0
        tolerated = BOUNDS.overrun * (rate * BOUNDS.window + burst) + BOUNDS.slack
        in_advance = []
        for _ in range(30):
            now += data.draw(st.floats(0.0, 0.2))
            granted = owner.grant(ACCOUNT, quota, 1, 16, now).granted - 1
            in_advance.append((now, max(0, granted)))
            unused = sum(n for time, n in in_advance if now - time <= 0.5)
            assert unused <= tolerated * view.share / 4, (unused, tolerated)
        while owner.grant(ACCOUNT, quota, 1, 0, now).granted:
            pass
        later = now + 2.0 / (rate * max(view.share, 0.01))
        capacity = BOUNDS.compute_capacity(quota) * view.share
        if capacity > 6:
            assert owner.grant(ACCOUNT, quota, 1, 16, later).granted == 1

    check()


@given("a fleet in which an instance leaves on purpose and another one is killed")
def prepare_departure(context):
    contact = FleetContact(OWN)
    names = [f"peer-{number}" for number in range(9)]
    contact.note_peers(names, 0.0)
    for tick in range(10):
        for name in names:
            if name == "peer-0" and tick >= 5:
                continue
            contact.hear_peer(name, name == "peer-1" and tick >= 5, True, float(tick))
        contact.note_peers(names, float(tick))
    context.contact = contact
    context.view = contact.make_view(contact.make_zone_view([OWN], 9.0), {}, 9.0)


@then("the share is smaller by the killed instance only")
def check_departure(context):
    assert (context.view.live, context.view.known) == (8, 9), context.view


@then("the name of the one that left is forgotten with the list of peers")
def check_forgotten(context):
    context.contact.note_peers(["peer-2"], 70.0)
    assert not context.contact._left


@given("an owner whose account has used up a rate of 10")
def prepare_used_up(context):
    prepare(context)
    pass_time(context, 30.0)
    while context.owner.grant(ACCOUNT, QUOTA, 1, 0, context.now).granted:
        pass
    context.now += 0.05
    context.owner.give_back(ACCOUNT, QUOTA, 1, context.now)
    assert context.owner.grant(ACCOUNT, QUOTA, 1, 0, context.now).granted == 1


@then("refused requests are told different times, a tenth of a second apart")
def check_spread(context):
    grants = [context.owner.grant(ACCOUNT, QUOTA, 1, 0, context.now) for _ in range(5)]
    context.times = [grant.retry_after for grant in grants]
    gaps = [
        later - earlier
        for earlier, later in zip(context.times, context.times[1:], strict=False)
    ]
    assert all(abs(gap - 0.1) < 1e-6 for gap in gaps), context.times


@then("a request at the first of these times is admitted")
def check_accuracy(context):
    first = context.now + context.times[0]
    assert context.owner.grant(ACCOUNT, QUOTA, 1, 0, first - 0.01).granted == 0
    assert context.owner.grant(ACCOUNT, QUOTA, 1, 0, first + 1e-6).granted == 1
