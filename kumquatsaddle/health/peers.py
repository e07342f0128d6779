"""Distinguishes a slow backend server from a slow service."""

from kumquatsaddle.types import BackendState

__all__ = ["is_service_slow"]

# States in which the test for slow answers receives samples.
_SAMPLED_STATES = (BackendState.HEALTHY, BackendState.WARMING)

# Evidence at which a peer counts as slow, too. One slow answer adds 3.2 nats.
_SLOW_PEER_EVIDENCE_NATS = 3.0
# Time for which a slow server without comparable peers at its home stays in use. The
# digests of the other homes, sent every second, show by then whether they are slow.
_NO_PEERS_DELAY_SECONDS = 1.5


def is_service_slow(health, servers, baseline, now):
    """Return whether the slow answers of a server may be those of the whole service.

    Parameters
    ----------
    health : ServerHealth
        Health of the server that gives slow answers.
    servers : iterable of ServerHealth
        All servers of the service at this home.
    baseline : LatencyBaseline
        Latency of the service.
    now : float
        Current time in seconds.

    Notes
    -----
    After a sudden slowdown the medians need some seconds to change, but the sequential
    tests only a few samples. The peers at this home are therefore compared by their
    tests, if they had a sample since the first slow answer of the server.
    """
    since = now if health.slow_since is None else health.slow_since
    peers = [
        peer
        for peer in servers
        if peer is not health
        and peer.state in _SAMPLED_STATES
        and peer.last_sample_at >= since
    ]
    if peers:
        slow_peers = sum(
            peer.slow_evidence >= _SLOW_PEER_EVIDENCE_NATS for peer in peers
        )
        return 2 * slow_peers > len(peers)
    if now - since < _NO_PEERS_DELAY_SECONDS:
        return True
    return baseline.peer_median > baseline.slow_limit
