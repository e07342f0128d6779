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
        self._names = {}

    def find(self, owner):
        """Return the control address of an owner, or None if it is not known."""
        if owner not in self._names:
            self._names = {hash_name(name): name for name in self._peers.instances}
        # An instance may return under its name with another address.
        record = self._peers.instances.get(self._names.get(owner))
        return record.control if record is not None else None

    def describe(self, owner):
        """Return the address of an owner for the log."""
        return "self" if owner == self._own else str(self.find(owner) or "unknown")
