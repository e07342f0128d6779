"""Dispatches requests to the backend servers whose home is this instance.

The backend servers of a service are divided into groups. Each group has one instance as
its home, and only the home sends requests to the servers of the group; other instances
forward requests to it. In `kumquatsaddle.balance`, which serves published routes, every
instance may send to every server.
"""

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
