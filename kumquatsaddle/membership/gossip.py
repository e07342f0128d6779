"""Failure detection and dissemination between the instances, by UDP.

Each period one peer is probed directly and, when it does not answer, through others.
News of members travels on the probes and their answers.
"""

import math
import random

import trio

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.members import read_member, write_member
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.types import InstanceState

__all__ = ["Gossip", "make_gossip"]

_DATAGRAM_BYTES = 65536
# Part of the probe interval within which a direct probe must be answered.
_DIRECT_SHARE = 0.3
_INDIRECT_PROBES = 3
# News in one datagram; keeps it below 1,400 bytes.
_NEWS_PER_DATAGRAM = 8
# News is sent this often times log2 of the number of members.
_SPREAD_FACTOR = 3
# Probe intervals between attempts to reach dead members and seeds.
_REJOIN_PERIODS = 5
_LIVE = (
    InstanceState.JOINING,
    InstanceState.ALIVE,
    InstanceState.IMPAIRED,
    InstanceState.LEAVING,
    InstanceState.SUSPECT,
)


class Gossip:
    """Keeps the member table of one instance.

    Parameters
    ----------
    table : MemberTable
    codec : MessageCodec
    metrics : Metrics
    probe_interval, suspicion_timeout : float
        In seconds.
    get_version : callable
        Returns the configuration version in force.
    on_version : callable
        Called with a member name and the configuration version it told.
    rng : random.Random, optional
    """

    def __init__(
        self,
        table,
        codec,
        metrics,
        probe_interval,
        suspicion_timeout,
        get_version,
        on_version,
        rng=None,
    ):
        self.table = table
        self.metrics = metrics
        self.seeds = set()
        self.unreachable = set()
        self._codec = codec
        self._interval = probe_interval
        self._suspicion_timeout = suspicion_timeout
        self._get_version = get_version
        self._on_version = on_version
        self._rng = rng or random.Random()
        self._socket = None
        self._number = 0
        self._waiting = {}
        self._news = {}
        self._order = []

    async def run(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Bind the socket and keep the table until cancelled."""
        family = trio.socket.AF_INET6 if ":" in address.host else trio.socket.AF_INET
        self._socket = trio.socket.socket(family, trio.socket.SOCK_DGRAM)
        with self._socket:
            await self._socket.bind((address.host, address.port))
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, nursery)
                nursery.start_soon(self._probe_peers, nursery)
                nursery.start_soon(self._rejoin)

    def spread(self, news):
        """Queue news of a member for the next datagrams."""
        if news is not None:
            count = _SPREAD_FACTOR * math.ceil(math.log2(len(self.table.members) + 1))
            self._news[news.name] = [news, max(_SPREAD_FACTOR, count)]

    def set_own_state(self, state):
        """Change the state of this instance and spread it."""
        self.spread(self.table.set_own_state(state, trio.current_time()))

    async def announce(self, count=None):
        """Send the queued news to `count` random peers (default: all) at once."""
        peers = self.table.peers(*_LIVE)
        if count is not None and count < len(peers):
            peers = self._rng.sample(peers, count)
        for peer in peers:
            await self._send(peer.control, self._make("ping", self._next_number()))

    async def _receive(self, nursery):
        while True:
            try:
                data, source = await self._socket.recvfrom(_DATAGRAM_BYTES)
                envelope = self._codec.open(data)
                await self._handle(envelope, source, nursery)
            except MessageError as error:
                self.metrics.count("messages_rejected", reason=str(error).split(":")[0])
            except (ValueError, OSError) as error:
                self.metrics.count("messages_rejected", reason="malformed")
                log_event("message_rejected", level="DEBUG", error=error)

    async def _handle(self, envelope, source, nursery):
        kind = str(envelope.which())
        if kind not in ("ping", "ack", "pingRequest"):
            raise MessageError("unexpected")
        body = getattr(envelope, kind)
        self._merge(body.updates)
        self._on_version(envelope.sender, envelope.configVersion)
        if kind == "ping":
            await self._send_to(source, self._make("ack", body.number))
        elif kind == "ack":
            event = self._waiting.pop(body.number, None)
            if event is not None:
                event.set()
        else:
            address = parse_address(body.target)
            nursery.start_soon(self._relay_probe, address, body.number, source)

    async def _relay_probe(self, address, number, source):
        if await self._ping(str(address), self._interval * _DIRECT_SHARE):
            await self._send_to(source, self._make("ack", number))

    async def _probe_peers(self, nursery):
        while True:
            await trio.sleep(self._interval * self._rng.uniform(0.9, 1.1))
            for news in self.table.expire(trio.current_time(), self._suspicion_timeout):
                log_event("member_dead", member=news.name)
                self.spread(news)
            peer = self._next_peer()
            if peer is not None:
                nursery.start_soon(self._probe, peer)

    async def _probe(self, peer):
        if await self._ping(peer.control, self._interval * _DIRECT_SHARE):
            self.unreachable.discard(peer.name)
            return
        self.unreachable.add(peer.name)
        others = [entry for entry in self.table.peers(*_LIVE) if entry != peer]
        helpers = self._rng.sample(others, min(_INDIRECT_PROBES, len(others)))
        number, event = self._expect()
        for helper in helpers:
            message = self._make("pingRequest", number)
            message.pingRequest.target = peer.control
            await self._send(helper.control, message)
        with trio.move_on_after(self._interval * (1 - _DIRECT_SHARE)):
            await event.wait()
        self._waiting.pop(number, None)
        if not event.is_set():
            self.spread(self.table.suspect(peer.name, trio.current_time()))

    async def _rejoin(self):
        while True:
            known = {member.control for member in self.table.peers(*_LIVE)}
            known.add(self.table.own.control)
            lost = [member.control for member in self.table.peers(InstanceState.DEAD)]
            candidates = [
                address for address in {*self.seeds, *lost} if address not in known
            ]
            self.spread(self.table.own)
            if candidates:
                address = self._rng.choice(sorted(candidates))
                await self._send(address, self._make("ping", self._next_number()))
            await trio.sleep(self._interval * _REJOIN_PERIODS)

    async def _ping(self, address, timeout):
        number, event = self._expect()
        await self._send(address, self._make("ping", number))
        with trio.move_on_after(timeout):
            await event.wait()
        self._waiting.pop(number, None)
        return event.is_set()

    def _expect(self):
        number, event = self._next_number(), trio.Event()
        self._waiting[number] = event
        return number, event

    def _next_number(self):
        self._number = (self._number + 1) & 0xFFFFFFFF
        return self._number

    def _next_peer(self):
        if not self._order:
            self._order = [peer.name for peer in self.table.peers(*_LIVE)]
            self._rng.shuffle(self._order)
        while self._order:
            member = self.table.members.get(self._order.pop())
            if member is not None and member.state in _LIVE:
                return member
        return None

    def _merge(self, updates):
        now = trio.current_time()
        for reader in updates:
            self.spread(self.table.merge(read_member(reader), now))

    def _make(self, kind, number):
        envelope = self._codec.new_envelope(self._get_version())
        body = envelope.init(kind)
        body.number = number
        news = self._take_news()
        updates = body.init("updates", len(news))
        for builder, member in zip(updates, news, strict=True):
            write_member(builder, member)
        return envelope

    def _take_news(self):
        chosen = sorted(self._news.values(), key=lambda entry: -entry[1])
        chosen = chosen[:_NEWS_PER_DATAGRAM]
        for entry in chosen:
            entry[1] -= 1
            if entry[1] <= 0:
                del self._news[entry[0].name]
        return [entry[0] for entry in chosen]

    async def _send(self, address, envelope):
        target = parse_address(address)
        await self._send_to((target.host, target.port), envelope)

    async def _send_to(self, target, envelope):
        data = self._codec.seal(envelope)
        self.metrics.count("control_bytes_sent", len(data))
        try:
            await self._socket.sendto(data, target)
        except OSError as error:
            log_event("datagram_not_sent", level="DEBUG", target=target, error=error)


def make_gossip(table, codec, metrics, settings, get_version, on_version):
    """Return the gossip of an instance; see `Gossip`."""
    return Gossip(
        table,
        codec,
        metrics,
        settings.get("membership", "probe_interval"),
        settings.get("membership", "suspicion_timeout"),
        get_version,
        on_version,
    )
