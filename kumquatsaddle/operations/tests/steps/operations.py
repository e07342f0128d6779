import random

import trio
import trio.testing
from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.exchange import Answer
from kumquatsaddle.operations.claims import ClaimUnavailableError, make_claims
from kumquatsaddle.operations.issuer import (
    OPERATION_VALIDITY_SECONDS,
    make_incarnation,
    make_issuer,
    parse_incarnation,
)
from kumquatsaddle.operations.ledger import make_ledger
from kumquatsaddle.storage.memory import MemoryPlatform
from kumquatsaddle.testing.platforms import FaultyPlatform
from kumquatsaddle.types import Outcome, RefusalReason

DONE = Answer(Outcome.DONE, 200, (), b"whole")


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def run_trio(function, *arguments):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


async def run_counted(runs, operation, work):
    runs[operation] = runs.get(operation, 0) + 1
    await trio.sleep(work)
    return DONE


@then("repeats in any order run each operation at most once with equal answers")
def check_repeats(context):
    call = st.tuples(st.sampled_from("abc"), st.floats(0, 3), st.floats(0, 2))

    @for_all(st.lists(call, max_size=20))
    def check(calls):
        run_trio(send_repeats, calls)

    check()


async def send_repeats(calls):
    ledger, runs, answers = make_ledger(Clock()), {}, {}

    async def send(operation, start, work):
        await trio.sleep(start)
        answer = await ledger.run_once(
            operation, 1000.0, b"same", lambda: run_counted(runs, operation, work)
        )
        answers.setdefault(operation, set()).add(answer)

    async with trio.open_nursery() as nursery:
        for entry in calls:
            nursery.start_soon(send, *entry)
    assert all(count == 1 for count in runs.values())
    assert all(found == {DONE} for found in answers.values())


@then("an operation that was refused is never started afterwards")
def check_refused(context):
    action = st.tuples(st.sampled_from(["refuse", "run"]), st.sampled_from("ab"))

    @for_all(st.lists(action, max_size=12))
    def check(actions):
        run_trio(mix_refusals, actions)

    check()


async def mix_refusals(actions):
    ledger, runs, refused = make_ledger(Clock()), {}, set()
    for kind, operation in actions:
        if kind == "refuse":
            answer = ledger.record_refusal(
                operation, 1000.0, RefusalReason.ACCOUNT_LIMIT
            )
        else:
            answer = await ledger.run_once(
                operation,
                1000.0,
                b"x",
                lambda operation=operation: run_counted(runs, operation, 0),
            )
        if answer.outcome is Outcome.NOT_RUN:
            refused.add(operation)
    assert not refused & set(runs)


@then("an id that has run never runs again after any sequence of pauses")
def check_expired(context):
    @for_all(
        st.lists(st.floats(0, 2 * OPERATION_VALIDITY_SECONDS), min_size=1, max_size=8)
    )
    def check(pauses):
        run_trio(repeat_after, pauses)

    check()


async def repeat_after(pauses):
    clock = Clock()
    ledger, runs = make_ledger(clock), {}
    for pause in [0.0, *pauses]:
        clock.now += pause
        await ledger.run_once("a", 1000.0, b"x", lambda: run_counted(runs, "a", 0))
    assert runs == {"a": 1}


@then("the operation of a cancelled caller completes and is on record")
def check_cancelled(context):
    run_trio(cancel_caller)


async def cancel_caller():
    ledger, runs = make_ledger(Clock()), {}
    with trio.move_on_after(1):
        await ledger.run_once("a", 1000.0, b"x", lambda: run_counted(runs, "a", 5))
    answer = await ledger.run_once("a", 1000.0, b"x", lambda: run_counted(runs, "a", 0))
    assert answer == DONE and runs == {"a": 1}


@then("an issued id with any one character changed is rejected")
def check_forged(context):
    issuer, other = make_issuer(make_incarnation()), make_issuer(make_incarnation())
    issued = issuer.issue(1000.7)
    assert issuer.read_issue_time(issued) == 1000
    assert parse_incarnation(issued) == issuer.incarnation

    @for_all(st.integers(0, len(issued) - 1), st.characters())
    def check(place, character):
        changed = issued[:place] + character + issued[place + 1 :]
        if changed == issued:
            return
        for verifier in (issuer, other):
            try:
                parse_incarnation(changed)
                verifier.read_issue_time(changed)
            except RefusedError:
                continue
            raise AssertionError(changed)

    check()


@then("claims of a key by several instances under random faults run it at most once")
def check_claims(context):
    @for_all(st.integers(0, 2**32))
    def check(seed):
        run_trio(claim_under_faults, seed)

    check()


class Claimant:
    """An instance that claims a key and runs the operation of the claim."""

    def __init__(self, store, clock):
        self.platform = FaultyPlatform(store)
        self.issuer = make_issuer(make_incarnation())
        self.ledger = make_ledger(clock)
        self.claims = make_claims(self.platform, self.issuer, clock)

    async def run(self, runs, claim, fails):
        async def work():
            if fails:
                return Answer.from_reason(RefusalReason.QUEUE_FULL, claim.operation)
            return await run_counted(runs, claim.operation, 0)

        issued_at = self.issuer.read_issue_time(claim.operation)
        return await self.ledger.run_once(claim.operation, issued_at, b"x", work)


async def claim_under_faults(seed):
    rng, store, runs = random.Random(seed), MemoryPlatform(), {}
    claimants = [Claimant(store, Clock()) for _ in range(3)]
    by_incarnation = {entry.issuer.incarnation: entry for entry in claimants}
    for _ in range(12):
        claimant = rng.choice(claimants)
        fault = rng.choice(["none", "lose_replies", "lose_requests", "delay_effects"])
        if fault != "none":
            setattr(claimant.platform, fault, 1)
        claimant.platform.down = rng.random() < 0.1
        try:
            claim = await claimant.claims.claim("shop", "key", b"x")
            issuer = by_incarnation[claim.incarnation]
            answer = await issuer.run(runs, claim, rng.random() < 0.5)
            if answer.outcome is Outcome.NOT_RUN:
                claim = await claimant.claims.renew(claim)
        except ClaimUnavailableError as error:
            issued_at = claimant.issuer.read_issue_time(error.operation)
            claimant.ledger.record_refusal(
                error.operation, issued_at, RefusalReason.CLAIM_UNAVAILABLE
            )
        if rng.random() < 0.3:
            await claimant.platform.apply_late_effects()
    assert sum(runs.values()) <= 1, (seed, runs)
