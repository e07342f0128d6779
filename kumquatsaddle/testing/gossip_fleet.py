"""Instances that gossip over an in-memory network, for tests and benchmarks."""

import random

import trio

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.membership.exchange import (
    fill_hello,
    fill_members,
    read_members,
    take_hello,
)
from kumquatsaddle.membership.gossip import Gossip
from kumquatsaddle.membership.members import LIVE, Member, make_table
from kumquatsaddle.messages.codec import make_codec
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.types import InstanceState

__all__ = ["KEY", "MemoryFleet", "describe_instance", "locate_instance"]

KEY = bytes(range(32))
_EPOCH = 1_700_000_000.0
_BASE_PORT = 10000


class MemoryFleet:
    """Gossiping instances, numbered from 0.

    Parameters
    ----------
    network : MemoryNetwork
    nursery : trio.Nursery
        Runs the instances.
    interval, suspicion_timeout : float
        In seconds.
    """

    def __init__(self, network, nursery, interval=1.0, suspicion_timeout=3.0):
        self.network = network
        self.gossips = {}
        self._nursery = nursery
        self._interval = interval
        self._suspicion_timeout = suspicion_timeout
        self._scopes = {}
        self._starts = 0

    async def start(self, number, seeds=(0,), known=(), started_at=None):
        """Start an instance, or start it again as a new incarnation.

        Parameters
        ----------
        number : int
        seeds : iterable of int
            Instances to join through.
        known : iterable of Member
            Members in its table from the start; its own record is left out.
        started_at : float, optional
            In seconds; default: the present of the fleet's clock.
        """
        self._starts += 1
        own = describe_instance(number, f"{self._starts:016x}", started_at)
        gossip = Gossip(
            make_table(own),
            make_codec(own.name, own.incarnation, [KEY], read_clock),
            make_metrics(),
            self._interval,
            self._suspicion_timeout,
            lambda: 1,
            lambda name, version: None,
            random.Random(self._starts),
            self.network.open,
        )
        for member in known:
            if member.name == own.name:
                continue
            gossip.table.merge(member, trio.current_time())
        gossip.seeds = {"{}:{}".format(*locate_instance(seed)) for seed in seeds}
        gossip.fetch_table = self._make_fetch(number, gossip)
        self.gossips[number] = gossip
        scope = self._scopes[number] = trio.CancelScope()
        await self._nursery.start(self._run, gossip, number, scope)
        gossip.set_own_state(InstanceState.ALIVE)
        return gossip

    def kill(self, number):
        """End an instance without notice."""
        self._scopes.pop(number).cancel()
        del self.gossips[number]

    def views(self):
        """Return for each running instance its live members with their incarnations."""
        return {
            number: {
                (member.name, member.incarnation, member.state)
                for member in gossip.table.members.values()
                if member.state in LIVE
            }
            for number, gossip in self.gossips.items()
        }

    def is_converged(self):
        """Return whether all running instances see exactly all running ones, alive."""
        expected = {
            (gossip.table.own.name, gossip.table.own.incarnation, InstanceState.ALIVE)
            for gossip in self.gossips.values()
        }
        return all(view == expected for view in self.views().values())

    async def wait_converged(self, periods):
        """Wait until `is_converged`; return the periods it took, or None."""
        for period in range(periods):
            if self.is_converged():
                return period
            await trio.sleep(self._interval)
        return periods if self.is_converged() else None

    def count(self, name):
        """Return the sum of a counter over all running instances."""
        return sum(
            value
            for gossip in self.gossips.values()
            for (counter, _), value in gossip.metrics.counts.items()
            if counter == name
        )

    async def _run(self, gossip, number, scope, task_status):
        with scope:
            await gossip.run(Address(*locate_instance(number)), task_status)

    def _make_fetch(self, number, asker):
        async def fetch(address, own):
            # One round trip of a connection that a cut in either direction breaks.
            await trio.sleep(0.002)
            peer = self._find(address)
            here = locate_instance(number)
            there = None if peer is None else locate_instance(peer)
            cut = self.network.is_cut(here, there) or self.network.is_cut(there, here)
            if peer is None or cut:
                raise MessageError("unreachable")
            return _exchange_tables(asker, self.gossips[peer], own)

        return fetch

    def _find(self, address):
        for number in self.gossips:
            if address == "{}:{}".format(*locate_instance(number)):
                return number
        return None


def _exchange_tables(asker, peer, own):
    hello = asker._codec.new_envelope()
    fill_hello(hello, 1, own)
    take_hello(peer._codec.open(asker._codec.seal(hello)), peer)
    reply = peer._codec.new_envelope()
    fill_members(reply, 1, peer.table)
    return read_members(asker._codec.open(peer._codec.seal(reply)))


def describe_instance(number, incarnation="0" * 16, started_at=None):
    """Return the `Member` of an instance of a test fleet, in state JOINING."""
    address = "{}:{}".format(*locate_instance(number))
    return Member(
        name=f"entry-{number:03}",
        incarnation=incarnation,
        started_at=read_clock() if started_at is None else started_at,
        revision=1,
        state=InstanceState.JOINING,
        zone=f"zone-{number % 7}",
        region=f"region-{number % 7 % 2}",
        control=address,
        callers=address,
    )


def locate_instance(number):
    """Return host and port of an instance of a test fleet."""
    return "127.0.0.1", _BASE_PORT + number


def read_clock():
    """Return trio's time as seconds since the epoch."""
    return _EPOCH + trio.current_time()
