"""Servers of an instance: for callers, for other instances and for operators."""

from kumquatsaddle.imports import make_lazy_getattr

_MODULES = {
    "CallerServer": "callers",
    "ControlServer": "control",
    "Proxy": "proxy",
    "make_caller_server": "callers",
    "make_control_server": "control",
    "make_proxy": "proxy",
}

__all__ = list(_MODULES)

__getattr__ = make_lazy_getattr(__name__, _MODULES)
