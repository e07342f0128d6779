"""A pool of keep-alive connections from a caller to the instances of the fleet."""

import trio

from kumquatsaddle.dispatch.connections import (
    BackendConnection,
    ExchangeError,
    open_connection,
)
from kumquatsaddle.types import RefusalReason

__all__ = ["ConnectionPool"]

_MAX_IDLE_PER_ADDRESS = 32


class _TlsStream:
    """A TLS stream with a `socket` attribute, as plain streams have."""

    def __init__(self, stream):
        self.socket = stream.transport_stream.socket
        self.send_all = stream.send_all
        self.receive_some = stream.receive_some
        self.aclose = stream.aclose


class ConnectionPool:
    """Idle connections by address; the most recently used one is reused first.

    Parameters
    ----------
    timeout : float
        Time limit for opening a connection, in seconds.
    context : ssl.SSLContext, optional
        Context for TLS connections; default: plain TCP.
    """

    def __init__(self, timeout, context=None):
        self._timeout = timeout
        self._context = context
        self._idle = {}

    async def acquire(self, address):
        """Return an idle connection to an address, or a new one.

        Raises
        ------
        ExchangeError
            If no connection could be opened in time; nothing was sent.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable():
                return connection
            await connection.close()
        if self._context is None:
            return await open_connection(address, self._timeout)
        return await self._open_tls(address)

    async def release(self, address, connection):
        """Return a connection to the pool, or close it if it cannot be reused."""
        idle = self._idle.setdefault(address, [])
        if len(idle) < _MAX_IDLE_PER_ADDRESS and connection.is_reusable():
            idle.append(connection)
        else:
            await connection.close()

    async def close(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                await idle.pop().close()

    async def _open_tls(self, address):
        stream = None
        try:
            with trio.fail_after(self._timeout):
                stream = await trio.open_tcp_stream(address.host, address.port)
                tls = trio.SSLStream(
                    stream,
                    self._context,
                    server_hostname=address.host,
                    https_compatible=True,
                )
                await tls.do_handshake()
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
            if stream is not None:
                await trio.aclose_forcefully(stream)
            reason = RefusalReason.PEER_UNREACHABLE
            raise ExchangeError(reason, False, error) from None
        return BackendConnection(_TlsStream(tls))
