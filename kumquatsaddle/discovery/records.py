"""Entries of the list of backend servers and of instances."""

from dataclasses import dataclass

from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.types import BackendId, InstanceId, ServiceName, ZoneId

__all__ = ["InstanceRecord", "ServerRecord"]


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """What a backend server says of itself in the list.

    Parameters
    ----------
    name : BackendId
    born : int
        Start of the server in milliseconds since the epoch; another value under the
        same name is a new incarnation.
    service : ServiceName
    address : Address
    zone : ZoneId
    slots : int
        Requests that it runs at a time.
    draining : bool
        Whether it says that it is leaving.
    cold : float
        Seconds for which it is still slow after its start, from when the entry was
        written.
    """

    name: BackendId
    born: int
    service: ServiceName
    address: Address
    zone: ZoneId
    slots: int
    draining: bool
    cold: float = 0.0


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An instance of the fleet as it registered itself.

    Parameters
    ----------
    name : InstanceId
    zone : ZoneId
    callers, control : Address
    """

    name: InstanceId
    zone: ZoneId
    callers: Address
    control: Address
