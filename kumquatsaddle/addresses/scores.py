"""Scores of rendezvous hashing.

Names are hashed once by BLAKE2b; pairs are combined by the finalizer of SplitMix64,
which costs well below a microsecond.

References
----------
Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998.
Steele, Lea and Flood, Fast Splittable Pseudorandom Number Generators, 2014.
"""

import math
from functools import lru_cache
from hashlib import blake2b

__all__ = ["combine_scores", "hash_name", "weigh_score"]

_MASK = (1 << 64) - 1
# Names that the cache holds: instances, backend servers, groups and active accounts.
_CACHED_NAMES = 16384


@lru_cache(maxsize=_CACHED_NAMES)
def hash_name(name):
    """Return a 64-bit hash of a name; it is the same in every process."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def combine_scores(first, second):
    """Return a 64-bit score of a pair of hashes."""
    value = (first ^ (second * 0x9E3779B97F4A7C15)) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def weigh_score(score, weight):
    """Return a score whose maximum falls on an entry in proportion to its weight.

    Parameters
    ----------
    score : int
        A 64-bit score.
    weight : float
        Positive weight.

    Returns
    -------
    float
    """
    fraction = (score + 0.5) / (_MASK + 1)
    return -weight / math.log(fraction)
