"""The entry: servers for callers, for other instances and for operators."""

from importlib import import_module

_MODULES = {
    "CallerServer": "callers",
    "ControlServer": "control",
    "Proxy": "proxy",
    "make_caller_server": "callers",
    "make_control_server": "control",
    "make_proxy": "proxy",
}

__all__ = list(_MODULES)


def __getattr__(name):
    """Import a part when it is first used: an instance uses only some of them."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
