"""Derives placements incrementally: results whose inputs did not change are reused.

An instance that joins or leaves affects only the groups of its own zone, and a backend
server only those of its own service, so at the target size most of a derivation equals
the previous one.
"""

from kumquatsaddle.addresses.groups import plan_groups
from kumquatsaddle.addresses.homes import assign_pool, split_pools
from kumquatsaddle.addresses.placement import Placement

__all__ = ["PlacementPlanner", "make_placement", "make_planner"]


class PlacementPlanner:
    """Derives the same placements as `make_placement`, reusing earlier results."""

    def __init__(self):
        self._cached_groups = {}
        self._cached_homes = {}

    def derive(self, services, backends, candidates):
        """Return the placement; see `make_placement` for the parameters."""
        groups = self._plan_services(services, backends)
        pools = split_pools(groups.values(), candidates)
        homes, used = {}, {}
        for pool_key, pool in pools.items():
            cached = self._cached_homes.get(pool_key)
            if cached is None or cached[0] != pool:
                cached = (pool, assign_pool(*pool))
            used[pool_key] = cached
            homes.update(cached[1])
        self._cached_homes = used
        return Placement(groups, homes)

    def _plan_services(self, services, backends):
        by_service = {}
        for backend in backends:
            by_service.setdefault(backend.service, []).append(backend)
        groups, used = {}, {}
        for service in services:
            members = by_service.get(service.name)
            if not members:
                continue
            cached = self._cached_groups.get(service.name)
            if cached is None or cached[0] != (members, service.floor):
                planned = plan_groups(service.name, members, service.floor)
                cached = ((members, service.floor), planned)
            used[service.name] = cached
            groups.update((group.name, group) for group in cached[1])
        self._cached_groups = used
        return groups


def make_planner():
    """Return a planner without cached results."""
    return PlacementPlanner()


def make_placement(services, backends, candidates):
    """Derive the placement of all services, without cached results.

    Parameters
    ----------
    services : iterable of Service
    backends : iterable of Backend
    candidates : iterable of HomeCandidate

    Returns
    -------
    Placement
    """
    return PlacementPlanner().derive(services, backends, candidates)
