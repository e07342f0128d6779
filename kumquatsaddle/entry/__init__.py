"""The entry: servers for callers, for other instances and for operators."""

from kumquatsaddle.entry.callers import CallerServer, make_caller_server
from kumquatsaddle.entry.control import ControlServer, make_control_server
from kumquatsaddle.entry.proxy import Proxy, make_proxy

__all__ = [
    "CallerServer",
    "ControlServer",
    "Proxy",
    "make_caller_server",
    "make_control_server",
    "make_proxy",
]
