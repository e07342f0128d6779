from collections import Counter

import trio
from behave import given, then, when

from kumquatsaddle.admission.queue import ServiceQueue
from kumquatsaddle.dispatch.connections import ExchangeError
from kumquatsaddle.testing.fleet import open_fleet
from kumquatsaddle.testing.loops import start_loop
from kumquatsaddle.types import RefusalReason

RANKS = ("urgent", "standard", "bulk")
# 18 slots of 0.2 s serve 90 requests/s. The flood keeps 200 requests in flight; the
# other ranks send 4 requests/s each, below their floors of 5% to 20%.
WORK_SECONDS = 0.2
FLOOD_CALLERS = 200
OTHER_PAUSE_SECONDS = 0.5
OTHER_CALLERS = 2
DEADLINE_SECONDS = 2.0
# A flood of 200 requests at 90 requests/s waits for longer than the deadline.
MIN_DONE_SHARE, MAX_UNKNOWN_SHARE = 0.9, 0.05


def make_entities():
    for rank in RANKS:
        route = {"prefix": "/", "service": "slow", "rank": rank, "idempotent": True}
        yield "template", f"template-{rank}", {"routes": [route]}
        yield "account", rank, {"template": f"template-{rank}"}


@given("a fleet of {count:d} instances with {servers:d} slow servers")
def start_slow_fleet(context, count, servers):
    entities = [("service", "slow", {"deadline": DEADLINE_SECONDS}), *make_entities()]
    manager = open_fleet(count, 1, entities=entities)
    context.loop = start_loop(context, manager)
    context.fleet = context.loop.resource

    async def add_servers():
        for number in range(servers):
            await context.fleet.add_backend(f"slow-{number}", "slow", "a", WORK_SECONDS)
        with trio.fail_after(10):
            while not any(list_pools(context.fleet, "slow")):
                await trio.sleep(0.05)
        # New servers start warming; send requests until they are healthy.
        await warm_up(context.fleet)

    context.loop.run(add_servers)


def list_pools(fleet, service):
    return [entry.node.dispatcher.pools.get(service) for entry in fleet.nodes]


async def warm_up(fleet):
    async def work():
        while not all(is_warm(pool) for pool in list_pools(fleet, "slow") if pool):
            await send(fleet, "standard", Counter())

    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            for _ in range(18):
                nursery.start_soon(work)


def is_warm(pool):
    servers = pool.servers.values()
    return all(server.health.state.value == "healthy" for server in servers)


async def send(fleet, rank, outcomes):
    entry = fleet.nodes[0]
    try:
        raw = await fleet.call(entry.callers, "GET", "/work", account=rank)
        outcomes[raw.get_header(b"kumquatsaddle-outcome").decode()] += 1
    except (ExchangeError, trio.TooSlowError):
        outcomes["none"] += 1


@given("queues that serve first in, first out")
def use_fifo(context):
    push, pop = ServiceQueue.push, ServiceQueue.pop

    def push_last(self, waiter):
        if not hasattr(self, "fifo"):
            self.__dict__["fifo"] = []
        self.fifo.append(waiter)

    def pop_first(self, fits):
        while self.__dict__.get("fifo") and fits(self.fifo[0]):
            waiter = self.fifo.pop(0)
            if waiter.refusal is None and trio.current_time() < waiter.start_by:
                return waiter
            waiter.refuse(RefusalReason.DEADLINE)
        return None

    size = ServiceQueue.__len__
    ServiceQueue.push, ServiceQueue.pop = push_last, pop_first
    ServiceQueue.__len__ = lambda self: len(self.__dict__.get("fifo", ()))

    def restore():
        ServiceQueue.push, ServiceQueue.pop, ServiceQueue.__len__ = push, pop, size

    context.add_cleanup(restore)


@when("callers flood the fleet with {flooding} work for {seconds:d} seconds")
def flood(context, flooding, seconds):
    fleet = context.fleet
    context.flooding = flooding
    context.outcomes = {rank: Counter() for rank in RANKS}

    async def send_repeatedly(rank, pause):
        while trio.current_time() < ends_at:
            await send(fleet, rank, context.outcomes[rank])
            await trio.sleep(pause)

    async def run():
        nonlocal ends_at
        ends_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for rank in RANKS:
                callers = FLOOD_CALLERS if rank == flooding else OTHER_CALLERS
                for _ in range(callers):
                    pause = 0 if rank == flooding else OTHER_PAUSE_SECONDS
                    nursery.start_soon(send_repeatedly, rank, pause)

    ends_at = 0.0
    context.loop.run(run)


def compute_done_shares(context):
    for rank, outcomes in context.outcomes.items():
        if rank != context.flooding:
            yield outcomes["done"] / sum(outcomes.values())


@then("the other ranks get complete answers to nearly all of their requests")
def check_served(context):
    assert all(share >= MIN_DONE_SHARE for share in compute_done_shares(context)), (
        context.outcomes
    )


@then("the check finds ranks that are starved")
def check_starved(context):
    assert all(share < MIN_DONE_SHARE for share in compute_done_shares(context)), (
        context.outcomes
    )


@then("hardly any request of the flood starts too late to be answered")
def check_not_late(context):
    outcomes = context.outcomes[context.flooding]
    assert outcomes["unknown"] <= MAX_UNKNOWN_SHARE * outcomes["done"], context.outcomes
