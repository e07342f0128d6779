"""Assigns each home group to one instance, by rendezvous hashing with bounded loads.

References
----------
Mirrokni, Thorup and Zadimoghaddam, Consistent Hashing with Bounded Loads, 2018.
Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998.
"""

from dataclasses import dataclass

from kumquatsaddle.addresses.scores import combine_hashes, hash_name
from kumquatsaddle.types import InstanceId, RegionId, ZoneId

__all__ = ["HomeCandidate", "assign_homes", "assign_pool", "split_pools"]

# Maximum ratio of the load of an instance to the mean of its zone. A lower bound moves
# more groups when instances join or leave; a higher one spreads the load less evenly.
_LOAD_BOUND = 1.25


@dataclass(frozen=True, slots=True)
class HomeCandidate:
    """An instance that may be the home of groups."""

    name: InstanceId
    zone: ZoneId
    region: RegionId


def assign_homes(groups, candidates, load_bound=_LOAD_BOUND):
    """Assign every group to an instance of its zone, or of its region if there is none.

    Parameters
    ----------
    groups : iterable of Group
    candidates : iterable of HomeCandidate
    load_bound : float, default=1.25
        Maximum ratio of the load of an instance to the mean; the load of a group is its
        number of members. The mean plus the largest group is always allowed.

    Returns
    -------
    dict of GroupId to InstanceId
        Groups of a region without a candidate are absent.
    """
    homes = {}
    for pool_groups, pool_candidates in split_pools(groups, candidates).values():
        homes.update(assign_pool(pool_groups, pool_candidates, load_bound))
    return homes


def split_pools(groups, candidates):
    """Divide the groups into pools that are each assigned among the same candidates.

    Parameters
    ----------
    groups : iterable of Group
    candidates : iterable of HomeCandidate

    Returns
    -------
    dict of tuple to tuple
        From region and zone, or region and None where a zone has no candidate, to the
        groups and the candidates of the pool. Pools are independent of each other.
    """
    by_zone, by_region = {}, {}
    for candidate in sorted(candidates, key=lambda entry: entry.name):
        by_zone.setdefault((candidate.region, candidate.zone), []).append(candidate)
        by_region.setdefault(candidate.region, []).append(candidate)
    groups_by_pool = {}
    for group in groups:
        zone = (group.region, group.zone)
        pool_key = zone if zone in by_zone else (group.region, None)
        groups_by_pool.setdefault(pool_key, []).append(group)
    pools = {}
    for (region, zone), entries in groups_by_pool.items():
        pool = by_zone[region, zone] if zone is not None else by_region.get(region)
        if pool:
            pools[region, zone] = (tuple(entries), tuple(pool))
    return pools


def assign_pool(groups, candidates, load_bound=_LOAD_BOUND):
    """Assign the groups of one pool; see `assign_homes`."""
    total = sum(len(group.members) for group in groups)
    mean = total / len(candidates)
    # With few groups per instance, the ratio alone would leave no choice, and the loss
    # of one instance would move groups of all others.
    capacity = max(load_bound * mean, mean + max(len(g.members) for g in groups))
    hashes = {candidate.name: hash_name(candidate.name) for candidate in candidates}
    loads = dict.fromkeys(hashes, 0)
    homes = {}
    for group in sorted(groups, key=lambda entry: hash_name(entry.name)):
        weight = len(group.members)
        name = _choose_instance(group, weight, hashes, loads, capacity)
        loads[name] += weight
        homes[group.name] = name
    return homes


def _choose_instance(group, weight, hashes, loads, capacity):
    digest = hash_name(group.name)
    best, best_score = None, -1
    for name, instance_hash in hashes.items():
        if loads[name] + weight <= capacity:
            score = combine_hashes(digest, instance_hash)
            if score > best_score:
                best, best_score = name, score
    if best is not None:
        return best
    return min(
        hashes, key=lambda name: (loads[name], -combine_hashes(digest, hashes[name]))
    )
