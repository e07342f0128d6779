import trio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from quota_instances import ACCOUNT, QuotaInstances, make_quota

from kumquatsaddle.accounts.quota_owner import Grant, QuotaRefusal
from kumquatsaddle.accounts.quota_tokens import QuotaTokens
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.sharing.quota_asks import Ask, encode_ask
from kumquatsaddle.sharing.quota_messages import (
    QUOTA_PREFIX,
    QuotaAsk,
    QuotaMessage,
    decode_quota_message,
    encode_quota_message,
)
from kumquatsaddle.testing.loops import start_loop
from kumquatsaddle.types import RefusalReason

# Shorter than the wait for an owner, 0.25 s.
AT_ONCE_SECONDS = 0.2
# A quota whose refusals carry no number on the wire, because an owner never sends them.
SENT_REFUSALS = [
    None,
    QuotaRefusal.LIMIT,
    QuotaRefusal.TAKEOVER,
    QuotaRefusal.PARTITION,
    QuotaRefusal.NOT_OWNER,
]


def start(context, sizes, quota, older=()):
    context.loop = start_loop(context)

    async def run():
        context.fleet = QuotaInstances(sizes, quota, older)
        await context.fleet.start()

    context.loop.run(run)
    context.add_cleanup(context.loop.run, context.fleet.stop)
    if not older and quota is not None:
        context.owner, context.others = context.fleet.find_owner()


@given(
    "{first:d} instances in zone a and {second:d} in zone b"
    " with an account of {rate:d} requests/s"
)
def prepare_quotas(context, first, second, rate):
    start(context, {"a": first, "b": second}, make_quota(rate))


@given(
    "{first:d} instances in zone a and {second:d} in zone b, a-1 is of an older build"
)
def prepare_older_build(context, first, second):
    start(context, {"a": first, "b": second}, make_quota(20), older=("a-1",))


async def admit_at_once(instance, number):
    """Return the refusals of requests that arrive at the same moment."""
    refused = []

    async def send():
        refusal = await instance.admit()
        if refusal is not None:
            refused.append(refusal)

    async with trio.open_nursery() as nursery:
        for _ in range(number):
            nursery.start_soon(send)
    return refused


@when("each instance gets a request of the account")
def send_one_each(context):
    async def act():
        context.refused = []
        for instance in context.fleet.instances:
            context.refused += await admit_at_once(instance, 1)

    context.loop.run(act)


@then("all of them are admitted and the owner has answered {number:d} asks")
def check_admitted(context, number):
    assert not context.refused, context.refused
    assert len(context.owner.answers) == number, context.owner.answers


@then("{number:d} requests at one moment at an instance share a datagram")
def check_batch(context, number):
    instance = context.others[0]
    before = len(instance.asks)
    context.loop.run(admit_at_once, instance, number)
    sent = instance.asks[before:]
    assert len(sent) == 1, sent
    assert [ask.needed for ask in sent[0].asks] == [number], sent


@then("any quota message is decoded as it was encoded")
def check_codec(context):
    numbers, counts = st.integers(0, (1 << 32) - 1), st.integers(0, (1 << 16) - 1)
    names = st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=40)
    asks = st.builds(QuotaAsk, numbers, names, counts, counts, counts)
    grants = st.builds(
        Grant,
        counts,
        st.integers(0, 10_000).map(lambda ms: ms / 1000),
        st.sampled_from(SENT_REFUSALS),
    )
    answers = st.tuples(numbers, grants)

    @for_all(
        names,
        st.integers(0, (1 << 64) - 1),
        st.lists(asks, max_size=5),
        st.lists(answers, max_size=5),
    )
    def check(sender, incarnation, asks, answers):
        message = QuotaMessage(sender, incarnation, tuple(asks), tuple(answers))
        decoded = decode_quota_message(encode_quota_message(message))
        assert decoded[:3] == message[:3], decoded
        for (number, grant), (other_number, other) in zip(
            message.answers, decoded.answers, strict=True
        ):
            assert (number, grant.granted, grant.refusal) == (
                other_number,
                other.granted,
                other.refusal,
            )
            assert abs(grant.retry_after - other.retry_after) < 0.0011

    check()


@then("damaged quota messages are rejected")
def check_damaged(context):
    data = encode_quota_message(QuotaMessage("a", 1, (QuotaAsk(1, ACCOUNT, 1),)))

    @for_all(st.integers(0, len(data) - 1), st.binary(max_size=64))
    def check(length, tail):
        for damaged in (data[:length], QUOTA_PREFIX + tail):
            try:
                decode_quota_message(damaged)
            except MessageError:
                continue

    check()
    for empty in (b"", QUOTA_PREFIX, data[:-1]):
        try:
            decode_quota_message(empty)
        except MessageError:
            continue
        raise AssertionError(empty)


@when("the first ask of an instance is lost")
def lose_ask(context):
    instance = context.others[0]
    instance.lost_asks = 1
    context.refused = context.loop.run(admit_at_once, instance, 1)
    assert len(instance.asks) == 2, instance.asks


@when("the first answer to an instance is lost")
def lose_answer(context):
    context.tokens = count_tokens(context)
    context.owner.lost_answers = 1
    context.refused = context.loop.run(admit_at_once, context.others[0], 1)
    assert len(context.owner.answers) == 2, context.owner.answers


@then("its request is admitted")
def check_one_admitted(context):
    assert not context.refused, context.refused


@then("the owner has granted one token")
def check_one_token(context):
    first, second = context.owner.answers
    assert first.answers == second.answers, context.owner.answers
    assert first.answers[0][1].granted == 1


def count_tokens(context):
    """Return the tokens in the bucket of the owner, which is used by this."""

    async def count():
        owner, now = context.owner.quotas._owner, trio.current_time()
        owner.grant(ACCOUNT, context.fleet.account.quota, 0, 0, now)
        return owner._buckets[ACCOUNT].tokens

    return context.loop.run(count)


@when("the owner is killed")
def kill_owner(context):
    async def act():
        context.owner.scope.cancel()

    context.loop.run(act)


@then("requests are refused with 429 and a Retry-After below {seconds:d} seconds")
def check_refused(context, seconds):
    instance = context.others[0]
    context.refused = context.loop.run(admit_at_once, instance, 3)
    assert len(context.refused) == 3, context.refused
    for error, _ in context.refused:
        assert error.reason is RefusalReason.ACCOUNT_LIMIT
        assert 0 < error.retry_after < seconds, error.retry_after


@then("all but one at a time are refused at once")
def check_refused_at_once(context):
    refused = context.loop.run(admit_at_once, context.others[0], 5)
    slow = [time for _, time in refused if time > AT_ONCE_SECONDS]
    assert len(refused) == 5 and len(slow) <= 1, refused


@then("within {seconds:d} seconds another instance grants tokens")
def check_taken_over(context, seconds):
    async def check():
        with trio.fail_after(seconds):
            for instance in context.others:
                while await instance.admit() is not None:
                    await trio.sleep(0.1)

    context.loop.run(check)


async def send_load(context, rate, seconds):
    """Send requests to all instances in turn; return how many are admitted."""
    admitted = 0

    async def send(instance):
        nonlocal admitted
        if await instance.admit() is None:
            admitted += 1

    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(int(rate * seconds)):
            await trio.sleep_until(started + number / rate)
            instances = context.fleet.instances
            nursery.start_soon(send, instances[number % len(instances)])
    return admitted


@when("a version lowers the quota to {rate:d} requests/s")
def lower_quota(context, rate):
    context.loop.run(send_load, context, 30, 2)
    context.fleet.set_quota(make_quota(rate))


@then("in the next {seconds:d} seconds at most {most:d} requests are admitted")
def check_lowered(context, seconds, most):
    admitted = context.loop.run(send_load, context, 30, seconds)
    assert admitted <= most, admitted


@when("the account sends {rate:d} requests/s for {seconds:d} seconds")
def send_flood(context, rate, seconds):
    context.asks = [len(instance.asks) for instance in context.others]
    context.seconds = seconds
    context.admitted = context.loop.run(send_load, context, rate, seconds)


@then("at least {least:d} and at most {most:d} of them are admitted")
def check_flood(context, least, most):
    assert least <= context.admitted <= most, context.admitted


@then("an instance sends at most {most:d} asks a second")
def check_asks(context, most):
    for before, instance in zip(context.asks, context.others, strict=True):
        sent = len(instance.asks) - before
        assert sent <= most * context.seconds, sent


@when("{number:d} requests are admitted and do not run")
def refuse_unrun(context, number):
    context.tokens = count_tokens(context)
    context.before = context.loop.run(get_time)
    instance = context.others[0]
    assert not context.loop.run(admit_at_once, instance, number)

    async def give_back():
        for _ in range(number):
            instance.quotas.give_back(context.fleet.account)
        await trio.sleep(0.5)

    context.loop.run(give_back)


async def get_time():
    return trio.current_time()


@then("the bucket of the owner has as many tokens as before")
def check_given_back(context):
    # The rate adds less than the 20 tokens in the meantime only if they came back.
    tokens = count_tokens(context)
    assert tokens >= context.tokens, (tokens, context.tokens)
    returned = sum(ask.returned for item in context.others[0].asks for ask in item.asks)
    assert returned == 20, returned


@when("an instance has been cut off for {seconds:d} seconds")
def cut_off(context, seconds):
    async def act():
        context.others[0].is_cut = True
        await trio.sleep(seconds)

    context.loop.run(act)


@then("its requests are refused at once with a Retry-After")
def check_cut_off(context):
    refused = context.loop.run(admit_at_once, context.others[0], 5)
    assert len(refused) == 5, refused
    for error, time in refused:
        assert error.retry_after > 0
        assert time <= AT_ONCE_SECONDS, refused


@then("no account belongs to the older build")
def check_older_build(context):
    quotas = [item.quotas for item in context.fleet.instances if item.quotas]
    older = context.fleet.instances[1]
    for number in range(100):
        owners = {item._history.find_owner(f"account-{number}") for item in quotas}
        assert len(owners) == 1, owners
        address = quotas[0]._addresses.find(owners.pop())
        assert address is not None and address != older.record.control, number


@given("{first:d} instances in zone a and {second:d} in zone b without client accounts")
def prepare_without_accounts(context, first, second):
    start(context, {"a": first, "b": second}, None)


@then("no quota message was sent and no summary describes a zone")
def check_nothing_sent(context):
    for instance in context.fleet.instances:
        assert not instance.asks and not instance.answers
        assert instance.quotas.describe_zone() == (None, ())
        assert instance.quotas._contact._zones, "no summary was heard"


@then("a repeated ask returns what it returned at first, and the next ask the rest")
def check_returned(context):
    tokens = QuotaTokens()
    tokens.give_back("farms", 0.0)
    first, second = Ask(1, "farms", 7), Ask(2, "farms", 7)
    assert encode_ask(first, tokens, 0.0).returned == 1
    tokens.give_back("farms", 0.1)
    assert encode_ask(first, tokens, 0.1).returned == 1
    assert encode_ask(second, tokens, 0.2).returned == 1
    assert tokens.pop_returned("farms") == 0
