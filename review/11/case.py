"""CONFIG after the store has come back from an older copy."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_deployment import (  # noqa: E402
    CONFIG_BOUND,
    MAX_STRETCH,
    STABLE_WINDOW,
    ZONES,
    make_route,
    run_case,
)

SERVICES = ("browse", "extra")
# The copy is this much older than the store's last moment, which is away for a moment.
COPY_AGE = 6.0
AWAY = 1.0
CHECKS = 20
# The check begins this long after the bound of the configuration has passed, with the
# stretch that RULES.md allows for an unstable core. The core is stable again by then.
MARGIN = 1.0


def make_routes(moved):
    """Return the routes before or after the last change of the operator."""
    routes = [make_route("r-1", "/moved/", "extra" if moved else "browse")]
    if moved:
        routes.append(make_route("r-3", "/added/", "extra"))
    else:
        routes.append(make_route("r-2", "/dropped/", "browse"))
    return routes


async def case(deployment, trouble):
    """Return whether the last version is in force in time."""
    record, store = deployment.record, deployment.store
    for service in SERVICES:
        for number, zone in enumerate(ZONES):
            await deployment.add_server(f"i-{service}-{number}", service, zone)
    deployment.write_configuration(0x10, make_routes(False), SERVICES)
    await deployment.start_instances()
    await asyncio.sleep(STABLE_WINDOW)

    state = store.copy_state()
    record.write(f"store: a copy is taken at {store.version}")
    await asyncio.sleep(COPY_AGE - 1.0)
    # A version that changes a time-out only.
    routes = make_routes(False)
    routes[0]["Spec"]["TimeoutMs"] = 4000
    deployment.write_configuration(0x12, routes, SERVICES)
    await asyncio.sleep(1.0)
    record.write(f"store: at {store.version}")
    if trouble:
        store.go_away()
        record.write("store: away")
        await asyncio.sleep(AWAY)
        store.come_back(state)
        record.write(f"store: back from the copy, at {store.version}, era {store.era}")
    for server in deployment.servers:
        server.write_entry()
    deployment.write_configuration(0x12, routes, SERVICES)
    await asyncio.sleep(1.0)
    routes = make_routes(True)
    acknowledged = deployment.write_configuration(0x15, routes, SERVICES)

    start = acknowledged + CONFIG_BOUND + MAX_STRETCH + MARGIN
    await asyncio.sleep(start - time.monotonic())
    late = 0
    for number in range(CHECKS):
        for instance in deployment.instances:
            late += await check(deployment, instance, number)
        await asyncio.sleep(0.2)
    record.write(f"{late} requests were handled as only an older version allows")
    return late == 0


async def check(deployment, instance, number):
    """Send a request to each route; return how many are handled as before."""
    late = 0
    for prefix in ("/moved/", "/dropped/", "/added/"):
        target = f"{prefix}{number}"
        request, answer = await deployment.send(instance, target)
        names = deployment.find_run(request)
        is_late = any("browse" in name for name in names)
        is_late |= prefix == "/added/" and answer.status == 404
        deployment.record.write(
            f"{instance.name}: {request} GET {target}: {answer.status} {answer.error}"
            f" run by {', '.join(names) or 'none'}{': LATE' if is_late else ''}"
        )
        late += is_late
    return late


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(case, FOLDER, trouble))
