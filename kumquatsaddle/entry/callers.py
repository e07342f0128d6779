"""HTTP/1.1 server for callers."""

import errno

import trio

from kumquatsaddle.entry.answers import encode_answer
from kumquatsaddle.entry.caller_connections import CallerConnection, CallerRequest
from kumquatsaddle.entry.client_limits import make_client_limits
from kumquatsaddle.entry.tls import make_caller_context
from kumquatsaddle.exchange import Answer
from kumquatsaddle.types import RefusalReason

__all__ = ["CallerRequest", "CallerServer", "make_caller_server"]

_LISTEN_BACKLOG = 512
# Connections above the limit that are answered with a refusal at the same time; further
# ones are closed without an answer.
_MAX_CONCURRENT_REFUSALS = 64
# The same for a process with a bound of its descriptors, which refusals use as well.
_MAX_BOUNDED_REFUSALS = 4
_REFUSAL_TIMEOUT_SECONDS = 2.0
# Errors of accept that go away when other connections end, and the delay before accept
# is called again.
_RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_ACCEPT_RETRY_SECONDS = 0.1
# Interval at which a draining server closes idle connections.
_DRAIN_POLL_SECONDS = 0.02


class CallerServer:
    """Accepts connections from callers and answers their requests by a proxy.

    Parameters
    ----------
    node : object
        Has the attributes ``settings`` and ``metrics``, as a `Node` has.
    proxy : object
        Has the async method ``answer(caller_request)``, as a `Proxy` has, and may have
        ``answer_head(caller_request)``, which returns the `Answer` if it depends on the
        head of a request only, else None.
    limits : ClientLimits, optional
        Shared with the other servers of the process; default: own ones.
    name : str, default="callers"
        Key of ``[listen]`` of the address.
    ignores_body : bool, default=False
        Whether the answers depend on the heads of the requests only.
    """

    def __init__(self, node, proxy, limits=None, name="callers", ignores_body=False):
        self.node = node
        self.proxy = proxy
        self.limits = limits or make_client_limits(node.settings, node.metrics)
        self.ignores_body = ignores_body
        self._name = name
        self.leaving = False
        self.pending_bytes = 0
        self._connections = set()
        # Connections that were accepted and whose task has not run yet.
        self._unstarted = 0
        self._active_refusals = 0
        self._listeners = []
        self._accept_scope = trio.CancelScope()
        # Cleared while a listener may hold connections that are not accepted yet.
        self._backlog_accepted = trio.Event()
        self._backlog_accepted.set()
        self._tls_context = make_caller_context(node.settings)

    async def run(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Serve callers at `address` until cancelled or drained.

        Raises
        ------
        OSError
            If the server cannot listen at the address.
        """
        self._listeners = await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=_LISTEN_BACKLOG
        )
        self._backlog_accepted = trio.Event()
        task_status.started(self._listeners)
        async with trio.open_nursery() as connection_nursery:
            try:
                with self._accept_scope:
                    async with trio.open_nursery() as accept_nursery:
                        for listener in self._listeners:
                            accept_nursery.start_soon(
                                self._accept, listener, connection_nursery
                            )
                await self._accept_backlog(connection_nursery)
            finally:
                for listener in self._listeners:
                    listener.socket.close()
                self._backlog_accepted.set()

    async def drain(self, notice, grace):
        """Stop accepting connections after `notice`, then wait for open requests.

        Parameters
        ----------
        notice : float
            Time in seconds for callers to switch to other addresses.
        grace : float
            Maximum time in seconds to wait for requests in flight.
        """
        self.leaving = True
        await trio.sleep(notice)
        self._accept_scope.cancel()
        with trio.move_on_after(grace):
            await self._backlog_accepted.wait()
            while self._connections or self._unstarted:
                for connection in list(self._connections):
                    connection.close_if_idle()
                await trio.sleep(_DRAIN_POLL_SECONDS)

    def use_tls_context(self, context):
        """Use a TLS context, or None for plain TCP, for new connections."""
        self._tls_context = context

    async def serve_connection(self, stream):
        """Serve one connection until it ends, then close it."""
        limit = self.node.settings.get("listen", "max_connections")
        slots = self.limits.slots
        slot = slots.open(self._name, trio.current_time(), limit)
        try:
            if slot is None:
                await self._refuse_connection(stream)
                return
            if self._tls_context is not None:
                stream = trio.SSLStream(
                    stream, self._tls_context, server_side=True, https_compatible=True
                )
            connection = CallerConnection(self, stream, slot)
            slot.close = connection.close_for_descriptors
            self._connections.add(connection)
            self._update_connection_gauge()
            try:
                await connection.run()
            finally:
                self._connections.discard(connection)
                self._update_connection_gauge()
        finally:
            if slot is not None:
                slots.close(slot)
            await trio.aclose_forcefully(stream)

    async def _accept(self, listener, nursery):
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                if error.errno not in _RESOURCE_ERRORS:
                    raise
                self.node.metrics.count("accepts_failed")
                await trio.sleep(_ACCEPT_RETRY_SECONDS)
                continue
            self._start_connection(nursery, stream)

    def _start_connection(self, nursery, stream):
        self._unstarted += 1
        nursery.start_soon(self._serve_accepted, stream)

    async def _serve_accepted(self, stream):
        # The connection is registered before this task waits for the first time.
        self._unstarted -= 1
        await self.serve_connection(stream)

    async def _accept_backlog(self, nursery):
        """Accept the connections in the kernel's backlog.

        Closing the listener would reset them.
        """
        for listener in self._listeners:
            while listener.socket.is_readable():
                try:
                    stream = await listener.accept()
                except (OSError, trio.ClosedResourceError):
                    break
                self._start_connection(nursery, stream)

    def _update_connection_gauge(self):
        self.node.metrics.set_gauge("caller_connections", len(self._connections))
        self.limits.update_gauges()

    async def _refuse_connection(self, stream):
        reason = RefusalReason.TOO_MANY_CONNECTIONS
        self.node.metrics.count_refusal(reason)
        is_bounded = self.limits.slots.size is not None
        most = _MAX_BOUNDED_REFUSALS if is_bounded else _MAX_CONCURRENT_REFUSALS
        if self._active_refusals >= most or self._tls_context is not None:
            return
        self._active_refusals += 1
        try:
            with trio.move_on_after(_REFUSAL_TIMEOUT_SECONDS):
                # The unread request may have an operation id that has run before.
                answer = Answer.unknown(reason)
                await stream.send_all(encode_answer(answer, close=True))
                await stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.node.metrics.count("caller_connections_broken")
        finally:
            self._active_refusals -= 1


def make_caller_server(node, proxy, limits=None, name="callers", ignores_body=False):
    """Return a server for callers; see `CallerServer`."""
    return CallerServer(node, proxy, limits, name, ignores_body)
