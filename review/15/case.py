"""CONFIG after the store's return from a copy, without a 410."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_deployment import (  # noqa: E402
    CONFIG_BOUND,
    HEARTBEAT,
    MAX_STRETCH,
    ZONES,
    make_route,
    run_case,
)

SERVICES = ("browse", "extra")
SERVERS_OF_SERVICE = 12
# The copy is taken this long after a heartbeat of the servers, so that it lacks one.
AFTER_HEARTBEAT = 0.7
COPY_AGE = 2.0
AWAY = 1.15
CHECKS = 20
# The check begins this long after the bound of the configuration has passed, with the
# stretch that RULES.md allows for an unstable core. The core is stable again by then.
MARGIN = 1.0


async def case(deployment, trouble):
    """Return whether the version after the return is in force in time."""
    record, store = deployment.record, deployment.store
    began = time.monotonic()
    for service in SERVICES:
        for number in range(SERVERS_OF_SERVICE):
            zone = ZONES[number % len(ZONES)]
            await deployment.add_server(f"i-{service}-{number}", service, zone)
    routes = [make_route("r-1", "/moved/", "browse")]
    deployment.write_configuration(0x10, routes, SERVICES)
    await deployment.start_instances()

    await asyncio.sleep(began + 3 * HEARTBEAT + AFTER_HEARTBEAT - time.monotonic())
    state = store.copy_state()
    record.write(f"store: a copy is taken at {store.version}")
    await asyncio.sleep(COPY_AGE)
    record.write(f"store: at {store.version}")
    if trouble:
        store.go_away()
        record.write("store: away")
        await asyncio.sleep(AWAY)
        store.come_back(state)
        record.write(f"store: back from the copy, at {store.version}, era {store.era}")
    routes = [make_route("r-1", "/moved/", "extra")]
    acknowledged = deployment.write_configuration(0x13, routes, SERVICES)
    for server in deployment.servers:
        server.write_entry()
    record.write(f"store: the servers have written again, at {store.version}")

    start = acknowledged + CONFIG_BOUND + MAX_STRETCH + MARGIN
    await asyncio.sleep(start - time.monotonic())
    late = 0
    for number in range(CHECKS):
        for instance in deployment.instances:
            target = f"/moved/{number}"
            request, answer = await deployment.send(instance, target)
            names = deployment.find_run(request)
            is_late = any("browse" in name for name in names)
            record.write(
                f"{instance.name}: {request} GET {target}: {answer.status}"
                f" {answer.error} run by {', '.join(names) or 'none'}"
                f"{': LATE' if is_late else ''}"
            )
            late += is_late
        await asyncio.sleep(0.1)
    count = CHECKS * len(deployment.instances)
    record.write(f"{late} of {count} requests were run by the old service")
    return late == 0


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(case, FOLDER, trouble))
