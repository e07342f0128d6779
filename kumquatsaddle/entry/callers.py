"""The HTTP/1.1 server for callers, parsed by h11."""

import errno

import trio

from kumquatsaddle.entry.answers import encode_answer
from kumquatsaddle.entry.caller_connections import CallerConnection, CallerRequest
from kumquatsaddle.entry.tls import make_caller_context
from kumquatsaddle.exchange import Answer
from kumquatsaddle.types import RefusalReason

__all__ = ["CallerRequest", "CallerServer", "make_caller_server"]

_BACKLOG = 512
# Connections above the limit that are told so at a time; others are closed at once.
_MOST_REFUSED = 64
# Time in seconds for a caller to take the refusal of its connection.
_REFUSAL_TIMEOUT = 2.0
# Errors of accept that pass when connections end, and the time in seconds to wait.
_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_ACCEPT_PAUSE = 0.1
# Time in seconds between looks at the connections while draining.
_DRAIN_POLL = 0.02


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
        # Set while no listener may hold a connection that is not accepted yet.
        self._accepted_all = trio.Event()
        self._accepted_all.set()
        self._context = make_caller_context(node.settings)

    async def run(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Serve callers at `address` until cancelled or drained."""
        self._listeners = await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=_BACKLOG
        )
        self._accepted_all = trio.Event()
        task_status.started(self._listeners)
        async with trio.open_nursery() as connections:
            try:
                with self._accepting:
                    async with trio.open_nursery() as acceptors:
                        for listener in self._listeners:
                            acceptors.start_soon(self._accept, listener, connections)
                await self._accept_backlog(connections)
            finally:
                for listener in self._listeners:
                    listener.socket.close()
                self._accepted_all.set()

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
            await self._accepted_all.wait()
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
            connection = CallerConnection(self, stream)
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
            with trio.move_on_after(_REFUSAL_TIMEOUT):
                # The request was not read; its operation id may have run before.
                answer = Answer.unknown(reason)
                await stream.send_all(encode_answer(answer, close=True))
                await stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.node.metrics.count("caller_connections_broken")
        finally:
            self._refused -= 1


def make_caller_server(node, proxy):
    """Return the server for the callers of a node."""
    return CallerServer(node, proxy)
