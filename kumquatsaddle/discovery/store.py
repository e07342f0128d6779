"""Interface of the platform's store as used by discovery."""

from dataclasses import dataclass
from typing import Protocol

from kumquatsaddle.discovery.positions import NO_EPOCH, StorePosition
from kumquatsaddle.discovery.records import InstanceRecord
from kumquatsaddle.types import StoreEpoch

__all__ = ["DiscoveryStore", "RouteRow", "Snapshot"]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows that a read or watch of one table of the store returned.

    Parameters
    ----------
    rows : list
        Of `ListedRow` or `RouteRow`.
    position : StorePosition
        At which the rows were read. The versions of the rows are of its epoch.
    """

    rows: list
    position: StorePosition


@dataclass(frozen=True, slots=True)
class RouteRow:
    """The published routes as they stand in the store.

    Parameters
    ----------
    version : int
        Version of the row in the store.
    text : bytes
        Routes in the encoding of the platform; see `DiscoveryStore.parse_routes`. Of
        the routes in force, as `DiscoveryStore.parse_published_routes` returns it.
    error : str, optional
        Why there is no text, if the entry of the store cannot be read.
    epoch : StoreEpoch, default=NO_EPOCH
        Of the store that gave out the version.
    """

    version: int
    text: bytes
    error: str = ""
    epoch: StoreEpoch = NO_EPOCH

    @property
    def position(self):
        """The `StorePosition` of the row."""
        return StorePosition(self.epoch, self.version)


class DiscoveryStore(Protocol):
    """Reads and watches the store.

    Every method raises `PlatformUnavailableError` if a call fails or times out, or if
    the store came back from a copy during it, and `HistoryLostError` if the store no
    longer holds the requested changes.
    """

    async def read_servers(self) -> Snapshot:
        """Return all entries of the list of backend servers."""

    async def watch_servers(self, after: int, wait: float) -> Snapshot:
        """Return the entries changed after a version; wait up to `wait` s for one."""

    async def read_routes(self) -> Snapshot:
        """Return the published routes; no row if there are none yet."""

    async def watch_routes(self, after: int, wait: float) -> Snapshot:
        """Return the routes if changed after a version; wait up to `wait` s for it."""

    async def confirm_servers(self, keys: list) -> Snapshot:
        """Return the current entries of servers even if other reads are stale."""

    async def confirm_routes(self) -> Snapshot:
        """Return the current routes even if other reads are stale."""

    async def register_instance(self, record: InstanceRecord) -> None:
        """Write the entry of an instance."""

    async def list_instances(self) -> list:
        """Return the `InstanceRecord` of each registered instance."""

    def parse_routes(self, text: bytes):
        """Decode a `RouteTable`; raise `ConfigurationError` if it is invalid."""

    def parse_published_routes(self, text: bytes):
        """Decode a `RouteTable` of the store; return it and the text without API keys.

        `parse_routes` accepts that text. Raise `ConfigurationError` if it is invalid.
        """

    def parse_server(self, key: str, text: bytes):
        """Decode a `ServerRecord`; raise `ConfigurationError` if it is invalid."""
