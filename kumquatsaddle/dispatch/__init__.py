"""Dispatch: slots and connections of backend servers, retries, forwarding."""

from importlib import import_module

_MODULES = {
    "BackendConnection": "connections",
    "BackendServer": "servers",
    "Dispatcher": "dispatcher",
    "ExchangeError": "connections",
    "make_dispatcher": "dispatcher",
    "open_connection": "connections",
}

__all__ = list(_MODULES)


def __getattr__(name):
    """Import a part when it is first used: an instance uses only some of them."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
