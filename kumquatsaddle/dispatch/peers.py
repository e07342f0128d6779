"""Links to other instances over TCP: one connection and one task for each peer.

Requests on a link are numbered, so that replies may arrive in any order.
"""

import trio

from kumquatsaddle.exceptions import KumquatsaddleError, MessageError
from kumquatsaddle.exchange import Answer
from kumquatsaddle.messages.frames import FrameReader, write_frame
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.types import Outcome, RefusalReason

__all__ = ["PeerError", "PeerLinks", "make_links", "read_answer", "write_answer"]

_CONNECT_TIMEOUT_SECONDS = 0.5
# For the TLS handshake and the reply to the first message.
_HANDSHAKE_TIMEOUT_SECONDS = 2.0
_HANDSHAKE_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    MessageError,
)
_OUTCOMES = tuple(Outcome)
_MAX_UINT32 = (1 << 32) - 1


class PeerError(KumquatsaddleError):
    """A request to another instance failed.

    Parameters
    ----------
    written : bool
        Whether a byte of the request can have reached the instance.
    """

    def __init__(self, written, detail=""):
        self.written = written
        super().__init__(f"request to another instance failed: {detail}")


class _Link:
    """One open connection to a peer."""

    def __init__(self, stream):
        self.stream = stream
        self.reader = FrameReader(stream)
        self.write_lock = trio.Lock()
        self.pending = {}
        self.last_number = 0


class PeerLinks:
    """The links of one instance.

    Parameters
    ----------
    codec : MessageCodec
    nursery : trio.Nursery
        Runs the reader task of each link.
    context : ssl.SSLContext, optional
        Without one, links are plain TCP.
    """

    def __init__(self, codec, nursery, context=None):
        self._codec = codec
        self._context = context
        self._nursery = nursery
        self._links = {}
        self._connect_locks = {}

    async def request(self, address, fill_envelope, timeout):
        """Send a message to a peer and return the envelope of its reply.

        Parameters
        ----------
        address : str
            Control address, ``host:port``.
        fill_envelope : callable
            Fills the envelope; takes the envelope and the number of the request.
        timeout : float
            In seconds.

        Raises
        ------
        PeerError
            If the peer cannot be reached, goes away or does not reply in time.
        """
        try:
            # Several requests may wait for one connection attempt, each with its own
            # time limit.
            with trio.fail_after(timeout):
                link = await self._open_link(address)
        except trio.TooSlowError as error:
            raise PeerError(False, error) from None
        link.last_number += 1
        number, event = link.last_number, trio.Event()
        envelope = self._codec.new_envelope()
        fill_envelope(envelope, number)
        data = self._codec.seal(envelope)
        reply = link.pending[number] = [event, None]
        try:
            await self._send_and_wait(address, link, data, event, timeout)
        finally:
            link.pending.pop(number, None)
        if reply[1] is None:
            raise PeerError(True, "no reply before the time-out or the end of the link")
        return reply[1]

    def use_tls_context(self, context):
        """Use a TLS context, or None for plain TCP, for new links."""
        self._context = context

    async def close(self):
        """Close all links."""
        for address, link in list(self._links.items()):
            await self._close_link(address, link)

    async def _send_and_wait(self, address, link, data, event, timeout):
        with trio.move_on_after(timeout):
            try:
                async with link.write_lock:
                    # A frame is written whole, or the link is closed.
                    with trio.CancelScope(shield=True) as scope:
                        scope.deadline = trio.current_time() + timeout
                        await write_frame(link.stream, data)
                    if scope.cancelled_caught:
                        await self._close_link(address, link)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                await self._close_link(address, link)
                raise PeerError(True, error) from None
            await event.wait()

    async def _open_link(self, address):
        lock = self._connect_locks.setdefault(address, trio.Lock())
        async with lock:
            link = self._links.get(address)
            if link is not None:
                return link
            target = parse_address(address)
            try:
                with trio.fail_after(_CONNECT_TIMEOUT_SECONDS):
                    stream = await trio.open_tcp_stream(target.host, target.port)
            except (OSError, trio.TooSlowError) as error:
                raise PeerError(False, error) from None
            link = self._links[address] = await self._handshake(stream)
            self._nursery.start_soon(self._read_replies, address, link)
            return link

    async def _handshake(self, stream):
        """Return the link on a stream once the peer has accepted a first message.

        A server of TLS 1.3 may refuse a certificate after the client has written, and
        a peer closes links that start with a long message. Because the reply is awaited
        first, no byte of a request is written on a link that the peer refuses.
        """
        if self._context is not None:
            # Frames are self-delimiting, so the TLS close_notify message is not needed.
            stream = trio.SSLStream(stream, self._context, https_compatible=True)
        link = _Link(stream)
        try:
            with trio.fail_after(_HANDSHAKE_TIMEOUT_SECONDS):
                await self._exchange_ping(link)
        except BaseException as error:
            await trio.aclose_forcefully(stream)
            if isinstance(error, _HANDSHAKE_ERRORS):
                raise PeerError(False, error) from None
            raise
        return link

    async def _exchange_ping(self, link):
        envelope = self._codec.new_envelope()
        envelope.init("ping")
        await write_frame(link.stream, self._codec.seal(envelope))
        data = await link.reader.read()
        if data is None or str(self._codec.open(data).which()) != "ack":
            raise PeerError(False, "first message was not acknowledged")

    async def _read_replies(self, address, link):
        try:
            while True:
                data = await link.reader.read()
                if data is None:
                    break
                envelope = self._codec.open(data)
                body = getattr(envelope, str(envelope.which()))
                entry = link.pending.pop(body.number, None)
                if entry is not None:
                    entry[1] = envelope
                    entry[0].set()
        except (trio.BrokenResourceError, trio.ClosedResourceError, MessageError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await self._close_link(address, link)

    async def _close_link(self, address, link):
        if self._links.get(address) is link:
            del self._links[address]
        for event, _ in link.pending.values():
            event.set()
        link.pending.clear()
        await trio.aclose_forcefully(link.stream)


def make_links(codec, nursery, context=None):
    """Return links without any connection; see `PeerLinks`."""
    return PeerLinks(codec, nursery, context)


def fill_forward(envelope, number, kind, request, remaining, recipient):
    """Fill a ``forward`` message.

    Parameters
    ----------
    envelope : Envelope builder
    number : int
    kind : int
        0 if sent to the authority of the request, 1 if to a home of its service.
    request : Request
    remaining : float
        Time to the deadline in seconds.
    recipient : IncarnationId
        The only incarnation that may run it, so that a recorded message cannot be
        replayed at another instance, or at the same one after a restart.
    """
    body = envelope.init("forward")
    body.recipient = recipient
    body.number = number
    body.kind = kind
    body.method = request.method
    body.target = request.target
    _write_headers(body, request.headers)
    body.body = bytes(request.body)
    body.account = request.account
    body.service = request.service
    body.rank = int(request.rank)
    body.idempotent = request.idempotent
    body.remainingMs = max(0, int(remaining * 1000))
    body.operation = request.operation
    body.floor = request.floor


def write_answer(envelope, number, answer):
    """Fill a ``forwardReply`` message from an `Answer`."""
    body = envelope.init("forwardReply")
    body.number = number
    body.outcome = _OUTCOMES.index(answer.outcome)
    body.status = answer.status
    _write_headers(body, answer.headers)
    body.body = bytes(answer.body)
    body.reason = answer.reason.value if answer.reason else ""
    body.operation = answer.operation
    if answer.retry_after is not None:
        body.retryAfterMs = min(max(1, round(answer.retry_after * 1000)), _MAX_UINT32)


def read_answer(envelope):
    """Return the `Answer` of a ``forwardReply``.

    Raises
    ------
    MessageError
        If a field is out of range.
    """
    body = envelope.forwardReply
    try:
        reason = RefusalReason(body.reason) if body.reason else None
        outcome = _OUTCOMES[body.outcome]
    except (ValueError, IndexError) as error:
        raise MessageError(f"malformed: {error}") from None
    return Answer(
        outcome,
        body.status,
        read_headers(body),
        bytes(body.body),
        reason,
        body.operation,
        body.retryAfterMs / 1000 or None,
    )


def read_headers(body):
    """Return the headers of a message as a tuple of pairs of bytes."""
    return tuple((bytes(item.name), bytes(item.value)) for item in body.headers)


def _write_headers(body, headers):
    builders = body.init("headers", len(headers))
    for builder, (name, value) in zip(builders, headers, strict=True):
        builder.name = bytes(name)
        builder.value = bytes(value)
