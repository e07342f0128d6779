"""Home groups: fixed sets of backend servers of one service.

The home of a group is the instance that dispatches requests to its backend servers.

Groups depend only on the list of backend servers and the floor of the service, never on
the instances of the fleet, so every instance derives the same groups, whichever
other instances it knows. Each group holds a whole number of ejection tokens. Their sum
over all groups never exceeds the ejection allowance of the service, so homes can eject
servers without coordination.
"""

import math
from collections import Counter
from dataclasses import dataclass

from kumquatsaddle.addresses.scores import combine_hashes, hash_name
from kumquatsaddle.types import BackendId, GroupId, RegionId, ServiceName, ZoneId

__all__ = ["Backend", "Group", "ejection_allowance", "plan_groups", "split_shares"]

# Members of a group if the floor allows it: enough servers to compare their latencies
# and to share a queue, few enough to spread a service over several homes.
_TARGET_GROUP_SIZE = 4


@dataclass(frozen=True, slots=True)
class Backend:
    """A listed backend server.

    Parameters
    ----------
    name : BackendId
    service : ServiceName
    address : str
        ``host:port``.
    zone, region : str
    leaving : bool
        Whether it is leaving or drained.
    """

    name: BackendId
    service: ServiceName
    address: str
    zone: ZoneId
    region: RegionId
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Group:
    """A home group.

    Parameters
    ----------
    name : GroupId
    service : ServiceName
    zone, region : str
        Preferred location of its home.
    members : tuple of Backend
    tokens : int
        Number of members that its home may have ejected at a time.
    """

    name: GroupId
    service: ServiceName
    zone: ZoneId
    region: RegionId
    members: tuple[Backend, ...]
    tokens: int


def ejection_allowance(count, floor):
    """Return how many of `count` backend servers may be ejected at a time.

    Parameters
    ----------
    count : int
    floor : float
        Fraction that must stay in use, 0 to 1.

    Raises
    ------
    ValueError
        If `floor` is outside 0 to 1.

    Examples
    --------
    >>> ejection_allowance(8, 0.6)
    3
    """
    if not 0 <= floor <= 1:
        raise ValueError(f"floor {floor} is outside 0 to 1")
    # The margin keeps a product such as 0.6 of 5 from being rounded up by one server
    # because of floating-point error.
    return count - math.ceil(count * floor - 1e-9)


def plan_groups(service, backends, floor):
    """Divide the backend servers of a service into home groups.

    Parameters
    ----------
    service : ServiceName
    backends : sequence of Backend
        The listed servers of the service; leaving ones stay in their group and
        use up its tokens.
    floor : float
        Fraction that must stay in use, 0 to 1.

    Returns
    -------
    tuple of Group
        In the order of their regions and indices. Their tokens add up to at most the
        allowance.

    Notes
    -----
    Members are assigned by rendezvous hashing with bounded loads, so that adding or
    removing a server moves few others.
    """
    regions = {}
    for backend in sorted(backends, key=lambda entry: entry.name):
        regions.setdefault(backend.region, []).append(backend)
    allowance = ejection_allowance(len(backends), floor)
    sizes = {region: len(members) for region, members in regions.items()}
    allowances = split_shares(allowance, sizes)
    groups = []
    for region, members in sorted(regions.items()):
        groups += _plan_region(service, region, members, allowances[region])
    return tuple(groups)


def split_shares(total, weights):
    """Split whole units in proportion to weights, by the largest remainder method.

    Parameters
    ----------
    total : int
    weights : dict of str to float
        Not all zero unless `total` is 0.

    Returns
    -------
    dict of str to int
        The values add up to `total`.

    Examples
    --------
    >>> split_shares(3, {"a": 1, "b": 1})
    {'a': 2, 'b': 1}
    """
    weight_sum = sum(weights.values())
    if not weight_sum:
        return dict.fromkeys(weights, 0)
    exact = {name: total * weight / weight_sum for name, weight in weights.items()}
    shares = {name: math.floor(share) for name, share in exact.items()}
    remaining = total - sum(shares.values())
    by_remainder = sorted(exact, key=lambda name: (shares[name] - exact[name], name))
    for name in by_remainder[:remaining]:
        shares[name] += 1
    return shares


def _plan_region(service, region, members, allowance):
    count = max(1, min(allowance, math.ceil(len(members) / _TARGET_GROUP_SIZE)))
    zones = _assign_zones(count, members)
    names = [GroupId(f"{service}/{region}/{index}") for index in range(count)]
    capacity = math.ceil(len(members) / count)
    placed = {name: [] for name in names}
    for member in members:
        name = _choose_group(member, names, zones, placed, capacity)
        placed[name].append(member)
    sizes = {name: len(placed[name]) for name in names if placed[name]}
    tokens = split_shares(allowance, sizes)
    return [
        Group(name, service, zones[name], region, tuple(placed[name]), tokens[name])
        for name in sizes
    ]


def _assign_zones(count, members):
    """Return the zone of each group name, in proportion to the members of the zones."""
    service, region = members[0].service, members[0].region
    zones = Counter(member.zone for member in members)
    shares = split_shares(count, dict(sorted(zones.items())))
    labels = [zone for zone, share in shares.items() for _ in range(share)]
    return {
        GroupId(f"{service}/{region}/{index}"): zone
        for index, zone in enumerate(labels)
    }


def _choose_group(member, names, zones, placed, capacity):
    digest = hash_name(member.name)

    def sort_key(name):
        other_zone = zones[name] != member.zone
        return (other_zone, -combine_hashes(digest, hash_name(name)))

    return min((name for name in names if len(placed[name]) < capacity), key=sort_key)
