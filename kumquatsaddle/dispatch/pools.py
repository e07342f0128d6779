"""The servers of one service at this instance: choice, evidence and ejection."""

from kumquatsaddle.admission.queue import make_queue
from kumquatsaddle.dispatch.digests import ServiceDigest
from kumquatsaddle.dispatch.servers import BackendServer
from kumquatsaddle.health.baseline import make_baseline
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import BackendState

__all__ = ["ServicePool", "make_pool"]

# Waiting requests of one rank for each slot of a server.
_WAITING_PER_SLOT = 64


class ServicePool:
    """The servers and the queue of one service at this instance.

    Parameters
    ----------
    service : Service
    """

    def __init__(self, service):
        self.service = service
        self.baseline = make_baseline()
        self.servers = {}
        self.groups = {}
        self.queue = make_queue(service.rank_floors, _WAITING_PER_SLOT * service.slots)

    async def update_groups(self, service, groups):
        """Take over the groups of the service whose home is this instance.

        Parameters
        ----------
        service : Service
        groups : iterable of Group
        """
        self.service = service
        self.groups = {group.name: group for group in groups}
        backends = {
            member.name: member
            for group in self.groups.values()
            for member in group.members
        }
        for name in set(self.servers) - set(backends):
            await self.servers.pop(name).close()
        for name, backend in backends.items():
            if name not in self.servers:
                self.servers[name] = BackendServer(
                    backend, service.slots, self.baseline
                )
            if backend.leaving:
                self.servers[name].health.state = BackendState.DRAINING
        self.serve_waiting()

    def choose_server(self, waiter):
        """Return the least loaded server with room for a waiter, or None."""
        request = waiter.request
        best, best_load = None, None
        for server in self.servers.values():
            if server.name in waiter.excluded:
                continue
            if not server.has_room(request.idempotent):
                continue
            load = server.in_flight / server.limit
            if best is None or load < best_load:
                best, best_load = server, load
        return best

    def serve_waiting(self):
        """Give free slots to waiting requests."""
        while len(self.queue):
            waiter = self.queue.pop(lambda entry: self.choose_server(entry) is not None)
            if waiter is None:
                return
            server = self.choose_server(waiter)
            server.in_flight += 1
            waiter.slot = server
            waiter.event.set()

    def free_slots(self):
        """Return how many requests could start now."""
        return sum(
            max(0, int(server.limit) - server.in_flight)
            for server in self.servers.values()
            if server.has_room(True)
        )

    def record_answer(self, server, latency, failed):
        """Add the sample of an answer to the evidence on a server.

        Parameters
        ----------
        server : BackendServer
        latency : float
            In seconds.
        failed : bool
        """
        if server.health.add_answer(latency, failed):
            self._eject(server)

    def record_draining(self, server):
        """Send no more work to a server that says it is draining."""
        server.health.state = BackendState.DRAINING

    def describe(self):
        """Return the `ServiceDigest` of this home."""
        return ServiceDigest(
            self.service.name,
            self.baseline.median,
            self.baseline.p99,
            self.baseline.samples,
            self.free_slots(),
            len(self.queue),
        )

    def _eject(self, server):
        if server.health.state is not BackendState.HEALTHY:
            return
        tokens = sum(group.tokens for group in self.groups.values())
        ejected = sum(
            entry.health.state is BackendState.EJECTED
            for entry in self.servers.values()
        )
        if ejected < tokens:
            server.health.eject()
            log_event("backend_ejected", backend=server.name)


def make_pool(service):
    """Return a pool without servers; see `ServicePool`."""
    return ServicePool(service)
