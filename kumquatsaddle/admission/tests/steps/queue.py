from collections import Counter

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from benchmarks import floods
from benchmarks.floods import Source, make_request
from kumquatsaddle.admission.queue import Waiter, make_queue
from kumquatsaddle.types import Rank, RefusalReason

SIMULATED_SECONDS = 3.0
SEED = 1
RANK_FLOORS = {Rank.URGENT: 0.2, Rank.STANDARD: 0.1, Rank.BULK: 0.05}


def make_waiter(account="a", rank=Rank.STANDARD, deadline=100.0, excluded=()):
    source = Source("", account, rank, 1.0)
    return Waiter(make_request(source, deadline), frozenset(excluded))


def fits_all(waiter):
    return True


@given("3 simulated seconds in which {word} requests arrive at 10 times the capacity")
def flood_rank(context, word):
    context.sources = floods.make_flood(Rank[word.upper()])
    context.modest = [rank.name.lower() for rank in Rank if rank.name != word.upper()]


@given("3 simulated seconds in which one of two accounts floods")
def flood_account(context):
    context.sources = floods.make_account_flood()
    context.modest = ["modest account"]


@given("3 simulated seconds in which an account asks for its floor among 50 floods")
def flood_floor(context):
    context.sources = floods.make_floor_flood()
    context.modest = ["account with floor"]


def served_shares(context, make):
    offered, in_time, _ = floods.simulate(
        make, context.sources, SIMULATED_SECONDS, SEED
    )
    return [in_time[label] / offered[label] for label in context.modest]


@then("the queue serves 99 percent of the other ranks in time")
@then("the queue serves 99 percent of the modest account in time")
@then("the queue serves 99 percent of the account with a floor in time")
def check_queue(context):
    shares = served_shares(context, floods.make_queue_for)
    assert all(share >= 0.99 for share in shares), shares


@then("first-in-first-out does not")
def check_fifo(context):
    shares = served_shares(context, floods.Fifo)
    assert all(share < 0.99 for share in shares), shares


@then("every waiting rank gets its share of any window for any floors")
def check_windows(context):
    weights = st.tuples(*[st.integers(0, 30)] * 3)
    backlogs = st.tuples(*[st.booleans()] * 3).filter(any)

    @for_all(weights, backlogs, st.lists(st.sampled_from(list(Rank)), max_size=60))
    def check(percents, backlog, extra):
        floors = {rank: percents[rank] / 100 for rank in Rank}
        queue = make_queue(floors, 1000, lambda: 0.0)
        waiting = [rank for rank in Rank if backlog[rank]]
        for rank in waiting:
            for _ in range(300):
                queue.push(make_waiter(rank=rank))
        served = []
        for number in range(200):
            if number < len(extra):
                queue.push(make_waiter(rank=extra[number]))
            served.append(queue.pop(fits_all).request.rank)
        for start in range(0, 200, 20):
            for end in range(start + 20, 201, 20):
                counts = Counter(served[start:end])
                for rank in waiting:
                    # Less one request for rounding, and less a burst of each other
                    # rank that was idle before.
                    due = floors[rank] * (end - start) - 1 - 8
                    assert counts[rank] >= due, (rank, start, end, counts)

    check()


@then("the service of waiting accounts never differs by more than one request")
def check_accounts(context):
    sizes = st.lists(st.integers(1, 40), min_size=2, max_size=6)

    @for_all(sizes, st.randoms(use_true_random=False))
    def check(held, rng):
        queue = make_queue(RANK_FLOORS, 1000, lambda: 0.0)
        names = [name for name, count in enumerate(held) for _ in range(count)]
        rng.shuffle(names)
        for name in names:
            queue.push(make_waiter(account=name, deadline=1 + rng.random()))
        served = Counter()
        for _ in range(min(held) * len(held)):
            served[queue.pop(fits_all).request.account] += 1
            counts = [served[name] for name in range(len(held))]
            assert max(counts) - min(counts) <= 1, counts

    check()


@then("a new account and one that was served for long take turns")
def check_return(context):
    queue = make_queue(RANK_FLOORS, 1000, lambda: 0.0)
    for _ in range(100):
        queue.push(make_waiter("old"))
    for _ in range(50):
        queue.pop(fits_all)
    for _ in range(20):
        queue.push(make_waiter("new"))
    served = Counter(queue.pop(fits_all).request.account for _ in range(20))
    assert abs(served["old"] - served["new"]) <= 1, served


@then("the waiters of an account leave in the order of their deadlines")
def check_deadlines(context):
    @for_all(st.lists(st.integers(1, 50), min_size=1, max_size=40))
    def check(deadlines):
        queue = make_queue(RANK_FLOORS, 1000, lambda: 0.0)
        for deadline in deadlines:
            queue.push(make_waiter(deadline=deadline))
        left = [queue.pop(fits_all).request.deadline for _ in deadlines]
        assert left == sorted(deadlines)

    check()


@given("a queue whose usual service time is {seconds:g} seconds")
def make_slow_queue(context, seconds):
    context.now = 0.0
    context.queue = make_queue(RANK_FLOORS, 100, lambda: context.now)
    context.queue.service_time = seconds


@when("one waiter with 2 seconds and one with 8 seconds are queued")
def push_two(context):
    context.waiters = [make_waiter(deadline=2.0), make_waiter(deadline=8.0)]
    for waiter in context.waiters:
        context.queue.push(waiter)


@when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    context.now += seconds


@then("the first is refused with reason deadline and the second is served")
def check_late(context):
    first, second = context.waiters
    assert context.queue.pop(fits_all) is second
    assert first.refusal is RefusalReason.DEADLINE
    assert first.event.is_set() and first.slot is None
    assert len(context.queue) == 0


@then("a new request with 1 second to its deadline is served")
def check_estimate(context):
    waiter = make_waiter(deadline=1.0)
    context.queue.push(waiter)
    assert context.queue.pop(fits_all) is waiter


@then("a full queue drops the same waiter as a simple model for any pushes")
def check_drops(context):
    @for_all(st.integers(1, 8), st.lists(st.integers(0, 4), max_size=60))
    def check(bound, accounts):
        queue = make_queue(RANK_FLOORS, bound, lambda: 0.0)
        model = []
        for account in accounts:
            waiter = make_waiter(account=account)
            dropped = queue.push(waiter)
            model.append(waiter)
            if len(model) <= bound:
                assert dropped is None
                continue
            counts = Counter(entry.request.account for entry in model)
            most = max(counts.values())
            largest = {name for name, count in counts.items() if count == most}
            assert dropped.request.account in largest
            own = dropped.request.account
            assert dropped is [w for w in model if w.request.account == own][-1]
            model.remove(dropped)
            assert len(queue) == len(model) == bound

    check()


@given("waiters that exclude all servers and others that are not idempotent")
def push_blocked(context):
    context.queue = make_queue(RANK_FLOORS, 5000, lambda: 0.0)
    for number in range(2000):
        excluded = make_waiter(f"a{number}", Rank.URGENT, excluded=("b1", "b2"))
        non_idempotent = make_waiter(f"a{number}", Rank.URGENT)
        non_idempotent.request.idempotent = False
        context.queue.push(excluded)
        context.queue.push(non_idempotent)


@then("an idempotent request behind them is served with one check for each kind")
def check_unblocked(context):
    checked = []

    def fits(waiter):
        checked.append(waiter)
        return waiter.request.idempotent and not waiter.excluded

    assert context.queue.pop(fits) is None
    assert len(checked) == 2
    waiter = make_waiter(rank=Rank.URGENT)
    context.queue.push(waiter)
    checked.clear()
    assert context.queue.pop(fits) is waiter
    assert len(checked) == 3


@when("30000 requests of 5000 accounts are queued and most are cancelled")
def push_many(context):
    context.queue = make_queue(RANK_FLOORS, 50, lambda: 0.0)
    for number in range(30000):
        # The first waiter stays at the top, so that the stale entries behind it are not
        # removed there.
        deadline = 1.0 if number == 0 else 2.0 + number % 7
        waiter = make_waiter(f"a{number % 5000}", deadline=deadline)
        context.queue.push(waiter)
        if number % 3:
            context.queue.remove(waiter)
        elif number % 9 == 0 and number:
            context.queue.pop(fits_all)


@then("the queue holds a bounded number of entries and accounts")
def check_memory(context):
    assert len(context.queue) <= 50
    queue_of_rank = context.queue._queues_by_rank[Rank.STANDARD]
    assert len(queue_of_rank._accounts) <= 50
    assert len(queue_of_rank._idle_accounts) <= 1024
    for kind in queue_of_rank._kinds.values():
        heaps = [
            kind.by_start_tag,
            kind.by_floor_due,
            *kind.waiters_by_account.values(),
        ]
        for heap in heaps:
            assert len(heap._heap) <= 2 * len(heap) + 16


@then("every waiter leaves exactly once for any order of pushes, pops and removals")
def check_bookkeeping(context):
    steps = st.lists(
        st.tuples(st.sampled_from("push pop remove".split()), st.integers(0, 11)),
        max_size=80,
    )

    @for_all(steps)
    def check(operations):
        queue = make_queue(RANK_FLOORS, 6, lambda: 0.0)
        waiting = []
        for operation, number in operations:
            if operation == "push":
                excluded = ("b1",) if number % 4 == 0 else ()
                waiter = make_waiter(number % 3, Rank(number % 3), 9.0, excluded)
                waiter.request.idempotent = number < 9
                waiting.append(waiter)
                dropped = queue.push(waiter)
                if dropped is not None:
                    waiting.remove(dropped)
            elif operation == "pop":
                popped = queue.pop(lambda waiter: not waiter.excluded)
                fitting = [waiter for waiter in waiting if not waiter.excluded]
                assert (popped is None) == (not fitting)
                if popped is not None:
                    fitting.remove(popped)
                    waiting.remove(popped)
            elif waiting:
                waiter = waiting.pop(number % len(waiting))
                assert queue.remove(waiter)
                assert not queue.remove(waiter)
            assert len(queue) == len(waiting)
        for _ in list(waiting):
            waiting.remove(queue.pop(fits_all))
        assert queue.pop(fits_all) is None

    check()
