"""Plays owners and users of quotas without a network, in steps of simulated time.

The decisions are the real ones. Reports, summaries and asks are delivered after a fixed
latency unless they are lost or the link is cut.
"""

import heapq
import itertools
import random

from kumquatsaddle.accounts.fleet_contact import FleetContact, ViewHistory
from kumquatsaddle.accounts.quota_owner import QuotaBounds, QuotaOwner, QuotaRefusal
from kumquatsaddle.accounts.quota_tokens import QuotaTokens
from kumquatsaddle.accounts.table import Quota
from kumquatsaddle.addresses.scores import hash_name

__all__ = ["ACCOUNT", "BOUNDS", "QuotaFleet", "count_most"]

ACCOUNT = "farms"
BOUNDS = QuotaBounds()
_STEP_SECONDS = 0.01
_LATENCY_SECONDS = 0.005
_LOSS = 0.0015
_REPORT_SECONDS = 1.0
_TICK_SECONDS = 0.25
_ANSWER_TIMEOUT_SECONDS = 0.25
_ACTIVE = 4
# A request that was admitted is refused without having run up to this much later.
_MAX_REFUSED_AFTER_SECONDS = 1.0
# An instance gets a new version up to this much later than the first one.
_MAX_VERSION_DELAY_SECONDS = 0.5


class _Instance:
    """An instance; `start` makes it a new process."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.quota = fleet.quota
        self.group = 0
        self.alive = False
        self.frozen = False
        self.inbox = []

    def start(self):
        now = self.fleet.now
        self.contact = FleetContact(self.name)
        self.history = ViewHistory(self.name, now)
        self.owner = QuotaOwner(self.history, BOUNDS)
        self.tokens = QuotaTokens()
        self.quota = self.fleet.quota
        self.report_at = now + self.fleet.random.uniform(0, _REPORT_SECONDS)
        self.tick_at = now + self.fleet.random.uniform(0, _TICK_SECONDS)
        self.zone_view = None
        self.alive, self.frozen = True, False
        self.inbox.clear()
        self.fleet.deliver_reports(self)

    def observe(self):
        if self.history.observe(self.fleet.now):
            self.update_view()

    def play(self):
        now = self.fleet.now
        inbox, self.inbox = self.inbox, []
        for handle in inbox:
            handle()
        if now >= self.tick_at:
            self.tick_at = now + _TICK_SECONDS
            self.update_view()
            self.owner.remove_idle(now)
            self.tokens.remove_idle(now)
        if now >= self.report_at:
            self.report_at = now + _REPORT_SECONDS
            self.fleet.deliver_reports(self)
            if self.is_leader():
                self.fleet.deliver_summaries(self)

    def list_in_contact(self):
        now = self.fleet.now
        peers = self.contact._peers.items()
        names = [name for name, peer in peers if peer.is_in_contact(now)]
        return sorted([self.name, *names])

    def is_leader(self):
        return self.list_in_contact()[0] == self.name

    def update_view(self):
        self.observe()
        now, fleet = self.fleet.now, self.fleet
        zones = fleet.names_by_zone
        self.contact.note_peers([n for n in zones[self.zone] if n != self.name], now)
        active = sorted(self.list_in_contact(), key=hash_name)[:_ACTIVE]
        zone_view = self.contact.make_zone_view(active, now)
        if zone_view != self.zone_view:
            self.zone_view = zone_view
            if self.is_leader():
                fleet.deliver_summaries(self)
        listed = {zone: len(names) for zone, names in zones.items()}
        del listed[self.zone]
        self.history.update(self.contact.make_view(zone_view, listed, now), now)

    def request(self):
        """Play one request of the account."""
        now = self.fleet.now
        self.observe()
        if self.tokens.try_take(ACCOUNT, now):
            self.fleet.admit(self)
            return
        owner = self.history.find_owner(ACCOUNT)
        if owner == self.history.own:
            self.apply(self.owner.grant(ACCOUNT, self.quota, 1, 0, now), now)
            return
        block = self.tokens.find_block(ACCOUNT, now)
        if owner is None or block is not None:
            self.fleet.refuse(block)
            return
        advance = self.tokens.compute_advance(ACCOUNT, now)
        returned = self.tokens.pop_returned(ACCOUNT)
        target = self.fleet.by_hash[owner]
        self.fleet.send(
            self, target, lambda: target.answer(self, advance, returned, now)
        )

    def answer(self, sender, advance, returned, asked_at):
        self.observe()
        now = self.fleet.now
        if returned:
            self.owner.give_back(ACCOUNT, self.quota, returned, now)
        grant = self.owner.grant(ACCOUNT, self.quota, 1, advance, now)
        self.fleet.send(self, sender, lambda: sender.apply(grant, asked_at))

    def apply(self, grant, asked_at):
        now, granted = self.fleet.now, grant.granted
        if granted and now - asked_at <= _ANSWER_TIMEOUT_SECONDS:
            granted -= 1
            self.fleet.admit(self)
        elif not granted:
            self.fleet.refuse(grant)
            if grant.refusal is not QuotaRefusal.NOT_OWNER:
                self.tokens.block(ACCOUNT, grant, now)
        self.tokens.hold(ACCOUNT, granted, asked_at, now)

    def give_back(self):
        now = self.fleet.now
        if self.history.find_owner(ACCOUNT) == self.history.own:
            self.owner.give_back(ACCOUNT, self.quota, 1, now)
        else:
            self.tokens.give_back(ACCOUNT, now)


class QuotaFleet:
    """Instances of several zones and the requests of one account.

    Parameters
    ----------
    sizes : sequence of int
        Number of instances of each zone.
    quota : Quota
    seed : int
    refused_share : float, default=0.0
        Part of the admitted requests that are refused later without having run.

    Attributes
    ----------
    runs : list of float
        Times at which requests ran.
    refusals : list of (float, Grant or None)
    """

    def __init__(self, sizes, quota, seed, refused_share=0.0):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.quota = quota
        self.runs, self.refusals = [], []
        self._refused_share = refused_share
        self._events = []
        self._order = itertools.count()
        self.instances = [
            _Instance(self, f"{zone}-{number}", zone)
            for zone, size in enumerate(sizes)
            for number in range(size)
        ]
        self.names_by_zone = {
            zone: [item.name for item in self.instances if item.zone == zone]
            for zone in range(len(sizes))
        }
        self.by_hash = {hash_name(item.name): item for item in self.instances}
        self.weights = {}
        for instance in self.instances:
            instance.start()
        self.move_load()

    def move_load(self):
        """Choose anew how the requests are spread over the instances."""
        for instance in self.instances:
            self.weights[instance.name] = self.random.random() ** 3 + 0.01

    def play(self, seconds, demand):
        """Play some time with `demand` requests a second."""
        until = self.now + seconds
        next_request = self.now + self.random.expovariate(demand)
        while self.now < until:
            self.now += _STEP_SECONDS
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for instance in self.instances:
                if instance.alive and not instance.frozen:
                    instance.play()
            while next_request <= self.now:
                next_request += self.random.expovariate(demand)
                self._choose_instance().request()

    def admit(self, instance):
        if self.random.random() >= self._refused_share:
            self.runs.append(self.now)
            return
        delay = self.random.uniform(0, _MAX_REFUSED_AFTER_SECONDS)
        self._schedule(
            delay, lambda: instance.alive and instance.inbox.append(instance.give_back)
        )

    def refuse(self, grant):
        self.refusals.append((self.now, grant))

    def send(self, sender, target, handle):
        """Deliver a datagram, unless it is lost or cut off."""
        if self.random.random() < _LOSS or sender.group != target.group:
            return

        def arrive():
            if target.alive and sender.group == target.group:
                target.inbox.append(handle)

        self._schedule(_LATENCY_SECONDS, arrive)

    def deliver_reports(self, sender):
        for target in self.instances:
            if target.zone == sender.zone and target is not sender:
                self.send(
                    sender,
                    target,
                    lambda target=target: target.contact.hear_peer(
                        sender.name, False, True, self.now
                    ),
                )

    def deliver_summaries(self, sender):
        view = sender.zone_view
        if view is None:
            return
        for target in self.instances:
            if target.zone != sender.zone:
                self.send(
                    sender,
                    target,
                    lambda target=target: target.contact.hear_zone(
                        sender.zone, view, self.now
                    ),
                )

    def freeze(self, instance):
        instance.frozen = True

    def resume(self, instance):
        instance.frozen = False

    def kill(self, instance):
        instance.alive = False
        instance.inbox.clear()

    def start(self, instance):
        if not instance.alive:
            instance.start()

    def change_quota(self, quota):
        """Publish a version with another quota."""
        self.quota = quota
        for instance in self.instances:
            delay = self.random.uniform(0, _MAX_VERSION_DELAY_SECONDS)
            self._schedule(
                delay, lambda instance=instance: setattr(instance, "quota", quota)
            )

    def _choose_instance(self):
        usable = [item for item in self.instances if item.alive and not item.frozen]
        weights = [self.weights[item.name] for item in usable]
        if not usable:
            return _NoInstance()
        return self.random.choices(usable, weights)[0]

    def _schedule(self, delay, call):
        heapq.heappush(self._events, (self.now + delay, next(self._order), call))


class _NoInstance:
    def request(self):
        pass


def count_most(times, window):
    """Return the largest number of times in any window, in seconds."""
    most = start = 0
    for end, time in enumerate(times):
        while times[start] <= time - window:
            start += 1
        most = max(most, end - start + 1)
    return most


def compute_bound(quota):
    """Return the bound of the scope page for the requests in a window."""
    within = quota.rate * BOUNDS.window + quota.burst
    return within * (1 + BOUNDS.overrun) + BOUNDS.slack


QUOTAS = (Quota(1, 1), Quota(4, 6), Quota(25, 10), Quota(150, 30), Quota(150, 300))
