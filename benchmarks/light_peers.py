"""Light peers of a measured instance: they answer it and send it a fleet's messages."""

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

__all__ = ["CHANGES_PER_SECOND", "TARGET_SIZE", "LightPeers", "describe_services"]

TARGET_SIZE = 520
# Changes of state at the target size: a day has 1,400 restarts with four states each
# (LEAVING, DEAD, JOINING, ALIVE) and 6 failures with SUSPECT and DEAD.
CHANGES_PER_SECOND = (1400 * 4 + 6 * 2) / 86400
# Services of one home at the target size.
_OWN_SERVICES = 2
_DIGESTS_PER_SECOND = 3


class LightPeers:
    """Answers the measured instance, and sends what a fleet sends to it."""

    def __init__(self, network, gossip, size, rng):
        self.network = network
        self.gossip = gossip
        self.rng = rng
        self.seconds = 0.0
        self.members = [
            replace(
                describe_instance(number, f"{number:016x}"),
                state=InstanceState.ALIVE,
                started_at=1e9,
            )
            for number in range(1, size)
        ]
        self.codecs = [
            make_codec(member.name, member.incarnation, [KEY], read_clock)
            for member in self.members
        ]
        self.reader = make_codec("reader", "r" * 16, [KEY], read_clock)
        self.home = locate_instance(0)
        self.news = []
        self.until = {}
        for number in range(1, size):
            network.attach(locate_instance(number), self._make_handler(number - 1))

    def _make_handler(self, index):
        def handle(data, source):
            started = time.process_time()
            envelope = self.reader.open(data)
            kind = envelope.which()
            if kind in ("ping", "pingRequest"):
                self._send(index, "ack", getattr(envelope, kind).number)
            self.seconds += time.process_time() - started

        return handle

    def _send(self, index, kind, number):
        codec = self.codecs[index]
        envelope = codec.new_envelope(1)
        body = envelope.init(kind)
        body.number = number
        body.tableDigest = self.gossip.table.digest
        news = self.news[-8:]
        for builder, member in zip(body.init("updates", len(news)), news, strict=True):
            write_member(builder, member)
        self._deliver(index, codec.seal(envelope))

    def _send_digest(self, index):
        codec = self.codecs[index]
        envelope = codec.new_envelope(1)
        write_digests(envelope, describe_services())
        self._deliver(index, codec.seal(envelope))

    def _deliver(self, index, data):
        self.network.send(data, locate_instance(index + 1), self.home)

    async def run(self):
        """Send probes, digests and news at the rates of a fleet of this size."""
        size = len(self.members) + 1
        rate = CHANGES_PER_SECOND * size / TARGET_SIZE
        copies = 2 * math.ceil(math.log2(size))
        while True:
            await trio.sleep(1.0)
            started = time.process_time()
            if self.rng.random() < rate:
                self._change(copies)
            # Each news item travels on `copies` datagrams of each instance, of which
            # one receives about two a second.
            self.news = [item for item in self.news if self._keep(item, copies)]
            number = self.rng.randrange(1 << 32)
            self._send(self.rng.randrange(len(self.members)), "ping", number)
            for _ in range(_DIGESTS_PER_SECOND):
                self._send_digest(self.rng.randrange(len(self.members)))
            self.seconds += time.process_time() - started

    def _change(self, copies):
        index = self.rng.randrange(len(self.members))
        member = self.members[index]
        member = replace(member, revision=member.revision + 1)
        self.members[index] = member
        self.news.append(member)
        self.until[member] = trio.current_time() + copies / 2

    def _keep(self, member, copies):
        return trio.current_time() < self.until[member]


def describe_services():
    """Return the digests of the services of one home."""
    return [
        ServiceDigest(f"service-{number:03}", 0.01, 0.05, 300, 6, 0)
        for number in range(_OWN_SERVICES)
    ]
