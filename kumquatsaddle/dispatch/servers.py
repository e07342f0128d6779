"""A backend server at its home: slots, adaptive limit, connections and health."""

import trio

from kumquatsaddle.dispatch.connections import open_connection
from kumquatsaddle.health.judge import ServerHealth
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.types import BackendState

__all__ = ["BackendServer"]

# Time in seconds for a connection to open; it usually takes 1 ms.
_CONNECT_TIMEOUT = 0.5
# Idle connections kept to one server, one for each slot and a few to spare.
_SPARE_CONNECTIONS = 2
# Factor on the limit when the server sheds a request.
_SHED_FACTOR = 0.7


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
    """

    def __init__(self, backend, slots, baseline, clock=trio.current_time):
        self.backend = backend
        self.address = parse_address(backend.address)
        self.slots = slots
        self.limit = float(slots)
        self.in_flight = 0
        self.health = ServerHealth(backend.name, baseline, slots, clock)
        # Position in the order of choices; ties go to the server that waited longest.
        self.last_chosen = 0
        self._idle = []

    @property
    def name(self):
        """The id of the server."""
        return self.backend.name

    def update(self, backend, slots):
        """Take over what the list and the configuration say of the server."""
        self.backend = backend
        if slots != self.slots:
            self.slots = self.health.slots = slots
            self.limit = min(self.limit, float(slots))

    def room(self):
        """Return how many requests could start now."""
        limit = min(int(self.limit), self.health.limit())
        return max(0, limit - self.in_flight)

    def has_room(self, idempotent):
        """Return whether a request may be sent now."""
        return self.health.accepts(idempotent) and self.room() > 0

    def load(self):
        """Return the share of the limit that is in use."""
        limit = min(int(self.limit), self.health.limit())
        return self.in_flight / max(1, limit)

    def note_shed(self):
        """Lower the limit because the server shed a request."""
        self.limit = max(1.0, self.limit * _SHED_FACTOR)

    def note_answer(self):
        """Raise the limit a little because the server answered."""
        self.limit = min(float(self.slots), self.limit + 1.0 / self.limit)

    async def take_connection(self):
        """Return an idle connection that is still open, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable():
                return connection
            await connection.close()
        return await open_connection(self.address, _CONNECT_TIMEOUT)

    async def return_connection(self, connection):
        """Keep a connection for reuse, or close it."""
        gone = self.health.state is BackendState.GONE
        room = len(self._idle) < self.slots + _SPARE_CONNECTIONS
        if room and not gone and connection.is_reusable():
            self._idle.append(connection)
        else:
            await connection.close()

    async def close(self):
        """Close the idle connections; those in use close when they are returned."""
        while self._idle:
            await self._idle.pop().close()
