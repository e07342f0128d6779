"""A TCP relay that drops or delays bytes."""

import trio

__all__ = ["FaultyRelay"]

_READ_BYTES = 65536


class FaultyRelay:
    """Relays connections to `target` and injects network faults.

    Parameters
    ----------
    target : Address

    Attributes
    ----------
    lose_requests, lose_answers : bool
        Whether bytes to the server, or from it, are dropped, as in a one-way
        network partition.
    delay : float
        Delay in seconds of each read from the server.
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
        """Close all connections abruptly."""
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

    async def _copy(self, source, destination, loss_flag):
        while True:
            data = await source.receive_some(_READ_BYTES)
            if loss_flag == "lose_answers" and self.delay:
                await trio.sleep(self.delay)
            if getattr(self, loss_flag):
                continue
            if not data:
                await destination.send_eof()
                return
            await destination.send_all(data)
