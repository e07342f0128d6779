"""Instances with quotas on loopback addresses, in one event loop."""

import itertools
import os

import trio

from kumquatsaddle.accounts import ClientAccount, Quota, make_account_table
from kumquatsaddle.accounts.quota_owner import QuotaBounds
from kumquatsaddle.addresses.scores import hash_name
from kumquatsaddle.balance import make_balanced_dispatcher
from kumquatsaddle.discovery.records import InstanceRecord
from kumquatsaddle.dispatch.protocol import DEFAULT_PROTOCOL
from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.sharing.exchange import make_zone_exchange
from kumquatsaddle.sharing.peers import PeerTable
from kumquatsaddle.sharing.quota_messages import QUOTA_PREFIX, decode_quota_message
from kumquatsaddle.sharing.quotas import make_quotas
from kumquatsaddle.testing.exchanges import NodeStub

__all__ = ["ACCOUNT", "Instance", "QuotaInstances", "make_accounts", "make_quota"]

ACCOUNT = "farms"
# For the first reports and summaries, and the takeover delay.
_SETTLE_SECONDS = 6.0
_subnets = itertools.count(1)


class Instance:
    def __init__(self, fleet, record, holds_quotas):
        self.fleet = fleet
        self.record = record
        self.peers = PeerTable(record)
        self.metrics = make_metrics()
        dispatcher = make_balanced_dispatcher(
            record.zone, DEFAULT_PROTOCOL, self.metrics, 1000
        )
        node = NodeStub(self.peers)
        self.list_active = node.list_active
        self.exchange = make_zone_exchange(self.peers, dispatcher, node, self.metrics)
        self.quotas = None
        if holds_quotas:
            self.quotas = make_quotas(
                self.exchange,
                node.list_active,
                lambda: fleet.accounts,
                self.metrics,
                QuotaBounds(),
                trio.current_time,
            )
            self.quotas.is_listed = True
        self.scope = trio.CancelScope()
        self.is_cut = False
        self.asks, self.answers = [], []
        # Number of the next datagrams with asks or answers that are lost.
        self.lost_asks = self.lost_answers = 0
        self._send = self.exchange.send
        self.exchange.send = self.send

    def send(self, data, address):
        if self.is_cut or self.fleet.find_by_control(address).is_cut:
            return
        if data.startswith(QUOTA_PREFIX):
            message = decode_quota_message(data)
            if message.asks:
                self.asks.append(message)
                self.lost_asks -= 1
            else:
                self.answers.append(message)
                self.lost_answers -= 1
            if (self.lost_asks if message.asks else self.lost_answers) >= 0:
                return
        self._send(data, address)

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.exchange.run)
                if self.quotas is not None:
                    nursery.start_soon(self.quotas.run)

    async def admit(self):
        """Return None if a request is admitted, or the error and the time it took."""
        started = trio.current_time()
        try:
            await self.quotas.admit(self.fleet.account, started + 5.0, b"id-1")
        except RefusedError as error:
            return error, trio.current_time() - started
        return None


class QuotaInstances:
    """Some instances of two zones and an account.

    Parameters
    ----------
    sizes : dict of str to int
        Number of instances by zone.
    quota : Quota or None
        None for a configuration without accounts.
    older : collection of str
        Names of the instances of an older build.
    """

    def __init__(self, sizes, quota, older=()):
        self.set_quota(quota)
        prefix = f"127.{os.getpid() % 200 + 20}.{next(_subnets) + 100}"
        hosts = itertools.count(1)
        records = []
        for zone, size in sizes.items():
            for number in range(size):
                address = Address(f"{prefix}.{next(hosts)}", 7540)
                name = f"{zone}-{number}"
                records.append(InstanceRecord(name, zone, address, address))
        self.instances = [
            Instance(self, record, record.name not in older) for record in records
        ]

    def set_quota(self, quota):
        self.account = self.accounts = None
        if quota is None:
            return
        self.account, self.accounts = make_accounts(quota)

    def find_by_control(self, address):
        return next(item for item in self.instances if item.record.control == address)

    def find_owner(self):
        """Return the owner of the account and the other instances."""
        hashed = self.instances[0].quotas._history.find_owner(ACCOUNT)
        owner = next(
            item for item in self.instances if hash_name(item.record.name) == hashed
        )
        return owner, [item for item in self.instances if item is not owner]

    async def start(self):
        for instance in self.instances:
            for other in self.instances:
                instance.peers.add_instance(other.record, trio.current_time())
            trio.lowlevel.spawn_system_task(instance.run)
        await trio.sleep(0.1)
        for instance in self.instances:
            peers = instance.peers.peers.values()
            instance.exchange.introduce([peer.record.control for peer in peers])
        await trio.sleep(_SETTLE_SECONDS)

    async def stop(self):
        for instance in self.instances:
            instance.scope.cancel()


def make_quota(rate):
    """Return a quota with a burst of the requests of two seconds."""
    return Quota(rate, 2 * rate)


def make_accounts(quota):
    """Return an account with a quota and the table that holds it."""
    account = ClientAccount(ACCOUNT, None, quota)
    return account, make_account_table([(account, [b"k"])])
