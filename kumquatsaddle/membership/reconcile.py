"""Reconciles member tables that gossip alone leaves different.

An instance that joins fetches the whole table from a seed. Probes carry a digest of the
table. If two tables stay different without a change of either, one is fetched and
merged, so that lost datagrams and healed partitions need no periodic full exchange.
Dead members and seeds are pinged periodically.
"""

import trio

from kumquatsaddle.exceptions import KumquatsaddleError
from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.members import LIVE_STATES
from kumquatsaddle.types import InstanceState

__all__ = ["Reconciler", "make_reconciler"]

# Probe intervals between attempts to reach dead members, seeds and unreachable peers.
_REJOIN_PERIODS = 5
# Probe intervals for which two different tables must stay unchanged before a fetch. An
# update reaches 520 instances in fewer.
_MIN_MISMATCH_PERIODS = 5
# The wait doubles up to this after each fetch that changed nothing.
_MAX_MISMATCH_PERIODS = 80
# Members that are sent a disputed record of themselves in one probe interval.
_MAX_DISPUTED_PER_PERIOD = 8


class Reconciler:
    """Reconciles the table of a gossip with those of its peers.

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
        self._digest_mismatch = None
        self._disputed = {}

    async def run(self):
        """Join, then reconcile until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._join)
            nursery.start_soon(self._rejoin)
            nursery.start_soon(self._repair_mismatches)
            nursery.start_soon(self._notify_disputed)

    def record_digest_mismatch(self, name, digest):
        """Record a peer whose table digest differs, unless one is recorded already."""
        if digest != self._table.digest and self._digest_mismatch is None:
            self._digest_mismatch = (name, digest)

    async def fetch_and_merge(self, address):
        """Fetch and merge the table of a peer.

        Returns
        -------
        bool or None
            Whether the fetch changed the own table; None if it failed.
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
            self._merge_fetched(member)
        return self._table.generation != before

    def _merge_fetched(self, update):
        known = self._table.members.get(update.name)
        dead = update.state is InstanceState.DEAD
        if known is None and dead:
            return
        same = known is not None and known.incarnation == update.incarnation
        if update.name == self._table.own.name or not same:
            self._gossip.merge_update(update, propagate=False)
        elif dead and known.state in LIVE_STATES and update.supersedes(known):
            # After a partition each side holds the other side's members as dead.
            # Adopting that would withhold live members from callers. The member is sent
            # the record of its death instead, so that it can refute the record.
            self._disputed[update.name] = update
        elif known.state is InstanceState.DEAD and not update.supersedes(known):
            if not dead:
                self._disputed[update.name] = known
        else:
            self._gossip.merge_update(update, propagate=False)

    async def _join(self):
        while True:
            own = self._table.own.control
            seeds = sorted(address for address in self._gossip.seeds if address != own)
            if seeds and self._gossip.fetch_table is not None:
                if await self.fetch_and_merge(self._rng.choice(seeds)) is not None:
                    return
            await trio.sleep(self._interval * self._rng.uniform(0.5, 1.5))

    async def _rejoin(self):
        while True:
            await trio.sleep(self._interval * _REJOIN_PERIODS)
            await self._ping_lost_address()
            await self._ping_unreachable_peer()

    async def _ping_lost_address(self):
        known = {member.control for member in self._table.peers(*LIVE_STATES)}
        known.add(self._table.own.control)
        lost = {address: None for address in self._gossip.seeds}
        for member in self._table.peers(InstanceState.DEAD):
            lost[member.control] = member
        candidates = sorted(address for address in lost if address not in known)
        if candidates:
            address = self._rng.choice(candidates)
            priority_updates = [self._table.own]
            if lost[address] is not None:
                priority_updates.append(lost[address])
            await self._gossip.ping(address, priority_updates)

    async def _ping_unreachable_peer(self):
        names = sorted(self._gossip.unreachable)
        member = self._table.members.get(self._rng.choice(names)) if names else None
        if member is not None:
            result = await self._gossip.ping(member.control)
            if result.answered:
                self._gossip.unreachable.discard(member.name)

    async def _repair_mismatches(self):
        periods = _MIN_MISMATCH_PERIODS
        while True:
            await trio.sleep(self._interval * self._rng.uniform(0.5, 1.5))
            if self._digest_mismatch is None:
                continue
            name, peer_digest = self._digest_mismatch
            own_digest = self._table.digest
            await trio.sleep(self._interval * periods)
            changed = await self._fetch_if_unchanged(name, own_digest, peer_digest)
            self._digest_mismatch = None
            if changed is False:
                periods = min(2 * periods, _MAX_MISMATCH_PERIODS)
            else:
                periods = _MIN_MISMATCH_PERIODS

    async def _fetch_if_unchanged(self, name, own_digest, peer_digest):
        """Fetch the table of a peer if neither table has changed meanwhile.

        Returns
        -------
        bool or None
            Whether the fetch changed the own table; None if there was none.
        """
        member = self._table.members.get(name)
        if member is None or member.state not in LIVE_STATES:
            return None
        result = await self._gossip.ping(member.control)
        if not result.answered or result.digest == self._table.digest:
            return None
        if (self._table.digest, result.digest) != (own_digest, peer_digest):
            # Updates are still being disseminated.
            return None
        if self._gossip.fetch_table is None:
            return None
        return await self.fetch_and_merge(member.control)

    async def _notify_disputed(self):
        while True:
            await trio.sleep(self._interval)
            for name in list(self._disputed)[:_MAX_DISPUTED_PER_PERIOD]:
                record = self._disputed.pop(name)
                await self._gossip.send_ping(record.control, [record, self._table.own])


def make_reconciler(gossip, interval, rng):
    """Return the `Reconciler` of a gossip."""
    return Reconciler(gossip, interval, rng)
