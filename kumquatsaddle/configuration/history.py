"""The recent changes of an instance, kept to serve peers and to answer operators."""

from collections import deque

import trio

from kumquatsaddle.configuration.snapshots import encode_snapshot
from kumquatsaddle.configuration.transport import dump_change

__all__ = ["History"]

# Changes kept; a peer that is further behind gets a snapshot.
RECENT_CHANGES = 200


class History:
    """The changes that led to the version in force, the latest ones.

    Parameters
    ----------
    configuration : Configuration
    """

    def __init__(self, configuration):
        self._configuration = configuration
        self._recent = deque(maxlen=RECENT_CHANGES)
        self._snapshot = None
        self._lock = trio.Lock()

    def add(self, change):
        """Add the change that was applied."""
        self._recent.append(change)

    def clear(self):
        """Forget the changes, because a snapshot replaced the configuration."""
        self._recent.clear()

    def find(self, version):
        """Return a recent change by its version, or None."""
        if not self._recent:
            return None
        index = version - self._recent[0].version
        return self._recent[index] if 0 <= index < len(self._recent) else None

    def find_id(self, change_id):
        """Return a recent change by its id, or None."""
        found = (change for change in self._recent if change.change_id == change_id)
        return next(found, None)

    async def collect(self, after):
        """Return what leads from a version to that in force.

        Parameters
        ----------
        after : ConfigVersion

        Returns
        -------
        entries : tuple of bytes
            Changes as JSON, in order.
        snapshot : bytes
            Of the version before the first entry, or empty if `after` is recent.
        """
        snapshot = b""
        if not self._covers(after):
            after, snapshot = await self._take_snapshot()
        entries = [dump_change(one) for one in self._recent if one.version > after]
        return tuple(entries), snapshot

    def _covers(self, after):
        """Return whether the changes lead from a version to that in force."""
        if after >= self._configuration.version:
            return True
        return bool(self._recent) and self._recent[0].version <= after + 1

    async def _take_snapshot(self):
        """Return the version above which changes follow, and a snapshot."""
        async with self._lock:
            if self._snapshot is None or not self._covers(self._snapshot[0]):
                view = self._configuration.copy()
                self._snapshot = view.version, await encode_snapshot(view)
            version, data = self._snapshot
            if self._covers(version):
                return version, data
            # More changes than are kept came while it was made.
            return self._configuration.version, data
