"""Failure detection and dissemination between the instances, by UDP.

Each period one peer is probed directly and, when it does not answer, through others.
News of members travels on the probes and their answers.

References
----------
Das, Gupta and Motivala, SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol, 2002.
"""

import random
from contextlib import contextmanager

import trio

from kumquatsaddle.dispatch.digests import read_digests, write_digests
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.health import make_local_health
from kumquatsaddle.membership.members import (
    LIVE,
    is_doubted,
    locate,
    read_member,
    write_member,
)
from kumquatsaddle.membership.news import make_news
from kumquatsaddle.membership.probes import DIRECT_SHARE, ProbeAnswer, make_prober
from kumquatsaddle.membership.reconcile import make_reconciler
from kumquatsaddle.membership.transport import open_datagrams
from kumquatsaddle.messages.codec import find_reason
from kumquatsaddle.types import InstanceState, MessageRejection

__all__ = ["Gossip", "make_gossip"]

_DATAGRAM_BYTES = 65536
# Pings of one direct probe; at 20% loss one round trip in three fails.
_PING_ATTEMPTS = 2
# Peers that are told at once of a change of this instance.
_ANNOUNCE_PEERS = 3
# Members in one datagram, and probes relayed for others at a time.
_MAX_UPDATES = 64
_MAX_RELAYS = 32
# Pause in seconds after an error of the socket.
_ERROR_PAUSE = 0.05
_PROBES = ("ping", "ack", "pingRequest")


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
    open_socket : callable, optional
        Async; takes an address and returns a socket, see
        `kumquatsaddle.membership.transport`.

    Attributes
    ----------
    seeds : set of str
        Control addresses to join through.
    unreachable : set of InstanceId
        Live peers that only others can reach.
    fetch_table : callable or None
        Async; takes a control address and the own member, and returns the members
        of that peer's table.
    on_digest : callable or None
        Called with a member name and a list of `ServiceDigest`.
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
        open_socket=open_datagrams,
    ):
        self.table = table
        self.metrics = metrics
        self.health = make_local_health()
        self.seeds = set()
        self.unreachable = set()
        self.fetch_table = None
        self.on_digest = None
        self._codec = codec
        self._interval = probe_interval
        self._get_version = get_version
        self._on_version = on_version
        self._rng = rng or random.Random()
        self._open_socket = open_socket
        self._reconciler = make_reconciler(self, probe_interval, self._rng)
        self._prober = make_prober(self, probe_interval, suspicion_timeout, self._rng)
        self._socket = None
        self._nursery = None
        self._number = 0
        self._waiting = {}
        self._news = make_news()
        self._relays = 0
        for reason in MessageRejection:
            metrics.count("messages_rejected", 0, reason=reason.value)

    async def run(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Bind the socket and keep the table until cancelled."""
        self._socket = await self._open_socket(address)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self.spread(self.table.own)
                nursery.start_soon(self._receive)
                nursery.start_soon(self._prober.run)
                nursery.start_soon(self._reconciler.run)
                task_status.started()
        finally:
            self._nursery = None
            self._socket.close()

    def spread(self, news):
        """Queue news of a member for the next datagrams."""
        if news is not None:
            self._news.add(news, len(self.table.members))

    def learn(self, news, spread=True):
        """Merge news of a member and refute it if it is wrong about this instance.

        Parameters
        ----------
        news : Member
        spread : bool
            Whether to pass news of other members on.
        """
        before = self.table.members.get(news.name)
        merged = self.table.merge(news, trio.current_time())
        if merged is None:
            if self.table.replaced:
                # Another process runs under the same name.
                self.metrics.set_gauge("instance_replaced", 1)
            return
        if merged is self.table.own:
            self.metrics.count("refutations")
            self._publish_own()
            return
        if merged.state is InstanceState.DEAD:
            self.unreachable.discard(news.name)
        elif before is not None and before.incarnation != merged.incarnation:
            self.unreachable.discard(news.name)
        if spread:
            self.spread(merged)

    def set_own_state(self, state, impairment=None):
        """Change the state of this instance and spread it."""
        now = trio.current_time()
        if self.table.set_own_state(state, now, impairment) is not None:
            self._publish_own()

    async def announce(self, count=None):
        """Send the queued news to `count` random peers (default: all) at once."""
        peers = self.table.peers(*LIVE)
        if count is not None and count < len(peers):
            peers = self._rng.sample(peers, count)
        for peer in peers:
            await self.tell(peer.control)

    async def tell(self, address, first=()):
        """Send one ping without waiting for its answer; `first` is news to carry."""
        await self._send(address, self._make("ping", self._next_number(), first))

    async def send_digests(self, name, digests):
        """Send a list of `ServiceDigest` to a member; unknown ones are left out."""
        member = self.table.members.get(name)
        if member is not None and member.state in LIVE:
            envelope = self._codec.new_envelope(self._get_version())
            write_digests(envelope, digests)
            await self._send(member.control, envelope)

    async def ping(self, address, first=()):
        """Ping an address up to twice and return what came back."""
        with self.expect() as answer:
            await self.ping_for(answer, address, first)
        return answer

    @contextmanager
    def expect(self):
        """Yield a `ProbeAnswer` that takes the answers of one probe."""
        answer = ProbeAnswer(self._next_number(), self._next_number())
        self._waiting[answer.number] = answer
        self._waiting[answer.relayed_number] = answer
        try:
            yield answer
        finally:
            del self._waiting[answer.number], self._waiting[answer.relayed_number]

    async def ping_for(self, answer, address, first=()):
        """Ping an address up to twice, until `answer` has an answer."""
        timeout = self._interval * DIRECT_SHARE / _PING_ATTEMPTS
        for attempt in range(_PING_ATTEMPTS):
            # A peer that does not know this instance drops the first one.
            news = [*first, self.table.own] if attempt else first
            await self._send(address, self._make("ping", answer.number, news))
            with trio.move_on_after(timeout):
                await answer.event.wait()
            if answer.answered:
                return

    async def ask_helper(self, answer, helper, target):
        """Ask a member to ping the control address `target`."""
        message = self._make("pingRequest", answer.relayed_number)
        message.pingRequest.target = target
        await self._send(helper.control, message)

    async def _receive(self):
        while True:
            try:
                data, source = await self._socket.recvfrom(_DATAGRAM_BYTES)
            except OSError as error:
                log_event("datagram_not_received", level="DEBUG", error=error)
                await trio.sleep(_ERROR_PAUSE)
                continue
            self.metrics.count("control_bytes_received", len(data))
            try:
                await self._handle(self._codec.open(data), source)
            except MessageError as error:
                self.metrics.count("messages_rejected", reason=find_reason(error))

    async def _handle(self, envelope, source):
        kind = envelope.which()
        if kind == "digest":
            self._check_sender(envelope)
            digests = read_digests(envelope)
            if self.on_digest is not None:
                self.on_digest(envelope.sender, digests)
        elif kind in _PROBES:
            await self._handle_probe(kind, envelope, source)
        else:
            raise MessageError(MessageRejection.UNEXPECTED.value)
        self._on_version(envelope.sender, envelope.configVersion)

    async def _handle_probe(self, kind, envelope, source):
        body = getattr(envelope, kind)
        updates = _read_updates(body)
        answer = self._waiting.get(body.number) if kind == "ack" else None
        if answer is None:
            self._check_sender(envelope, updates)
        for member in updates:
            self.learn(member)
        self._reconciler.note_digest(envelope.sender, body.tableDigest)
        if kind == "ping":
            record = self.table.members.get(envelope.sender)
            first = [record] if record is not None and is_doubted(record) else ()
            await self._send_to(source, self._make("ack", body.number, first))
        elif kind == "pingRequest":
            self._start_relay(body.target, body.number, source)
        elif answer is not None:
            answer.record(body.number, body.tableDigest)
        else:
            self.metrics.count("probe_answers_late")

    def _check_sender(self, envelope, updates=()):
        known = self.table.members.get(envelope.sender)
        for member in (known, *updates):
            if member is not None and member.name == envelope.sender:
                if member.incarnation == envelope.incarnation:
                    return
        raise MessageError(MessageRejection.UNKNOWN_SENDER.value)

    def _start_relay(self, target, number, source):
        try:
            locate(target)
        except ValueError as error:
            reason = MessageRejection.MALFORMED.value
            raise MessageError(f"{reason}: {error}") from None
        if self._relays >= _MAX_RELAYS:
            raise MessageError(MessageRejection.OVERLOAD.value)
        self._relays += 1
        self._nursery.start_soon(self._relay_probe, target, number, source)

    async def _relay_probe(self, target, number, source):
        try:
            answer = await self.ping(target)
            if answer.answered:
                await self._send_to(source, self._make("ack", number))
        finally:
            self._relays -= 1

    def _publish_own(self):
        self.spread(self.table.own)
        if self._nursery is not None:
            self._nursery.start_soon(self.announce, _ANNOUNCE_PEERS)

    def _next_number(self):
        self._number = (self._number + 1) & 0xFFFFFFFF
        return self._number

    def _make(self, kind, number, first=()):
        envelope = self._codec.new_envelope(self._get_version())
        body = envelope.init(kind)
        body.number = number
        body.tableDigest = self.table.digest
        news = self._news.take(first)
        updates = body.init("updates", len(news))
        for builder, member in zip(updates, news, strict=True):
            write_member(builder, member)
        return envelope

    async def _send(self, address, envelope):
        await self._send_to(locate(address), envelope)

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


def _read_updates(body):
    if len(body.updates) > _MAX_UPDATES:
        raise MessageError(MessageRejection.TOO_LONG.value)
    try:
        return [read_member(reader) for reader in body.updates]
    except ValueError as error:
        reason = MessageRejection.MALFORMED.value
        raise MessageError(f"{reason}: {error}") from None
