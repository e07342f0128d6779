"""Simulated peers that answer a measured instance and send it a fleet's messages."""

import math
import time
from dataclasses import replace

import trio

from kumquatsaddle.dispatch.digests import ServiceDigest, write_digests
from kumquatsaddle.membership.members import write_member
from kumquatsaddle.messages.codec import make_codec
from kumquatsaddle.testing.gossip_fleet import (
    KEY,
    describe_instance,
    locate_instance,
    read_clock,
)
from kumquatsaddle.types import InstanceState

__all__ = [
    "STATE_CHANGES_PER_SECOND",
    "TARGET_SIZE",
    "SimulatedPeers",
    "make_service_digests",
]

TARGET_SIZE = 520
# Changes of state at the target size: a day has 1,400 restarts with four states each
# (LEAVING, DEAD, JOINING, ALIVE) and 6 failures with SUSPECT and DEAD.
STATE_CHANGES_PER_SECOND = (1400 * 4 + 6 * 2) / 86400
# At the target size.
_SERVICES_PER_HOME = 2
_DIGESTS_PER_SECOND = 3


class SimulatedPeers:
    """Peers that answer the measured instance and send it the messages of a fleet.

    Parameters
    ----------
    network : MemoryNetwork
    gossip : Gossip
        The gossip of the measured instance, which is instance 0.
    size : int
        Instances of the fleet, with the measured one.
    rng : random.Random

    Attributes
    ----------
    processor_seconds : float
        Processor time that the peers used, to be subtracted from the measured time.
    """

    def __init__(self, network, gossip, size, rng):
        self.network = network
        self.gossip = gossip
        self.rng = rng
        self.processor_seconds = 0.0
        self.members = [
            replace(
                describe_instance(number, f"{number:016x}"),
                state=InstanceState.ALIVE,
                started_at=1e9,
            )
            for number in range(1, size)
        ]
        self.sender_codecs = [
            make_codec(member.name, member.incarnation, [KEY], read_clock)
            for member in self.members
        ]
        self.receiver_codec = make_codec("reader", "r" * 16, [KEY], read_clock)
        self.measured_address = locate_instance(0)
        self.recent_updates = []
        self.retransmit_until = {}
        for number in range(1, size):
            network.attach(locate_instance(number), self._make_handler(number - 1))

    def _make_handler(self, index):
        def handle(data, source):
            started = time.process_time()
            envelope = self.receiver_codec.open(data)
            kind = envelope.which()
            if kind in ("ping", "pingRequest"):
                self._send(index, "ack", getattr(envelope, kind).number)
            self.processor_seconds += time.process_time() - started

        return handle

    def _send(self, index, kind, number):
        codec = self.sender_codecs[index]
        envelope = codec.new_envelope(1)
        body = envelope.init(kind)
        body.number = number
        body.tableDigest = self.gossip.table.digest
        updates = self.recent_updates[-8:]
        for builder, member in zip(
            body.init("updates", len(updates)), updates, strict=True
        ):
            write_member(builder, member)
        self._deliver(index, codec.seal(envelope))

    def _send_digests(self, index):
        codec = self.sender_codecs[index]
        envelope = codec.new_envelope(1)
        write_digests(envelope, make_service_digests())
        self._deliver(index, codec.seal(envelope))

    def _deliver(self, index, data):
        self.network.send(data, locate_instance(index + 1), self.measured_address)

    async def run(self):
        """Send probes, digests and member updates at the rates of a fleet."""
        size = len(self.members) + 1
        changes_per_second = STATE_CHANGES_PER_SECOND * size / TARGET_SIZE
        transmissions = 2 * math.ceil(math.log2(size))
        while True:
            await trio.sleep(1.0)
            started = time.process_time()
            if self.rng.random() < changes_per_second:
                self._change_state(transmissions)
            # Each instance sends an update on `transmissions` datagrams, and an
            # instance receives about two datagrams a second.
            self.recent_updates = [
                member
                for member in self.recent_updates
                if self._is_retransmitted(member, transmissions)
            ]
            number = self.rng.randrange(1 << 32)
            self._send(self.rng.randrange(len(self.members)), "ping", number)
            for _ in range(_DIGESTS_PER_SECOND):
                self._send_digests(self.rng.randrange(len(self.members)))
            self.processor_seconds += time.process_time() - started

    def _change_state(self, transmissions):
        index = self.rng.randrange(len(self.members))
        member = self.members[index]
        member = replace(member, revision=member.revision + 1)
        self.members[index] = member
        self.recent_updates.append(member)
        self.retransmit_until[member] = trio.current_time() + transmissions / 2

    def _is_retransmitted(self, member, transmissions):
        return trio.current_time() < self.retransmit_until[member]


def make_service_digests():
    """Return the digests of the services of one home."""
    return [
        ServiceDigest(f"service-{number:03}", 0.01, 0.05, 300, 6, 0)
        for number in range(_SERVICES_PER_HOME)
    ]
