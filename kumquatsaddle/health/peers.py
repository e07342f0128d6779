"""Distinguishes a slow backend server from a slow service."""

from kumquatsaddle.types import BackendState

__all__ = ["is_service_slow"]

# States in which the test for slow answers receives samples.
_SAMPLED_STATES = (BackendState.HEALTHY, BackendState.WARMING)

# Evidence at which another server of the home counts as slow, too. One slow answer adds
# 3.2 nats.
_SLOW_EVIDENCE_NATS = 3.0
# Time for which a slow server stays in use if its home has no other server to compare
# it with. The digests of the other homes, sent every second, show by then whether they
# are slow.
_NO_COMPARISON_DELAY_SECONDS = 1.5


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
    tests only a few samples. The other servers at this home are therefore compared by
    their tests, if they had a sample since the first slow answer of the server.
    """
    since = now if health.slow_since is None else health.slow_since
    others = [
        other
        for other in servers
        if other is not health
        and other.state in _SAMPLED_STATES
        and other.last_sample_at >= since
    ]
    if others:
        slow_others = sum(
            other.slow_evidence >= _SLOW_EVIDENCE_NATS for other in others
        )
        return 2 * slow_others > len(others)
    if now - since < _NO_COMPARISON_DELAY_SECONDS:
        return True
    return baseline.other_homes_median > baseline.slow_limit
