from types import SimpleNamespace

import trio
import trio.testing
from behave import given, then, when

from kumquatsaddle.dispatch.peers import PeerError
from kumquatsaddle.entry.proxy import make_proxy
from kumquatsaddle.entry.routing import make_router
from kumquatsaddle.types import Rank


class FailingLinks:
    """Links on which each request fails after `delay` seconds."""

    def __init__(self, written):
        self.written = written
        self.delay = 0.0
        self.requested_addresses = []

    async def request(self, address, fill, timeout):
        self.requested_addresses.append(address)
        await trio.sleep(self.delay)
        raise PeerError(self.written, "no reply")


def prepare_node(context, count, written):
    homes = [f"home-{number}" for number in range(count)]
    context.links = FailingLinks(written)
    context.node = SimpleNamespace(
        name="entry",
        dispatcher=SimpleNamespace(has_room=lambda service: False, pools={}),
        order_homes=lambda service, account: homes,
        gossip=SimpleNamespace(unreachable=set()),
        digests=SimpleNamespace(list_current=lambda service, now: {}),
        table=SimpleNamespace(
            members={name: SimpleNamespace(control=name) for name in homes}
        ),
        links=context.links,
        metrics=SimpleNamespace(count_retry=lambda reason: None),
    )


@given("an instance and {count:d} homes that receive requests and do not reply")
def prepare_silent(context, count):
    prepare_node(context, count, written=True)


@given("an instance and {count:d} homes that cannot be reached")
def prepare_unreachable(context, count):
    prepare_node(context, count, written=False)


def make_request(idempotent, timeout):
    return SimpleNamespace(
        service="s",
        account="shop",
        operation="",
        headers=(),
        rank=Rank.STANDARD,
        idempotent=idempotent,
        deadline=trio.current_time() + timeout,
    )


def dispatch(context, idempotent, timeout):
    async def run():
        request = make_request(idempotent, timeout)
        return await make_router(context.node).dispatch(request)

    clock = trio.testing.MockClock(autojump_threshold=0)
    context.answer = trio.run(run, clock=clock)


@when("it gets a repeatable request")
def send_repeatable(context):
    dispatch(context, True, 5.0)


@when("it gets an unrepeatable request")
def send_unrepeatable(context):
    dispatch(context, False, 5.0)


@when("it gets a repeatable request whose deadline passes at the first home")
def send_late(context):
    context.links.delay = 6.0
    dispatch(context, True, 5.0)


@when("a repeatable request beyond the limit goes to the primary first")
def send_beyond_limit(context):
    context.node.limits = SimpleNamespace(admit=lambda *arguments: False)

    async def run():
        proxy = make_proxy(context.node)
        request = make_request(True, 5.0)
        return await proxy._answer_resolved(request, None, may_forward=True)

    context.answer = trio.run(run)


@then("the answer is {outcome}, {reason}")
def check_answer(context, outcome, reason):
    answer = context.answer
    assert (answer.outcome.value, answer.reason.value) == (outcome, reason), answer


@then("{count:d} of the homes received it")
def check_receiving_homes(context, count):
    assert len(context.links.requested_addresses) == count, (
        context.links.requested_addresses
    )
