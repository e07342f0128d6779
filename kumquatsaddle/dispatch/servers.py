"""A backend server at its home: adaptive concurrency limit, connections and health."""

import trio

from kumquatsaddle.dispatch.connections import open_connection
from kumquatsaddle.dispatch.rate_limits import RateLimit
from kumquatsaddle.health.server_health import ServerHealth
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.types import BackendState

__all__ = ["BackendServer"]

# Opening a connection usually takes 1 ms.
_CONNECT_TIMEOUT_SECONDS = 0.5
# Idle connections that are kept to a server in addition to one for each slot.
_SPARE_CONNECTIONS = 2
# The concurrency limit is multiplied by this when the server sheds a request.
_LIMIT_DECREASE_FACTOR = 0.7


class BackendServer:
    """One backend server at its home instance.

    Parameters
    ----------
    backend : Backend
    slots : int
        Requests that the server runs at a time.
    baseline : LatencyBaseline
        Of its service.
    clock : callable, default=trio.current_time
        Returns the time in seconds.

    Attributes
    ----------
    adaptive_limit : float
        Limit of concurrent requests, which falls when the server sheds one and rises
        with answers. The state of its health may allow fewer.
    rate_limit : RateLimit
        The home is the only user of the server, so it uses the whole rate.
    """

    def __init__(self, backend, slots, baseline, clock=trio.current_time):
        self.backend = backend
        self.address = parse_address(backend.address)
        self.slots = slots
        self.adaptive_limit = float(slots)
        self.in_flight = 0
        self.rate_limit = RateLimit()
        self._clock = clock
        self.health = ServerHealth(backend.name, baseline, slots, clock)
        # Sequence number of the last choice of this server; of equally loaded servers,
        # the least recently chosen one is taken.
        self.last_chosen = 0
        self._idle_connections = []

    @property
    def name(self):
        """The id of the server."""
        return self.backend.name

    def update(self, backend, slots):
        """Apply a changed list entry of the server and a changed number of slots."""
        self.backend = backend
        if slots != self.slots:
            self.slots = self.health.slots = slots
            self.adaptive_limit = min(self.adaptive_limit, float(slots))

    def count_free_slots(self):
        """Return how many more requests the lower of the two limits allows now.

        It is 0 while the rate that the server states allows none.
        """
        if not self.rate_limit.allows(self._clock()):
            return 0
        limit = min(int(self.adaptive_limit), self.health.get_state_limit())
        return max(0, limit - self.in_flight)

    def has_room(self, idempotent):
        """Return whether a request may be sent to the server now."""
        return self.health.accepts(idempotent) and self.count_free_slots() > 0

    def take_slot(self):
        """Count a request that is sent to the server."""
        self.in_flight += 1
        self.rate_limit.take(self._clock())

    def compute_utilization(self):
        """Return the share of the lower of the two limits that is in use."""
        limit = min(int(self.adaptive_limit), self.health.get_state_limit())
        return self.in_flight / max(1, limit)

    def decrease_limit(self):
        """Decrease the concurrency limit after the server shed a request."""
        self.adaptive_limit = max(1.0, self.adaptive_limit * _LIMIT_DECREASE_FACTOR)

    def increase_limit(self):
        """Increase the concurrency limit by its reciprocal after an answer."""
        self.adaptive_limit = min(
            float(self.slots), self.adaptive_limit + 1.0 / self.adaptive_limit
        )

    async def acquire_connection(self):
        """Return an idle connection that is still open, or a new one.

        Raises
        ------
        ExchangeError
            If the server does not accept a connection.
        """
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_reusable():
                return connection
            await connection.close()
        return await open_connection(self.address, _CONNECT_TIMEOUT_SECONDS)

    async def release_connection(self, connection):
        """Keep a connection for reuse if possible, else close it."""
        gone = self.health.state is BackendState.GONE
        has_space = len(self._idle_connections) < self.slots + _SPARE_CONNECTIONS
        if has_space and not gone and connection.is_reusable():
            self._idle_connections.append(connection)
        else:
            await connection.close()

    async def close(self):
        """Close the idle connections; those in use close when they are returned."""
        while self._idle_connections:
            await self._idle_connections.pop().close()
