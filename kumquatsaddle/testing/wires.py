"""A relay in front of a TCP server that loses bytes in one or both directions."""

import trio

__all__ = ["Wire"]

_READ_BYTES = 65536


class Wire:
    """Relays the connections to `target`.

    Parameters
    ----------
    target : Address

    Attributes
    ----------
    lose_requests, lose_answers : bool
        Whether bytes towards the server or from it are lost, as in a one-way
        partition.
    delay : float
        Time in seconds by which answers are late.
    """

    def __init__(self, target):
        self._target = target
        self.lose_requests = False
        self.lose_answers = False
        self.delay = 0.0
        self._scopes = set()

    async def run(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Relay connections to `address` until cancelled."""
        await trio.serve_tcp(
            self._relay, address.port, host=address.host, task_status=task_status
        )

    def break_connections(self):
        """Break all connections at once."""
        for scope in list(self._scopes):
            scope.cancel()

    async def _relay(self, client):
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                server = await trio.open_tcp_stream(
                    self._target.host, self._target.port
                )
                async with client, server, trio.open_nursery() as nursery:
                    nursery.start_soon(self._copy, client, server, "lose_requests")
                    nursery.start_soon(self._copy, server, client, "lose_answers")
            except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                self._scopes.discard(scope)
        await trio.aclose_forcefully(client)

    async def _copy(self, source, sink, lost):
        while True:
            data = await source.receive_some(_READ_BYTES)
            if lost == "lose_answers" and self.delay:
                await trio.sleep(self.delay)
            if getattr(self, lost):
                continue
            if not data:
                await sink.send_eof()
                return
            await sink.send_all(data)
