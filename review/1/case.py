"""A short cut of one instance from the store while backend servers are replaced."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world import BOUNDS, Backend, make_route, run_case  # noqa: E402

INSTANCES = 4
SERVERS = 10
SERVICE = "fixdesk"
TRAFFIC_S = 20.0
REQUESTS_PER_S = 50
RUN_S = 0.4
# The release: 4 of the 10 servers, one each second, from this time after the start of
# the traffic. The second removal comes after the cut, and further servers start later.
RELEASED = 4
RELEASE_AT_S, RELEASE_GAP_S = 4.0, 1.0
REMOVED_AFTER_S = 0.4
# A server that leaves serves for DrainMs after its entry was removed and a little
# longer ("at times many seconds"), then ends.
SERVES_ON_S = BOUNDS["DrainMs"] / 1000 + 6.0
CUT_AT_S, CUT_S = 5.0, 0.2
# Later than the bound by this much is late: it covers the measuring itself.
MEASURING_S = 0.05


async def replace_servers(world, servers, removed):
    """Replace the servers one after the other; each new one starts first."""
    endings = []
    for number, server in enumerate(servers):
        new = Backend(world, f"i-new-{number}", SERVICE, lambda *_: RUN_S)
        await new.start()
        await asyncio.sleep(REMOVED_AFTER_S)
        removed[server.name] = server.remove_entry()
        endings.append(asyncio.create_task(end_later(server)))
        await asyncio.sleep(RELEASE_GAP_S - REMOVED_AFTER_S)
    await asyncio.gather(*endings)


async def end_later(server):
    """End a server some time after it left the list."""
    await asyncio.sleep(SERVES_ON_S)
    server.end()


async def cut_reader(world, cut):
    """Cut the instance that follows the store off from it for a moment."""
    await asyncio.sleep(CUT_AT_S)
    cut.append(world.find_reader())
    world.note("disruption", cut[0], f"cut off from the store for {CUT_S} s")
    await world.access[cut[0]].cut(CUT_S)
    world.note("disruption", "ends")


async def run(world, trouble):
    """Return the requests that reached a server too long after its removal."""
    world.put_configuration(12, [make_route("repair", SERVICE)], [SERVICE])
    servers = [
        Backend(world, f"i-old-{number}", SERVICE, lambda *_: RUN_S)
        for number in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    await world.start_instances()
    await asyncio.sleep(6.0)
    names = await world.resolve()
    world.note("directory", *names)
    removed, cut = {}, []
    async with asyncio.TaskGroup() as group:
        traffic = group.create_task(
            world.send_traffic(names, "POST", ["/repair/1"], REQUESTS_PER_S, TRAFFIC_S)
        )
        if trouble:
            group.create_task(cut_reader(world, cut))
        await asyncio.sleep(RELEASE_AT_S)
        await replace_servers(world, servers[:RELEASED], removed)
    replies = traffic.result()
    bound = BOUNDS["DrainMs"] / 1000
    breaches = []
    for arrived, request, name in world.arrivals:
        taker = world.taken_by[request]
        late = arrived - removed.get(name, arrived) - bound
        # The instance that was cut off is not in touch.
        if late > MEASURING_S and taker not in cut:
            breaches.append(
                f"{request} reached {name} from {taker} {late + bound:.2f} s after the "
                f"removal; the client got {replies[request].status}"
            )
    lost = sum(reply.status != 200 for reply in replies.values())
    world.note("clients", f"{len(replies)} requests, {lost} without success")
    return breaches


run_case(run, FOLDER, INSTANCES)
