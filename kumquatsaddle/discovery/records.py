"""Registration records of backend servers and instances."""

from dataclasses import dataclass, field

from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.types import BackendId, InstanceId, ServiceName, ZoneId

__all__ = ["InstanceRecord", "ServerRecord"]


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """The entry of a backend server in the store, written by the server itself.

    Parameters
    ----------
    name : BackendId
    started_at_ms : int
        Start of the server in milliseconds since the epoch; another value under the
        same name is a new incarnation.
    service : ServiceName
    address : Address
    zone : ZoneId
    slots : int
        Number of requests that it runs concurrently.
    draining : bool
        Whether the server has announced that it will shut down.
    slow_start_seconds : float
        Seconds of slow start that remained when the entry was written.
    sequence : int or None, default=None
        Number of the entry among those of its incarnation; None if it states none.
        Records that differ in nothing else are equal.
    """

    name: BackendId
    started_at_ms: int
    service: ServiceName
    address: Address
    zone: ZoneId
    slots: int
    draining: bool
    slow_start_seconds: float = 0.0
    sequence: int | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """The entry of an instance in the store, written by the instance itself.

    Parameters
    ----------
    name : InstanceId
    zone : ZoneId
    callers : Address
        Where callers connect.
    control : Address
        Where other instances send reports and fetches.
    """

    name: InstanceId
    zone: ZoneId
    callers: Address
    control: Address
