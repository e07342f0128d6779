"""DRAIN after the store has come back from an older copy."""

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
# The copy is this much older than the store's last moment, which is away for a moment.
COPY_AGE = 8.0
AWAY = 1.0
# How long the server that joins in a release is slow after its start.
COLD = 6.0
# The check begins this long after the bound of the drain has passed. The server serves
# until `LEFT_AFTER` seconds after the acknowledgement, then it ends.
MARGIN = 1.0
LEFT_AFTER = 6.0
WORK_SECONDS = 0.2
ROUNDS = 20
SENT_AT_ONCE = 6


async def case(deployment, trouble):
    """Return whether nothing reaches the server that leaves."""
    record, store = deployment.record, deployment.store
    for number, zone in enumerate(ZONES):
        await deployment.add_server(f"i-old-{number}", SERVICE, zone)
    routes = [make_route("r-1", "/a/", SERVICE, kind="unsafe")]
    for server in deployment.servers:
        server.work_seconds = WORK_SECONDS
    deployment.write_configuration(0x10, routes, [SERVICE])
    await deployment.start_instances()
    await asyncio.sleep(STABLE_WINDOW)

    state = store.copy_state()
    record.write(f"store: a copy is taken at {store.version}")
    await asyncio.sleep(1.0)
    joined = await deployment.add_server("i-new-0", SERVICE, ZONES[0], cold=COLD)
    joined.work_seconds = WORK_SECONDS
    record.write("i-new-0: joins, says `ready`")
    await asyncio.sleep(COPY_AGE - 1.0)
    record.write(f"store: at {store.version}")
    if trouble:
        store.go_away()
        record.write("store: away")
        await asyncio.sleep(AWAY)
        store.come_back(state)
        record.write(f"store: back from the copy, at {store.version}, era {store.era}")
    for server in deployment.servers:
        server.write_entry()
    # The release is taken back, while the store is stable again.
    await asyncio.sleep(STABLE_WINDOW + 0.5)
    joined.state = "draining"
    version = joined.write_entry()
    acknowledged = time.monotonic()
    record.write(f"i-new-0: `draining` acknowledged as {version}")

    await asyncio.sleep(acknowledged + DRAIN_BOUND + MARGIN - time.monotonic())
    end = asyncio.get_running_loop().call_later(
        acknowledged + LEFT_AFTER - time.monotonic(), joined.end
    )
    requests = {}
    for number in range(ROUNDS):
        await asyncio.gather(
            *(
                check(deployment, instance, number, requests)
                for instance in deployment.instances
                for _ in range(SENT_AT_ONCE)
            )
        )
        await asyncio.sleep(0.05)
    end.cancel()
    late = [run for run in joined.runs if run[1] in requests]
    for at, request, _, _ in late:
        record.write(
            f"{request} was run by i-new-0 {at - acknowledged:.3f} s after the"
            " acknowledgement"
        )
    lost = [run[1] for run in late if requests[run[1]] >= 500]
    record.write(f"{len(late)} of {len(requests)} requests reached it too late")
    record.write(f"of these, the end of the server cut off {len(lost)}")
    return not late


async def check(deployment, instance, number, requests):
    """Send a request; record its id and its answer."""
    request, answer = await deployment.send(instance, f"/a/{number}", "POST", b"x")
    requests[request] = answer.status
    deployment.record.write(
        f"{instance.name}: {request} POST /a/{number}: {answer.status} {answer.error}"
    )


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(case, FOLDER, trouble))
