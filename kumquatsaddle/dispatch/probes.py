"""Background tasks that keep the health states of the servers of a home up to date.

Probes only find out whether a server reports that it is draining. An answered probe is
no evidence of health, because servers with a gray failure answer probes, too.
"""

import json
from itertools import chain

import trio

from kumquatsaddle.dispatch.connections import ExchangeError
from kumquatsaddle.types import BackendState

__all__ = ["is_draining", "probe_server", "watch_pools"]

# Interval of the checks for late requests and due changes of state.
_TICK_SECONDS = 0.025
# Interval while no request waits or is in flight at this instance. Only changes of
# state can be due then, which take seconds. The checks are most of the idle cost of a
# node.
_IDLE_TICK_SECONDS = 0.1
_PROBE_INTERVAL_SECONDS = 1.0
# A probe usually takes about 25 ms.
_PROBE_TIMEOUT_SECONDS = 0.9
_MAX_CONCURRENT_PROBES = 16
_PROBE_TARGET = b"/health"
_MAX_BODY_BYTES = 16384
_STATE_HEADER = b"backend-state"
_DRAINING = "draining"


async def watch_pools(pools):
    """Keep the states of the servers up to date until cancelled.

    Parameters
    ----------
    pools : dict of ServiceName to ServicePool
        May change while the tasks run.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_advance_pools, pools)
        nursery.start_soon(_probe_pools, pools)


async def probe_server(pool, server):
    """Ask a server once whether it is draining; a failed probe changes nothing."""
    answer = None
    with trio.move_on_after(_PROBE_TIMEOUT_SECONDS):
        try:
            answer = await _request_health(server)
        except ExchangeError:
            return
    if answer is not None and server.health.state is not BackendState.GONE:
        pool.record_probe(server, is_draining(answer))


def is_draining(answer):
    """Return whether the answer of a health endpoint reports a draining server.

    Parameters
    ----------
    answer : RawAnswer
    """
    if answer.get_header(_STATE_HEADER) == _DRAINING.encode():
        return True
    try:
        fields = json.loads(answer.body)
    except (ValueError, RecursionError):
        return False
    return isinstance(fields, dict) and fields.get("state") == _DRAINING


async def _advance_pools(pools):
    while True:
        idle = all(pool.is_idle() for pool in pools.values())
        await trio.sleep(_IDLE_TICK_SECONDS if idle else _TICK_SECONDS)
        for pool in list(pools.values()):
            pool.advance()


async def _probe_pools(pools):
    limiter = trio.CapacityLimiter(_MAX_CONCURRENT_PROBES)
    due = trio.current_time()
    while True:
        async with trio.open_nursery() as nursery:
            for pool in list(pools.values()):
                pool.update_gauges()
            for pool, server in _list_servers(pools):
                nursery.start_soon(_probe_with_limiter, limiter, pool, server)
        due = max(due + _PROBE_INTERVAL_SECONDS, trio.current_time())
        await trio.sleep_until(due)


async def _probe_with_limiter(limiter, pool, server):
    async with limiter:
        await probe_server(pool, server)


def _list_servers(pools):
    return list(
        chain.from_iterable(
            [(pool, server) for server in pool.servers.values()]
            for pool in pools.values()
        )
    )


async def _request_health(server):
    connection = await server.acquire_connection()
    finished = False
    try:
        answer = await connection.exchange(
            b"GET",
            _PROBE_TARGET,
            [(b"host", str(server.address).encode())],
            b"",
            _MAX_BODY_BYTES,
            lambda: None,
        )
        finished = True
    finally:
        if not finished:
            with trio.CancelScope(shield=True):
                await connection.close()
    await server.release_connection(connection)
    return answer
