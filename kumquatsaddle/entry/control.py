"""The TCP server for other instances: forwarded requests and missing changes."""

import trio

from kumquatsaddle.configuration.transport import write_changes_reply
from kumquatsaddle.dispatch.peers import read_headers, write_answer
from kumquatsaddle.entry.proxy import make_proxy
from kumquatsaddle.entry.tls import make_control_server_context
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.exchange import Answer, Request
from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.exchange import fill_members, take_hello
from kumquatsaddle.messages.codec import find_reason
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

# Handlers of the messages of other instances, by the name of the message. A handler
# takes the server, the envelope and the link, and sends its reply by `Link.send`.
control_handlers = Registry("control message")

# Time in seconds without a forwarded request after which a leaving instance may go.
_QUIET_TIME = 0.3
_DRAIN_POLL = 0.05
# Accepted connections; at 520 instances each opens one, and old ones may linger.
_MAX_LINKS = 2048
# Connections that have not sent a valid message yet, the time in seconds until they
# must have, and the longest first message in bytes. Together they hold under 1 MiB.
_MAX_STRANGERS = 64
_INTRODUCTION_TIMEOUT = 5.0
_MAX_FIRST_BYTES = 4096
# Incarnations whose shortest transit time is remembered.
_MAX_SENDERS = 2048


class Link:
    """An accepted connection of another instance.

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
        """Seal and write a message."""
        data = self._codec.seal(envelope)
        async with self._lock:
            await write_frame(self._stream, data)


class ControlServer:
    """Answers the messages of other instances.

    Parameters
    ----------
    node : Node
    context : ssl.SSLContext, optional
        Without one, links are plain TCP.
    """

    def __init__(self, node, context=None):
        self.node = node
        self.max_links = _MAX_LINKS
        self.proxy = make_proxy(node)
        self.in_flight = 0
        self.last_request = 0.0
        self._transits = {}
        self._context = context
        self._links = 0
        # Scopes of connections without a valid message, oldest first.
        self._strangers = {}
        for reason in LinkRefusal:
            self._count_refusal(reason, 0)

    def use_context(self, context):
        """Use a TLS context, or None for plain TCP, for new links."""
        self._context = context

    async def run(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Serve other instances at `address` until cancelled."""
        await trio.serve_tcp(
            self._serve_link, address.port, host=address.host, task_status=task_status
        )

    def measure_delay(self, envelope):
        """Return how long a message was under way beyond the shortest one, in seconds.

        The difference of the clocks of the two instances cancels out. A paused
        instance finds the requests that waited for it this much older than it would
        think.

        Parameters
        ----------
        envelope : Envelope reader
        """
        transit = self.node.clock() - envelope.sentAt
        shortest = self._transits.pop(envelope.incarnation, transit)
        self._transits[envelope.incarnation] = min(transit, shortest)
        if len(self._transits) > _MAX_SENDERS:
            del self._transits[next(iter(self._transits))]
        return max(0.0, transit - shortest)

    async def drain(self, grace):
        """Wait until no forwarded request is in flight or lately came.

        Parameters
        ----------
        grace : float
            Longest time in seconds.
        """
        with trio.move_on_after(grace):
            while self.in_flight or self._is_busy():
                await trio.sleep(_DRAIN_POLL)

    def _is_busy(self):
        return trio.current_time() - self.last_request < _QUIET_TIME

    async def _serve_link(self, stream):
        if self._links >= self.max_links:
            self._count_refusal(LinkRefusal.TOO_MANY)
            await trio.aclose_forcefully(stream)
            return
        self._links += 1
        try:
            first = await self._admit(stream)
            if first is not None:
                await self._serve_messages(*first)
        except* MessageError as group:
            reason = find_reason(group.exceptions[0])
            self.node.metrics.count("messages_rejected", reason=reason)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            self.node.metrics.count("peer_links_broken")
        finally:
            self._links -= 1
            await trio.aclose_forcefully(stream)

    async def _admit(self, stream):
        """Return stream, reader and first message, or None if the link is refused.

        The oldest connection without a valid message gives way to a new one, so that
        silent connections cannot keep instances out, which send theirs at once.
        """
        scope = trio.CancelScope(deadline=trio.current_time() + _INTRODUCTION_TIMEOUT)
        if len(self._strangers) >= _MAX_STRANGERS:
            oldest = next(iter(self._strangers))
            del self._strangers[oldest]
            oldest.cancel()
            self._count_refusal(LinkRefusal.DISPLACED)
        self._strangers[scope] = None
        try:
            with scope:
                return await self._read_first(stream)
            if scope in self._strangers:
                self._count_refusal(LinkRefusal.SILENT)
            return None
        finally:
            self._strangers.pop(scope, None)

    async def _read_first(self, stream):
        if self._context is not None:
            # The end of a frame is known without the closing message of TLS.
            stream = trio.SSLStream(
                stream, self._context, server_side=True, https_compatible=True
            )
            try:
                await stream.do_handshake()
            except trio.BrokenResourceError:
                self._count_refusal(LinkRefusal.TLS_FAILED)
                return None
        reader = FrameReader(stream, _MAX_FIRST_BYTES)
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
    body = envelope.forward
    delay = server.measure_delay(envelope)
    try:
        if body.recipient != node.incarnation:
            raise MessageError(MessageRejection.NOT_RECIPIENT.value)
        request = _read_request(body, trio.current_time(), delay)
    except MessageError as error:
        # Only this message is dropped; other requests use the link too.
        node.metrics.count("messages_rejected", reason=find_reason(error))
        return
    server.in_flight += 1
    server.last_request = trio.current_time()
    try:
        answer = await server.proxy.answer_forwarded(request, body.kind)
    except Exception as error:
        log_event("request_failed", level="ERROR", error=repr(error))
        answer = Answer.unknown(RefusalReason.INTERNAL_ERROR, request.operation)
    finally:
        server.in_flight -= 1
    reply = node.codec.new_envelope(node.configuration.version)
    write_answer(reply, body.number, answer)
    await link.send(reply)


@control_handlers.register("fetchChanges")
async def _answer_fetch(server, envelope, link):
    node = server.node
    body = envelope.fetchChanges
    reply = await node.distribution.answer_fetch(body.after, body.wantBackends)
    message = node.codec.new_envelope(node.configuration.version)
    write_changes_reply(message, body.number, reply)
    await link.send(message)


@control_handlers.register("hello")
async def _answer_hello(server, envelope, link):
    node = server.node
    take_hello(envelope, node.gossip)
    reply = node.codec.new_envelope(node.configuration.version)
    fill_members(reply, envelope.hello.number, node.table)
    await link.send(reply)


def make_control_server(node):
    """Return the server for the peers of a node."""
    return ControlServer(node, make_control_server_context(node.settings))


def _read_request(body, now, delay):
    if body.rank > max(Rank):
        raise MessageError(MessageRejection.MALFORMED.value)
    return Request(
        method=body.method,
        target=body.target,
        headers=list(read_headers(body)),
        body=bytes(body.body),
        account=AccountId(body.account),
        service=ServiceName(body.service),
        rank=Rank(body.rank),
        idempotent=body.idempotent,
        deadline=now + body.remainingMs / 1000 - delay,
        operation=OperationId(body.operation),
        floor=body.floor,
    )
