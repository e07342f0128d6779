"""The TCP server for other instances: forwarded requests and missing changes."""

import trio

from kumquatsaddle.configuration.transport import write_changes_reply
from kumquatsaddle.dispatch.peers import read_headers, write_answer
from kumquatsaddle.entry.proxy import make_proxy
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.exchange import Answer, Request
from kumquatsaddle.logs import log_event
from kumquatsaddle.membership.exchange import fill_members, take_hello
from kumquatsaddle.messages.codec import find_reason
from kumquatsaddle.messages.frames import FrameReader, write_frame
from kumquatsaddle.registries import Registry
from kumquatsaddle.types import (
    AccountId,
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
    """

    def __init__(self, node):
        self.node = node
        self.proxy = make_proxy(node)
        self.in_flight = 0
        self.last_request = 0.0
        self._transits = {}

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
        reader = FrameReader(stream)
        link = Link(stream, self.node.codec)
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    data = await reader.read()
                    if data is None:
                        break
                    envelope = self.node.codec.open(data)
                    kind = str(envelope.which())
                    if kind not in control_handlers.names():
                        raise MessageError(MessageRejection.UNEXPECTED.value)
                    handle = control_handlers.get(kind)
                    nursery.start_soon(handle, self, envelope, link)
        except* MessageError as group:
            reason = find_reason(group.exceptions[0])
            self.node.metrics.count("messages_rejected", reason=reason)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            self.node.metrics.count("peer_links_broken")
        finally:
            await trio.aclose_forcefully(stream)


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
    return ControlServer(node)


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
