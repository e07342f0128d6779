"""QUOTA: many processes are killed at the same moment, twice."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_deployment import ZONES, make_route, run_case  # noqa: E402

SERVICE = "browse"
INSTANCES = 12
# Bounds of the deployment shamba-gw-grown.
WINDOW, OVERRUN, SLACK = 5, 0.1, 20
BOUNDS = {
    "QuotaWindowS": WINDOW,
    "QuotaOverrun": OVERRUN,
    "QuotaSlack": SLACK,
    "ConfigMs": 2500,
    "DrainMs": 2500,
}
# Quota of the client account.
RATE, BURST = 1, 1
LIMIT = (RATE * WINDOW + BURST) * (1 + OVERRUN) + SLACK
KEY = "key-of-acme"
ACCOUNT = {
    "ResourceKind": "Tenants",
    "Metadata": {"Name": "acme"},
    "Spec": {"ApiKeys": [KEY], "RatePerS": RATE, "Burst": BURST},
}
KILLS = 2
DOWN_SECONDS = 0.2
BETWEEN_KILLS = 2.0
# Time between two requests of the account to each instance.
PAUSE_SECONDS = 0.1


async def case(deployment, trouble):
    """Return whether the requests of the account stay within its quota."""
    record = deployment.record
    for number in range(2 * len(ZONES)):
        zone = ZONES[number % len(ZONES)]
        await deployment.add_server(f"i-{number}", SERVICE, zone)
    routes = [make_route("r-1", "/a/", SERVICE, kind="unsafe")]
    deployment.write_configuration(0x10, routes, [SERVICE], [ACCOUNT])
    await deployment.start_instances()
    await asyncio.sleep(10.0)

    # The account now sends many times its quota.
    sent = {}
    tasks = [
        asyncio.create_task(send_repeatedly(deployment, instance, sent))
        for instance in deployment.instances
    ]
    await asyncio.sleep(1.0)
    if trouble:
        for _ in range(KILLS):
            await asyncio.gather(*(item.kill() for item in deployment.instances))
            record.write("all processes are killed")
            await asyncio.sleep(DOWN_SECONDS)
            await asyncio.gather(*(item.start() for item in deployment.instances))
            await asyncio.sleep(BETWEEN_KILLS)
    await asyncio.sleep(8.0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return check(deployment, sent)


def check(deployment, sent):
    """Count what was sent and ran in each window."""
    record = deployment.record
    runs = sorted(run[:2] for server in deployment.servers for run in server.runs)
    most = 0
    for start in sent.values():
        both = [at for at, request in runs if sent[request] >= start]
        most = max(most, sum(at < start + WINDOW for at in both))
    first = runs[0][0]
    for at, request in runs:
        record.write(f"{request} ran {at - first:.3f} s after the first one")
    record.write(f"at most {most} requests in {WINDOW} s, limit {LIMIT:.1f}")
    return most <= LIMIT


async def send_repeatedly(deployment, instance, sent):
    """Send requests of the account to an instance until cancelled."""
    headers = [("Authorization", f"Bearer {KEY}")]
    while True:
        request, answer = await deployment.send(
            instance, "/a/x", "POST", b"x", 1.0, headers=headers, sent=sent
        )
        deployment.record.write(
            f"{instance.name}: {request} POST /a/x: {answer.status} {answer.error}"
        )
        await asyncio.sleep(PAUSE_SECONDS)


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER, INSTANCES, BOUNDS))
