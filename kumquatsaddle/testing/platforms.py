"""A platform in memory with the faults of a real one."""

import time

import trio

from kumquatsaddle.exceptions import PlatformUnavailableError
from kumquatsaddle.storage.memory import MemoryPlatform

__all__ = ["FaultyPlatform", "copy_store"]


class FaultyPlatform:
    """Wraps a `MemoryPlatform` and fails as told.

    Parameters
    ----------
    store : MemoryPlatform, optional
        Several wrappers may share one store, one for each client.
    """

    def __init__(self, store=None):
        self.store = store or MemoryPlatform()
        self.down = False
        self.delay = 0.0
        # Writes whose reply is lost after their effect, and before it.
        self.lose_replies = 0
        self.lose_requests = 0
        # Writes that take effect only after the caller has been told of a failure.
        self.late_effects = []
        self.delay_effects = 0
        # Whether the platform goes away right after it has lost a reply.
        self.down_after_loss = False
        # An earlier state of the store that reads show; None: the current one.
        self.stale = None
        self.stale_reads = 0

    async def read_row(self, key):
        """Return the row at `key`, or None."""
        await self._enter()
        return await self._read_store().read_row(key)

    async def put_row(self, key, value, expected_version):
        """Write a row, subject to the faults."""
        arguments = (key, value, expected_version)
        return await self._write(self.store.put_row, arguments)

    async def delete_row(self, key, expected_version):
        """Delete a row, subject to the faults."""
        await self._write(self.store.delete_row, (key, expected_version))

    async def list_rows(self, prefix, after="", limit=1000):
        """Return rows in the order of their keys."""
        await self._enter()
        return await self._read_store().list_rows(prefix, after, limit)

    async def read_object(self, key):
        """Return an object's bytes, or None."""
        await self._enter()
        return await self._read_store().read_object(key)

    async def write_object(self, key, data):
        """Write an object, subject to the faults."""
        await self._write(self.store.write_object, (key, data))

    async def list_instances(self):
        """Return the instances."""
        await self._enter()
        return await self._read_store().list_instances()

    async def apply_late_effects(self):
        """Let the delayed writes take effect now, as far as they still can."""
        effects, self.late_effects = self.late_effects, []
        for write, arguments in effects:
            try:
                await write(*arguments)
            except Exception:  # noqa: BLE001 - a late write may find a conflict
                continue

    def _read_store(self):
        self.stale_reads += self.stale is not None
        return self.stale or self.store

    async def _enter(self):
        await trio.sleep(self.delay)
        if self.down:
            raise PlatformUnavailableError("down")

    async def _write(self, write, arguments):
        await self._enter()
        if self.lose_requests:
            self.lose_requests -= 1
            raise PlatformUnavailableError("request lost")
        if self.delay_effects:
            self.delay_effects -= 1
            self.late_effects.append((write, arguments))
            raise PlatformUnavailableError("no reply in time")
        result = await write(*arguments)
        if self.lose_replies:
            self.lose_replies -= 1
            self.down = self.down or self.down_after_loss
            raise PlatformUnavailableError("reply lost")
        return result


def copy_store(store):
    """Return a copy of a `MemoryPlatform` as it is now, for reads that lag.

    Its list of instances keeps the time of the copy.
    """
    copied_at = time.time()
    copy = MemoryPlatform(lambda: copied_at)
    copy.rows, copy.objects = dict(store.rows), dict(store.objects)
    copy.instances = dict(store.instances)
    return copy
