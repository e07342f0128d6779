"""The HTTP/1.1 server for callers, parsed by h11, one task for each connection."""

import json

import h11
import trio

from kumquatsaddle.exchange import Answer
from kumquatsaddle.types import RefusalReason

__all__ = ["CallerRequest", "CallerServer", "make_caller_server"]

_READ_BYTES = 65536
_BACKLOG = 512
_OUTCOME_HEADER = b"Kumquatsaddle-Outcome"
_REASON_HEADER = b"Kumquatsaddle-Reason"
_OPERATION_HEADER = b"Kumquatsaddle-Operation"
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


class _RequestError(Exception):
    def __init__(self, reason):
        self.reason = reason


class CallerServer:
    """Accepts callers and answers their requests through the proxy.

    Parameters
    ----------
    node : Node
    proxy : Proxy
    """

    def __init__(self, node, proxy):
        self._node = node
        self._proxy = proxy
        self._connections = 0
        self._in_flight = 0
        self._leaving = False
        self._accepting = trio.CancelScope()
        self._idle_scopes = set()

    async def run(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Serve callers at `address` until cancelled or drained."""
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=_BACKLOG
        )
        task_status.started(listeners)
        async with trio.open_nursery() as connections:
            with self._accepting:
                await trio.serve_listeners(
                    self._serve_connection, listeners, handler_nursery=connections
                )

    async def drain(self, notice, grace):
        """Stop accepting callers after `notice` and wait for the work in flight.

        Parameters
        ----------
        notice : float
            Time in seconds for callers to learn of other addresses.
        grace : float
            Longest time in seconds for the work in flight.
        """
        self._leaving = True
        await trio.sleep(notice)
        self._accepting.cancel()
        for scope in list(self._idle_scopes):
            scope.cancel()
        with trio.move_on_after(grace):
            while self._connections:
                await trio.sleep(_DRAIN_POLL)

    async def _serve_connection(self, stream):
        metrics = self._node.metrics
        limit = self._node.settings.get("listen", "max_connections")
        if self._connections >= limit:
            metrics.count_refusal(RefusalReason.TOO_MANY_CONNECTIONS)
            await trio.aclose_forcefully(stream)
            return
        self._connections += 1
        metrics.set_gauge("caller_connections", self._connections)
        try:
            await self._serve_requests(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            metrics.count("caller_connections_broken")
        finally:
            self._connections -= 1
            metrics.set_gauge("caller_connections", self._connections)
            await trio.aclose_forcefully(stream)

    async def _serve_requests(self, stream):
        settings = self._node.settings
        max_head = settings.get("limits", "header_bytes")
        parser = h11.Connection(h11.SERVER, max_head)
        while True:
            try:
                request = await self._read_request(parser, stream)
            except _RequestError as error:
                self._node.metrics.count_refusal(error.reason)
                answer = Answer.refuse(error.reason)
                await self._send_answer(parser, stream, answer, close=True)
                await _send_end(stream)
                return
            if request is None:
                return
            self._in_flight += 1
            try:
                answer = await self._proxy.answer(request)
                await self._send_answer(
                    parser, stream, answer, close=self._leaving, head=request.method
                )
            finally:
                self._in_flight -= 1
            if parser.our_state is not h11.DONE:
                return
            parser.start_next_cycle()

    async def _read_request(self, parser, stream):
        settings = self._node.settings
        with trio.CancelScope() as idle:
            idle.deadline = trio.current_time() + settings.get("limits", "idle_timeout")
            self._idle_scopes.add(idle)
            try:
                started = await self._wait_for_bytes(parser, stream)
            finally:
                self._idle_scopes.discard(idle)
        if idle.cancelled_caught or not started:
            return None
        with trio.move_on_after(settings.get("limits", "head_timeout")):
            try:
                return await self._read_whole(parser, stream)
            except h11.RemoteProtocolError as error:
                raise _RequestError(_reason_of(error)) from None
        raise _RequestError(RefusalReason.REQUEST_TIMEOUT)

    async def _wait_for_bytes(self, parser, stream):
        if parser.trailing_data[0]:
            return True
        data = await stream.receive_some(_READ_BYTES)
        parser.receive_data(data)
        return bool(data)

    async def _read_whole(self, parser, stream):
        head = await self._next_event(parser, stream)
        if not isinstance(head, h11.Request):
            return None
        _check_head(head)
        max_body = self._node.settings.get("limits", "body_bytes")
        parts, size = [], 0
        while True:
            event = await self._next_event(parser, stream)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return None
            size += len(event.data)
            if size > max_body:
                raise _RequestError(RefusalReason.BODY_TOO_LARGE)
            parts.append(bytes(event.data))
        return CallerRequest(
            head.method.decode("ascii"),
            head.target.decode("ascii"),
            list(head.headers),
            b"".join(parts),
        )

    async def _next_event(self, parser, stream):
        while True:
            if parser.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await stream.send_all(parser.send(go_on))
            event = parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            parser.receive_data(await stream.receive_some(_READ_BYTES))

    async def _send_answer(self, parser, stream, answer, close, head=""):
        if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = answer.body or _describe(answer)
        headers = [
            item for item in answer.headers if item[0].lower() != b"content-length"
        ]
        headers.append((b"Content-Length", str(len(body)).encode()))
        headers.append((_OUTCOME_HEADER, answer.outcome.value.encode()))
        if answer.reason is not None:
            headers.append((_REASON_HEADER, answer.reason.value.encode()))
        if answer.operation:
            headers.append((_OPERATION_HEADER, answer.operation.encode()))
        if close:
            headers.append((b"Connection", b"close"))
        response = h11.Response(status_code=answer.status, headers=headers)
        data = parser.send(response)
        if body and head != "HEAD":
            data += parser.send(h11.Data(data=body))
        await stream.send_all(data + parser.send(h11.EndOfMessage()))


def make_caller_server(node, proxy):
    """Return the server for the callers of a node."""
    return CallerServer(node, proxy)


def _reason_of(error):
    if error.error_status_hint == 431:
        return RefusalReason.HEADERS_TOO_LARGE
    return RefusalReason.BAD_REQUEST


def _check_head(head):
    """Reject heads that a backend server could read in another way."""
    names = [name for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise _RequestError(RefusalReason.BAD_REQUEST)
    if head.target[:1] != b"/":
        raise _RequestError(RefusalReason.BAD_REQUEST)


def _describe(answer):
    if answer.reason is None:
        return b""
    text = {"outcome": answer.outcome.value, "reason": answer.reason.value}
    if answer.operation:
        text["operation"] = answer.operation
    return json.dumps(text).encode() + b"\n"


async def _send_end(stream):
    try:
        await stream.send_eof()
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
