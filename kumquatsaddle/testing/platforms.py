"""An in-memory platform with faults that a test sets."""

import time

import trio

from kumquatsaddle.exceptions import PlatformUnavailableError
from kumquatsaddle.storage.memory import MemoryPlatform

__all__ = ["FaultyPlatform", "copy_store"]


class FaultyPlatform:
    """Wraps a `MemoryPlatform` and injects the faults set in its attributes.

    Parameters
    ----------
    store : MemoryPlatform, optional
        Several wrappers, one for each client, may share one store.
    """

    def __init__(self, store=None):
        self.store = store or MemoryPlatform()
        self.down = False
        self.delay = 0.0
        # Number of coming writes whose reply is lost, after the write took effect.
        self.lose_replies = 0
        # Number of coming writes whose request is lost, so that they take no effect.
        self.lose_requests = 0
        # Writes that failed and take effect later; the number of such writes to come.
        self.late_effects = []
        self.delay_effects = 0
        # Whether the platform becomes unavailable after it has lost a reply.
        self.down_after_loss = False
        # An earlier copy of the store that is read instead, and how often it was read.
        self.stale = None
        self.stale_reads = 0

    async def read_row(self, key):
        """Return the row at `key`, or None."""
        await self._delay_or_fail()
        return await self._read_store().read_row(key)

    async def put_row(self, key, value, expected_version):
        """Write a row, subject to the faults."""
        arguments = (key, value, expected_version)
        return await self._write(self.store.put_row, arguments)

    async def delete_row(self, key, expected_version):
        """Delete a row, subject to the faults."""
        await self._write(self.store.delete_row, (key, expected_version))

    async def list_rows(self, prefix, after="", limit=1000):
        """Return the rows whose keys have a prefix, in the order of the keys."""
        await self._delay_or_fail()
        return await self._read_store().list_rows(prefix, after, limit)

    async def read_object(self, key):
        """Return the bytes of the object at `key`, or None."""
        await self._delay_or_fail()
        return await self._read_store().read_object(key)

    async def write_object(self, key, data):
        """Write an object, subject to the faults."""
        await self._write(self.store.write_object, (key, data))

    async def list_instances(self):
        """Return the list of instances."""
        await self._delay_or_fail()
        return await self._read_store().list_instances()

    async def apply_late_effects(self):
        """Run the delayed writes now; those that fail are dropped."""
        effects, self.late_effects = self.late_effects, []
        for write, arguments in effects:
            try:
                await write(*arguments)
            except Exception:  # noqa: BLE001 - the row may have changed meanwhile
                continue

    def _read_store(self):
        self.stale_reads += self.stale is not None
        return self.stale or self.store

    async def _delay_or_fail(self):
        await trio.sleep(self.delay)
        if self.down:
            raise PlatformUnavailableError("the platform is down")

    async def _write(self, write, arguments):
        await self._delay_or_fail()
        if self.lose_requests:
            self.lose_requests -= 1
            raise PlatformUnavailableError("the request to the platform was lost")
        if self.delay_effects:
            self.delay_effects -= 1
            self.late_effects.append((write, arguments))
            raise PlatformUnavailableError("the platform did not reply in time")
        result = await write(*arguments)
        if self.lose_replies:
            self.lose_replies -= 1
            self.down = self.down or self.down_after_loss
            raise PlatformUnavailableError("the reply of the platform was lost")
        return result


def copy_store(store):
    """Return a copy of a `MemoryPlatform`, for tests of stale reads.

    Its clock stands still, so that its list of instances has the time of the copy.
    """
    copied_at = time.time()
    copy = MemoryPlatform(lambda: copied_at)
    copy.rows, copy.objects = dict(store.rows), dict(store.objects)
    copy.instances = dict(store.instances)
    return copy
