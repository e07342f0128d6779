"""Control addresses of the instances that own quotas, by the hash of their names."""

from kumquatsaddle.addresses.scores import hash_name

__all__ = ["OwnerAddresses"]


class OwnerAddresses:
    """Finds the addresses of owners.

    Parameters
    ----------
    peers : PeerTable
    """

    def __init__(self, peers):
        self._peers = peers
        self._own = hash_name(peers.own.name)
        self._by_hash = {}

    def find(self, owner):
        """Return the control address of an owner, or None if it is not known."""
        if owner not in self._by_hash:
            self._by_hash = {
                hash_name(record.name): record.control
                for record in self._peers.instances.values()
            }
        return self._by_hash.get(owner)

    def describe(self, owner):
        """Return the address of an owner for the log."""
        return "self" if owner == self._own else str(self.find(owner) or "unknown")
