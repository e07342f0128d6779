"""HTTP/1.1 connection of a caller, whose requests are answered in order.

One task receives bytes, one reads requests, and each request that was started has a
task of its own. A caller may send further requests before the first one is answered
(pipelining): idempotent ones run at the same time, and their answers are sent in the
order of the requests (RFC 9112, section 9.3.2).

An answer with ``Connection: close`` is the last one on its connection. It is always the
answer to the newest request that was started, so that every request that was started
gets an answer, and none that was received behind it is ever started.
"""

from collections import deque

import trio

from kumquatsaddle.dispatch.bodies import hand_over_body
from kumquatsaddle.entry.answers import encode_answer_parts
from kumquatsaddle.entry.heads import RequestReadError, has_operation_header
from kumquatsaddle.entry.memory_budget import CONNECTION_BYTES, TLS_CONNECTION_BYTES
from kumquatsaddle.entry.pending_requests import PendingRequest
from kumquatsaddle.entry.request_reader import (
    CallerRequest,
    ReadPhase,
    RequestReader,
)
from kumquatsaddle.entry.streams import (
    BOUNDED_READ_AHEAD_BYTES,
    READ_AHEAD_BYTES,
    CallerStream,
    get_peer_host,
)
from kumquatsaddle.exchange import Answer
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import ClientClosure, RefusalReason

__all__ = ["CallerConnection", "CallerRequest"]

# The write timeout applies to each part of an answer of this size.
_MAX_WRITE_BYTES = 65536
# Start of a body that is copied to be written with its head in one segment.
_MAX_JOINED_BYTES = 16384
# Maximum time for a caller to close its side after the last answer.
_LINGER_SECONDS = 2.0
# Requests of one connection that run or wait for their turn to be answered.
_MAX_PIPELINED_REQUESTS = 8
# Bytes of a body after which a connection no longer counts as waiting.
_PROGRESS_BYTES = 4096
# Stalled connections give their memory back within this time when others need it.
_RETRY_AFTER_SECONDS = {RefusalReason.MEMORY_LIMIT: 0.5}
# Interval and number of attempts to reserve memory while stalled connections close.
_ROOM_POLL_SECONDS = 0.005
_MAX_ROOM_POLLS = 40
# Bodies of answers that wait for earlier ones, above which no request is started.
_MAX_WAITING_ANSWER_BYTES = 1 << 20


class CallerConnection:
    """A connection from a caller.

    Parameters
    ----------
    server : CallerServer
    stream : trio.abc.Stream
    slot : object
        Place of the connection in the table of the process.
    """

    def __init__(self, server, stream, slot):
        self._server = server
        self._limits = server.limits
        is_tls = isinstance(stream, trio.SSLStream)
        self._share = self._limits.memory.open_share(
            get_peer_host(stream),
            self._close_for_memory,
            TLS_CONNECTION_BYTES if is_tls else CONNECTION_BYTES,
            trio.current_time(),
        )
        self._slot = slot
        self._scope = trio.CancelScope()
        self._writing = False
        self._closed_for_memory = False
        self._metrics = server.node.metrics
        self._settings = server.node.settings
        is_bounded = self._limits.memory.is_bounded()
        read_ahead = BOUNDED_READ_AHEAD_BYTES if is_bounded else READ_AHEAD_BYTES
        self._input = CallerStream(stream, read_ahead, self._share)
        self._stream = stream
        self._reader = RequestReader(self._input, self._settings, self)
        self._pending = deque()
        self._request_finished = trio.Event()
        # Body and head memory reserved for the request that is read.
        self._unstarted_bytes = self._unstarted_head_bytes = 0
        self._waiting_answer_bytes = 0
        # Whether an answer with Connection: close was chosen.
        self._closing = False
        # Whether an answer is missing, so that no later one may be sent.
        self._aborted = False

    async def run(self):
        """Answer the requests of the connection in order."""
        try:
            with self._scope:
                await self._do_handshake()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._input.run)
                    await self._serve_requests()
                    nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            self._metrics.count("caller_connections_broken")
        except* trio.TooSlowError:
            self._metrics.count("caller_timeouts")
        except* Exception as group:
            # An error on one connection must not stop the instance.
            error = group.exceptions[0]
            self._metrics.count("caller_connections_failed")
            log_event("caller_connection_failed", level="ERROR", error=repr(error))
        finally:
            self._release_unstarted()
            self._share.end()

    def close_if_idle(self):
        """End the connection if no byte of a request has arrived."""
        if not self._pending and self._reader.is_idle():
            self._reader.scope.cancel()

    def has_pending(self):
        """Return whether a request was started whose answer is not sent yet."""
        return bool(self._pending)

    async def reserve_body_memory(self, size):
        """Count `size` bytes of the body of the request that is read.

        Raises
        ------
        RequestReadError
            If the bodies of all connections exceed their limit.
        """
        await self._reserve(size)
        self._unstarted_bytes += size
        if size >= _PROGRESS_BYTES:
            self._mark_waiting()
        self._server.pending_bytes += size
        self._update_pending_gauge()
        if self._server.pending_bytes > self._settings.get("limits", "pending_bytes"):
            raise RequestReadError(RefusalReason.BODIES_TOO_LARGE)

    async def reserve_memory(self, size):
        """Count the memory of the head of the request that is read.

        Raises
        ------
        RequestReadError
            If there is no memory for it.
        """
        await self._reserve(size)
        self._unstarted_head_bytes += size
        self._mark_waiting()

    def needs_no_body(self, request):
        """Return whether a request is answered without its body.

        It is if the server ignores bodies, or if its proxy refuses the head.
        """
        if self._server.ignores_body:
            return True
        answer_head = getattr(self._server.proxy, "answer_head", None)
        if answer_head is not None:
            request.answer = answer_head(request)
        return request.answer is not None

    def begin_reading(self):
        """Record that the caller has to send."""
        self._share.begin(trio.current_time())

    def end_reading(self):
        """Record that the caller has nothing to send."""
        if not self._writing:
            self._share.suspend()

    async def wait_for_parse_turn(self):
        """Wait until no other connection has parsed much in this round of the loop."""
        async with self._limits.parse_turn:
            await trio.lowlevel.checkpoint()

    def close_for_descriptors(self):
        """End the connection, because another one needs its descriptor."""
        share = self._share
        self._limits.log_closure(ClientClosure.DESCRIPTORS, share.peer, share.held)
        self._scope.cancel()

    async def send_interim_response(self, data):
        """Send an interim response (1xx) once all earlier requests are answered."""
        while self._pending:
            await self._wait_for_finished_request()
        await self._write(data)

    def _close_for_memory(self):
        share = self._share
        self._limits.log_closure(ClientClosure.MEMORY, share.peer, share.held)
        if self._reader.phase is ReadPhase.READING and not self._pending:
            self._closed_for_memory = True
            self._reader.scope.cancel()
        else:
            self._scope.cancel()

    async def _reserve(self, size):
        for _ in range(_MAX_ROOM_POLLS):
            if self._share.try_charge(size, trio.current_time()):
                return
            if not self._limits.memory.is_making_room():
                break
            await trio.sleep(_ROOM_POLL_SECONDS)
        raise RequestReadError(RefusalReason.MEMORY_LIMIT)

    def _mark_waiting(self):
        self._limits.slots.mark_waiting(self._slot, trio.current_time())

    async def _do_handshake(self):
        if isinstance(self._stream, trio.SSLStream):
            self._share.begin(trio.current_time())
            with trio.fail_after(self._settings.get("limits", "head_timeout")):
                await self._stream.do_handshake()

    async def _serve_requests(self):
        """Read, run and answer requests until the connection ends."""
        self._input.on_end = self._cancel_requests
        async with trio.open_nursery() as nursery:
            refusal = await self._read_requests(nursery)
        if self._closing:
            await self._input.linger(_LINGER_SECONDS)
        elif refusal is not None and not self._aborted:
            await self._send_refusal(refusal)

    async def _read_requests(self, nursery):
        """Start requests until the connection ends.

        Returns
        -------
        RefusalReason or None
            Why the request after the last one that was started is refused.
        """
        while True:
            with trio.CancelScope() as self._reader.scope:
                return await self._start_requests(nursery)
            if self._closing:
                return None
            if self._closed_for_memory:
                return RefusalReason.MEMORY_LIMIT
            if self._reader.phase is not ReadPhase.IDLE:
                return RefusalReason.REQUEST_TIMEOUT
            # No other task runs between this check and the close: a byte that arrived
            # before starts a request, and a later one meets a closed connection.
            if not self._pending and self._input.is_idle():
                await trio.aclose_forcefully(self._stream)
                return None

    async def _start_requests(self, nursery):
        while await self._reader.wait_for_request():
            try:
                request = await self._reader.read_request()
            except RequestReadError as error:
                return error.reason
            await self._wait_for_turn(request)
            if self._closing:
                return None
            if self._input.ended:
                return RefusalReason.CALLER_GONE
            previous = self._pending[-1] if self._pending else None
            pending = PendingRequest(
                request, previous, self._unstarted_bytes, self._unstarted_head_bytes
            )
            self._unstarted_bytes = self._unstarted_head_bytes = 0
            self._pending.append(pending)
            self._limits.slots.mark_busy(self._slot)
            nursery.start_soon(self._answer_request, pending)
            if request.ends_connection:
                break
        return None

    async def _wait_for_turn(self, request):
        """Wait until a request may run beside the pending ones."""
        self._reader.pause()
        while self._pending and not self._may_overlap(request):
            await self._wait_for_finished_request()

    def _may_overlap(self, request):
        if self._server.leaving or len(self._pending) >= _MAX_PIPELINED_REQUESTS:
            return False
        if self._waiting_answer_bytes > _MAX_WAITING_ANSWER_BYTES:
            return False
        if not self._share.allows_pipelining():
            return False
        allows_overlap = self._server.proxy.allows_overlap
        return allows_overlap(request) and allows_overlap(self._pending[-1].request)

    async def _wait_for_finished_request(self):
        self._request_finished = trio.Event()
        await self._request_finished.wait()

    def _cancel_requests(self):
        """Cancel the requests that run, because the caller has gone.

        The ledger shields operations that must not be interrupted.
        """
        for pending in self._pending:
            pending.scope.cancel()

    async def _answer_request(self, pending):
        answer_bytes = charged_bytes = 0
        try:
            with pending.scope:
                pending.answer = pending.request.answer
                if pending.answer is None:
                    pending.answer = await self._server.proxy.answer(pending.request)
            if pending.answer is None:
                self._metrics.count_refusal(RefusalReason.CALLER_GONE)
                self._aborted = True
                return
            charged_bytes = len(pending.answer.body)
            hand_over_body(pending.answer.body)
            self._share.charge(charged_bytes, trio.current_time())
            if pending.previous is not None:
                answer_bytes = len(pending.answer.body)
                self._waiting_answer_bytes += answer_bytes
                await pending.previous.finished.wait()
                pending.previous = None
            if not self._aborted:
                await self._send_answer(pending)
        finally:
            self._waiting_answer_bytes -= answer_bytes
            self._share.release(charged_bytes)
            self._finish_request(pending)

    async def _send_answer(self, pending):
        is_newest = pending is self._pending[-1]
        ends = self._server.leaving or pending.request.ends_connection
        self._closing = is_newest and ends
        if self._closing:
            self._reader.scope.cancel()
        is_head = pending.request.method == "HEAD"
        await self._write(*encode_answer_parts(pending.answer, self._closing, is_head))

    def _finish_request(self, pending):
        self._pending.remove(pending)
        self._release_body_memory(pending.body_bytes)
        self._share.release(pending.head_bytes)
        pending.finished.set()
        self._request_finished.set()
        if not self._pending:
            self._reader.restart_idle_timeout()
            self._mark_waiting()

    async def _send_refusal(self, reason):
        self._metrics.count_refusal(reason)
        self._release_unstarted()
        # An earlier request with the same operation id or key may have run, so the
        # answer to one of these must not be NOT_RUN.
        if has_operation_header(self._reader.raw_head):
            answer = Answer.unknown(reason)
        else:
            retry_after = _RETRY_AFTER_SECONDS.get(reason)
            answer = Answer.from_reason(reason, retry_after=retry_after)
        await self._write(*encode_answer_parts(answer, close=True))
        await self._input.linger(_LINGER_SECONDS)

    def _release_unstarted(self):
        """Return the memory of a request that will not be started."""
        self._release_body_memory(self._unstarted_bytes)
        self._share.release(self._unstarted_head_bytes)
        self._unstarted_bytes = self._unstarted_head_bytes = 0

    def _release_body_memory(self, size):
        if size:
            self._share.release(size)
            self._server.pending_bytes -= size
            self._update_pending_gauge()

    def _update_pending_gauge(self):
        pending = self._server.pending_bytes
        self._metrics.set_gauge("caller_pending_bytes", pending)

    async def _write(self, head, body=b""):
        # One write for the head and the start of the body; the rest is not copied.
        first = min(len(body), _MAX_JOINED_BYTES)
        self._writing = True
        self._share.begin(trio.current_time())
        await self._write_part(head + body[:first])
        view = memoryview(body)
        for start in range(first, len(body), _MAX_WRITE_BYTES):
            await self._write_part(view[start : start + _MAX_WRITE_BYTES])
        self._writing = False
        if self._reader.phase is not ReadPhase.READING:
            self._share.suspend()

    async def _write_part(self, data):
        with trio.fail_after(self._settings.get("limits", "write_timeout")):
            await self._stream.send_all(data)
        self._share.record_progress(len(data), trio.current_time())
