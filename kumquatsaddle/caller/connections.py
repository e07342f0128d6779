"""Keep-alive connections of a caller to the instances of the fleet."""

import trio

from kumquatsaddle.dispatch.connections import (
    BackendConnection,
    ExchangeError,
    open_connection,
)
from kumquatsaddle.types import RefusalReason

__all__ = ["ConnectionPool"]

# Idle connections that are kept for one address.
_MOST_IDLE = 32


class _TlsStream:
    """A TLS stream that shows its socket, as plain streams do."""

    def __init__(self, stream):
        self.socket = stream.transport_stream.socket
        self.send_all = stream.send_all
        self.receive_some = stream.receive_some
        self.aclose = stream.aclose


class ConnectionPool:
    """Idle connections by address, the last used one first.

    Parameters
    ----------
    timeout : float
        For a connection to open, in seconds.
    context : ssl.SSLContext, optional
        Connects with TLS.
    """

    def __init__(self, timeout, context=None):
        self._timeout = timeout
        self._context = context
        self._idle = {}

    async def take(self, address):
        """Return an idle connection to an address, or a new one.

        Raises
        ------
        ExchangeError
            If the address does not accept one in time; nothing was sent.
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

    async def put(self, address, connection):
        """Keep a connection after an exchange, or close it if it is used up."""
        idle = self._idle.setdefault(address, [])
        if len(idle) < _MOST_IDLE and connection.is_reusable():
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
