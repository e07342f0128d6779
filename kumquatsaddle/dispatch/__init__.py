"""Dispatch: slots and connections of backend servers, retries, forwarding."""

from kumquatsaddle.imports import make_lazy_getattr

_MODULES = {
    "BackendConnection": "connections",
    "BackendServer": "servers",
    "Dispatcher": "dispatcher",
    "ExchangeError": "connections",
    "make_dispatcher": "dispatcher",
    "open_connection": "connections",
}

__all__ = list(_MODULES)

__getattr__ = make_lazy_getattr(__name__, _MODULES)
