"""A simulated fleet before servers that state rate limits, on a virtual clock.

Dispatchers and exchanges are the real ones. Datagrams and exchanges with servers are
delivered in memory, and a server answers after a fixed time.
"""

import random

import trio

from kumquatsaddle.balance import RoutedRequest, make_balanced_dispatcher
from kumquatsaddle.discovery.records import InstanceRecord, ServerRecord
from kumquatsaddle.dispatch.answers import RawAnswer
from kumquatsaddle.dispatch.protocol import BackendProtocol
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.routes import PublishedRoute, RouteShare
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.sharing.exchange import make_zone_exchange
from kumquatsaddle.sharing.messages import decode_report
from kumquatsaddle.sharing.peers import PeerTable
from kumquatsaddle.testing.exchanges import NodeStub
from kumquatsaddle.types import Rank

PROTOCOL = BackendProtocol(
    request_id=b"request",
    deadline=b"deadline",
    rate_limit=b"rate-limit",
    leaving=b"leaving",
)
SERVICE = "s"
WORK_SECONDS = 0.6
SLOTS = 6
TIMEOUT_SECONDS = 5.0
_DATAGRAM_SECONDS = 0.001
# Share of the datagrams that are lost.
_LOSS = 0.02
# For the instances to hear of each other.
_SETTLE_SECONDS = 2.0


class SimulatedServer:
    """A server that records arrivals and states a rate limit in each answer."""

    def __init__(self, name, zone):
        port = 1000 + int(name.rpartition("-")[2])
        self.record = ServerRecord(
            name, 1, SERVICE, Address("127.0.0.1", port), zone, SLOTS, False
        )
        self.rate = None
        self.leaves = False
        # When it first stated a rate, and the highest rate since then.
        self.rate_named_at = None
        self.highest_rate = 0.0
        # Times of arrival and the names of the instances.
        self.arrivals = []

    def name_rate(self, rate):
        """State a rate from now on; None ends the limit."""
        self.rate = rate
        if rate is None:
            self.rate_named_at = None
        elif self.rate_named_at is None or rate < self.highest_rate:
            self.rate_named_at, self.highest_rate = trio.current_time(), rate


class _SimulatedConnection:
    keep_alive = None

    def __init__(self, server, instance):
        self._server = server
        self._instance = instance

    async def exchange(
        self, method, target, headers, body, max_body, before_write, memory=None
    ):
        before_write()
        self._server.arrivals.append((trio.current_time(), self._instance))
        await trio.sleep(WORK_SECONDS)
        headers = []
        if self._server.rate is not None:
            headers.append((b"rate-limit", b"%g" % self._server.rate))
        if self._server.leaves:
            headers.append((b"leaving", b"1"))
        return RawAnswer(200, headers, b"")

    async def close(self):
        pass


class SimulatedInstance:
    """An instance without sockets."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.peers = PeerTable(record)
        self.metrics = make_metrics()
        self.dispatcher = make_balanced_dispatcher(
            record.zone, PROTOCOL, self.metrics, 1000
        )
        self.node = NodeStub(self.peers)
        self.exchange = make_zone_exchange(
            self.peers, self.dispatcher, self.node, self.metrics
        )
        self.exchange.send = self._send
        self.scope = trio.CancelScope()
        self.is_cut = False
        self.alive = True

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.exchange._send_reports)
                nursery.start_soon(self.exchange._summaries.run)

    def reset(self):
        """Forget everything, as a new process does."""
        self.__init__(self.fleet, self.record)

    def kill(self):
        self.alive = False
        self.scope.cancel()

    def _send(self, data, address):
        target = self.fleet.instances_by_host.get(address.host)
        is_lost = self.fleet.random.random() < _LOSS
        if target is None or is_lost or self.is_cut or target.is_cut:
            return
        if self.fleet.separates(self.record.zone, target.record.zone):
            return
        self.fleet.nursery.start_soon(target.receive, data, self.record.control.host)

    async def receive(self, data, host):
        await trio.sleep(_DATAGRAM_SECONDS)
        if self.alive:
            self.exchange._handle_report(decode_report(data), data, host)


class LimitedFleet:
    """Instances and servers of several zones.

    Parameters
    ----------
    nursery : trio.Nursery
    zones, instances, servers : int
        Number of zones, and of instances and servers in each of them.
    seed : int
    """

    def __init__(self, nursery, zones, instances, servers, seed):
        self.nursery = nursery
        self.random = random.Random(seed)
        self.servers = [
            SimulatedServer(f"b-{zone}-{zone * servers + number}", f"z{zone}")
            for zone in range(zones)
            for number in range(servers)
        ]
        self.instances = [
            SimulatedInstance(self, _make_record(zone, number))
            for zone in range(zones)
            for number in range(instances)
        ]
        self.instances_by_host = {
            instance.record.control.host: instance for instance in self.instances
        }
        self.answers = []
        # Zones that hear each other but none of the others.
        self.separate_zones = frozenset()

    def separates(self, zone, other):
        """Return whether datagrams between two zones are lost."""
        return (zone in self.separate_zones) != (other in self.separate_zones)

    async def start(self):
        """Start the instances and let them hear of each other."""
        for instance in self.instances:
            await self.start_instance(instance)
        await trio.sleep(_SETTLE_SECONDS)

    async def restart_instance(self, instance):
        """Start a killed instance as a new process."""
        instance.reset()
        await self.start_instance(instance)

    async def start_instance(self, instance):
        """Start one instance that knows all others and all servers."""
        records = {server.record.name: server for server in self.servers}
        await instance.dispatcher.update_servers(
            [server.record for server in records.values()]
        )
        for server in instance.dispatcher.list_servers():
            _connect(server, records[server.name], instance.record.name)
        for other in self.instances:
            instance.peers.add_instance(other.record, trio.current_time())
        self.nursery.start_soon(instance.run)
        peers = instance.peers.peers.values()
        instance.exchange.introduce([peer.record.control for peer in peers])

    async def send_load(self, rate, seconds, without=None):
        """Send requests at random times to random active instances.

        None go to the instance `without`.
        """
        until = trio.current_time() + seconds
        while True:
            await trio.sleep(self.random.expovariate(rate))
            if trio.current_time() >= until:
                return
            instance = self._choose_instance()
            if instance is not without:
                self.nursery.start_soon(self._send_request, instance)

    def _choose_instance(self):
        zone = self.random.choice(sorted({item.record.zone for item in self.instances}))
        alive = [
            item for item in self.instances if item.record.zone == zone and item.alive
        ]
        if not alive:
            return self._choose_instance()
        active = {record.name for record in alive[-1].node.list_active()}
        return self.random.choice(
            [item for item in alive if item.record.name in active or item.is_cut]
        )

    async def _send_request(self, instance):
        started = trio.current_time()
        answer = await instance.dispatcher.dispatch(_make_request())
        self.answers.append((started, trio.current_time(), answer))

    def count_excess(self, window, slack, factor, grace):
        """Return the largest excess over the limits in any window, in requests.

        Parameters
        ----------
        window : float
            In seconds.
        slack : float
            Requests allowed beyond `factor` times the limit.
        factor : float
        grace : float
            Time in seconds after a rate was named first in which it does not apply.
        """
        return max(
            _count_excess(server, window, slack, factor, grace)
            for server in self.servers
        )


def _count_excess(server, window, slack, factor, grace):
    if server.rate is None:
        return -slack
    allowed = factor * server.rate * window + slack
    start = server.rate_named_at + grace
    times = [time for time, _ in server.arrivals if time >= start]
    most = 0
    for number, time in enumerate(times):
        most = max(most, sum(later < time + window for later in times[number:]))
    return most - allowed


def _connect(server, simulated, instance):
    async def acquire_connection(idempotent):
        return _SimulatedConnection(simulated, instance)

    async def release_connection(connection):
        pass

    server.acquire_connection = acquire_connection
    server.release_connection = release_connection


def _make_record(zone, number):
    address = Address(f"10.{zone}.0.{number + 1}", 7540)
    return InstanceRecord(f"i-{zone}-{number:02}", f"z{zone}", address, address)


def _make_request(rank=Rank.BULK):
    route = PublishedRoute(
        "r", "h", "/", True, TIMEOUT_SECONDS, 2.0, rank, 2, (RouteShare(SERVICE, 1.0),)
    )
    now = trio.current_time()
    return RoutedRequest(
        b"1", "GET", "/", [], b"", route, SERVICE, now, now + TIMEOUT_SECONDS
    )
