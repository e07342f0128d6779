"""HTTP/1.1 connections to backend servers, parsed by h11.

An exchange returns a whole answer or raises an error, which tells whether a byte of the
request can have reached the server and whether a byte of an answer arrived. An answer
that is delimited only by the end of the connection counts as truncated, unless the
protocol allows it and the server ended the connection in order. A connection is never
reused after an error or a cancelled exchange, so a late answer is never read as the
answer to another request.
"""

import errno
import socket
import struct

import h11
import trio

from kumquatsaddle.dispatch.answers import (
    RawAnswer,
    has_folded_line,
    has_known_end,
    read_keep_alive,
    select_headers,
)
from kumquatsaddle.dispatch.bodies import receive_body
from kumquatsaddle.dispatch.protocol import DEFAULT_PROTOCOL, MISDIRECTED_STATUS
from kumquatsaddle.exceptions import KumquatsaddleError
from kumquatsaddle.types import RefusalReason

__all__ = [
    "BackendConnection",
    "ExchangeError",
    "open_connection",
]

_READ_BYTES = 65536
# The same where the memory of answers is bounded: the parser keeps as much again.
_BOUNDED_READ_BYTES = 16384
_MAX_HEAD_BYTES = 65536
# What every answer starts with (RFC 9112, section 4).
_ANSWER_START = b"HTTP/1."
# Informational answers (1xx) accepted before the final one.
_MAX_INFORMATIONAL = 16
# A server may echo this header of a request in its answer (see `exchange`).
REQUEST_ID_HEADER = DEFAULT_PROTOCOL.request_id
# Longest request that is written whole before the answer is read. A server may answer a
# longer one before it has read all of it, and read the rest later.
_MAX_WRITE_FIRST_BYTES = 4096
# Answers to other requests that are skipped before the matching one.
_MAX_SKIPPED_ANSWERS = 8
# Value of SO_LINGER that makes a close reset the connection.
_LINGER_RESET = struct.pack("ii", 1, 0)


class ExchangeError(KumquatsaddleError):
    """An exchange with a backend server failed.

    Parameters
    ----------
    reason : RefusalReason
    written : bool
        Whether a byte of the request can have reached the server.
    answered : bool
        Whether a byte of an answer arrived.
    """

    def __init__(self, reason, written, detail="", answered=False):
        self.reason = reason
        self.written = written
        self.answered = answered
        super().__init__(f"{reason.value} ended the HTTP exchange: {detail}")


class BackendConnection:
    """One connection to a backend server, for one exchange at a time.

    Parameters
    ----------
    stream : trio.abc.Stream
    protocol : BackendProtocol, optional

    Attributes
    ----------
    keep_alive : float or None
        Time in seconds for which the server keeps the connection open while idle, from
        its ``Keep-Alive`` header.
    exchange_count : int
        Number of exchanges begun on the connection.
    """

    def __init__(self, stream, protocol=DEFAULT_PROTOCOL):
        self._stream = stream
        self._protocol = protocol
        self._parser = h11.Connection(h11.CLIENT, _MAX_HEAD_BYTES)
        self._answered = False
        self._echoes_request_id = False
        self._has_unsent_bytes = False
        self._may_repeat_refusal = False
        self._memory = None
        self.keep_alive = None
        self.exchange_count = 0

    def is_reusable(self):
        """Return whether another request may be sent.

        A connection that is readable is not reusable: either the server closed it, or
        the bytes are an answer to none of its requests.
        """
        if self._parser.our_state is not h11.IDLE or self._has_unsent_bytes:
            return False
        if self._may_repeat_refusal:
            return False
        if self._parser.trailing_data[0]:
            return False
        return not self._stream.socket.is_readable()

    async def exchange(
        self, method, target, headers, body, max_body, before_write, memory=None
    ):
        """Send a request and return the whole answer.

        Parameters
        ----------
        method, target : str
        headers : list of (bytes, bytes)
        body : bytes or bytearray
            Must not change during the exchange; a long one is written without a copy.
        max_body : int
            Longest body of an answer, in bytes.
        before_write : callable
            Called without arguments just before the first byte is written; may raise
            an error to prevent the write.
        memory : AnswerMemory, optional
            Shared with other connections.

        Returns
        -------
        RawAnswer

        Raises
        ------
        ExchangeError
            If the connection fails or the answer is invalid, truncated, too long or
            belongs to another request.

        Notes
        -----
        A server may echo the request header ``Kumquatsaddle-Request`` in its
        answer. Another value than that of the request, or no value after an earlier
        answer on the connection had one, marks an answer to another request.
        """
        # The parser returns to its idle state only after the whole answer, so an error
        # or a cancellation before that leaves the connection unusable.
        self._answered = False
        self._memory = memory
        parts = self._encode(method, target, headers, body)
        before_write()
        try:
            if sum(map(len, parts)) <= _MAX_WRITE_FIRST_BYTES:
                await self._stream.send_all(b"".join(parts))
                answer = await self._receive_matching(method, headers, max_body)
            else:
                answer = await self._send_and_receive(method, headers, parts, max_body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise self._make_error(RefusalReason.ANSWER_LOST, error) from None
        except h11.RemoteProtocolError as error:
            if not self._answered:
                raise self._make_error(RefusalReason.ANSWER_LOST, error) from None
            raise self._make_error(RefusalReason.ANSWER_TRUNCATED, error) from None
        self.exchange_count += 1
        # A late copy of it would pass for the refusal of a request that runs.
        self._may_repeat_refusal = self._is_unidentified_refusal(answer)
        self._start_next_cycle()
        return answer

    async def close(self):
        """Close the connection at once.

        During an exchange it is reset, so that delayed bytes of the request do not
        reach the server after the request was abandoned.
        """
        unfinished = self._parser.our_state is not h11.IDLE or self._has_unsent_bytes
        if unfinished and isinstance(self._stream, trio.SocketStream):
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        await trio.aclose_forcefully(self._stream)

    def _encode(self, method, target, headers, body):
        """Return the bytes of a request in parts, of which the body is not copied."""
        try:
            request = h11.Request(method=method, target=target, headers=headers)
            parts = [self._parser.send(request)]
            if body:
                data = h11.Data(data=body)
                parts += self._parser.send_with_data_passthrough(data)
            end = self._parser.send(h11.EndOfMessage())
            return [*parts, end] if end else parts
        except h11.LocalProtocolError as error:
            raise ExchangeError(RefusalReason.BAD_REQUEST, False, error) from None

    async def _send_and_receive(self, method, headers, parts, max_body):
        """Write a long request and receive its answer concurrently."""
        self._has_unsent_bytes = True
        broken = None

        async def send():
            nonlocal broken
            try:
                for part in parts:
                    await self._stream.send_all(part)
                self._has_unsent_bytes = False
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                # The answer may have been sent before the server closed its side.
                broken = error

        answer = failure = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            try:
                answer = await self._receive_matching(method, headers, max_body)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                failure = error
            except (h11.RemoteProtocolError, ExchangeError) as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            # Raised outside of the nursery, which would wrap it in an exception group.
            raise failure
        if broken is not None and answer.is_close_delimited and _is_reset(broken):
            raise self._make_error(RefusalReason.ANSWER_TRUNCATED, broken)
        self._has_unsent_bytes = self._has_unsent_bytes or broken is not None
        return answer

    async def _receive_matching(self, method, headers, max_body):
        """Return the answer to this request; skip others if the protocol allows it."""
        for _ in range(_MAX_SKIPPED_ANSWERS + 1):
            answer = await self._receive(method, max_body)
            if self._is_matching(headers, answer):
                return answer
            if not self._protocol.skips_unmatched_answers or not self._reset_parser(
                method
            ):
                break
        raise self._make_error(
            RefusalReason.ANSWER_MISMATCH, "answer belongs to another request"
        )

    def _reset_parser(self, method):
        """Prepare to read another answer; return False at the end of the connection."""
        if self._parser.their_state is not h11.DONE:
            return False
        data, ended = self._parser.trailing_data
        if ended:
            return False
        self._parser = h11.Connection(h11.CLIENT, _MAX_HEAD_BYTES)
        # Puts the parser in the state after the request, whose bytes were sent before.
        sent = h11.Request(method=method, target="/", headers=[("host", "")])
        self._parser.send(sent)
        self._parser.send(h11.EndOfMessage())
        if data:
            self._parser.receive_data(data)
        return True

    async def _receive(self, method, max_body):
        head = await self._receive_head()
        if not has_known_end(method, head, self._protocol.allows_close_delimited):
            raise self._make_error(
                RefusalReason.ANSWER_TRUNCATED,
                "answer has missing or ambiguous framing",
            )
        body = await receive_body(
            self._next_event, self._make_error, head.headers, max_body, self._memory
        )
        self.keep_alive = read_keep_alive(head.headers)
        headers = select_headers(method, head.headers)
        is_close_delimited = not has_known_end(method, head)
        return RawAnswer(head.status_code, headers, body, is_close_delimited)

    async def _receive_head(self):
        await self._check_start()
        for _ in range(_MAX_INFORMATIONAL + 1):
            head = await self._next_head()
            if isinstance(head, h11.Response):
                return head
            if not isinstance(head, h11.InformationalResponse):
                raise self._make_error(
                    RefusalReason.ANSWER_LOST, "connection closed before an answer"
                )
        raise self._make_error(
            RefusalReason.ANSWER_LOST, "too many informational answers"
        )

    async def _check_start(self):
        """Check that the first bytes are those of an answer, before more arrive."""
        start = self._parser.trailing_data[0][: len(_ANSWER_START)]
        while _ANSWER_START.startswith(start):
            if len(start) == len(_ANSWER_START):
                return
            data = await self._receive_data()
            if not data:
                # The parser reports the end of the connection.
                return
            start = (start + data)[: len(_ANSWER_START)]
        raise self._make_error(RefusalReason.ANSWER_TRUNCATED, "bytes are no answer")

    async def _next_head(self):
        searched_bytes = 0
        while True:
            data = self._parser.trailing_data[0]
            if has_folded_line(data, searched_bytes):
                raise self._make_error(
                    RefusalReason.ANSWER_TRUNCATED,
                    "a line of the head begins with white space",
                )
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            # The last bytes may be the line break before a folded line.
            searched_bytes = max(0, len(data) - len(b"\n\r"))
            await self._receive_data()

    async def _next_event(self):
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            await self._receive_data()
        return event

    async def _receive_data(self):
        """Receive bytes into the parser; return them, or b"" at the end."""
        is_bounded = self._memory is not None and self._memory.is_bounded()
        size = _BOUNDED_READ_BYTES if is_bounded else _READ_BYTES
        data = await self._stream.receive_some(size)
        self._answered = self._answered or bool(data)
        self._parser.receive_data(data)
        return data

    def _is_matching(self, headers, answer):
        """Return whether an answer belongs to the request with these headers."""
        id_header = self._protocol.request_id
        echo = answer.get_header(id_header)
        if echo is None and not self._echoes_request_id:
            return True
        if echo not in [value for name, value in headers if name == id_header]:
            return False
        self._echoes_request_id = True
        return True

    def _is_unidentified_refusal(self, answer):
        protocol = self._protocol
        if answer.get_header(protocol.request_id) is not None:
            return False
        if answer.status == MISDIRECTED_STATUS:
            return True
        return bool(
            protocol.unprocessed and answer.get_header(protocol.unprocessed) is not None
        )

    def _make_error(self, reason, detail):
        return ExchangeError(reason, True, detail, self._answered)

    def _start_next_cycle(self):
        if self._parser.our_state is h11.DONE is self._parser.their_state:
            self._parser.start_next_cycle()


async def open_connection(address, timeout, protocol=DEFAULT_PROTOCOL):
    """Connect to a backend server.

    Parameters
    ----------
    address : Address
    timeout : float
        In seconds.
    protocol : BackendProtocol, optional

    Raises
    ------
    ExchangeError
        If the connection cannot be opened in time; nothing was written.
    """
    try:
        with trio.fail_after(timeout):
            stream = await trio.open_tcp_stream(address.host, address.port)
    except (OSError, trio.TooSlowError) as error:
        raise ExchangeError(RefusalReason.BACKEND_UNREACHABLE, False, error) from None
    return BackendConnection(stream, protocol)


def _is_reset(error):
    """Return whether a connection was reset before its peer had ended its output.

    Only the error of the failed write tells: it takes the error from the socket, so
    that a read afterwards shows an end in either case.

    Parameters
    ----------
    error : trio.BrokenResourceError or trio.ClosedResourceError
        Of the failed write. Its cause is EPIPE if the peer had ended its output in
        order before the reset.
    """
    return getattr(error.__cause__, "errno", None) != errno.EPIPE
