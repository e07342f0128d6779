from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import strategies as st

from kumquatsaddle.entry.connection_slots import ConnectionSlots
from kumquatsaddle.entry.memory_budget import MemoryBudget

_SERVERS = ("callers", "control", "readiness")


class Caller:
    """A connection that records whether it was closed."""

    def __init__(self, budget, peer="10.0.0.1", size=0, now=0.0):
        self.closed = False
        self.share = budget.open_share(peer, self.close, size, now)
        self.share.begin(now)

    def close(self):
        self.closed = True


@given("a memory budget of 1 MB")
def make_budget(context):
    context.budget = MemoryBudget(1e6)


@when("one caller stalls with 400 kB and one sends 400 kB steadily")
def stall_one(context):
    context.stalled = Caller(context.budget, size=400_000)
    context.steady = Caller(context.budget, size=400_000)
    for tenth in range(1, 11):
        context.steady.share.record_progress(40_000, tenth / 10)


@then("a newcomer gets 300 kB after the stalled one is closed, and the other stays")
def check_stalled(context):
    newcomer = Caller(context.budget, now=1.0)
    assert not newcomer.share.try_charge(300_000, 1.0)
    assert context.stalled.closed and not context.steady.closed
    context.stalled.share.end()
    assert newcomer.share.try_charge(300_000, 1.0)


@when("two callers send 470 kB each at once")
def send_at_once(context):
    context.callers = [Caller(context.budget, size=470_000) for _ in range(2)]


@then("a newcomer does not get 300 kB, and nobody is closed")
def check_refused(context):
    assert not Caller(context.budget).share.try_charge(300_000, 0.1)
    assert not context.budget.is_making_room()
    assert not any(caller.closed for caller in context.callers)


@then("a newcomer gets 40 kB, and nobody is closed")
def check_reserve(context):
    assert Caller(context.budget).share.try_charge(40_000, 0.1)
    assert not any(caller.closed for caller in context.callers)


@when("an address holds 700 kB in stalled connections and another one 200 kB")
def hold(context):
    context.heavy = [
        Caller(context.budget, "10.0.0.1", 350_000, now=1.0) for _ in range(2)
    ]
    # It has stalled for longer than the others.
    context.light = Caller(context.budget, "10.0.0.2", 200_000, now=0.0)


@then("a newcomer of the first address closes connections of that address only")
def check_addresses(context):
    newcomer = Caller(context.budget, "10.0.0.1", now=5.0)
    assert not newcomer.share.try_charge(300_000, 5.0)
    assert any(caller.closed for caller in context.heavy)
    assert not context.light.closed


@when("one caller stalls with 900 kB and is closed for another one")
def close_one(context):
    context.stalled = Caller(context.budget, size=900_000)
    context.newcomer = Caller(context.budget, now=1.0)
    assert not context.newcomer.share.try_charge(300_000, 1.0)
    assert context.stalled.closed and context.budget.is_making_room()


@then("its memory is free only after it has ended")
def check_closing(context):
    assert not context.newcomer.share.try_charge(300_000, 1.1)
    context.stalled.share.end()
    assert not context.budget.is_making_room()
    assert context.newcomer.share.try_charge(300_000, 1.2)


@then("after any sequence of charges, closes and ends nothing is counted")
def check_sequences(context):
    step = st.tuples(st.integers(0, 4), st.integers(0, 400_000), st.floats(0, 1))

    @given_values(st.lists(step, max_size=40))
    def run(steps):
        budget, now = MemoryBudget(1e6), 0.0
        callers = [Caller(budget, f"10.0.0.{i % 2}", 16_384) for i in range(5)]
        ended = set()
        for index, size, wait in steps:
            now += wait
            caller = callers[index]
            if index in ended:
                continue
            if caller.closed:
                caller.share.end()
                ended.add(index)
            else:
                caller.share.try_charge(size, now)
            held = sum(c.share.held for c in callers)
            assert budget.used == held <= 1e6
        for index, caller in enumerate(callers):
            if index not in ended:
                caller.share.end()
        assert budget.used == budget.closing == 0

    run()


@given("a table of 40 descriptors for three servers")
def make_table(context):
    context.slots = ConnectionSlots(40, _SERVERS)


@when("one server takes as many as it can")
def take_all(context):
    context.taken, context.closed = [], []
    for number in range(60):
        slot = context.slots.open("callers", number / 1000)
        if slot is None:
            break
        slot.close = lambda slot=slot: context.closed.append(slot)
        context.taken.append(slot)


@then("each of the others still gets 8")
def check_floors(context):
    assert len(context.taken) == 24, len(context.taken)
    for server in _SERVERS[1:]:
        assert all(context.slots.open(server, 0.1) for _ in range(8))


@then("a later connection takes the place of the first that waits")
def check_replaced(context):
    assert context.slots.open("callers", 1.0) is not None
    assert context.closed == context.taken[:1]


@then("one whose request runs stays")
def check_busy(context):
    context.slots.mark_busy(context.taken[1])
    assert context.slots.open("callers", 1.0) is not None
    assert context.closed == [context.taken[0], context.taken[2]]
