"""Recent changes of an instance, for fetches by peers and requests of operators."""

from collections import deque

import trio

from kumquatsaddle.configuration.snapshots import encode_snapshot
from kumquatsaddle.configuration.transport import dump_change

__all__ = ["RecentChanges"]

# A peer that is further behind gets a snapshot.
MAX_RECENT_CHANGES = 200


class RecentChanges:
    """The latest changes up to the version in force.

    Parameters
    ----------
    configuration : Configuration
    """

    def __init__(self, configuration):
        self._configuration = configuration
        self._recent = deque(maxlen=MAX_RECENT_CHANGES)
        self._snapshot = None
        self._lock = trio.Lock()

    def add(self, change):
        """Append a change that has been applied."""
        self._recent.append(change)

    def clear(self):
        """Drop all changes, after a snapshot has replaced the configuration."""
        self._recent.clear()

    def find_by_version(self, version):
        """Return a recent change by its version, or None."""
        if not self._recent:
            return None
        index = version - self._recent[0].version
        return self._recent[index] if 0 <= index < len(self._recent) else None

    def find_by_change_id(self, change_id):
        """Return a recent change by its id, or None."""
        found = (change for change in self._recent if change.change_id == change_id)
        return next(found, None)

    async def collect_since(self, after):
        """Return the changes, or a snapshot and changes, that follow a version.

        Parameters
        ----------
        after : ConfigVersion

        Returns
        -------
        entries : tuple of bytes
            Changes as JSON, in order.
        snapshot : bytes
            Empty if the kept changes follow `after` without a gap.
        """
        snapshot = b""
        if not self._covers(after):
            after, snapshot = await self._get_snapshot()
        entries = [
            dump_change(change) for change in self._recent if change.version > after
        ]
        return tuple(entries), snapshot

    def _covers(self, after):
        """Return whether the kept changes follow a version without a gap."""
        if after >= self._configuration.version:
            return True
        return bool(self._recent) and self._recent[0].version <= after + 1

    async def _get_snapshot(self):
        """Return the version that the kept changes must follow, and a snapshot.

        The snapshot is cached while the kept changes follow its version.
        """
        async with self._lock:
            if self._snapshot is None or not self._covers(self._snapshot[0]):
                copied = self._configuration.copy()
                self._snapshot = copied.version, await encode_snapshot(copied)
            version, data = self._snapshot
            if self._covers(version):
                return version, data
            # More changes than are kept were applied while the snapshot was encoded, so
            # some that follow it are no longer kept. The snapshot is sent alone, and
            # the peer fetches again.
            return self._configuration.version, data
