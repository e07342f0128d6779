"""HTTP/1.1 connection of a caller, whose requests are answered in order.

One task reads from the socket and another one answers the requests. Raw heads are
checked by `kumquatsaddle.entry.heads` before h11 parses them.
"""

import math
from enum import Enum

import h11
import trio

from kumquatsaddle.entry.answers import encode_answer
from kumquatsaddle.entry.heads import (
    RequestReadError,
    check_head,
    find_head_end,
    has_operation_header,
    reject_repeated_headers,
)
from kumquatsaddle.entry.streams import CallerStream
from kumquatsaddle.exchange import Answer
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import RefusalReason

__all__ = ["CallerConnection", "CallerRequest"]

# The write timeout applies to each part of an answer of this size.
_MAX_WRITE_BYTES = 65536
# Body chunks that are parsed before other tasks may run. The read-ahead buffer can hold
# 10,000 chunks of one byte, which h11 takes 100 ms to parse.
_EVENTS_BEFORE_YIELD = 64
# Maximum time for a caller to close its side after the last answer.
_LINGER_SECONDS = 2.0


class CallerRequest:
    """A complete request as read from a caller."""

    __slots__ = ("method", "target", "headers", "body")

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get_header(self, name):
        """Return the value of a header as text, or "" if the header is missing.

        Parameters
        ----------
        name : bytes
            In lower case.

        Raises
        ------
        ValueError
            If the header is given more than once or is not ASCII.
        """
        values = [value for key, value in self.headers if key == name]
        if len(values) > 1:
            raise ValueError(f"{name.decode()} header is given more than once")
        return values[0].decode("ascii") if values else ""


class _Phase(Enum):
    """State of a connection; determines what the cancellation of its scope means."""

    IDLE = "idle"
    READING = "reading"
    RUNNING = "running"
    WRITING = "writing"


class CallerConnection:
    """A connection from a caller.

    Parameters
    ----------
    server : CallerServer
    stream : trio.abc.Stream
    """

    def __init__(self, server, stream):
        self._server = server
        self._metrics = server.node.metrics
        self._settings = server.node.settings
        self._input = CallerStream(stream)
        self._stream = stream
        self._parser = None
        self._phase = _Phase.READING
        self._phase_scope = trio.CancelScope()
        self._raw_head = b""
        self._body_bytes = 0

    async def run(self):
        """Answer the requests of the connection in order."""
        try:
            await self._do_handshake()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._input.run)
                await self._answer_requests()
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
            self._release_body_memory()

    def close_if_idle(self):
        """End the connection if no byte of a request has arrived."""
        if self._phase is _Phase.IDLE and self._input.is_idle():
            self._phase_scope.cancel()

    async def _do_handshake(self):
        if isinstance(self._stream, trio.SSLStream):
            with trio.fail_after(self._settings.get("limits", "head_timeout")):
                await self._stream.do_handshake()

    async def _answer_requests(self):
        connection_ends = False
        while not connection_ends:
            refusal = None
            # Moving the deadline of one scope costs less than a scope for each phase.
            with trio.CancelScope() as self._phase_scope:
                refusal = await self._serve_requests()
                connection_ends = True
            if self._phase_scope.cancelled_caught:
                connection_ends, refusal = await self._handle_cancelled_phase()
            if refusal is not None:
                await self._send_refusal(refusal)

    async def _handle_cancelled_phase(self):
        """Decide how the connection continues after its phase was cancelled.

        Returns
        -------
        connection_ends : bool
        refusal : RefusalReason or None
            Reason to send to the caller.
        """
        if self._phase is _Phase.IDLE:
            # No other task runs between this check and the close: a byte that arrived
            # before starts a request, and a later one meets a closed connection.
            if self._input.is_idle():
                await trio.aclose_forcefully(self._stream)
            return self._input.ended, None
        if self._phase is _Phase.READING:
            return True, RefusalReason.REQUEST_TIMEOUT
        if self._input.ended:
            self._metrics.count_refusal(RefusalReason.CALLER_GONE)
            return True, None
        # The caller did not read the answer within the write timeout.
        raise trio.TooSlowError

    async def _send_refusal(self, reason):
        self._metrics.count_refusal(reason)
        with trio.CancelScope() as self._phase_scope:
            # An earlier request with the same operation id or key may have run, so
            # the answer to one of these must not be NOT_RUN.
            refuse = (
                Answer.unknown
                if has_operation_header(self._raw_head)
                else Answer.from_reason
            )
            await self._write(encode_answer(refuse(reason), close=True))
        if self._phase_scope.cancelled_caught:
            raise trio.TooSlowError
        await self._input.linger(_LINGER_SECONDS)

    async def _serve_requests(self):
        """Answer requests until the connection ends.

        Returns
        -------
        RefusalReason or None
            Why the last request is refused.
        """
        while await self._wait_for_request():
            try:
                request = await self._read_request()
            except RequestReadError as error:
                return error.reason
            if self._input.ended:
                return RefusalReason.CALLER_GONE
            answer = await self._run_request(request)
            # After HTTP/1.0 or Connection: close, h11 is in another state than DONE.
            close = self._server.leaving or self._parser.their_state is not h11.DONE
            await self._write(encode_answer(answer, close, request.method == "HEAD"))
            self._release_body_memory()
            if close:
                self._phase_scope.deadline = math.inf
                await self._input.linger(_LINGER_SECONDS)
                break
            self._restore_trailing_data()
        return None

    def _enter_phase(self, phase, timeout):
        self._phase = phase
        self._phase_scope.deadline = trio.current_time() + timeout

    async def _wait_for_request(self):
        """Wait for a first byte; return False if the connection ends without one."""
        if not self._input.buffer:
            self._enter_phase(_Phase.IDLE, self._settings.get("limits", "idle_timeout"))
            await self._input.wait_for_data()
            # A timeout at this moment must not count as a timeout of the request.
            await trio.lowlevel.checkpoint_if_cancelled()
        return bool(self._input.buffer)

    async def _run_request(self, request):
        """Return the answer to a request.

        The request is cancelled when its caller disconnects. The ledger shields
        operations that must not be interrupted.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        self._phase = _Phase.RUNNING
        self._phase_scope.deadline = math.inf
        self._input.scope_to_cancel = self._phase_scope
        answer = await self._server.proxy.answer(request)
        self._input.scope_to_cancel = None
        return answer

    async def _read_request(self):
        head, length = await self._read_head()
        self._parser = h11.Connection(h11.SERVER)
        self._parser.receive_data(head)
        try:
            event = self._parser.next_event()
            reject_repeated_headers(event.headers)
            body = await self._read_body(length) if length != 0 else b""
            if length == 0:
                self._parser.next_event()
        except h11.RemoteProtocolError:
            raise RequestReadError(RefusalReason.BAD_REQUEST) from None
        return CallerRequest(
            event.method.decode("ascii"),
            event.target.decode("ascii"),
            list(event.headers),
            body,
        )

    async def _read_head(self):
        settings = self._settings
        max_head_bytes = settings.get("limits", "header_bytes")
        self._enter_phase(_Phase.READING, settings.get("limits", "head_timeout"))
        while not (size := find_head_end(self._input.buffer, max_head_bytes)):
            self._raw_head = bytes(self._input.buffer[:max_head_bytes])
            if self._input.ended:
                raise RequestReadError(RefusalReason.CALLER_GONE)
            await self._input.wait_for_data()
        head = self._raw_head = self._input.take(size)
        return head, check_head(head, settings.get("limits", "body_bytes"))

    async def _read_body(self, length):
        settings = self._settings
        timeout = settings.get("limits", "body_timeout")
        rate = settings.get("limits", "minimum_rate")
        max_body_bytes = settings.get("limits", "body_bytes")
        await self._send_continue()
        self._enter_phase(_Phase.READING, timeout)
        body, events, started = bytearray(), 0, trio.current_time()
        while True:
            event = await self._read_body_event(length, len(body))
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            # For a body in small chunks, a list of parts would take 40 times its size.
            body += event.data
            if len(body) > max_body_bytes:
                raise RequestReadError(RefusalReason.BODY_TOO_LARGE)
            self._reserve_body_memory(len(event.data))
            self._phase_scope.deadline = started + timeout + len(body) / rate
            events += 1
            if events % _EVENTS_BEFORE_YIELD == 0:
                await trio.lowlevel.checkpoint()

    async def _send_continue(self):
        if self._parser.they_are_waiting_for_100_continue:
            interim_response = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._parser.send(interim_response))

    async def _read_body_event(self, length, size):
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            while not self._input.buffer:
                if self._input.ended:
                    raise RequestReadError(RefusalReason.CALLER_GONE)
                await self._input.wait_for_data()
            count = None if length is None else length - size
            self._parser.receive_data(self._input.take(count))
        return event

    def _restore_trailing_data(self):
        # Bytes that h11 received after a chunked body belong to the next request. They
        # go back to the buffer because the head of that request must be checked first.
        data, _ = self._parser.trailing_data
        if data:
            self._input.buffer[:0] = data

    def _reserve_body_memory(self, size):
        self._body_bytes += size
        self._server.pending_bytes += size
        self._update_pending_gauge()
        if self._server.pending_bytes > self._settings.get("limits", "pending_bytes"):
            raise RequestReadError(RefusalReason.BODIES_TOO_LARGE)

    def _release_body_memory(self):
        if self._body_bytes:
            self._server.pending_bytes -= self._body_bytes
            self._body_bytes = 0
            self._update_pending_gauge()

    def _update_pending_gauge(self):
        pending = self._server.pending_bytes
        self._metrics.set_gauge("caller_pending_bytes", pending)

    async def _write(self, data):
        timeout = self._settings.get("limits", "write_timeout")
        for start in range(0, len(data), _MAX_WRITE_BYTES):
            self._enter_phase(_Phase.WRITING, timeout)
            await self._stream.send_all(data[start : start + _MAX_WRITE_BYTES])
