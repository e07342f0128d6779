"""Machines that reach the store learn of a version too late, through others."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from testbed import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    CouldNotRun,
    StorePath,
    has_trouble,
    make_configuration,
    make_route,
    run_case,
)

_CONFIG_SECONDS = BOUNDS["ConfigMs"] / 1000
_HEARTBEAT_SECONDS = 1.5
# Longer than the history of the store, as for any machine that has run for a while.
_HISTORY_SECONDS, _QUIET_SECONDS = 20.0, 22.5
_COLD_SECONDS = 3
# Time for the change before the cut to be read by the machine that reads the store.
_READ_SECONDS = 0.02
_JUST_SECONDS, _WAIT_SECONDS = 0.003, 5.0
_PROBE_INTERVAL_SECONDS = 0.01


async def play(world):
    """Cut two of four machines off from the store and change the configuration."""
    store = world.store
    store.history_seconds = _HISTORY_SECONDS
    for index in range(4):
        await world.start_backend(f"i-old-{index}", "siteview", work=0.02)
        await world.start_backend(f"i-new-{index}", "fixdesk", work=0.02)

    def publish(version, service):
        store.put("op", "config", make_configuration(version, [route(service)]))

    def route(service):
        return make_route("look", service, TimeoutMs=3000)

    publish(12, "siteview")
    paths = []
    for number in range(1, 5):
        # Only the first two are cut off; all have the same path but for that.
        path = StorePath(store)
        await path.start()
        paths.append(path)
        world.add_instance(f"front-north-depot-{number}", store=path)
    for instance in world.instances:
        instance.start()
    for instance in world.instances:
        await instance.wait_until_ready()

    await send_heartbeats(world, _QUIET_SECONDS)
    # A server joins; its entry changes when its slow start is over.
    server = await world.start_backend(
        "i-old-4", "siteview", work=0.02, cold_ms=_COLD_SECONDS * 1000
    )
    await send_heartbeats(world, _COLD_SECONDS)
    # The first machine reads the store for all. It is cut off, with the second one,
    # just after it has read both tables, of which the list of servers has changed.
    await wait_for_read(paths[0])
    server.cold_ms = 0
    server.register()
    await asyncio.sleep(_READ_SECONDS)
    if has_trouble():
        paths[0].is_cut = paths[1].is_cut = True
        world.record.note("front-north-depot-1 and -2 are cut off from the store")
    acknowledged_at = time.monotonic()
    publish(13, "fixdesk")
    world.record.note("version 13 is acknowledged; it moves the route to fixdesk")
    late = await probe(world, world.instances[2:], acknowledged_at)
    for name, after in late:
        world.record.note(f"{name} sent a request {after:.3f} s after it to siteview")
    world.record.say(
        f"{len(late)} requests that were sent later than ConfigMs after the "
        "acknowledgement ran at the old service, by machines in touch"
    )
    if late:
        world.record.say(f"the last one was sent {late[-1][1]:.3f} s after it")
    return BROKEN if late else HELD


async def wait_for_read(path):
    """Wait until the store has just answered a machine that waits for versions."""
    end = time.monotonic() + _WAIT_SECONDS
    while path.get_read_age("op") > _JUST_SECONDS:
        if time.monotonic() > end:
            raise CouldNotRun("the first machine does not read the store")
        await asyncio.sleep(0.001)


async def send_heartbeats(world, seconds):
    """Let all backend servers write their entries regularly, and end between two."""
    for _ in range(int(seconds / _HEARTBEAT_SECONDS)):
        for backend in world.backends.values():
            backend.register()
        await asyncio.sleep(_HEARTBEAT_SECONDS)


async def probe(world, instances, acknowledged_at):
    """Send requests to machines in touch; return those handled by the old version.

    Returns
    -------
    list of (str, float)
        The machine and the time in seconds from the acknowledgement to the request.
    """
    late, tasks = [], []

    async def send(instance):
        after = time.monotonic() - acknowledged_at
        request_id, answer = await world.caller.send(instance.front, "GET", "/look/1")
        services = {
            world.backends[run.server].service for run in world.list_runs(request_id)
        }
        if not answer.served or not services:
            raise CouldNotRun(f"a request to {instance.name} was not served")
        if "siteview" in services and after > _CONFIG_SECONDS:
            late.append((instance.name, after))

    await asyncio.sleep(_CONFIG_SECONDS - 0.2)
    while time.monotonic() < acknowledged_at + _CONFIG_SECONDS + 1.0:
        for instance in instances:
            tasks.append(asyncio.create_task(send(instance)))
        await asyncio.sleep(_PROBE_INTERVAL_SECONDS)
    await asyncio.gather(*tasks)
    return sorted(late, key=lambda item: item[1])


run_case(play, __file__)
