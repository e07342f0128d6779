"""The HTTP/1.1 server for callers, parsed by h11.

Each connection has one task that reads and one that answers its requests in order.
Raw heads are checked by `kumquatsaddle.entry.heads` before h11 parses them.
"""

import errno

import h11
import trio

from kumquatsaddle.entry.answers import encode_answer
from kumquatsaddle.entry.heads import HeadError, check_head, check_headers, find_head
from kumquatsaddle.entry.streams import CallerStream
from kumquatsaddle.entry.tls import make_caller_context
from kumquatsaddle.exchange import Answer
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import RefusalReason

__all__ = ["CallerRequest", "CallerServer", "make_caller_server"]

_BACKLOG = 512
# Connections above the limit that are told so at a time; others are closed at once.
_MOST_REFUSED = 64
# Bytes of an answer that a caller must take within the write timeout.
_WRITE_BYTES = 65536
# Longest time in seconds for a caller to close its side after the last answer.
_LINGER = 2.0
# Errors of accept that pass when connections end, and the time in seconds to wait.
_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_ACCEPT_PAUSE = 0.1
# Time in seconds between looks at the connections while draining.
_DRAIN_POLL = 0.02


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


class CallerServer:
    """Accepts callers and answers their requests through the proxy.

    Parameters
    ----------
    node : Node
    proxy : Proxy
    """

    def __init__(self, node, proxy):
        self.node = node
        self.proxy = proxy
        self.leaving = False
        self.pending_bytes = 0
        self._connections = set()
        self._refused = 0
        self._listeners = []
        self._accepting = trio.CancelScope()
        self._context = make_caller_context(node.settings)

    async def run(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Serve callers at `address` until cancelled or drained."""
        self._listeners = await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=_BACKLOG
        )
        task_status.started(self._listeners)
        async with trio.open_nursery() as connections:
            with self._accepting:
                async with trio.open_nursery() as acceptors:
                    for listener in self._listeners:
                        acceptors.start_soon(self._accept, listener, connections)
            await self._accept_backlog(connections)
            for listener in self._listeners:
                await listener.aclose()

    async def drain(self, notice, grace):
        """Stop accepting callers after `notice` and wait for the work in flight.

        Parameters
        ----------
        notice : float
            Time in seconds for callers to learn of other addresses.
        grace : float
            Longest time in seconds for the work in flight.
        """
        self.leaving = True
        await trio.sleep(notice)
        self._accepting.cancel()
        with trio.move_on_after(grace):
            await trio.sleep(0)
            while self._connections:
                for connection in list(self._connections):
                    connection.close_if_idle()
                await trio.sleep(_DRAIN_POLL)

    def use_context(self, context):
        """Use a TLS context, or None for plain TCP, for new connections."""
        self._context = context

    async def serve_connection(self, stream):
        """Serve one connection until it ends, and close it."""
        limit = self.node.settings.get("listen", "max_connections")
        try:
            if len(self._connections) >= limit:
                await self._refuse_connection(stream)
                return
            if self._context is not None:
                stream = trio.SSLStream(
                    stream, self._context, server_side=True, https_compatible=True
                )
            connection = _Connection(self, stream)
            self._connections.add(connection)
            self._note_connections()
            try:
                await connection.run()
            finally:
                self._connections.discard(connection)
                self._note_connections()
        finally:
            await trio.aclose_forcefully(stream)

    async def _accept(self, listener, nursery):
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                if error.errno not in _EXHAUSTED:
                    raise
                self.node.metrics.count("accepts_failed")
                await trio.sleep(_ACCEPT_PAUSE)
                continue
            nursery.start_soon(self.serve_connection, stream)

    async def _accept_backlog(self, nursery):
        """Accept what the kernel has accepted already; closing would reset it."""
        for listener in self._listeners:
            while listener.socket.is_readable():
                try:
                    stream = await listener.accept()
                except (OSError, trio.ClosedResourceError):
                    break
                nursery.start_soon(self.serve_connection, stream)

    def _note_connections(self):
        self.node.metrics.set_gauge("caller_connections", len(self._connections))

    async def _refuse_connection(self, stream):
        reason = RefusalReason.TOO_MANY_CONNECTIONS
        self.node.metrics.count_refusal(reason)
        if self._refused >= _MOST_REFUSED or self._context is not None:
            return
        self._refused += 1
        try:
            with trio.move_on_after(_LINGER):
                answer = Answer.refuse(reason)
                await stream.send_all(encode_answer(answer, close=True))
                await stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.node.metrics.count("caller_connections_broken")
        finally:
            self._refused -= 1


class _Connection:
    """One connection of a caller."""

    def __init__(self, server, stream):
        self._server = server
        self._metrics = server.node.metrics
        self._settings = server.node.settings
        self._input = CallerStream(stream)
        self._stream = stream
        self._parser = None
        self._idle = None
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
        if self._idle is not None and self._input.is_quiet():
            self._idle.cancel()

    async def _shake_hands(self):
        if isinstance(self._stream, trio.SSLStream):
            with trio.fail_after(self._settings.get("limits", "head_timeout")):
                await self._stream.do_handshake()

    async def _answer_requests(self):
        while await self._wait_for_request():
            try:
                request = await self._read_request()
            except HeadError as error:
                self._metrics.count_refusal(error.reason)
                await self._send(Answer.refuse(error.reason), close=True)
                break
            answer = await self._run(request)
            if answer is None:
                return
            # h11 has read HTTP/1.0 and Connection: close as the wish to end.
            close = self._server.leaving or self._parser.their_state is not h11.DONE
            await self._send(answer, close, request.method == "HEAD")
            self._release()
            if close:
                break
            self._put_back()
        else:
            return
        await self._input.linger(_LINGER)

    async def _wait_for_request(self):
        """Return whether a request begins, False once the connection is unused."""
        timeout = self._settings.get("limits", "idle_timeout")
        while not self._input.buffer:
            if self._input.ended:
                return False
            with trio.move_on_after(timeout) as self._idle:
                await self._input.wait()
            stopped, self._idle = self._idle.cancelled_caught, None
            if stopped and self._input.is_quiet():
                # No other task runs between the look and the close, so a byte that
                # has arrived begins a request, and any later one finds it closed.
                await trio.aclose_forcefully(self._stream)
                return False
        return True

    async def _run(self, request):
        """Return the answer to a request, or None if its caller has gone.

        A running request is cancelled then; the ledger shields what must not stop.
        """
        if self._input.ended:
            self._metrics.count_refusal(RefusalReason.CALLER_GONE)
            return Answer.refuse(RefusalReason.CALLER_GONE)
        answer = None
        with trio.CancelScope() as self._input.waits_for:
            answer = await self._server.proxy.answer(request)
        self._input.waits_for = None
        if answer is None:
            self._metrics.count_refusal(RefusalReason.CALLER_GONE)
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
        with trio.move_on_after(limits.get("limits", "head_timeout")):
            while not (size := find_head(self._input.buffer, max_head)):
                if self._input.ended:
                    raise HeadError(RefusalReason.CALLER_GONE)
                await self._input.wait()
            head = self._input.take(size)
            return head, check_head(head, limits.get("limits", "body_bytes"))
        raise HeadError(RefusalReason.REQUEST_TIMEOUT)

    async def _read_body(self, length):
        limits = self._settings
        timeout = limits.get("limits", "body_timeout")
        rate = limits.get("limits", "minimum_rate")
        max_body = limits.get("limits", "body_bytes")
        await self._continue()
        parts, size, started = [], 0, trio.current_time()
        with trio.move_on_after(timeout) as scope:
            while True:
                event = await self._next_event(length, size)
                if isinstance(event, h11.EndOfMessage):
                    return b"".join(parts)
                size += len(event.data)
                if size > max_body:
                    raise HeadError(RefusalReason.BODY_TOO_LARGE)
                self._hold(len(event.data))
                parts.append(bytes(event.data))
                scope.deadline = started + timeout + size / rate
        raise HeadError(RefusalReason.REQUEST_TIMEOUT)

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

    async def _send(self, answer, close, is_head=False):
        await self._write(encode_answer(answer, close, is_head))

    async def _write(self, data):
        timeout = self._settings.get("limits", "write_timeout")
        for start in range(0, len(data), _WRITE_BYTES):
            with trio.fail_after(timeout):
                await self._stream.send_all(data[start : start + _WRITE_BYTES])


def make_caller_server(node, proxy):
    """Return the server for the callers of a node."""
    return CallerServer(node, proxy)
