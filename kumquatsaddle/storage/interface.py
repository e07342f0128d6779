"""The narrow interface to the platform and the registry of its implementations."""

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

# Fields of an entry whose texts many entries share.
_REPEATED = ("role", "service", "zone", "region")


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table: its JSON value and an opaque version tag."""

    key: str
    value: dict
    version: str


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's list of instances, which lags.

    Parameters
    ----------
    name : str
        Name of the instance.
    role : str
        ``entry`` for an instance of the fleet, ``backend`` for a backend server.
    service : ServiceName
        Service of a backend server, empty for an entry instance.
    address : str
        ``host:port`` for work; of an entry instance the control address.
    zone, region : str
        Where it runs.
    leaving : bool
        Whether the platform says that it is leaving.
    """

    name: str
    role: str
    service: ServiceName
    address: str
    zone: ZoneId
    region: RegionId
    leaving: bool = False


class InstanceList(list):
    """The platform's list of instances and when it was read.

    Parameters
    ----------
    entries : iterable of ListedInstance
    read_at : float
        Seconds since the epoch by the clock of the platform.
    """

    def __init__(self, entries=(), read_at=0.0):
        super().__init__(entries)
        self.read_at = read_at


class Platform(Protocol):
    """What the fleet asks of the platform.

    Every method raises `PlatformUnavailableError` when the call fails or times out;
    a write may have taken effect all the same.
    """

    async def read_row(self, key: str) -> Row | None:
        """Return the row at `key`, or None if there is none."""

    async def put_row(self, key: str, value: dict, expected_version: str | None) -> str:
        """Write a row if its version is the expected one; return the new version.

        `expected_version` None means that the row must not exist.

        Raises
        ------
        ConflictError
            If the version is another one.
        """

    async def delete_row(self, key: str, expected_version: str) -> None:
        """Delete a row if its version is the expected one.

        Raises
        ------
        ConflictError
            If the version is another one or the row is absent.
        """

    async def list_rows(self, prefix: str, after: str = "", limit: int = 1000) -> list:
        """Return at most `limit` rows whose key has `prefix` and is above `after`.

        They are in the order of their keys.
        """

    async def read_object(self, key: str) -> bytes | None:
        """Return an object's bytes, or None if there is none."""

    async def write_object(self, key: str, data: bytes) -> None:
        """Write an object."""

    async def list_instances(self) -> InstanceList:
        """Return the instances known to the platform."""


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

    An invalid entry is logged and left out, so that it takes no other one with it.

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
        If it is not a list.
    """
    if not isinstance(entries, list):
        raise ValueError("is not a list")
    listed = []
    for entry in entries:
        try:
            listed.append(_parse_instance(entry))
        except (TypeError, ValueError) as error:
            log_event("listed_instance_invalid", level="WARNING", error=error)
    return listed


def _parse_instance(entry):
    instance = ListedInstance(**{**entry, **_intern_repeated(entry)})
    for field in fields(ListedInstance):
        kind = bool if field.name == "leaving" else str
        if not isinstance(getattr(instance, field.name), kind):
            raise ValueError(f"{field.name} is not a {kind.__name__}")
    if not instance.name:
        raise ValueError("name is empty")
    parse_address(instance.address)
    return instance


def _intern_repeated(entry):
    """Return the texts that many entries share, each held once in memory."""
    values = {key: entry.get(key) for key in _REPEATED}
    return {
        key: sys.intern(value) for key, value in values.items() if type(value) is str
    }
