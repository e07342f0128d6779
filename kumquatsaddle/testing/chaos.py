"""Composes faults at random from a seed against a test fleet under load.

Faults are functions in a registry; each breaks something for a while and then heals
it. The same driver serves the tests, with few fixed seeds, and the search of
``make soak``.
"""

import random

import trio

from kumquatsaddle.registries import Registry
from kumquatsaddle.testing.callers import (
    Account,
    check_account,
    send_lookup,
    send_order,
)

__all__ = ["faults", "run_chaos"]

faults = Registry("fault")

_LEAST_ALIVE = 2
_SETTLE = 1.5


@faults.register("cut_answers")
async def _cut_answers(fleet, rng, pause):
    standin = rng.choice(list(fleet.backends.values()))
    standin.mode["cut_rate"] = 0.5
    await trio.sleep(pause)
    standin.mode["cut_rate"] = 0.0


@faults.register("gray_errors")
async def _gray_errors(fleet, rng, pause):
    standin = rng.choice(list(fleet.backends.values()))
    standin.mode["error_rate"] = rng.choice([0.3, 1.0])
    await trio.sleep(pause)
    standin.mode["error_rate"] = 0.0


@faults.register("slow_backend")
async def _slow_backend(fleet, rng, pause):
    standin = rng.choice(list(fleet.backends.values()))
    standin.mode["slow_factor"] = rng.choice([20.0, 200.0])
    await trio.sleep(pause)
    standin.mode["slow_factor"] = 1.0


@faults.register("drain_backend")
async def _drain_backend(fleet, rng, pause):
    standin = rng.choice(list(fleet.backends.values()))
    standin.mode["draining"] = True
    await trio.sleep(pause)
    standin.mode["draining"] = False


@faults.register("lose_requests")
async def _lose_requests(fleet, rng, pause):
    wire = rng.choice(list(fleet.wires.values()))
    wire.lose_requests = True
    await trio.sleep(pause)
    wire.lose_requests = False
    wire.break_connections()


@faults.register("lose_answers")
async def _lose_answers(fleet, rng, pause):
    wire = rng.choice(list(fleet.wires.values()))
    wire.lose_answers = True
    await trio.sleep(pause)
    wire.lose_answers = False
    wire.break_connections()


@faults.register("delay_answers")
async def _delay_answers(fleet, rng, pause):
    wire = rng.choice(list(fleet.wires.values()))
    wire.delay = 0.3
    await trio.sleep(pause)
    wire.delay = 0.0


@faults.register("break_connections")
async def _break_connections(fleet, rng, pause):
    for wire in fleet.wires.values():
        wire.break_connections()
    await trio.sleep(pause / 4)


@faults.register("crash_instance")
async def _crash_instance(fleet, rng, pause):
    alive = fleet.alive()
    if len(alive) > _LEAST_ALIVE:
        entry = rng.choice(alive)
        fleet.crash(entry)
        await trio.sleep(pause)
        await fleet.replace_node(entry)


@faults.register("stop_instance")
async def _stop_instance(fleet, rng, pause):
    alive = fleet.alive()
    if len(alive) > _LEAST_ALIVE:
        entry = rng.choice(alive)
        entry.leaving = True
        entry.application.stop()
        await entry.ended.wait()
        await fleet.replace_node(entry)


@faults.register("cut_one_way")
async def _cut_one_way(fleet, rng, pause):
    source, target = rng.sample(fleet.nodes, 2)
    addresses = [
        entry.node.settings.get("listen", "control") for entry in (source, target)
    ]
    fleet.cuts.cut(*addresses)
    # Longer than the suspicion timeout, so that homes may move.
    await trio.sleep(2 * pause)
    fleet.cuts.heal()


@faults.register("isolate_instance")
async def _isolate_instance(fleet, rng, pause):
    entry = rng.choice(fleet.nodes)
    own = entry.node.settings.get("listen", "control")
    others = [
        other.node.settings.get("listen", "control")
        for other in fleet.nodes
        if other is not entry
    ]
    incoming = rng.random() < 0.5
    for other in others:
        fleet.cuts.cut(*((other, own) if incoming else (own, other)))
    await trio.sleep(2 * pause)
    fleet.cuts.heal()


@faults.register("platform_outage")
async def _platform_outage(fleet, rng, pause):
    for entry in fleet.nodes:
        entry.platform.down = True
    await trio.sleep(pause)
    for entry in fleet.nodes:
        entry.platform.down = False


@faults.register("platform_lies")
async def _platform_lies(fleet, rng, pause):
    for entry in fleet.nodes:
        kind = rng.choice(["lose_replies", "lose_requests", "delay_effects"])
        setattr(entry.platform, kind, 2)
    await trio.sleep(pause)
    for entry in fleet.nodes:
        await entry.platform.apply_late_effects()


async def run_chaos(fleet, seed, seconds, *, rate=40.0, names=None):
    """Send orders and lookups while faults come and go, then check the account.

    Parameters
    ----------
    fleet : Fleet
    seed : int
    seconds : float
        Duration of the load.
    rate : float, default=40.0
        Requests a second.
    names : sequence of str, optional
        Faults to draw from; all by default.

    Returns
    -------
    Account

    Raises
    ------
    AssertionError
        If the account of the callers does not fit the work of the backend servers.
    """
    rng, account = random.Random(seed), Account()
    names = names or faults.names()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_load, fleet, account, rng, seconds, rate)
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as injected:
                for _ in range(2):
                    stream = random.Random(rng.random())
                    injected.start_soon(_inject, fleet, stream, names)
        _heal(fleet)
    await trio.sleep(_SETTLE)
    check_account(account, fleet.executions(), fleet.bodies())
    return account


async def _inject(fleet, rng, names):
    """Inject one fault after the other; two of these make them overlap."""
    while True:
        fault = faults.get(rng.choice(names))
        await fault(fleet, rng, rng.uniform(0.1, 0.8))
        await trio.sleep(rng.uniform(0.0, 0.2))


def _heal(fleet):
    fleet.cuts.heal()
    for wire in fleet.wires.values():
        wire.lose_requests = wire.lose_answers = False
        wire.delay = 0.0
        wire.break_connections()
    for standin in fleet.backends.values():
        standin.reset_mode()
    for entry in fleet.nodes:
        entry.platform.down = False


async def _send_load(fleet, account, rng, seconds, rate):
    ends = trio.current_time() + seconds
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < ends:
            number += 1
            send = send_order if rng.random() < 0.5 else send_lookup
            stream = random.Random(rng.random())
            nursery.start_soon(send, fleet, account, stream, number)
            await trio.sleep(rng.expovariate(rate))
