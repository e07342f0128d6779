"""Fault: a settings file changes while a process starts."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_deployment import (  # noqa: E402
    ZONES,
    CannotRunError,
    make_route,
    run_case,
)

SERVICE = "browse"
ROUNDS = 3
# Time from the start of a process to its SIGHUP, and for the process to end after it.
HUP_AFTER = 0.1
END_WITHIN = 2.0
# GraceS and some time for the end of the process.
STOPPED_WITHIN = 7.0


async def case(deployment, trouble):
    """Return whether all processes that get SIGHUP in their start go on to start."""
    record = deployment.record
    for number, zone in enumerate(ZONES):
        await deployment.add_server(f"i-{number}", SERVICE, zone)
    deployment.write_configuration(0x10, [make_route("r-1", "/a/", SERVICE)], [SERVICE])
    await deployment.start_instances()
    ended = 0
    for _ in range(ROUNDS):
        for instance in deployment.instances:
            instance.send_signal(signal.SIGTERM)
            async with asyncio.timeout(STOPPED_WITHIN):
                await instance.process.wait()
            await instance.start()
            await asyncio.sleep(HUP_AFTER)
            if trouble:
                instance.write_settings()
                instance.send_signal(signal.SIGHUP)
            if await has_ended(instance):
                ended += 1
                code = instance.process.returncode
                record.write(f"{instance.name}: ended with {code} in its start")
                await instance.start()
            await instance.wait_until_ready()
            record.write(f"{instance.name}: ready")
            request, answer = await deployment.send(instance, "/a/x")
            record.write(f"{instance.name}: {request} GET /a/x: {answer.status}")
            if answer.status != 200:
                raise CannotRunError("a request is not served")
    record.write(f"{ended} of {ROUNDS * len(deployment.instances)} starts ended")
    return ended == 0


async def has_ended(instance):
    """Return whether a process ends by itself in the next time."""
    try:
        async with asyncio.timeout(END_WITHIN):
            await instance.process.wait()
    except TimeoutError:
        return False
    return True


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
