"""Derives placements again and again, and keeps what did not change.

An instance that comes or goes concerns the groups of its own zone only, and a server
only those of its own service, so at the target size most of a derivation is the same
as the one before.
"""

from kumquatsaddle.addresses.groups import plan_groups
from kumquatsaddle.addresses.homes import assign_pool, split_pools
from kumquatsaddle.addresses.placement import Placement

__all__ = ["PlacementPlanner", "make_placement", "make_planner"]


class PlacementPlanner:
    """Derives the same placements as `make_placement`, from memory where it can."""

    def __init__(self):
        self._groups = {}
        self._homes = {}

    def derive(self, services, backends, candidates):
        """Return the placement; see `make_placement` for the parameters."""
        groups = self._plan_services(services, backends)
        pools = split_pools(groups.values(), candidates)
        homes, kept = {}, {}
        for place, pool in pools.items():
            known = self._homes.get(place)
            if known is None or known[0] != pool:
                known = (pool, assign_pool(*pool))
            kept[place] = known
            homes.update(known[1])
        self._homes = kept
        return Placement(groups, homes)

    def _plan_services(self, services, backends):
        by_service = {}
        for backend in backends:
            by_service.setdefault(backend.service, []).append(backend)
        groups, kept = {}, {}
        for service in services:
            members = by_service.get(service.name)
            if not members:
                continue
            known = self._groups.get(service.name)
            if known is None or known[0] != (members, service.floor):
                planned = plan_groups(service.name, members, service.floor)
                known = ((members, service.floor), planned)
            kept[service.name] = known
            groups.update((group.name, group) for group in known[1])
        self._groups = kept
        return groups


def make_planner():
    """Return a planner that remembers nothing yet."""
    return PlacementPlanner()


def make_placement(services, backends, candidates):
    """Derive the placement.

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
