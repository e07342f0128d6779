"""An in-memory platform, for tests and for trying the fleet on a laptop."""

import json
import time

from kumquatsaddle.exceptions import ConflictError
from kumquatsaddle.storage.interface import (
    InstanceList,
    ListedInstance,
    Row,
    platforms,
)
from kumquatsaddle.types import RegionId, ServiceName, ZoneId

__all__ = ["MemoryPlatform", "make_memory_platform"]


class MemoryPlatform:
    """A platform that holds rows, objects and instances in dictionaries.

    The versions of rows come from one counter.

    Parameters
    ----------
    clock : callable, optional
        Returns seconds since the epoch.
    """

    def __init__(self, clock=time.time):
        self._clock = clock
        self.rows = {}
        self.objects = {}
        self.instances = {}
        self._last_version = 0

    async def read_row(self, key):
        """Return the row at `key`, or None."""
        entry = self.rows.get(key)
        return Row(key, json.loads(entry[0]), entry[1]) if entry else None

    async def put_row(self, key, value, expected_version):
        """Write a row if it has the expected version; return the new version."""
        current = self.rows[key][1] if key in self.rows else None
        if current != expected_version:
            raise ConflictError(
                f"{key}: the row is at version {current}, not {expected_version}"
            )
        self._last_version += 1
        self.rows[key] = (json.dumps(value), str(self._last_version))
        return str(self._last_version)

    async def delete_row(self, key, expected_version):
        """Delete a row if it has the expected version."""
        if key not in self.rows or self.rows[key][1] != expected_version:
            raise ConflictError(f"{key}: the row is not at version {expected_version}")
        del self.rows[key]

    async def list_rows(self, prefix, after="", limit=1000):
        """Return rows sorted by key."""
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return [
            Row(key, json.loads(self.rows[key][0]), self.rows[key][1])
            for key in keys[:limit]
        ]

    async def read_object(self, key):
        """Return an object's bytes, or None."""
        return self.objects.get(key)

    async def write_object(self, key, data):
        """Write an object."""
        self.objects[key] = bytes(data)

    async def list_instances(self):
        """Return the instances sorted by name."""
        entries = [self.instances[name] for name in sorted(self.instances)]
        return InstanceList(entries, self._clock())


@platforms.register("memory")
def make_memory_platform(settings=None):
    """Return an in-memory platform with the backend servers of the settings.

    Sections ``[backend:NAME]`` hold ``service``, ``address`` and optionally ``zone``
    and ``region``.
    """
    platform = MemoryPlatform()
    for (kind, name), values in settings.initial_sections.items() if settings else ():
        if kind != "backend":
            continue
        platform.instances[name] = ListedInstance(
            name=name,
            role="backend",
            service=ServiceName(values.get("service", "")),
            address=values.get("address", ""),
            zone=ZoneId(values.get("zone", settings.get("instance", "zone"))),
            region=RegionId(values.get("region", settings.get("instance", "region"))),
        )
    return platform
