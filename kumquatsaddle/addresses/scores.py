"""Scores for rendezvous hashing.

Names are hashed once with BLAKE2b. Pairs of hashes are combined with the finalizer of
SplitMix64, which takes well below a microsecond.

References
----------
Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998.
Steele, Lea and Flood, Fast Splittable Pseudorandom Number Generators, 2014.
"""

import math
from functools import lru_cache
from hashlib import blake2b

__all__ = ["combine_hashes", "hash_name", "weight_score"]

_MASK = (1 << 64) - 1
# Cached hashes: of the names of instances, backend servers, groups and active accounts.
_MAX_CACHED_HASHES = 16384


@lru_cache(maxsize=_MAX_CACHED_HASHES)
def hash_name(name):
    """Return a 64-bit hash of a name; it is the same in every process."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def combine_hashes(first, second):
    """Return a 64-bit score of a pair of hashes."""
    value = (first ^ (second * 0x9E3779B97F4A7C15)) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def weight_score(score, weight):
    """Return a score that is highest with a probability in proportion to the weight.

    When several entries are compared, an entry with twice the weight of another one has
    the highest score twice as often.

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
