"""Probes of peers, and the suspicion of those that do not answer.

A member is probed directly, then through others. One that answers neither way is
SUSPECT; it is pinged with that news, so that it can refute, and declared DEAD after
the suspicion timeout. An instance whose own probes fail or whose event loop lags
waits longer.

References
----------
Das, Gupta and Motivala, SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol, 2002.
Dadgar, Phillips and Currey, Lifeguard: Local Health Awareness for More Accurate
Failure Detection, 2018.
"""

import trio

from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.health import LONGEST_LAG
from kumquatsaddle.membership.members import LIVE, is_doubted
from kumquatsaddle.types import InstanceState

__all__ = ["DIRECT_SHARE", "ProbeAnswer", "Prober", "make_prober"]

# Part of the probe interval within which a direct probe must be answered.
DIRECT_SHARE = 0.3
_INDIRECT_PROBES = 3
# Suspects that are pinged directly in one period, so that a live one can refute.
_CONFIRMATIONS_PER_PERIOD = 4


class ProbeAnswer:
    """What came back for one probe.

    Parameters
    ----------
    number, relayed_number : int
        Of the direct ping and of those that helpers make.
    """

    __slots__ = ("number", "relayed_number", "event", "direct", "digest")

    def __init__(self, number, relayed_number):
        self.number = number
        self.relayed_number = relayed_number
        self.event = trio.Event()
        self.direct = False
        self.digest = None

    @property
    def answered(self):
        """Whether any answer came."""
        return self.event.is_set()

    def record(self, number, digest):
        """Take an answer with its number and the table digest of its sender."""
        self.direct |= number == self.number
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
        self._order = []

    async def run(self):
        """Probe peers until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                pause = self._interval * self._rng.uniform(0.9, 1.1)
                due = trio.current_time() + pause
                await trio.sleep(pause)
                self._note_lag(trio.current_time() - due)
                self._expire()
                for member in self._choose_suspects():
                    nursery.start_soon(self._gossip.ping, member.control, [member])
                peer = self._next_peer()
                if peer is not None:
                    nursery.start_soon(self._probe, peer)

    def _note_lag(self, lag):
        self._gossip.health.note_lag(lag)
        if lag > LONGEST_LAG:
            # Answers and refutations that arrived meanwhile are not read yet.
            self._table.delay_suspicions(lag)

    def _expire(self):
        timeout = self._suspicion_timeout * self._gossip.health.multiplier
        for news in self._table.expire(trio.current_time(), timeout):
            log_event("member_dead", member=news.name)
            self._gossip.metrics.count("members_declared_dead")
            self._gossip.unreachable.discard(news.name)
            self._gossip.spread(news)

    def _choose_suspects(self):
        suspects = self._table.peers(InstanceState.SUSPECT)
        return self._rng.sample(suspects, min(_CONFIRMATIONS_PER_PERIOD, len(suspects)))

    def _next_peer(self):
        if not self._order:
            self._order = [peer.name for peer in self._table.peers(*LIVE)]
            self._rng.shuffle(self._order)
        while self._order:
            member = self._table.members.get(self._order.pop())
            if member is not None and member.state in LIVE:
                return member
        return None

    async def _probe(self, peer):
        with self._gossip.expect() as answer:
            first = [peer] if is_doubted(peer) else ()
            await self._gossip.ping_for(answer, peer.control, first)
            if not answer.answered:
                await self._ask_helpers(answer, peer)
        self._judge(peer, answer)

    async def _ask_helpers(self, answer, peer):
        others = [
            entry for entry in self._table.peers(*LIVE) if entry.name != peer.name
        ]
        count = min(_INDIRECT_PROBES, len(others))
        for helper in self._rng.sample(others, count):
            await self._gossip.ask_helper(answer, helper, peer.control)
        with trio.move_on_after(self._interval * (1 - DIRECT_SHARE)):
            await answer.event.wait()

    def _judge(self, peer, answer):
        self._gossip.health.note_probe(answer.answered)
        known = self._table.members.get(peer.name)
        if known is None or known.incarnation != peer.incarnation:
            return
        if answer.direct:
            self._gossip.unreachable.discard(peer.name)
        elif answer.answered:
            self._gossip.unreachable.add(peer.name)
        elif known.revision == peer.revision:
            # A higher revision is a sign of life that came during the probe.
            self._gossip.metrics.count("members_suspected")
            news = self._table.suspect(peer.name, trio.current_time())
            self._gossip.spread(news)


def make_prober(gossip, interval, suspicion_timeout, rng):
    """Return the prober of a gossip; see `Prober`."""
    return Prober(gossip, interval, suspicion_timeout, rng)
