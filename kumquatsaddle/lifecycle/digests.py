"""Exchanges digests of service state with the other homes of each service."""

import random

import trio

from kumquatsaddle.dispatch.digests import choose_digests
from kumquatsaddle.types import BackendState

__all__ = ["exchange_digests", "has_reachable_backend"]

_EXCHANGE_INTERVAL_SECONDS = 1.0


async def exchange_digests(node):
    """Apply received digests and send those of a node to other homes, until cancelled.

    Parameters
    ----------
    node : Node
    """
    rng = random.Random()
    while True:
        await trio.sleep(_EXCHANGE_INTERVAL_SECONDS * rng.uniform(0.9, 1.1))
        _apply_digests(node)
        chosen = choose_digests(
            node.dispatcher.describe_services(),
            node.placement.homes_of,
            node.name,
            rng,
        )
        for home, digests in chosen.items():
            await node.gossip.send_service_digests(home, digests)


def has_reachable_backend(pools):
    """Return whether any backend server of an instance is reachable.

    Draining servers are not considered.

    Parameters
    ----------
    pools : dict of ServiceName to ServicePool

    Returns
    -------
    bool or None
        None if the instance has no server that is not draining.
    """
    servers = [
        server
        for pool in pools.values()
        for server in pool.servers.values()
        if server.health.state is not BackendState.DRAINING
    ]
    if not servers:
        return None
    return any(_is_reachable(server) for server in servers)


def _is_reachable(server):
    unusable = (BackendState.EJECTED, BackendState.GONE)
    return server.health.state not in unusable and not server.health.unreachable


def _apply_digests(node):
    now = trio.current_time()
    for name, pool in node.dispatcher.pools.items():
        pool.update_peers(node.digests.list_current(name, now).values())
