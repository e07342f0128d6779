"""Dispatch: slots and connections of backend servers, retries, forwarding."""

from kumquatsaddle.dispatch.connections import (
    BackendConnection,
    ExchangeError,
    open_connection,
)
from kumquatsaddle.dispatch.dispatcher import Dispatcher, make_dispatcher
from kumquatsaddle.dispatch.servers import BackendServer

__all__ = [
    "BackendConnection",
    "BackendServer",
    "Dispatcher",
    "ExchangeError",
    "make_dispatcher",
    "open_connection",
]
