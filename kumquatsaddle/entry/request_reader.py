"""Reads the requests of one connection of a caller, one after the other.

Raw heads are checked by `kumquatsaddle.entry.heads` before h11 parses them. Nothing is
consumed until the first byte of a request has arrived, so that a wait that is cancelled
loses no input.
"""

import math
from enum import Enum

import h11
import trio

from kumquatsaddle.entry.heads import (
    RequestReadError,
    check_head,
    find_head_end,
    reject_repeated_headers,
)
from kumquatsaddle.entry.memory_budget import estimate_head_bytes
from kumquatsaddle.types import RefusalReason

__all__ = ["CallerRequest", "ReadPhase", "RequestReader"]

# Body chunks that are parsed before other tasks may run. The read-ahead buffer can hold
# 10,000 chunks of one byte, which h11 takes 100 ms to parse.
_EVENTS_BEFORE_YIELD = 64
# Fields of a head above which its parsing waits for its turn; h11 parses 100 in 0.5 ms.
_FIELDS_BEFORE_YIELD = 100
# Longest body that is discarded to keep a connection whose request needs no body.
_MAX_DISCARDED_BYTES = 65536
# Longer bodies are kept in the buffer in which they were received, because a copy would
# double the memory of a body that takes a third of an instance's.
_MAX_COPIED_BODY_BYTES = 65536


class CallerRequest:
    """A complete request as read from a caller.

    Parameters
    ----------
    method, target : str
    headers : list of (bytes, bytes)
        Names in lower case.
    body : bytes or bytearray
    arrived_at : float, optional
        When its last byte was received, on the clock of trio in seconds; infinite if
        it is not known.
    ends_connection : bool, default=False
        Whether the caller expects no answer after the one to this request.

    Attributes
    ----------
    answer : Answer or None
        The answer if it was chosen from the head alone; the body was not read then.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "arrived_at",
        "ends_connection",
        "answer",
    )

    def __init__(
        self, method, target, headers, body, arrived_at=math.inf, ends_connection=False
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_at = arrived_at
        self.ends_connection = ends_connection
        self.answer = None

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


class ReadPhase(Enum):
    """What a reader does; determines what the cancellation of its scope means."""

    # Waits for the first byte of a request.
    IDLE = "idle"
    READING = "reading"
    # Waits until earlier requests are answered.
    PAUSED = "paused"


class RequestReader:
    """Reads requests from the buffered input of a connection.

    Parameters
    ----------
    caller_input : CallerStream
    settings : Settings
    connection : object
        Has the methods ``has_pending()``, ``needs_no_body(request)``,
        ``begin_reading()``, ``end_reading()`` and the async methods
        ``reserve_memory(size)``, ``reserve_body_memory(size)``,
        ``wait_for_parse_turn()`` and ``send_interim_response(data)``, as a
        `CallerConnection` has.

    Attributes
    ----------
    phase : ReadPhase
    scope : trio.CancelScope
        Surrounds the calls of the async methods; the reader sets its deadline.
    raw_head : bytes
        Head of the request that is read, as far as it has arrived.
    """

    def __init__(self, caller_input, settings, connection):
        self._input = caller_input
        self._settings = settings
        self._connection = connection
        self._parser = None
        # Bytes of a body that nobody needs and that are still to be received.
        self._unneeded_bytes = 0
        self.phase = ReadPhase.READING
        self.scope = trio.CancelScope()
        self.raw_head = b""

    def pause(self):
        """Suspend the timeouts while the connection waits for earlier answers."""
        self.phase = ReadPhase.PAUSED
        self.scope.deadline = math.inf
        self._connection.end_reading()

    def restart_idle_timeout(self):
        """Let the idle timeout begin now if no byte of a request has arrived."""
        if self.phase is ReadPhase.IDLE:
            self._enter_phase(
                ReadPhase.IDLE, self._settings.get("limits", "idle_timeout")
            )

    def is_idle(self):
        """Return whether no byte of a request has arrived."""
        return self.phase is ReadPhase.IDLE and self._input.is_idle()

    async def wait_for_request(self):
        """Wait for a first byte; return False if the connection ends without one."""
        self._discard_unneeded_bytes()
        while not self._input.buffer:
            self.phase = ReadPhase.IDLE
            self.scope.deadline = math.inf
            self._connection.end_reading()
            if not self._connection.has_pending():
                self.restart_idle_timeout()
            await self._input.wait_for_data()
            # A timeout at this moment must not count as a timeout of the request.
            await trio.lowlevel.checkpoint_if_cancelled()
            self._discard_unneeded_bytes()
            if self._input.ended:
                break
        return bool(self._input.buffer)

    async def read_request(self):
        """Return the next request.

        Raises
        ------
        RequestReadError
            If it is refused, or the caller has gone.
        """
        head, length = await self._read_head()
        await self._connection.reserve_memory(estimate_head_bytes(head))
        if head.count(b"\n") > _FIELDS_BEFORE_YIELD:
            await self._connection.wait_for_parse_turn()
        self._parser = h11.Connection(h11.SERVER)
        self._parser.receive_data(head)
        try:
            event = self._parser.next_event()
            reject_repeated_headers(event.headers)
            if length != 0:
                request = self._make_request(event, b"")
                if self._connection.needs_no_body(request):
                    self._skip_body(request, length)
                    return request
            body = await self._read_body(length) if length != 0 else b""
        except h11.RemoteProtocolError:
            raise RequestReadError(RefusalReason.BAD_REQUEST) from None
        # Once the reader pauses, a timeout must not cancel it any more.
        await trio.lowlevel.checkpoint_if_cancelled()
        self._restore_trailing_data()
        return self._make_request(event, body)

    def _make_request(self, event, body):
        return CallerRequest(
            event.method.decode("ascii"),
            event.target.decode("ascii"),
            list(event.headers),
            body,
            self._input.find_arrival_time(),
            _ends_connection(event),
        )

    def _skip_body(self, request, length):
        """Discard a short body as it arrives; a longer one ends the connection."""
        waits = self._parser.they_are_waiting_for_100_continue
        if waits or length is None or length > _MAX_DISCARDED_BYTES:
            request.ends_connection = True
        else:
            self._unneeded_bytes = length

    def _discard_unneeded_bytes(self):
        if self._unneeded_bytes:
            self._unneeded_bytes -= len(self._input.take(self._unneeded_bytes))

    def _enter_phase(self, phase, timeout):
        # Moving the deadline of one scope costs less than a scope for each phase.
        self.phase = phase
        self.scope.deadline = trio.current_time() + timeout
        if phase is ReadPhase.READING:
            self._connection.begin_reading()

    async def _read_head(self):
        settings = self._settings
        max_head_bytes = settings.get("limits", "header_bytes")
        self._enter_phase(ReadPhase.READING, settings.get("limits", "head_timeout"))
        # RFC 9112, section 2.2.
        self._input.skip_empty_lines()
        while not (size := find_head_end(self._input.buffer, max_head_bytes)):
            self.raw_head = bytes(self._input.buffer[:max_head_bytes])
            if self._input.ended:
                raise RequestReadError(RefusalReason.CALLER_GONE)
            await self._input.wait_for_data()
            self._input.skip_empty_lines()
        head = self.raw_head = self._input.take(size)
        return head, check_head(head, settings.get("limits", "body_bytes"))

    async def _read_body(self, length):
        settings = self._settings
        timeout = settings.get("limits", "body_timeout")
        rate = settings.get("limits", "minimum_rate")
        max_body_bytes = settings.get("limits", "body_bytes")
        await self._send_continue()
        self._enter_phase(ReadPhase.READING, timeout)
        body, events, started = bytearray(), 0, trio.current_time()
        while True:
            part = await self._read_body_part(length, len(body))
            if part is None:
                return bytes(body) if len(body) <= _MAX_COPIED_BODY_BYTES else body
            if len(body) + len(part) > max_body_bytes:
                raise RequestReadError(RefusalReason.BODY_TOO_LARGE)
            await self._connection.reserve_body_memory(len(part))
            # For a body in small chunks, a list of parts would take 40 times its size.
            body += part
            self.scope.deadline = started + timeout + len(body) / rate
            events += 1
            if events % _EVENTS_BEFORE_YIELD == 0:
                await self._connection.wait_for_parse_turn()

    async def _send_continue(self):
        if self._parser.they_are_waiting_for_100_continue:
            interim_response = h11.InformationalResponse(status_code=100, headers=[])
            await trio.lowlevel.checkpoint_if_cancelled()
            self.pause()
            await self._connection.send_interim_response(
                self._parser.send(interim_response)
            )

    async def _read_body_part(self, length, size):
        """Return the next bytes of a body, or None at its end.

        Only chunks need a parser, which would copy the body of known length.
        """
        if size == length:
            return None
        if length is not None:
            await self._wait_for_input()
            return self._input.take(length - size)
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            await self._wait_for_input()
            self._parser.receive_data(self._input.take())
        return None if isinstance(event, h11.EndOfMessage) else event.data

    async def _wait_for_input(self):
        while not self._input.buffer:
            if self._input.ended:
                raise RequestReadError(RefusalReason.CALLER_GONE)
            await self._input.wait_for_data()

    def _restore_trailing_data(self):
        # Bytes that h11 received after a chunked body belong to the next request. They
        # go back to the buffer because the head of that request must be checked first.
        data, _ = self._parser.trailing_data
        if data:
            self._input.restore(data)


def _ends_connection(event):
    """Return whether a head announces that its request is the last one."""
    if event.http_version < b"1.1":
        return True
    return any(
        token.strip().lower() == b"close"
        for name, value in event.headers
        if name == b"connection"
        for token in value.split(b",")
    )
