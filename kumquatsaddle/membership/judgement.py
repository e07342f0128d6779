"""The judgement of an instance on itself: ALIVE, or IMPAIRED with reasons.

An IMPAIRED instance leaves the address answer. An unreachable platform is no reason:
requests, issued ids and membership continue without it.
"""

import trio

from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.health import LONGEST_LAG
from kumquatsaddle.types import ImpairmentReason, InstanceState

__all__ = ["Judgement", "make_judgement", "select_serving"]

# Time in seconds between two samples of the event-loop lag, and samples that count. One
# long garbage collection lags one sample; an overloaded loop lags all of them.
_LAG_INTERVAL = 0.1
_LAG_SAMPLES = 3
# Lag in seconds that counts at once.
_PAUSE = 1.0
# Share of probes above which an instance is the likely cause of their failure.
_FAILING_SHARE = 0.5
# Time in seconds for which a reason must hold before the instance is IMPAIRED.
_HOLD = {
    ImpairmentReason.EVENT_LOOP_LAG: 0.0,
    ImpairmentReason.PROBES_FAIL: 0.0,
    ImpairmentReason.CONFIGURATION_STALE: 10.0,
    ImpairmentReason.NO_BACKEND_REACHABLE: 3.0,
}
# Time in seconds for which a reason must be gone before it is dropped.
_RECOVERY = 5.0


class Judgement:
    """Decides whether an instance is IMPAIRED.

    Parameters
    ----------
    gossip : Gossip
    metrics : Metrics
    get_version : callable
        Returns the configuration version in force.
    has_reachable_backend : callable
        Returns whether a backend server of an own group can be reached; None if the
        instance has no groups.

    Attributes
    ----------
    reasons : set of ImpairmentReason
        That hold at present.
    """

    def __init__(self, gossip, metrics, get_version, has_reachable_backend):
        self.reasons = set()
        self._gossip = gossip
        self._metrics = metrics
        self._get_version = get_version
        self._has_reachable_backend = has_reachable_backend
        self._lags = [0.0] * _LAG_SAMPLES
        self._newest = 0
        self._awaited = 0
        self._since = {}
        for reason in ImpairmentReason:
            metrics.count("impairments", 0, reason=reason.value)
            metrics.set_gauge("impaired", 0, reason=reason.value)

    async def run(self):
        """Sample the lag and judge until cancelled."""
        while True:
            due = trio.current_time() + _LAG_INTERVAL
            await trio.sleep_until(due)
            now = trio.current_time()
            self.note_lag(now - due)
            self.judge(now)

    def note_lag(self, lag):
        """Add a sample of the event-loop lag, in seconds."""
        self._lags = [*self._lags[1:], lag]

    def note_version(self, version):
        """Take note of a configuration version that a peer told."""
        self._newest = max(self._newest, version)

    def judge(self, now):
        """Update the reasons and the state of the instance; `now` is in seconds."""
        for reason, holds in self._check().items():
            self._update(reason, holds, now)
        state = self._gossip.table.own.state
        if state not in (InstanceState.ALIVE, InstanceState.IMPAIRED):
            return
        first = next((item for item in ImpairmentReason if item in self.reasons), None)
        if first is None:
            self._gossip.set_own_state(InstanceState.ALIVE)
        else:
            self._gossip.set_own_state(InstanceState.IMPAIRED, first)

    def _check(self):
        lags = self._lags
        return {
            ImpairmentReason.EVENT_LOOP_LAG: min(lags) > LONGEST_LAG
            or lags[-1] > _PAUSE,
            ImpairmentReason.PROBES_FAIL: self._gossip.health.failing_share
            > _FAILING_SHARE,
            ImpairmentReason.CONFIGURATION_STALE: self._is_stale(),
            ImpairmentReason.NO_BACKEND_REACHABLE: self._has_reachable_backend()
            is False,
        }

    def _is_stale(self):
        version = self._get_version()
        if version >= self._awaited:
            # While changes arrive all the time, the wait starts anew with each one
            # that was awaited and came.
            self._awaited = self._newest
            if version < self._awaited:
                self._since.pop(ImpairmentReason.CONFIGURATION_STALE, None)
        return version < self._awaited

    def _update(self, reason, holds, now):
        active = reason in self.reasons
        if holds is active:
            self._since.pop(reason, None)
            return
        since = self._since.setdefault(reason, now)
        wait = _RECOVERY if active else _HOLD[reason]
        if now - since < wait:
            return
        del self._since[reason]
        self._metrics.set_gauge("impaired", int(holds), reason=reason.value)
        if holds:
            self.reasons.add(reason)
            self._metrics.count("impairments", reason=reason.value)
        else:
            self.reasons.discard(reason)
        log_event("impairment_changed", reason=reason.value, impaired=holds)


def make_judgement(gossip, metrics, get_version, has_reachable_backend):
    """Return the judgement of an instance; see `Judgement`."""
    return Judgement(gossip, metrics, get_version, has_reachable_backend)


def select_serving(members):
    """Return the members that are answered to callers.

    These are the ALIVE ones. When more than half of the ALIVE and IMPAIRED ones are
    IMPAIRED for the same reason, the cause is likely outside of them and those stay.
    Without any, the LEAVING ones are returned.

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
