import json
import random

import trio
from behave import then, when

from kumquatsaddle.addresses.groups import ejection_allowance
from kumquatsaddle.dispatch.connections import ExchangeError, open_connection
from kumquatsaddle.testing.chaos import faults
from kumquatsaddle.types import BackendState

SECONDS = 3.0
SHORT_TIMEOUT_MS = "60"


class KeepAliveCaller:
    """Sends lookups one after the other on one connection."""

    def __init__(self, number):
        self.number = number
        self.done = 0
        self.wrong = []

    async def run(self, fleet, rng):
        connection, sent = None, 0
        while True:
            if connection is None:
                entry = rng.choice(fleet.nodes)
                connection = await open_connection(entry.callers, 2.0)
            sent += 1
            target = f"/lookup/{self.number}/{sent}"
            raw = await self.exchange(connection, target)
            if raw is None or not connection.is_reusable():
                await connection.close()
                connection = None
            if raw is not None:
                self.check(raw, target)

    async def exchange(self, connection, target):
        headers = [
            ("Host", "fleet"),
            ("Kumquatsaddle-Account", "shop"),
            ("Kumquatsaddle-Timeout-Ms", SHORT_TIMEOUT_MS),
        ]
        try:
            return await connection.exchange(
                "GET", target, headers, b"", 1 << 20, lambda: None
            )
        except ExchangeError:
            return None

    def check(self, raw, target):
        if raw.get_header(b"kumquatsaddle-outcome") != b"done" or raw.status >= 500:
            return
        try:
            own = json.loads(raw.body)["target"] == target
        except ValueError:
            own = False
        if own:
            self.done += 1
        else:
            self.wrong.append((target, raw.body))


@when(
    "12 callers send lookups on their connections under {name} of seed {seed:d}",
)
def send_on_connections(context, name, seed):
    fleet, rng = context.fleet, random.Random(seed)
    context.callers = [KeepAliveCaller(number) for number in range(12)]

    async def inject():
        while True:
            await faults.get(name)(fleet, rng, rng.uniform(0.1, 0.6))
            await trio.sleep(0.1)

    async def run():
        with trio.move_on_after(SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(inject)
                for caller in context.callers:
                    nursery.start_soon(caller.run, fleet, random.Random(caller.number))

    context.loop.run(run)


@then("each answer was whole and the caller's own")
def check_own(context):
    assert not any(caller.wrong for caller in context.callers)


@then("most callers got answers")
def check_answers(context):
    assert sum(caller.done > 5 for caller in context.callers) > 6


@when("all servers of a service fail half of their work under load")
def fail_all(context):
    fleet = context.fleet
    for name, standin in fleet.backends.items():
        if name.startswith("lookup"):
            standin.mode["error_rate"] = 0.5
    context.most_ejected = 0

    async def watch():
        while True:
            out = count_ejected_everywhere(fleet, "lookup")
            context.most_ejected = max(context.most_ejected, out)
            await trio.sleep(0.01)

    async def run():
        with trio.move_on_after(SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                for number in range(12):
                    caller = KeepAliveCaller(number)
                    nursery.start_soon(caller.run, fleet, random.Random(number))

    context.loop.run(run)


def count_ejected_everywhere(fleet, service):
    """Return how many servers get work from no home, because all ejected them."""
    states = {}
    for entry in fleet.nodes:
        for server in read_servers(entry, service):
            states.setdefault(server.name, set()).add(server.health.state)
    return sum(held == {BackendState.EJECTED} for held in states.values())


def read_servers(entry, service):
    pool = entry.node.dispatcher.pools.get(service)
    return pool.servers.values() if pool else ()


@then("at no time more servers were ejected than the floor allows")
def check_floor(context):
    assert context.most_ejected <= ejection_allowance(3, 0.5), context.most_ejected


@then("some server was ejected")
def check_ejected(context):
    assert context.most_ejected > 0
