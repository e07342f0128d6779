"""The placement: all groups and their homes, as derived by one instance."""

__all__ = ["Placement"]


class Placement:
    """Groups of backend servers and the instances that are their homes.

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

    def list_groups(self, instance):
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
