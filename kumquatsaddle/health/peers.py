"""Tells a slow server from a slow service."""

from kumquatsaddle.types import BackendState

__all__ = ["is_service_slow"]

# States in which the test for slow answers takes samples.
_JUDGED = (BackendState.HEALTHY, BackendState.WARMING)

# Evidence in nats at which a peer counts as slow too; one slow answer is 3.2.
_PEER_EVIDENCE = 3.0
# Time in seconds that a server without comparable peers at its home stays in use: the
# digests of the other homes, sent every second, show by then whether they are slow.
_LONE_TIME = 1.5


def is_service_slow(health, servers, baseline, now):
    """Return whether the slow answers of a server are those of the whole service.

    Parameters
    ----------
    health : ServerHealth
        Of the server that looks slow.
    servers : iterable of ServerHealth
        All servers of the service at this home.
    baseline : LatencyBaseline
    now : float
        In seconds.

    Notes
    -----
    The medians need some seconds to follow a sudden slowdown, the tests of the servers
    a few samples. Peers are compared by their tests, as far as they had samples since
    the first slow answer of the server.
    """
    since = now if health.slow_since is None else health.slow_since
    peers = [
        peer
        for peer in servers
        if peer is not health and peer.state in _JUDGED and peer.last_sample >= since
    ]
    if peers:
        slow = sum(peer.slow_evidence >= _PEER_EVIDENCE for peer in peers)
        return 2 * slow > len(peers)
    if now - since < _LONE_TIME:
        return True
    return baseline.peer_median > baseline.slow_limit
