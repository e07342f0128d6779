"""DRAIN: a heartbeat that the store didn't answer is performed after a later one."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_deployment import (  # noqa: E402
    DRAIN_BOUND,
    STABLE_WINDOW,
    ZONES,
    make_route,
    run_case,
)

SERVICE = "browse"
# After this time the store performs the write that it didn't answer; 1 to 6 s.
PERFORMED_AFTER = 5.9
# When the server says `draining`, counted from the unanswered write. The store
# is stable again by then.
DRAINING_AFTER = STABLE_WINDOW + 0.2
CHECKED_SECONDS = 4.0
SENT_AT_ONCE = 4


async def case(deployment, trouble):
    """Return whether nothing reaches the server that leaves."""
    record = deployment.record
    for number in range(2 * len(ZONES)):
        zone = ZONES[number % len(ZONES)]
        await deployment.add_server(f"i-{number}", SERVICE, zone)
    routes = [make_route("r-1", "/a/", SERVICE, kind="unsafe")]
    deployment.write_configuration(0x10, routes, [SERVICE])
    await deployment.start_instances()
    await asyncio.sleep(STABLE_WINDOW)

    leaving = deployment.servers[0]
    started = time.monotonic()
    unanswered = leaving.make_entry()
    record.write(f"{leaving.name}: sends {unanswered}")
    if trouble:
        record.write("store: doesn't answer it")
    else:
        leaving.apply_heartbeat(unanswered)
    await asyncio.sleep(DRAINING_AFTER)
    leaving.state = "draining"
    version = leaving.write_entry()
    acknowledged = time.monotonic()
    record.write(f"{leaving.name}: `draining` acknowledged as {version}")

    await asyncio.sleep(DRAIN_BOUND)
    sent = set()
    checks = asyncio.create_task(check(deployment, sent))
    await asyncio.sleep(started + PERFORMED_AFTER - time.monotonic())
    if trouble:
        version = leaving.apply_heartbeat(unanswered)
        record.write(f"store: performs the unanswered write now, as {version}")
    await checks
    late = [run for run in leaving.runs if run[1] in sent]
    for at, request, _, _ in late:
        record.write(
            f"{request} was run by {leaving.name} {at - acknowledged:.3f} s after the"
            " acknowledgement"
        )
    record.write(f"{len(late)} of {len(sent)} requests reached it too late")
    return not late


async def check(deployment, sent):
    """Send requests to all instances for some time."""
    end = time.monotonic() + CHECKED_SECONDS
    while time.monotonic() < end:
        await asyncio.gather(
            *(
                send(deployment, instance, sent)
                for instance in deployment.instances
                for _ in range(SENT_AT_ONCE)
            )
        )
        await asyncio.sleep(0.02)


async def send(deployment, instance, sent):
    """Send a request; record its answer."""
    request, answer = await deployment.send(instance, "/a/x", "POST", b"x")
    sent.add(request)
    deployment.record.write(
        f"{instance.name}: {request} POST /a/x: {answer.status} {answer.error}"
    )


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(case, FOLDER, trouble))
