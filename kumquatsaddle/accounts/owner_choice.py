"""Which instance holds the quota of a client account.

Rendezvous hashing [1]_ over the instances that serve callers: all instances with the
same list choose the same owner, and when an instance is lost only its accounts move.

Load: one choice for each account that is in use after each change of the list; at the
target size 91 candidates and some thousand accounts an instance. A choice is cached
until the list changes.

References
----------
.. [1] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
   rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from kumquatsaddle.addresses.scores import combine_hashes, hash_name

__all__ = ["OwnerChoice", "choose_owner"]

# Bounds the memory of the cached choices; more accounts than an instance sees.
_MAX_CACHED_CHOICES = 40_000


def choose_owner(account, candidates):
    """Return the hash of the name of the owner, or None without candidates.

    Parameters
    ----------
    account : AccountId
    candidates : iterable of int
        Hashes of the names of instances, see `hash_name`.

    Examples
    --------
    >>> choose_owner("farms", ()) is None
    True
    >>> names = [hash_name(name) for name in ("a", "b", "c")]
    >>> choose_owner("farms", names) == choose_owner("farms", reversed(names))
    True
    """
    hashed = hash_name(account)
    return max(
        candidates,
        key=lambda candidate: combine_hashes(hashed, candidate),
        default=None,
    )


class OwnerChoice:
    """The owners of accounts among a fixed set of instances.

    Parameters
    ----------
    candidates : tuple of int
        Hashes of the names of instances.
    """

    def __init__(self, candidates):
        self.candidates = candidates
        self._owners = {}

    def find(self, account):
        """Return the hash of the name of the owner, or None without candidates."""
        owner = self._owners.get(account)
        if owner is None and self.candidates:
            if len(self._owners) >= _MAX_CACHED_CHOICES:
                self._owners.clear()
            owner = self._owners[account] = choose_owner(account, self.candidates)
        return owner
