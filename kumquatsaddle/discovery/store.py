"""What discovery asks of the platform's store."""

from dataclasses import dataclass
from typing import Protocol

from kumquatsaddle.discovery.records import InstanceRecord

__all__ = ["DiscoveryStore", "RouteRow", "Snapshot"]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows of one table of the store.

    Parameters
    ----------
    rows : list
        Of `ListedRow` or `RouteRow`.
    version : int
        Version of the store as of which they were read.
    """

    rows: list
    version: int


@dataclass(frozen=True, slots=True)
class RouteRow:
    """The published routes as they stand in the store.

    Parameters
    ----------
    version : int
        Of the row in the store.
    text : bytes
        Encoded as the platform does; see `DiscoveryStore.parse_routes`.
    """

    version: int
    text: bytes


class DiscoveryStore(Protocol):
    """Reads and watches the store.

    Every method raises `PlatformUnavailableError` when a call fails or times out, and
    `HistoryLostError` when the changes that are asked for are no longer kept.
    """

    async def read_servers(self) -> Snapshot:
        """Return all entries of the list of backend servers."""

    async def watch_servers(self, after: int, wait: float) -> Snapshot:
        """Return the entries that changed after a version, waiting for one."""

    async def read_routes(self) -> Snapshot:
        """Return the published routes; no row if there are none yet."""

    async def watch_routes(self, after: int, wait: float) -> Snapshot:
        """Return the published routes if they changed after a version."""

    async def confirm_servers(self, keys: list) -> Snapshot:
        """Return the current entries of some servers, also while reads are stale."""

    async def confirm_routes(self) -> Snapshot:
        """Return the current routes, also while reads are stale."""

    async def register_instance(self, record: InstanceRecord) -> None:
        """Write the entry of an instance."""

    async def list_instances(self) -> list:
        """Return the `InstanceRecord` of each registered instance."""

    def parse_routes(self, text: bytes):
        """Return the `RouteTable` of a text, or raise `ConfigurationError`."""

    def parse_server(self, key: str, text: bytes):
        """Return the `ServerRecord` of a text, or raise `ConfigurationError`."""
