"""Brings member tables together that gossip alone leaves different.

An instance that joins fetches the whole table from a seed. Probes carry a digest of the
table; two tables that stay different without news on its way are compared by a fetch,
so that lost datagrams and healed partitions need no periodic full exchange. Dead
members and seeds are pinged now and then.
"""

import trio

from kumquatsaddle.exceptions import KumquatsaddleError
from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.members import LIVE
from kumquatsaddle.types import InstanceState

__all__ = ["Reconciler", "make_reconciler"]

# Probe intervals between attempts to reach dead members, seeds and unreachable peers.
_REJOIN_PERIODS = 5
# Probe intervals for which two tables must stay as they are and different. News
# reaches 520 instances in fewer.
_SETTLE_PERIODS = 5
# The wait doubles up to this after a fetch that brought nothing.
_LONGEST_SETTLE_PERIODS = 80
# Members in one probe interval that are told what other tables say of them.
_CHALLENGES_PER_PERIOD = 8


class Reconciler:
    """Compares the table of a gossip with those of its peers.

    Parameters
    ----------
    gossip : Gossip
    interval : float
        Probe interval in seconds.
    rng : random.Random
    """

    def __init__(self, gossip, interval, rng):
        self._gossip = gossip
        self._table = gossip.table
        self._interval = interval
        self._rng = rng
        self._sighting = None
        self._challenges = {}

    async def run(self):
        """Join, then reconcile until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._join)
            nursery.start_soon(self._rejoin)
            nursery.start_soon(self._settle)
            nursery.start_soon(self._challenge)

    def note_digest(self, name, digest):
        """Take note of the table digest that a peer told."""
        if digest != self._table.digest and self._sighting is None:
            self._sighting = (name, digest)

    async def fetch(self, address):
        """Fetch and merge the table of a peer.

        Returns
        -------
        bool or None
            Whether it changed the own table; None if the fetch failed.
        """
        self._gossip.metrics.count("member_table_fetches")
        try:
            members = await self._gossip.fetch_table(address, self._table.own)
        except KumquatsaddleError as error:
            self._gossip.metrics.count("member_table_fetches_failed")
            log_event("member_table_not_fetched", level="DEBUG", error=error)
            return None
        before = self._table.generation
        for member in members:
            self._merge(member)
        return self._table.generation != before

    def _merge(self, news):
        known = self._table.members.get(news.name)
        dead = news.state is InstanceState.DEAD
        if known is None and dead:
            return
        same = known is not None and known.incarnation == news.incarnation
        if news.name == self._table.own.name or not same:
            self._gossip.learn(news, spread=False)
        elif dead and known.state in LIVE and news.supersedes(known):
            # After a partition each side holds the other side's members as dead.
            # Adopting that would take live members out of the address answer.
            self._challenges[news.name] = news
        elif known.state is InstanceState.DEAD and not news.supersedes(known):
            if not dead:
                self._challenges[news.name] = known
        else:
            self._gossip.learn(news, spread=False)

    async def _join(self):
        while True:
            own = self._table.own.control
            seeds = sorted(address for address in self._gossip.seeds if address != own)
            if seeds and self._gossip.fetch_table is not None:
                if await self.fetch(self._rng.choice(seeds)) is not None:
                    return
            await trio.sleep(self._interval * self._rng.uniform(0.5, 1.5))

    async def _rejoin(self):
        while True:
            await trio.sleep(self._interval * _REJOIN_PERIODS)
            await self._ping_lost()
            await self._ping_unreachable()

    async def _ping_lost(self):
        known = {member.control for member in self._table.peers(*LIVE)}
        known.add(self._table.own.control)
        lost = {address: None for address in self._gossip.seeds}
        for member in self._table.peers(InstanceState.DEAD):
            lost[member.control] = member
        candidates = sorted(address for address in lost if address not in known)
        if candidates:
            address = self._rng.choice(candidates)
            first = [self._table.own]
            if lost[address] is not None:
                first.append(lost[address])
            await self._gossip.ping(address, first)

    async def _ping_unreachable(self):
        names = sorted(self._gossip.unreachable)
        member = self._table.members.get(self._rng.choice(names)) if names else None
        if member is not None:
            answer = await self._gossip.ping(member.control)
            if answer.answered:
                self._gossip.unreachable.discard(member.name)

    async def _settle(self):
        periods = _SETTLE_PERIODS
        while True:
            await trio.sleep(self._interval * self._rng.uniform(0.5, 1.5))
            if self._sighting is None:
                continue
            name, theirs = self._sighting
            mine = self._table.digest
            await trio.sleep(self._interval * periods)
            changed = await self._compare(name, mine, theirs)
            self._sighting = None
            if changed is False:
                periods = min(2 * periods, _LONGEST_SETTLE_PERIODS)
            else:
                periods = _SETTLE_PERIODS

    async def _compare(self, name, mine, theirs):
        """Fetch if neither table changed; return whether the fetch changed this one."""
        member = self._table.members.get(name)
        if member is None or member.state not in LIVE:
            return None
        answer = await self._gossip.ping(member.control)
        if not answer.answered or answer.digest == self._table.digest:
            return None
        if (self._table.digest, answer.digest) != (mine, theirs):
            # News is on its way.
            return None
        if self._gossip.fetch_table is None:
            return None
        return await self.fetch(member.control)

    async def _challenge(self):
        while True:
            await trio.sleep(self._interval)
            for name in list(self._challenges)[:_CHALLENGES_PER_PERIOD]:
                record = self._challenges.pop(name)
                await self._gossip.tell(record.control, [record, self._table.own])


def make_reconciler(gossip, interval, rng):
    """Return the reconciler of a gossip; see `Reconciler`."""
    return Reconciler(gossip, interval, rng)
