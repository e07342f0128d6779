"""A stand-in for the node of a `ZoneExchange`, for tests of the reports it sends."""

__all__ = ["NodeStub"]


class NodeStub:
    """The part of a node that an exchange uses; it serves and nothing ever changes.

    Parameters
    ----------
    peers : PeerTable
    """

    capacity = 100.0

    def __init__(self, peers):
        self._peers = peers

    def is_serving(self):
        """Return True."""
        return True

    def is_leaving(self):
        """Return False."""
        return False

    def routes_version(self):
        """Return the version of the routes."""
        return 1

    servers_version = store_epoch = routes_revision = routes_version

    def get_read_age(self):
        """Return the time since the store was read, in seconds."""
        return 60.0

    def record_peer_answer(self, report):
        """Record nothing."""

    def fetch_if_newer(self, peer):
        """Fetch nothing."""

    def list_active(self):
        """Return the `InstanceRecord` of the active instances."""
        return self._peers.list_active(True, self.capacity)
