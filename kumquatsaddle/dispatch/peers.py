"""Links to other instances over TCP: one connection and one task for each peer.

Requests on a link carry numbers, so that replies may come back in any order.
"""

import trio

from kumquatsaddle.exceptions import KumquatsaddleError, MessageError
from kumquatsaddle.exchange import Answer
from kumquatsaddle.messages.frames import FrameReader, write_frame
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.types import Outcome, RefusalReason

__all__ = ["PeerError", "PeerLinks", "make_links", "read_answer", "write_answer"]

# Times in seconds to connect, and for TLS and the reply to the first message.
_CONNECT_TIMEOUT = 0.5
_INTRODUCTION_TIMEOUT = 2.0
_LINK_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    MessageError,
)
_OUTCOMES = tuple(Outcome)


class PeerError(KumquatsaddleError):
    """A request to another instance failed.

    Parameters
    ----------
    written : bool
        Whether a byte of the request can have reached the instance.
    """

    def __init__(self, written, detail=""):
        self.written = written
        super().__init__(f"peer lost: {detail}")


class _Link:
    """One open connection to a peer."""

    def __init__(self, stream):
        self.stream = stream
        self.reader = FrameReader(stream)
        self.lock = trio.Lock()
        self.waiting = {}
        self.number = 0


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
        self._locks = {}

    async def request(self, address, fill, timeout):
        """Send a message to a peer and return the envelope of its reply.

        Parameters
        ----------
        address : str
            Control address, ``host:port``.
        fill : callable
            Fills the envelope; takes the envelope and the number of the request.
        timeout : float
            In seconds.

        Raises
        ------
        PeerError
            If the peer cannot be reached, goes away or does not reply in time.
        """
        try:
            # Each request that waits for the lock of a link has its own time limit.
            with trio.fail_after(timeout):
                link = await self._open(address)
        except trio.TooSlowError as error:
            raise PeerError(False, error) from None
        link.number += 1
        number, event = link.number, trio.Event()
        envelope = self._codec.new_envelope()
        fill(envelope, number)
        data = self._codec.seal(envelope)
        reply = link.waiting[number] = [event, None]
        try:
            await self._send_and_wait(address, link, data, event, timeout)
        finally:
            link.waiting.pop(number, None)
        if reply[1] is None:
            raise PeerError(True, "no reply")
        return reply[1]

    def use_context(self, context):
        """Use a TLS context, or None for plain TCP, for new links."""
        self._context = context

    async def close(self):
        """Close all links."""
        for address, link in list(self._links.items()):
            await self._drop(address, link)

    async def _send_and_wait(self, address, link, data, event, timeout):
        with trio.move_on_after(timeout):
            try:
                async with link.lock:
                    # A frame is written whole, or the link is given up.
                    with trio.CancelScope(shield=True) as scope:
                        scope.deadline = trio.current_time() + timeout
                        await write_frame(link.stream, data)
                    if scope.cancelled_caught:
                        await self._drop(address, link)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                await self._drop(address, link)
                raise PeerError(True, error) from None
            await event.wait()

    async def _open(self, address):
        lock = self._locks.setdefault(address, trio.Lock())
        async with lock:
            link = self._links.get(address)
            if link is not None:
                return link
            target = parse_address(address)
            try:
                with trio.fail_after(_CONNECT_TIMEOUT):
                    stream = await trio.open_tcp_stream(target.host, target.port)
            except (OSError, trio.TooSlowError) as error:
                raise PeerError(False, error) from None
            link = self._links[address] = await self._introduce(stream)
            self._nursery.start_soon(self._read, address, link)
            return link

    async def _introduce(self, stream):
        """Return the link on a stream once the peer has accepted a first message.

        A server of TLS 1.3 may refuse a certificate after the client has written, and
        a peer closes links that start with a long message. With the reply awaited, a
        refused link counts as one on which no byte of a request was written.
        """
        if self._context is not None:
            # The end of a frame is known without the closing message of TLS.
            stream = trio.SSLStream(stream, self._context, https_compatible=True)
        link = _Link(stream)
        try:
            with trio.fail_after(_INTRODUCTION_TIMEOUT):
                await self._exchange_ping(link)
        except BaseException as error:
            await trio.aclose_forcefully(stream)
            if isinstance(error, _LINK_ERRORS):
                raise PeerError(False, error) from None
            raise
        return link

    async def _exchange_ping(self, link):
        envelope = self._codec.new_envelope()
        envelope.init("ping")
        await write_frame(link.stream, self._codec.seal(envelope))
        data = await link.reader.read()
        if data is None or str(self._codec.open(data).which()) != "ack":
            raise PeerError(False, "first message not accepted")

    async def _read(self, address, link):
        try:
            while True:
                data = await link.reader.read()
                if data is None:
                    break
                envelope = self._codec.open(data)
                body = getattr(envelope, str(envelope.which()))
                entry = link.waiting.pop(body.number, None)
                if entry is not None:
                    entry[1] = envelope
                    entry[0].set()
        except (trio.BrokenResourceError, trio.ClosedResourceError, MessageError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await self._drop(address, link)

    async def _drop(self, address, link):
        if self._links.get(address) is link:
            del self._links[address]
        for event, _ in link.waiting.values():
            event.set()
        link.waiting.clear()
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
        0 to the authority of the request, 1 to a home of its service.
    request : Request
    remaining : float
        Time to the deadline in seconds.
    recipient : IncarnationId
        The incarnation that may run it; a message that was recorded cannot be used
        at another instance, or at this one after a restart.
    """
    body = envelope.init("forward")
    body.recipient = recipient
    body.number = number
    body.kind = kind
    body.method = request.method
    body.target = request.target
    _write_headers(body, request.headers)
    body.body = request.body
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
    body.body = answer.body
    body.reason = answer.reason.value if answer.reason else ""
    body.operation = answer.operation


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
    headers = read_headers(body)
    return Answer(
        outcome, body.status, headers, bytes(body.body), reason, body.operation
    )


def read_headers(body):
    """Return the headers of a message as a tuple of pairs of bytes."""
    return tuple((bytes(item.name), bytes(item.value)) for item in body.headers)


def _write_headers(body, headers):
    builders = body.init("headers", len(headers))
    for builder, (name, value) in zip(builders, headers, strict=True):
        builder.name = bytes(name)
        builder.value = bytes(value)
