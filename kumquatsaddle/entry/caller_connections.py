"""One connection of a caller: its requests are read, answered and refused in order.

A task reads and another answers. Raw heads are checked by
`kumquatsaddle.entry.heads` before h11 parses them.
"""

import math
from enum import Enum

import h11
import trio

from kumquatsaddle.entry.answers import encode_answer
from kumquatsaddle.entry.heads import (
    HeadError,
    check_head,
    check_headers,
    find_head,
    names_operation,
)
from kumquatsaddle.entry.streams import CallerStream
from kumquatsaddle.exchange import Answer
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import RefusalReason

__all__ = ["CallerConnection", "CallerRequest"]

# Bytes of an answer that a caller must take within the write timeout.
_WRITE_BYTES = 65536
# Chunks of a body that are parsed before other tasks run; the read-ahead may hold
# 10,000 chunks of one byte, which take h11 100 ms.
_MOST_EVENTS = 64
# Longest time in seconds for a caller to close its side after the last answer.
_LINGER = 2.0


class CallerRequest:
    """A whole request as read from a caller."""

    __slots__ = ("method", "target", "headers", "body")

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get_header(self, name):
        """Return the only value of a header (lower case, bytes) as text, or "".

        Raises
        ------
        ValueError
            If the header is given more than once or is not ASCII.
        """
        values = [value for key, value in self.headers if key == name]
        if len(values) > 1:
            raise ValueError(f"{name.decode()} is given more than once")
        return values[0].decode("ascii") if values else ""


class _Phase(Enum):
    """What a connection does; tells what a cancelled scope means."""

    IDLE = "idle"
    READING = "reading"
    RUNNING = "running"
    WRITING = "writing"


class CallerConnection:
    """One connection of a caller.

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
        self._scope = trio.CancelScope()
        self._head = b""
        self._held = 0

    async def run(self):
        """Answer the requests of the connection in order."""
        try:
            await self._shake_hands()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._input.run)
                await self._answer_requests()
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            self._metrics.count("caller_connections_broken")
        except* trio.TooSlowError:
            self._metrics.count("caller_timeouts")
        except* Exception as group:
            # A fault in the answer to one caller must not end the instance.
            error = group.exceptions[0]
            self._metrics.count("caller_connections_failed")
            log_event("caller_connection_failed", level="ERROR", error=repr(error))
        finally:
            self._release()

    def close_if_idle(self):
        """End the connection if no byte of a request has arrived."""
        if self._phase is _Phase.IDLE and self._input.is_quiet():
            self._scope.cancel()

    async def _shake_hands(self):
        if isinstance(self._stream, trio.SSLStream):
            with trio.fail_after(self._settings.get("limits", "head_timeout")):
                await self._stream.do_handshake()

    async def _answer_requests(self):
        ends = False
        while not ends:
            refusal = None
            # One scope whose deadline moves costs less than one for each phase.
            with trio.CancelScope() as self._scope:
                refusal = await self._serve()
                ends = True
            if self._scope.cancelled_caught:
                ends, refusal = await self._end_phase()
            if refusal is not None:
                await self._refuse(refusal)

    async def _end_phase(self):
        """Return whether the connection ends after a cancelled phase, and a refusal."""
        if self._phase is _Phase.IDLE:
            # No other task runs between the look and the close, so a byte that has
            # arrived begins a request, and any later one finds it closed.
            if self._input.is_quiet():
                await trio.aclose_forcefully(self._stream)
            return self._input.ended, None
        if self._phase is _Phase.READING:
            return True, RefusalReason.REQUEST_TIMEOUT
        if self._input.ended:
            self._metrics.count_refusal(RefusalReason.CALLER_GONE)
            return True, None
        raise trio.TooSlowError

    async def _refuse(self, reason):
        self._metrics.count_refusal(reason)
        with trio.CancelScope() as self._scope:
            # An operation id or key that is named here may have run by an earlier
            # request, so NOT_RUN must not be said of it.
            refuse = Answer.unknown if names_operation(self._head) else Answer.refuse
            await self._write(encode_answer(refuse(reason), close=True))
        if self._scope.cancelled_caught:
            raise trio.TooSlowError
        await self._input.linger(_LINGER)

    async def _serve(self):
        """Answer requests until the connection ends; return why one is refused."""
        while await self._wait_for_request():
            try:
                request = await self._read_request()
            except HeadError as error:
                return error.reason
            if self._input.ended:
                return RefusalReason.CALLER_GONE
            answer = await self._run(request)
            # h11 has read HTTP/1.0 and Connection: close as the wish to end.
            close = self._server.leaving or self._parser.their_state is not h11.DONE
            await self._write(encode_answer(answer, close, request.method == "HEAD"))
            self._release()
            if close:
                self._scope.deadline = math.inf
                await self._input.linger(_LINGER)
                break
            self._put_back()
        return None

    def _enter(self, phase, timeout):
        self._phase = phase
        self._scope.deadline = trio.current_time() + timeout

    async def _wait_for_request(self):
        """Return whether a request begins, False at the end of the connection."""
        if not self._input.buffer:
            self._enter(_Phase.IDLE, self._settings.get("limits", "idle_timeout"))
            await self._input.wait()
            # A time-out in this moment must not pass as one of the request.
            await trio.lowlevel.checkpoint_if_cancelled()
        return bool(self._input.buffer)

    async def _run(self, request):
        """Return the answer to a request.

        The request is cancelled when its caller goes away; the ledger shields what
        must not stop.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        self._phase = _Phase.RUNNING
        self._scope.deadline = math.inf
        self._input.waits_for = self._scope
        answer = await self._server.proxy.answer(request)
        self._input.waits_for = None
        return answer

    async def _read_request(self):
        head, length = await self._read_head()
        self._parser = h11.Connection(h11.SERVER)
        self._parser.receive_data(head)
        try:
            event = self._parser.next_event()
            check_headers(event.headers)
            body = await self._read_body(length) if length != 0 else b""
            if length == 0:
                self._parser.next_event()
        except h11.RemoteProtocolError:
            raise HeadError(RefusalReason.BAD_REQUEST) from None
        return CallerRequest(
            event.method.decode("ascii"),
            event.target.decode("ascii"),
            list(event.headers),
            body,
        )

    async def _read_head(self):
        limits = self._settings
        max_head = limits.get("limits", "header_bytes")
        self._enter(_Phase.READING, limits.get("limits", "head_timeout"))
        while not (size := find_head(self._input.buffer, max_head)):
            self._head = bytes(self._input.buffer[:max_head])
            if self._input.ended:
                raise HeadError(RefusalReason.CALLER_GONE)
            await self._input.wait()
        head = self._head = self._input.take(size)
        return head, check_head(head, limits.get("limits", "body_bytes"))

    async def _read_body(self, length):
        limits = self._settings
        timeout = limits.get("limits", "body_timeout")
        rate = limits.get("limits", "minimum_rate")
        max_body = limits.get("limits", "body_bytes")
        await self._continue()
        self._enter(_Phase.READING, timeout)
        body, events, started = bytearray(), 0, trio.current_time()
        while True:
            event = await self._next_event(length, len(body))
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            # A list of parts would take 40 times the size of a body in small chunks.
            body += event.data
            if len(body) > max_body:
                raise HeadError(RefusalReason.BODY_TOO_LARGE)
            self._hold(len(event.data))
            self._scope.deadline = started + timeout + len(body) / rate
            events += 1
            if events % _MOST_EVENTS == 0:
                await trio.lowlevel.checkpoint()

    async def _continue(self):
        if self._parser.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._parser.send(go_on))

    async def _next_event(self, length, size):
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            while not self._input.buffer:
                if self._input.ended:
                    raise HeadError(RefusalReason.CALLER_GONE)
                await self._input.wait()
            count = None if length is None else length - size
            self._parser.receive_data(self._input.take(count))
        return event

    def _put_back(self):
        # What h11 holds beyond a chunked body begins the next request, whose head
        # has to be checked first.
        data, _ = self._parser.trailing_data
        if data:
            self._input.buffer[:0] = data

    def _hold(self, size):
        self._held += size
        self._server.pending_bytes += size
        self._note_pending()
        if self._server.pending_bytes > self._settings.get("limits", "pending_bytes"):
            raise HeadError(RefusalReason.BODIES_TOO_LARGE)

    def _release(self):
        if self._held:
            self._server.pending_bytes -= self._held
            self._held = 0
            self._note_pending()

    def _note_pending(self):
        pending = self._server.pending_bytes
        self._metrics.set_gauge("caller_pending_bytes", pending)

    async def _write(self, data):
        timeout = self._settings.get("limits", "write_timeout")
        for start in range(0, len(data), _WRITE_BYTES):
            self._enter(_Phase.WRITING, timeout)
            await self._stream.send_all(data[start : start + _WRITE_BYTES])
