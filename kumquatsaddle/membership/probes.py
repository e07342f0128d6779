"""Probes of peers, and the suspicion of those that do not answer.

A member is probed directly, then through other members. One that answers neither way
becomes SUSPECT. The pings to a SUSPECT member carry its record with that state. A live
member then refutes the suspicion; one that does not is declared DEAD after the
suspicion timeout. An instance whose own probes fail or whose
event loop lags uses a longer timeout.

References
----------
Das, Gupta and Motivala, SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol, 2002.
Dadgar, Phillips and Currey, Lifeguard: Local Health Awareness for More Accurate
Failure Detection, 2018.
"""

import trio

from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.health import MAX_LAG_SECONDS
from kumquatsaddle.membership.members import LIVE_STATES, is_suspect_or_dead
from kumquatsaddle.types import InstanceState

__all__ = ["DIRECT_PROBE_FRACTION", "ProbeResult", "Prober", "make_prober"]

# Fraction of the probe interval within which a direct probe must be answered.
DIRECT_PROBE_FRACTION = 0.3
_INDIRECT_PROBES = 3
# SUSPECT members that are pinged in one period; a live one refutes the suspicion.
_SUSPECT_PINGS_PER_PERIOD = 4


class ProbeResult:
    """The answers to one probe.

    Parameters
    ----------
    number, relayed_number : int
        Numbers of the direct ping and of the ping requests to helpers.
    """

    __slots__ = ("number", "relayed_number", "event", "answered_directly", "digest")

    def __init__(self, number, relayed_number):
        self.number = number
        self.relayed_number = relayed_number
        self.event = trio.Event()
        self.answered_directly = False
        self.digest = None

    @property
    def answered(self):
        """Whether any answer arrived."""
        return self.event.is_set()

    def record(self, number, digest):
        """Record an answer by its number, and the table digest of its sender."""
        self.answered_directly |= number == self.number
        self.digest = digest
        self.event.set()


class Prober:
    """Probes one peer in each period.

    Parameters
    ----------
    gossip : Gossip
    interval, suspicion_timeout : float
        In seconds.
    rng : random.Random
    """

    def __init__(self, gossip, interval, suspicion_timeout, rng):
        self._gossip = gossip
        self._table = gossip.table
        self._interval = interval
        self._suspicion_timeout = suspicion_timeout
        self._rng = rng
        self._probe_order = []

    async def run(self):
        """Probe peers until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                pause = self._interval * self._rng.uniform(0.9, 1.1)
                due = trio.current_time() + pause
                await trio.sleep(pause)
                self._handle_lag(trio.current_time() - due)
                self._expire_members()
                for member in self._choose_suspects():
                    nursery.start_soon(self._gossip.ping, member.control, [member])
                peer = self._next_peer()
                if peer is not None:
                    nursery.start_soon(self._probe, peer)

    def _handle_lag(self, lag):
        self._gossip.health.record_lag(lag)
        if lag > MAX_LAG_SECONDS:
            # Answers and refutations that arrived during the lag are not read yet.
            self._table.delay_suspicions(lag)

    def _expire_members(self):
        timeout = self._suspicion_timeout * self._gossip.health.suspicion_timeout_factor
        for update in self._table.expire(trio.current_time(), timeout):
            log_event("member_dead", member=update.name)
            self._gossip.metrics.count("members_declared_dead")
            self._gossip.unreachable.discard(update.name)
            self._gossip.enqueue_update(update)

    def _choose_suspects(self):
        suspects = self._table.peers(InstanceState.SUSPECT)
        return self._rng.sample(suspects, min(_SUSPECT_PINGS_PER_PERIOD, len(suspects)))

    def _next_peer(self):
        if not self._probe_order:
            self._probe_order = [peer.name for peer in self._table.peers(*LIVE_STATES)]
            self._rng.shuffle(self._probe_order)
        while self._probe_order:
            member = self._table.members.get(self._probe_order.pop())
            if member is not None and member.state in LIVE_STATES:
                return member
        return None

    async def _probe(self, peer):
        with self._gossip.track_probe() as result:
            priority_updates = [peer] if is_suspect_or_dead(peer) else ()
            await self._gossip.ping_until_answered(
                result, peer.control, priority_updates
            )
            if not result.answered:
                await self._probe_indirectly(result, peer)
        self._apply_result(peer, result)

    async def _probe_indirectly(self, result, peer):
        others = [
            entry
            for entry in self._table.peers(*LIVE_STATES)
            if entry.name != peer.name
        ]
        count = min(_INDIRECT_PROBES, len(others))
        for helper in self._rng.sample(others, count):
            await self._gossip.request_indirect_ping(result, helper, peer.control)
        with trio.move_on_after(self._interval * (1 - DIRECT_PROBE_FRACTION)):
            await result.event.wait()

    def _apply_result(self, peer, result):
        self._gossip.health.record_probe(result.answered)
        known = self._table.members.get(peer.name)
        if known is None or known.incarnation != peer.incarnation:
            return
        if result.answered_directly:
            self._gossip.unreachable.discard(peer.name)
        elif result.answered:
            self._gossip.unreachable.add(peer.name)
        elif known.revision == peer.revision:
            # A higher revision means that the peer sent an update during the probe.
            self._gossip.metrics.count("members_suspected")
            update = self._table.suspect(peer.name, trio.current_time())
            self._gossip.enqueue_update(update)


def make_prober(gossip, interval, suspicion_timeout, rng):
    """Return the `Prober` of a gossip."""
    return Prober(gossip, interval, suspicion_timeout, rng)
