"""TCP server for messages from other instances, such as forwarded requests."""

import trio

from kumquatsaddle.configuration.transport import write_changes_reply
from kumquatsaddle.dispatch.peers import read_headers, write_answer
from kumquatsaddle.entry.connection_slots import make_connection_slots
from kumquatsaddle.entry.proxy import make_proxy
from kumquatsaddle.entry.tls import make_control_server_context
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.exchange import Answer, Request
from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.exchange import fill_members, handle_hello
from kumquatsaddle.messages.codec import get_rejection_reason
from kumquatsaddle.messages.frames import MAX_FRAME_BYTES, FrameReader, write_frame
from kumquatsaddle.registries import Registry
from kumquatsaddle.types import (
    AccountId,
    LinkRefusal,
    MessageRejection,
    OperationId,
    Rank,
    RefusalReason,
    ServiceName,
)

__all__ = ["ControlServer", "control_handlers", "make_control_server"]

# Handlers of messages from other instances, by the name of the message. A handler is
# called with the server, the envelope and the link, and replies by `Link.send`.
control_handlers = Registry("control message")

# A leaving instance may stop after this time without a forwarded request.
_QUIET_PERIOD_SECONDS = 0.3
_DRAIN_POLL_SECONDS = 0.05
# In a fleet of 520 instances each one opens a link, and old links may stay open.
_MAX_LINKS = 2048
# Limits of links that have not sent a valid message yet: their number, the time to send
# it, and its size. Together such links use less than 1 MiB.
_MAX_UNVERIFIED_LINKS = 64
_FIRST_MESSAGE_TIMEOUT_SECONDS = 5.0
_MAX_FIRST_MESSAGE_BYTES = 4096
# Incarnations whose shortest transit time is kept.
_MAX_TRACKED_SENDERS = 2048


class Link:
    """Connection accepted from another instance.

    Parameters
    ----------
    stream : trio.abc.Stream
    codec : MessageCodec
    """

    def __init__(self, stream, codec):
        self._stream = stream
        self._codec = codec
        self._lock = trio.Lock()

    async def send(self, envelope):
        """Seal a message and write it to the connection."""
        data = self._codec.seal(envelope)
        async with self._lock:
            await write_frame(self._stream, data)


class ControlServer:
    """Answers the messages of other instances.

    Parameters
    ----------
    node : Node
    context : ssl.SSLContext, optional
        Without a context, links use plain TCP.
    slots : ConnectionSlots, optional
        Of the process; default: no bound beside that of the links.
    """

    def __init__(self, node, context=None, slots=None):
        self.node = node
        self.max_links = _MAX_LINKS
        self.proxy = make_proxy(node)
        self.in_flight = 0
        self.last_request_time = 0.0
        self._shortest_transits = {}
        self._tls_context = context
        self._link_count = 0
        self._slots = slots or make_connection_slots(0, ("control",))
        # Cancel scopes of the links without a valid message yet, oldest first.
        self._unverified_links = {}
        for reason in LinkRefusal:
            self._count_refusal(reason, 0)

    def use_tls_context(self, context):
        """Use a TLS context, or None for plain TCP, for new links."""
        self._tls_context = context

    async def run(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Serve other instances at `address` until cancelled."""
        await trio.serve_tcp(
            self._serve_link, address.port, host=address.host, task_status=task_status
        )

    def estimate_delay(self, envelope):
        """Return the transit time of a message beyond the shortest one, in seconds.

        The shortest one is that of the earlier messages of the same incarnation, so the
        offset between the two clocks cancels out. For an instance that was paused, the
        result is the time that requests waited for it to read them.

        Parameters
        ----------
        envelope : Envelope reader
        """
        transit = self.node.clock() - envelope.sentAt
        shortest = self._shortest_transits.pop(envelope.incarnation, transit)
        self._shortest_transits[envelope.incarnation] = min(transit, shortest)
        if len(self._shortest_transits) > _MAX_TRACKED_SENDERS:
            del self._shortest_transits[next(iter(self._shortest_transits))]
        return max(0.0, transit - shortest)

    async def drain(self, grace):
        """Wait until no forwarded request is in flight or has arrived recently.

        Parameters
        ----------
        grace : float
            Maximum duration in seconds.
        """
        with trio.move_on_after(grace):
            while self.in_flight or self._had_recent_request():
                await trio.sleep(_DRAIN_POLL_SECONDS)

    def _had_recent_request(self):
        return trio.current_time() - self.last_request_time < _QUIET_PERIOD_SECONDS

    async def _serve_link(self, stream):
        if self._link_count >= self.max_links:
            self._count_refusal(LinkRefusal.TOO_MANY)
            await trio.aclose_forcefully(stream)
            return
        slot = self._slots.open("control", trio.current_time(), min_age=0.0)
        if slot is None:
            self._count_refusal(LinkRefusal.TOO_MANY)
            await trio.aclose_forcefully(stream)
            return
        self._link_count += 1
        scope = trio.CancelScope()
        slot.close = scope.cancel
        try:
            with scope:
                verified = await self._receive_first_message(stream)
                if verified is not None:
                    self._slots.mark_busy(slot)
                    await self._serve_messages(*verified)
            if scope.cancelled_caught:
                self._count_refusal(LinkRefusal.DISPLACED)
        except* MessageError as group:
            reason = get_rejection_reason(group.exceptions[0])
            self.node.metrics.count("messages_rejected", reason=reason)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            self.node.metrics.count("peer_links_broken")
        finally:
            self._slots.close(slot)
            self._link_count -= 1
            await trio.aclose_forcefully(stream)

    async def _receive_first_message(self, stream):
        """Return stream, reader and first message, or None if the link is refused.

        At the limit, the oldest link without a valid message is closed in favor of the
        new one. Silent connections thus cannot lock out instances, which send their
        first message immediately.
        """
        scope = trio.CancelScope(
            deadline=trio.current_time() + _FIRST_MESSAGE_TIMEOUT_SECONDS
        )
        if len(self._unverified_links) >= _MAX_UNVERIFIED_LINKS:
            oldest = next(iter(self._unverified_links))
            del self._unverified_links[oldest]
            oldest.cancel()
            self._count_refusal(LinkRefusal.DISPLACED)
        self._unverified_links[scope] = None
        try:
            with scope:
                return await self._read_first_message(stream)
            if scope in self._unverified_links:
                self._count_refusal(LinkRefusal.SILENT)
            return None
        finally:
            self._unverified_links.pop(scope, None)

    async def _read_first_message(self, stream):
        if self._tls_context is not None:
            # Frames have a length, so the closing message of TLS is not needed.
            stream = trio.SSLStream(
                stream, self._tls_context, server_side=True, https_compatible=True
            )
            try:
                await stream.do_handshake()
            except trio.BrokenResourceError:
                self._count_refusal(LinkRefusal.TLS_FAILED)
                return None
        reader = FrameReader(stream, _MAX_FIRST_MESSAGE_BYTES)
        data = await reader.read()
        if data is None:
            return None
        envelope = self.node.codec.open(data)
        reader.max_bytes = MAX_FRAME_BYTES
        return stream, reader, envelope

    async def _serve_messages(self, stream, reader, envelope):
        link = Link(stream, self.node.codec)
        async with trio.open_nursery() as nursery:
            while True:
                kind = str(envelope.which())
                if kind not in control_handlers.names():
                    raise MessageError(MessageRejection.UNEXPECTED.value)
                handle = control_handlers.get(kind)
                nursery.start_soon(handle, self, envelope, link)
                data = await reader.read()
                if data is None:
                    break
                envelope = self.node.codec.open(data)

    def _count_refusal(self, reason, amount=1):
        self.node.metrics.count("peer_links_refused", amount, reason=reason.value)


@control_handlers.register("ping")
async def _answer_ping(server, envelope, link):
    reply = server.node.codec.new_envelope(server.node.configuration.version)
    reply.init("ack").number = envelope.ping.number
    await link.send(reply)


@control_handlers.register("forward")
async def _answer_forward(server, envelope, link):
    node = server.node
    forward = envelope.forward
    delay = server.estimate_delay(envelope)
    try:
        if forward.recipient != node.incarnation:
            raise MessageError(MessageRejection.NOT_RECIPIENT.value)
        request = _decode_request(forward, trio.current_time(), delay)
    except MessageError as error:
        # Drops this message only, because other requests share the link.
        node.metrics.count("messages_rejected", reason=get_rejection_reason(error))
        return
    server.in_flight += 1
    server.last_request_time = trio.current_time()
    try:
        answer = await server.proxy.answer_forwarded(request, forward.kind)
    except Exception as error:
        log_event("request_failed", level="ERROR", error=repr(error))
        answer = Answer.unknown(RefusalReason.INTERNAL_ERROR, request.operation)
    finally:
        server.in_flight -= 1
    reply = node.codec.new_envelope(node.configuration.version)
    write_answer(reply, forward.number, answer)
    await link.send(reply)


@control_handlers.register("fetchChanges")
async def _answer_fetch(server, envelope, link):
    node = server.node
    fetch = envelope.fetchChanges
    reply = await node.distribution.answer_fetch(fetch.after, fetch.wantBackends)
    message = node.codec.new_envelope(node.configuration.version)
    write_changes_reply(message, fetch.number, reply)
    await link.send(message)


@control_handlers.register("hello")
async def _answer_hello(server, envelope, link):
    node = server.node
    handle_hello(envelope, node.gossip)
    reply = node.codec.new_envelope(node.configuration.version)
    fill_members(reply, envelope.hello.number, node.table)
    await link.send(reply)


def make_control_server(node):
    """Return the control server of a node."""
    context = make_control_server_context(node.settings)
    return ControlServer(node, context, node.client_limits.slots)


def _decode_request(forward, now, delay):
    if forward.rank > max(Rank):
        raise MessageError(MessageRejection.MALFORMED.value)
    return Request(
        method=forward.method,
        target=forward.target,
        headers=list(read_headers(forward)),
        body=bytes(forward.body),
        account=AccountId(forward.account),
        service=ServiceName(forward.service),
        rank=Rank(forward.rank),
        idempotent=forward.idempotent,
        deadline=now + forward.remainingMs / 1000 - delay,
        operation=OperationId(forward.operation),
        floor=forward.floor,
    )
