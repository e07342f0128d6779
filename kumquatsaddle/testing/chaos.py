"""Injects random faults into a test fleet under load, reproducibly from a seed.

Faults are functions in a registry; each injects one fault, waits, and removes it. The
tests run `run_chaos` with a few fixed seeds, ``make soak`` with many.
"""

import random

import trio

from kumquatsaddle.registries import Registry
from kumquatsaddle.testing.callers import (
    CallerRecord,
    check_caller_record,
    send_lookup,
    send_order,
)

__all__ = ["faults", "run_chaos"]

faults = Registry("fault")

_MIN_RUNNING_INSTANCES = 2
_SETTLE_SECONDS = 1.5


@faults.register("cut_answers")
async def _cut_answers(fleet, rng, duration):
    await _set_mode(_choose_backend(fleet, rng), duration, "cut_rate", 0.5, 0.0)


@faults.register("gray_errors")
async def _gray_errors(fleet, rng, duration):
    standin, rate = _choose_backend(fleet, rng), rng.choice([0.3, 1.0])
    await _set_mode(standin, duration, "error_rate", rate, 0.0)


@faults.register("slow_backend")
async def _slow_backend(fleet, rng, duration):
    standin, factor = _choose_backend(fleet, rng), rng.choice([20.0, 200.0])
    await _set_mode(standin, duration, "slow_factor", factor, 1.0)


@faults.register("drain_backend")
async def _drain_backend(fleet, rng, duration):
    await _set_mode(_choose_backend(fleet, rng), duration, "draining", True, False)


@faults.register("lose_requests")
async def _lose_requests(fleet, rng, duration):
    relay = rng.choice(list(fleet.relays.values()))
    relay.lose_requests = True
    await trio.sleep(duration)
    relay.lose_requests = False
    relay.break_connections()


@faults.register("lose_answers")
async def _lose_answers(fleet, rng, duration):
    relay = rng.choice(list(fleet.relays.values()))
    relay.lose_answers = True
    await trio.sleep(duration)
    relay.lose_answers = False
    relay.break_connections()


@faults.register("delay_answers")
async def _delay_answers(fleet, rng, duration):
    relay = rng.choice(list(fleet.relays.values()))
    relay.delay = 0.3
    await trio.sleep(duration)
    relay.delay = 0.0


@faults.register("break_connections")
async def _break_connections(fleet, rng, duration):
    for relay in fleet.relays.values():
        relay.break_connections()
    await trio.sleep(duration / 4)


@faults.register("crash_instance")
async def _crash_instance(fleet, rng, duration):
    running = fleet.list_running()
    if len(running) > _MIN_RUNNING_INSTANCES:
        entry = rng.choice(running)
        fleet.crash(entry)
        await trio.sleep(duration)
        await fleet.replace_node(entry)


@faults.register("stop_instance")
async def _stop_instance(fleet, rng, duration):
    running = fleet.list_running()
    if len(running) > _MIN_RUNNING_INSTANCES:
        entry = rng.choice(running)
        entry.stopping = True
        entry.application.stop()
        await entry.ended.wait()
        await fleet.replace_node(entry)


@faults.register("cut_one_way")
async def _cut_one_way(fleet, rng, duration):
    source, target = rng.sample(fleet.nodes, 2)
    addresses = [
        entry.node.settings.get("listen", "control") for entry in (source, target)
    ]
    fleet.partitions.block(*addresses)
    # Longer than the suspicion timeout, so that homes may be reassigned.
    await trio.sleep(2 * duration)
    fleet.partitions.heal()


@faults.register("isolate_instance")
async def _isolate_instance(fleet, rng, duration):
    entry = rng.choice(fleet.nodes)
    own = entry.node.settings.get("listen", "control")
    others = [
        other.node.settings.get("listen", "control")
        for other in fleet.nodes
        if other is not entry
    ]
    incoming = rng.random() < 0.5
    for other in others:
        fleet.partitions.block(*((other, own) if incoming else (own, other)))
    await trio.sleep(2 * duration)
    fleet.partitions.heal()


@faults.register("platform_outage")
async def _platform_outage(fleet, rng, duration):
    for entry in fleet.nodes:
        entry.platform.down = True
    await trio.sleep(duration)
    for entry in fleet.nodes:
        entry.platform.down = False


@faults.register("platform_lies")
async def _platform_lies(fleet, rng, duration):
    for entry in fleet.nodes:
        kind = rng.choice(["lose_replies", "lose_requests", "delay_effects"])
        setattr(entry.platform, kind, 2)
    await trio.sleep(duration)
    for entry in fleet.nodes:
        await entry.platform.apply_late_effects()


async def run_chaos(fleet, seed, seconds, *, rate=40.0, names=None):
    """Send orders and lookups during random faults, then check the answers.

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
    CallerRecord

    Raises
    ------
    AssertionError
        If the answers contradict what the backend servers ran.
    """
    rng, record = random.Random(seed), CallerRecord()
    names = names or faults.names()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_load, fleet, record, rng, seconds, rate)
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as injectors:
                for _ in range(2):
                    child_rng = random.Random(rng.random())
                    injectors.start_soon(_inject_faults, fleet, child_rng, names)
        _clear_faults(fleet)
    await trio.sleep(_SETTLE_SECONDS)
    check_caller_record(
        record, fleet.count_executions_by_operation(), fleet.count_executions_by_body()
    )
    return record


def _choose_backend(fleet, rng):
    return rng.choice(list(fleet.backends.values()))


async def _set_mode(standin, duration, key, value, usual):
    """Change one mode of a backend server for `duration` seconds."""
    standin.mode[key] = value
    await trio.sleep(duration)
    standin.mode[key] = usual


async def _inject_faults(fleet, rng, names):
    """Inject random faults one after the other until cancelled.

    `run_chaos` runs two of these tasks, so that faults overlap.
    """
    while True:
        fault = faults.get(rng.choice(names))
        await fault(fleet, rng, rng.uniform(0.1, 0.8))
        await trio.sleep(rng.uniform(0.0, 0.2))


def _clear_faults(fleet):
    fleet.partitions.heal()
    for relay in fleet.relays.values():
        relay.lose_requests = relay.lose_answers = False
        relay.delay = 0.0
        relay.break_connections()
    for standin in fleet.backends.values():
        standin.reset_mode()
    for entry in fleet.nodes:
        entry.platform.down = False


async def _send_load(fleet, record, rng, seconds, rate):
    ends_at = trio.current_time() + seconds
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < ends_at:
            number += 1
            send = send_order if rng.random() < 0.5 else send_lookup
            child_rng = random.Random(rng.random())
            nursery.start_soon(send, fleet, record, child_rng, number)
            await trio.sleep(rng.expovariate(rate))
