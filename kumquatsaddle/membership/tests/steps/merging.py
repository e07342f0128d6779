import itertools
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.membership.members import (
    LIVE_STATES,
    make_table,
    read_member,
    write_member,
)
from kumquatsaddle.messages.codec import schema
from kumquatsaddle.testing.gossip_fleet import describe_instance
from kumquatsaddle.types import InstanceState

OWN = describe_instance(99, "f" * 16, 0.0)


def make_record(number, start, revision, state):
    member = describe_instance(number, f"{start:016x}", float(start))
    return replace(member, revision=revision, state=state)


records = st.builds(
    make_record,
    st.integers(0, 2),
    st.integers(1, 2),
    st.integers(1, 3),
    st.sampled_from(list(InstanceState)),
)
update_lists = st.lists(records, max_size=12)


def build_table(*updates):
    table = make_table(OWN)
    for member in itertools.chain(*updates):
        table.merge(member, 0.0)
    return table


def live_members(table):
    return {member for member in table.members.values() if member.state in LIVE_STATES}


@then("any order and any repetition of updates give the same table")
def check_order(context):
    @for_all(update_lists, st.randoms(use_true_random=False))
    def check(updates, rng):
        shuffled = updates + updates[: len(updates) // 2]
        rng.shuffle(shuffled)
        assert build_table(updates).members == build_table(shuffled).members
        assert build_table(updates).digest == build_table(shuffled).digest

    check()


@then("merging three tables gives the same whichever two are merged first")
def check_association(context):
    @for_all(update_lists, update_lists, update_lists)
    def check(first, second, third):
        one, two, three = (build_table(updates) for updates in (first, second, third))
        left = build_table(build_table(*map(records_of, (one, two))).members.values())
        left = build_table(records_of(left), records_of(three))
        right = build_table(records_of(two), records_of(three))
        right = build_table(records_of(one), records_of(right))
        assert left.members == right.members

    check()


def records_of(table):
    return list(table.members.values())


@then("the digests of two tables are equal exactly when their live members are")
def check_digest(context):
    @for_all(update_lists, update_lists)
    def check(first, second):
        one, two = build_table(first), build_table(second)
        assert (one.digest == two.digest) == (live_members(one) == live_members(two))

    check()


@then("no update of the same or an earlier revision revives a dead member")
def check_death(context):
    @for_all(records, update_lists)
    def check(record, updates):
        dead = replace(record, state=InstanceState.DEAD)
        late = [
            replace(item, name=dead.name)
            for item in updates
            if (item.started_at, item.revision) <= (dead.started_at, dead.revision)
        ]
        table = build_table([dead], late)
        assert table.members[dead.name] == dead

    check()


@given("a table with an instance that was just declared dead")
def make_dead(context):
    context.earlier = make_record(1, 1, 7, InstanceState.ALIVE)
    context.member_table = build_table([context.earlier])
    context.member_table.suspect(context.earlier.name, 10.0)
    context.member_table.expire(13.0, 3.0)
    assert (
        context.member_table.members[context.earlier.name].state is InstanceState.DEAD
    )


@when("an update of a later incarnation of it arrives")
def merge_later(context):
    context.later = make_record(1, 2, 1, InstanceState.ALIVE)
    context.member_table.merge(context.later, 13.0)


@then("the table holds the later incarnation as alive")
def check_later(context):
    assert context.member_table.members[context.later.name] == context.later


@then("updates of the earlier incarnation change nothing")
def check_earlier(context):
    for state in InstanceState:
        late = replace(context.earlier, revision=9, state=state)
        assert context.member_table.merge(late, 14.0) is None
    assert context.member_table.members[context.later.name] == context.later


@given("a joining instance whose predecessor started in the future")
def make_joining(context):
    own = make_record(1, 5, 1, InstanceState.JOINING)
    context.predecessor = make_record(1, 900, 4, InstanceState.ALIVE)
    context.member_table = make_table(own)


@when("it sees the record of its predecessor")
def merge_predecessor(context):
    context.update = context.member_table.merge(context.predecessor, 0.0)


@then("its own record supersedes that of the predecessor")
def check_predecessor(context):
    assert context.update is context.member_table.own
    assert context.member_table.own.supersedes(context.predecessor)
    assert not context.member_table.replaced


@then("any suspicion or death of an instance is superseded by its refutation")
def check_refutation(context):
    suspicions = st.sampled_from([InstanceState.SUSPECT, InstanceState.DEAD])

    @for_all(st.integers(0, 5), suspicions)
    def check(ahead, state):
        table = make_table(replace(OWN, state=InstanceState.ALIVE))
        suspicion = replace(table.own, state=state, revision=table.own.revision + ahead)
        assert table.merge(suspicion, 0.0) is table.own
        assert table.own.supersedes(suspicion)
        assert table.own.state is InstanceState.ALIVE

    check()


@then("members with a bad state, address, start time or length raise ValueError")
def check_reading(context):
    for field, value in (
        ("state", 6),
        ("impairment", 200),
        ("control", "example.org:80"),
        ("callers", "127.0.0.1:99999"),
        ("control", "1" * 100 + ":80"),
        ("startedAt", float("nan")),
        ("startedAt", float("inf")),
        ("zone", "z" * 65),
    ):
        builder = schema.Member.new_message()
        write_member(builder, OWN)
        assert read_member(builder) == OWN
        setattr(builder, field, value)
        try:
            read_member(builder)
        except ValueError:
            continue
        raise AssertionError(f"{field}={value!r} was accepted")
