"""The placement: groups, homes and members of every service, seen by one instance."""

from kumquatsaddle.addresses.groups import plan_groups
from kumquatsaddle.addresses.homes import assign_homes

__all__ = ["Placement", "make_placement"]


class Placement:
    """Groups and their homes.

    Parameters
    ----------
    groups : dict of GroupId to Group
    homes : dict of GroupId to InstanceId
    """

    def __init__(self, groups, homes):
        self.groups = groups
        self.homes = homes
        self._weights = {}
        for name, home in homes.items():
            group = groups[name]
            weights = self._weights.setdefault(group.service, {})
            weights[home] = weights.get(home, 0) + len(group.members)

    def groups_of(self, instance):
        """Return the groups whose home is `instance`."""
        return [
            self.groups[name] for name, home in self.homes.items() if home == instance
        ]

    def homes_of(self, service):
        """Return the weight of each home of a service.

        Returns
        -------
        dict of InstanceId to int
            Number of backend servers at each home.
        """
        return self._weights.get(service, {})


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
    by_service = {}
    for backend in backends:
        by_service.setdefault(backend.service, []).append(backend)
    groups = {}
    for service in services:
        members = by_service.get(service.name)
        if members:
            planned = plan_groups(service.name, members, service.floor)
            groups.update((group.name, group) for group in planned)
    homes = assign_homes(groups.values(), candidates)
    return Placement(groups, homes)
