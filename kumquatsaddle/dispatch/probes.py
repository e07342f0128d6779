"""The tasks that keep the health states of a home up to date.

Probes only look for the statement of a server that it is draining. They are no
evidence of health, because gray servers answer them.
"""

import json
from itertools import chain

import trio

from kumquatsaddle.dispatch.connections import ExchangeError
from kumquatsaddle.types import BackendState

__all__ = ["is_draining", "probe_server", "watch_pools"]

# Time in seconds between two checks for late requests and due changes of state.
_TICK = 0.025
# The same while no request waits or is in flight here, which is most of the idle cost
# of a node; only changes of state are due then, which take seconds.
_IDLE_TICK = 0.1
# Time in seconds between two probes of a server, and for one probe; about 25 ms are
# usual.
_PROBE_INTERVAL = 1.0
_PROBE_TIMEOUT = 0.9
# Probes of one home that run at a time.
_MOST_PROBES = 16
_PROBE_TARGET = b"/health"
_LONGEST_BODY = 16384
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
        nursery.start_soon(_tick_pools, pools)
        nursery.start_soon(_probe_pools, pools)


async def probe_server(pool, server):
    """Ask a server once whether it is draining; a failed probe says nothing."""
    answer = None
    with trio.move_on_after(_PROBE_TIMEOUT):
        try:
            answer = await _ask(server)
        except ExchangeError:
            return
    if answer is not None and server.health.state is not BackendState.GONE:
        pool.record_probe(server, is_draining(answer))


def is_draining(answer):
    """Return whether the answer of a health endpoint says that the server drains.

    Parameters
    ----------
    answer : RawAnswer
    """
    if answer.get_header(_STATE_HEADER) == _DRAINING.encode():
        return True
    try:
        fields = json.loads(answer.body)
    except ValueError:
        return False
    return isinstance(fields, dict) and fields.get("state") == _DRAINING


async def _tick_pools(pools):
    while True:
        idle = all(pool.is_idle() for pool in pools.values())
        await trio.sleep(_IDLE_TICK if idle else _TICK)
        for pool in list(pools.values()):
            pool.advance()


async def _probe_pools(pools):
    limiter = trio.CapacityLimiter(_MOST_PROBES)
    due = trio.current_time()
    while True:
        async with trio.open_nursery() as nursery:
            for pool in list(pools.values()):
                pool.update_gauges()
            for pool, server in _list_servers(pools):
                nursery.start_soon(_probe_limited, limiter, pool, server)
        due = max(due + _PROBE_INTERVAL, trio.current_time())
        await trio.sleep_until(due)


async def _probe_limited(limiter, pool, server):
    async with limiter:
        await probe_server(pool, server)


def _list_servers(pools):
    return list(
        chain.from_iterable(
            [(pool, server) for server in pool.servers.values()]
            for pool in pools.values()
        )
    )


async def _ask(server):
    connection = await server.take_connection()
    finished = False
    try:
        answer = await connection.exchange(
            b"GET",
            _PROBE_TARGET,
            [(b"host", str(server.address).encode())],
            b"",
            _LONGEST_BODY,
            lambda: None,
        )
        finished = True
    finally:
        if not finished:
            with trio.CancelScope(shield=True):
                await connection.close()
    await server.return_connection(connection)
    return answer
