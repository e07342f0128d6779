"""A simulated fleet with quotas on a virtual clock; the exchanges are the real ones."""

import random

import trio
from quota_instances import ACCOUNT, Instance, make_accounts

from kumquatsaddle.accounts.quota_owner import QuotaBounds
from kumquatsaddle.addresses.scores import hash_name
from kumquatsaddle.discovery.records import InstanceRecord
from kumquatsaddle.settings.parsers import Address

__all__ = ["QuotaZones"]

_LATENCY_SECONDS = 0.003
_LOSS = 0.0015
BOUNDS = QuotaBounds()


class QuotaZones:
    """Instances of three zones, in memory.

    Parameters
    ----------
    nursery : trio.Nursery
    size : int
        Number of instances of each zone.
    quota : Quota
    seed : int

    Attributes
    ----------
    runs : list of float
        Times at which requests were admitted.
    """

    def __init__(self, nursery, size, quota, seed):
        self.nursery = nursery
        self.random = random.Random(seed)
        self.quota = quota
        self.account, self.accounts = make_accounts(quota)
        self.runs = []
        self.refusals = []
        self.by_host = {}
        self.instances = []
        for zone in range(3):
            for number in range(size):
                address = Address(f"10.{zone}.0.{number + 1}", 7540)
                name = f"z{zone}-{number:02}"
                record = InstanceRecord(name, f"z{zone}", address, address)
                self.instances.append(self._make(record))

    def _make(self, record):
        instance = Instance(self, record, True)
        instance.is_alive, instance.group = True, 0
        # Datagrams that arrive while it is suspended.
        instance.held = None
        instance.exchange.send = lambda data, address: self._send(
            instance, data, address
        )
        self.by_host[record.control.host] = instance
        return instance

    def start(self, instance):
        for other in self.instances:
            instance.peers.add_instance(other.record, trio.current_time())
        self.nursery.start_soon(self._run, instance)
        peers = instance.peers.peers.values()
        instance.exchange.introduce([peer.record.control for peer in peers])

    def restart(self, instance):
        """Start a killed instance as a new process."""
        started = self._make(instance.record)
        self.instances[self.instances.index(instance)] = started
        started.group = instance.group
        self.start(started)

    def kill(self, instance):
        instance.is_alive = False
        instance.scope.cancel()

    async def suspend(self, instance, meanwhile):
        """Suspend an instance while a function runs.

        Its quotas do nothing, and the datagrams that arrive meanwhile are handled when
        it resumes.
        """
        instance.held = []
        instance.quotas.update_view = lambda now: None
        await meanwhile()
        held, instance.held = instance.held, None
        del instance.quotas.update_view
        for sender, data in held:
            instance.exchange._handle_datagram(data, sender.record.control)

    async def send_load(self, rate, seconds):
        """Send requests to the active instances at random."""
        until = trio.current_time() + seconds
        while True:
            await trio.sleep(self.random.expovariate(rate))
            if trio.current_time() >= until:
                return
            self.nursery.start_soon(self._request, self._choose_instance())

    def find_owner(self):
        """Return the owner of the account in the view of most instances."""
        owners = [
            item.quotas._history.find_owner(ACCOUNT)
            for item in self.instances
            if item.is_alive
        ]
        most = max(set(owners), key=owners.count)
        return next(i for i in self.instances if hash_name(i.record.name) == most)

    def _choose_instance(self):
        zone = f"z{self.random.randrange(3)}"
        alive = [i for i in self.instances if i.is_alive and i.record.zone == zone]
        if not alive:
            return self._choose_instance()
        active = {record.name for record in alive[-1].list_active()}
        # Callers that cached the address of an instance still go there.
        usable = [i for i in alive if i.record.name in active or i.group]
        usable = [i for i in usable if i.held is None]
        if not usable:
            # All instances that the zone tells were killed; the caller tries another.
            return self._choose_instance()
        return self.random.choice(usable)

    async def _request(self, instance):
        refusal = await instance.admit()
        if refusal is None:
            self.runs.append(trio.current_time())
        else:
            self.refusals.append((trio.current_time(), *refusal))

    async def _run(self, instance):
        with instance.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(instance.exchange._send_reports)
                nursery.start_soon(instance.exchange._summaries.run)
                nursery.start_soon(instance.quotas.run)

    def _send(self, sender, data, address):
        target = self.by_host[address.host]
        if self.random.random() < _LOSS or sender.group != target.group:
            return
        if sender.held is None:
            self.nursery.start_soon(self._deliver, sender, target, data)

    async def _deliver(self, sender, target, data):
        await trio.sleep(_LATENCY_SECONDS)
        if not target.is_alive or sender.group != target.group:
            return
        if target.held is not None:
            target.held.append((sender, data))
        else:
            target.exchange._handle_datagram(data, sender.record.control)


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
