"""Self-assessment of an instance: ALIVE, or IMPAIRED with a reason.

Callers are not given the address of an IMPAIRED instance. An unreachable platform is no
reason for impairment: requests, issued ids and membership continue without it.
"""

import trio

from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.health import MAX_LAG_SECONDS
from kumquatsaddle.types import ImpairmentReason, InstanceState

__all__ = ["ImpairmentMonitor", "make_impairment_monitor", "select_serving"]

# Event-loop lag is sampled at this interval and judged by the latest samples. One long
# garbage collection delays one sample; an overloaded loop delays all of them.
_LAG_SAMPLE_INTERVAL_SECONDS = 0.1
_LAG_SAMPLES = 3
# Lag above which a single sample impairs the instance.
_LONG_LAG_SECONDS = 1.0
# Ratio of failed probes above which the instance itself is the likely cause.
_MAX_FAILURE_RATIO = 0.5
# Time for which the condition of a reason must hold before the reason becomes active.
_HOLD_SECONDS = {
    ImpairmentReason.EVENT_LOOP_LAG: 0.0,
    ImpairmentReason.PROBES_FAIL: 0.0,
    ImpairmentReason.CONFIGURATION_STALE: 10.0,
    ImpairmentReason.NO_BACKEND_REACHABLE: 3.0,
}
# Time for which the condition must be false before the reason becomes inactive.
_RECOVERY_SECONDS = 5.0


class ImpairmentMonitor:
    """Decides whether an instance is IMPAIRED.

    Parameters
    ----------
    gossip : Gossip
    metrics : Metrics
    get_version : callable
        Returns the configuration version in force.
    has_reachable_backend : callable
        Returns whether a backend server of a group of this instance can be reached;
        None if its groups have no server that is not draining.

    Attributes
    ----------
    reasons : set of ImpairmentReason
        The active reasons.
    """

    def __init__(self, gossip, metrics, get_version, has_reachable_backend):
        self.reasons = set()
        self._gossip = gossip
        self._metrics = metrics
        self._get_version = get_version
        self._has_reachable_backend = has_reachable_backend
        self._lags = [0.0] * _LAG_SAMPLES
        self._newest_version = 0
        self._awaited_version = 0
        self._pending_since = {}
        for reason in ImpairmentReason:
            metrics.count("impairments", 0, reason=reason.value)
            metrics.set_gauge("impaired", 0, reason=reason.value)

    async def run(self):
        """Sample the event-loop lag and evaluate the reasons until cancelled."""
        while True:
            due = trio.current_time() + _LAG_SAMPLE_INTERVAL_SECONDS
            await trio.sleep_until(due)
            now = trio.current_time()
            self.record_lag(now - due)
            self.evaluate(now)

    def record_lag(self, lag):
        """Add a sample of the event-loop lag, in seconds."""
        self._lags = [*self._lags[1:], lag]

    def record_peer_version(self, version):
        """Record a configuration version that a peer reported."""
        self._newest_version = max(self._newest_version, version)

    def evaluate(self, now):
        """Update the active reasons and the state of the instance.

        Parameters
        ----------
        now : float
            Time on the clock of trio, in seconds.
        """
        for reason, holds in self._evaluate_reasons().items():
            self._update_reason(reason, holds, now)
        state = self._gossip.table.own.state
        if state not in (InstanceState.ALIVE, InstanceState.IMPAIRED):
            return
        main_reason = next(
            (item for item in ImpairmentReason if item in self.reasons), None
        )
        if main_reason is None:
            self._gossip.set_own_state(InstanceState.ALIVE)
        else:
            self._gossip.set_own_state(InstanceState.IMPAIRED, main_reason)

    def _evaluate_reasons(self):
        lags = self._lags
        return {
            ImpairmentReason.EVENT_LOOP_LAG: min(lags) > MAX_LAG_SECONDS
            or lags[-1] > _LONG_LAG_SECONDS,
            ImpairmentReason.PROBES_FAIL: self._gossip.health.failure_ratio
            > _MAX_FAILURE_RATIO,
            ImpairmentReason.CONFIGURATION_STALE: self._update_staleness(),
            ImpairmentReason.NO_BACKEND_REACHABLE: self._has_reachable_backend()
            is False,
        }

    def _update_staleness(self):
        """Update the awaited version and return whether it is not in force yet."""
        version = self._get_version()
        if version >= self._awaited_version:
            # The awaited version is in force: the newest reported one becomes the
            # awaited one and gets the full waiting time.
            # A steady stream of changes that arrive in time thus does not impair.
            self._awaited_version = self._newest_version
            if version < self._awaited_version:
                self._pending_since.pop(ImpairmentReason.CONFIGURATION_STALE, None)
        return version < self._awaited_version

    def _update_reason(self, reason, holds, now):
        active = reason in self.reasons
        if holds is active:
            self._pending_since.pop(reason, None)
            return
        since = self._pending_since.setdefault(reason, now)
        wait = _RECOVERY_SECONDS if active else _HOLD_SECONDS[reason]
        if now - since < wait:
            return
        del self._pending_since[reason]
        self._metrics.set_gauge("impaired", int(holds), reason=reason.value)
        if holds:
            self.reasons.add(reason)
            self._metrics.count("impairments", reason=reason.value)
        else:
            self.reasons.discard(reason)
        log_event("impairment_changed", reason=reason.value, impaired=holds)


def make_impairment_monitor(gossip, metrics, get_version, has_reachable_backend):
    """Return the `ImpairmentMonitor` of an instance."""
    return ImpairmentMonitor(gossip, metrics, get_version, has_reachable_backend)


def select_serving(members):
    """Return the members whose addresses callers are given.

    These are the ALIVE members. If more than half of the ALIVE and IMPAIRED members are
    IMPAIRED for the same reason, the cause is likely outside of them, and they are
    included. Without ALIVE members all IMPAIRED ones are returned, and without
    either the LEAVING ones.

    Parameters
    ----------
    members : iterable of Member

    Returns
    -------
    list of Member
    """
    members = list(members)
    alive = [item for item in members if item.state is InstanceState.ALIVE]
    impaired = [item for item in members if item.state is InstanceState.IMPAIRED]
    half = (len(alive) + len(impaired)) / 2
    for reason in ImpairmentReason:
        same = [item for item in impaired if item.impairment is reason]
        if len(same) > half:
            return alive + same
    if alive or impaired:
        return alive or impaired
    return [item for item in members if item.state is InstanceState.LEAVING]
