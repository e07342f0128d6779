"""The interface of the platform and the registry of its implementations."""

import sys
from dataclasses import dataclass, fields
from typing import Protocol

from kumquatsaddle.logs import log_event
from kumquatsaddle.registries import Registry
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.types import RegionId, ServiceName, ZoneId

__all__ = [
    "InstanceList",
    "ListedInstance",
    "Platform",
    "Row",
    "make_platform",
    "parse_instances",
    "platforms",
]

platforms = Registry("platform")

# Fields of a list entry whose values are shared by many entries.
_INTERNED_FIELDS = ("role", "service", "zone", "region")


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table: its key, its JSON value and an opaque version tag."""

    key: str
    value: dict
    version: str


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's list of instances.

    The list may lag behind the real state.

    Parameters
    ----------
    name : str
        Name of the instance.
    role : str
        ``entry`` for an instance of the fleet, ``backend`` for a backend server.
    service : ServiceName
        Service of a backend server, empty for an entry instance.
    address : str
        ``host:port`` that takes requests; for an entry instance, its control address.
    zone, region : str
        Availability zone and region in which it runs.
    leaving : bool
        Whether the platform reports that the instance is leaving.
    """

    name: str
    role: str
    service: ServiceName
    address: str
    zone: ZoneId
    region: RegionId
    leaving: bool = False


class InstanceList(list):
    """The platform's list of instances and the time at which it was read.

    Parameters
    ----------
    entries : iterable of ListedInstance
    read_at : float
        Seconds since the epoch on the clock of the platform; on that of this instance
        if the reply of the platform has no valid Date header.
    """

    def __init__(self, entries=(), read_at=0.0):
        super().__init__(entries)
        self.read_at = read_at


class Platform(Protocol):
    """Operations that the fleet needs from the platform.

    Every method raises `PlatformUnavailableError` if the call fails or times out; a
    write may have taken effect nevertheless.
    """

    async def read_row(self, key: str) -> Row | None:
        """Return the row at `key`, or None if there is none."""

    async def put_row(self, key: str, value: dict, expected_version: str | None) -> str:
        """Write a row if it has the expected version; return the new version.

        An `expected_version` of None means that the row must not exist.

        Raises
        ------
        ConflictError
            If the row has another version.
        """

    async def delete_row(self, key: str, expected_version: str) -> None:
        """Delete a row if it has the expected version.

        Raises
        ------
        ConflictError
            If the row has another version or does not exist.
        """

    async def list_rows(self, prefix: str, after: str = "", limit: int = 1000) -> list:
        """Return the first rows, sorted by key, whose key has `prefix`.

        At most `limit` rows are returned, all with a key above `after`.
        """

    async def read_object(self, key: str) -> bytes | None:
        """Return an object's bytes, or None if there is none."""

    async def write_object(self, key: str, data: bytes) -> None:
        """Write an object."""

    async def list_instances(self) -> InstanceList:
        """Return the platform's list of instances."""


def make_platform(settings):
    """Return the platform that the settings name.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    Platform
    """
    return platforms.get(settings.get("platform", "kind"))(settings)


def parse_instances(entries):
    """Return the valid entries of a list of instances.

    Invalid entries are logged and left out, so that they do not affect the others.

    Parameters
    ----------
    entries : list of dict
        JSON values.

    Returns
    -------
    list of ListedInstance

    Raises
    ------
    ValueError
        If `entries` is not a list.
    """
    if not isinstance(entries, list):
        raise ValueError("the list of instances is not a JSON array")
    listed = []
    for entry in entries:
        try:
            listed.append(_parse_instance(entry))
        except (TypeError, ValueError) as error:
            log_event("listed_instance_invalid", level="WARNING", error=error)
    return listed


def _parse_instance(entry):
    instance = ListedInstance(**{**entry, **_intern_shared_values(entry)})
    for field in fields(ListedInstance):
        expected_type = bool if field.name == "leaving" else str
        if not isinstance(getattr(instance, field.name), expected_type):
            raise ValueError(f"{field.name} is not a {expected_type.__name__}")
    if not instance.name:
        raise ValueError("name is empty")
    parse_address(instance.address)
    return instance


def _intern_shared_values(entry):
    """Return the values that many entries share, each stored once in memory."""
    values = {key: entry.get(key) for key in _INTERNED_FIELDS}
    return {
        key: sys.intern(value) for key, value in values.items() if type(value) is str
    }
