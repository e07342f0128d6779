"""What all servers of a process share among their clients: memory and descriptors."""

import ctypes
import math

import trio

from kumquatsaddle.entry.connection_slots import make_connection_slots
from kumquatsaddle.entry.memory_budget import make_memory_budget
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import ClientClosure

__all__ = ["ClientLimits", "make_client_limits"]

# Parameter of mallopt, and the size from which glibc gives a block pages of its own. By
# default glibc raises the size to that of the largest freed block, up to 32 MiB, and
# the bodies of a crowd then leave gaps in the heap that are never returned.
_M_MMAP_THRESHOLD = -3
_MMAP_THRESHOLD_BYTES = 131072
# Shortest time between log lines of closures of one kind; a crowd must not fill the
# log.
_LOG_INTERVAL_SECONDS = 1.0
# Keys of ``[listen]`` of all servers that a process may have.
_SERVERS = ("callers", "control", "operators", "directory", "readiness", "metrics")


class ClientLimits:
    """Limits of all connections that clients open to one process.

    Parameters
    ----------
    memory : MemoryBudget
    slots : ConnectionSlots
    metrics : Metrics

    Attributes
    ----------
    parse_turn : trio.Lock
        Held while many small parts of one connection are parsed. One connection at a
        time does so in a round of the event loop, so that a crowd takes no more of it
        than one connection.
    """

    def __init__(self, memory, slots, metrics):
        self.memory = memory
        self.slots = slots
        self.parse_turn = trio.Lock()
        self._metrics = metrics
        self._logged_at = {}
        for closure in ClientClosure:
            self.count_closure(closure, 0)

    def count_closure(self, closure, amount=1):
        """Count connections that were closed in favor of others."""
        self._metrics.count("client_closures", amount, reason=closure.value)

    def log_closure(self, closure, peer, held):
        """Count one closed connection, and log at most one of its kind a second."""
        self.count_closure(closure)
        now = trio.current_time()
        if now - self._logged_at.get(closure, -math.inf) < _LOG_INTERVAL_SECONDS:
            return
        self._logged_at[closure] = now
        log_event(
            "client_closed",
            level="WARNING",
            reason=closure.value,
            peer=peer,
            held=held,
            used=self.memory.used,
        )

    def update_gauges(self):
        """Show the memory in use."""
        self._metrics.set_gauge("client_memory_bytes", self.memory.used)


def make_client_limits(settings, metrics):
    """Return the limits for the machine of the settings.

    With a bound of the memory, large blocks are returned to the system when freed.

    Parameters
    ----------
    settings : Settings
    metrics : Metrics
    """
    if settings.get("instance", "memory") > 0:
        _return_large_blocks()
    return ClientLimits(
        make_memory_budget(settings.get("instance", "memory")),
        make_connection_slots(settings.get("instance", "descriptors"), _SERVERS),
        metrics,
    )


def _return_large_blocks():
    try:
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
    except (AttributeError, OSError):
        # Another C library than glibc.
        return
