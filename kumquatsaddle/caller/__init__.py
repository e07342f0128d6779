"""A client for callers of the fleet.

Examples
--------
>>> from kumquatsaddle.caller import make_caller
>>> from kumquatsaddle.settings import Address
>>> caller = make_caller([Address("127.0.0.1", 8000)], "order", "shop-1")
>>> # result = await caller.send("POST", "/order", b"two chairs")
"""

from kumquatsaddle.caller.addresses import AddressCache, FleetUnreachableError
from kumquatsaddle.caller.calls import Caller, CallResult, make_caller
from kumquatsaddle.caller.connections import ConnectionPool

__all__ = [
    "AddressCache",
    "Caller",
    "CallResult",
    "ConnectionPool",
    "FleetUnreachableError",
    "make_caller",
]
