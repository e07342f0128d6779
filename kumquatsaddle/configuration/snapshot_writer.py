"""Writes snapshots of the configuration in the background, one at a time."""

import trio

from kumquatsaddle.configuration.snapshots import write_snapshot
from kumquatsaddle.exceptions import PlatformError
from kumquatsaddle.logs import log_event

__all__ = ["SnapshotWriter", "make_snapshot_writer"]


class SnapshotWriter:
    """Writes the snapshot that was requested last.

    Parameters
    ----------
    platform : Platform
    metrics : Metrics
    """

    def __init__(self, platform, metrics):
        self._platform = platform
        self._metrics = metrics
        self._pending = None
        self._requested = trio.Event()

    def schedule(self, configuration):
        """Request a snapshot of a configuration as it is now."""
        self._pending = configuration.copy()
        self._requested.set()

    async def run(self):
        """Write requested snapshots until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = trio.Event()
            # Another one may be requested during the write.
            configuration, self._pending = self._pending, None
            try:
                await write_snapshot(self._platform, configuration)
                self._metrics.count("snapshots_written")
            except PlatformError as error:
                self._metrics.count("snapshots_failed")
                log_event("snapshot_failed", level="WARNING", error=error)


def make_snapshot_writer(platform, metrics):
    """Return a `SnapshotWriter`; `run` has to be started."""
    return SnapshotWriter(platform, metrics)
