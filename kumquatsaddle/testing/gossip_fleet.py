"""Instances that gossip over an in-memory network, for tests and benchmarks."""

import random

import trio

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.membership.exchange import (
    fill_hello,
    fill_members,
    handle_hello,
    read_members,
)
from kumquatsaddle.membership.gossip import Gossip
from kumquatsaddle.membership.members import LIVE_STATES, Member, make_table
from kumquatsaddle.messages.codec import make_codec
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.types import InstanceState

__all__ = ["KEY", "MemoryFleet", "describe_instance", "locate_instance"]

KEY = bytes(range(32))
_START_TIME_SECONDS = 1_700_000_000.0
_BASE_PORT = 10000


class MemoryFleet:
    """Gossiping instances, numbered from 0.

    Parameters
    ----------
    network : MemoryNetwork
    nursery : trio.Nursery
        Runs the instances.
    interval, suspicion_timeout : float
        Probe interval and suspicion timeout of the gossip, in seconds.
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
        """Start an instance, or restart it as a new incarnation.

        Parameters
        ----------
        number : int
        seeds : iterable of int
            Numbers of the instances it joins through.
        known : iterable of Member
            Members already in its table; a record of its own name is skipped.
        started_at : float, optional
            Start time in seconds since the epoch; default: now by `read_clock`.
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
        """End an instance without telling the others."""
        self._scopes.pop(number).cancel()
        del self.gossips[number]

    def views(self):
        """Return the live members in the table of each running instance.

        Returns
        -------
        dict of int to set of (str, str, InstanceState)
            Name, incarnation and state of the members, by instance number.
        """
        return {
            number: {
                (member.name, member.incarnation, member.state)
                for member in gossip.table.members.values()
                if member.state in LIVE_STATES
            }
            for number, gossip in self.gossips.items()
        }

    def is_converged(self):
        """Return whether each table lists exactly the running instances, as ALIVE."""
        expected = {
            (gossip.table.own.name, gossip.table.own.incarnation, InstanceState.ALIVE)
            for gossip in self.gossips.values()
        }
        return all(view == expected for view in self.views().values())

    async def wait_converged(self, periods):
        """Wait up to `periods` intervals until `is_converged`.

        Returns
        -------
        int or None
            Number of intervals it took; None if it did not converge.
        """
        for period in range(periods):
            if self.is_converged():
                return period
            await trio.sleep(self._interval)
        return periods if self.is_converged() else None

    def count(self, name):
        """Return the sum of a counter, with any labels, over all running instances."""
        return sum(
            value
            for gossip in self.gossips.values()
            for (counter, _), value in gossip.metrics.counts.items()
            if counter == name
        )

    async def _run(self, gossip, number, scope, task_status):
        with scope:
            await gossip.run(Address(*locate_instance(number)), task_status)

    def _make_fetch(self, number, requester):
        async def fetch(address, own):
            # Takes one round trip and fails if either direction is partitioned.
            await trio.sleep(0.002)
            peer = self._find_number(address)
            own_endpoint = locate_instance(number)
            peer_endpoint = None if peer is None else locate_instance(peer)
            partitioned = self.network.is_cut(
                own_endpoint, peer_endpoint
            ) or self.network.is_cut(peer_endpoint, own_endpoint)
            if peer is None or partitioned:
                raise MessageError("the peer is unreachable")
            return _exchange_tables(requester, self.gossips[peer], own)

        return fetch

    def _find_number(self, address):
        for number in self.gossips:
            if address == "{}:{}".format(*locate_instance(number)):
                return number
        return None


def _exchange_tables(requester, peer, own):
    hello = requester._codec.new_envelope()
    fill_hello(hello, 1, own)
    handle_hello(peer._codec.open(requester._codec.seal(hello)), peer)
    reply = peer._codec.new_envelope()
    fill_members(reply, 1, peer.table)
    return read_members(requester._codec.open(peer._codec.seal(reply)))


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
    """Return the host and port of an instance by its number."""
    return "127.0.0.1", _BASE_PORT + number


def read_clock():
    """Return the time of trio's clock as seconds since the epoch."""
    return _START_TIME_SECONDS + trio.current_time()
