"""Fakes for tests of the configuration: a faulty platform and a network of peers."""

import random

import trio

from kumquatsaddle.configuration.distribution import Distribution
from kumquatsaddle.configuration.state import make_configuration
from kumquatsaddle.dispatch.peers import PeerError
from kumquatsaddle.exceptions import PlatformUnavailableError
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.storage.memory import MemoryPlatform

__all__ = ["FakeNetwork", "FakeNode", "RandomFaultPlatform"]


class RandomFaultPlatform:
    """An in-memory platform whose calls fail at random, reproducibly from a seed.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the writes that take effect after their call has failed.
    seed : int
    fault_rate : float
        Share of the calls that fail. Of the writes that fail, one third take no
        effect, one third take effect before the call fails, and one third up to
        `max_late_effect_seconds` seconds after.
    """

    def __init__(self, nursery, seed=0, fault_rate=0.0):
        self.store = MemoryPlatform(trio.current_time)
        self.rng = random.Random(seed)
        self.fault_rate = fault_rate
        self.down = False
        # In seconds: the delay of each call, and the longest delay of a late effect.
        self.delay = 0.0
        self.max_late_effect_seconds = 5.0
        self._nursery = nursery

    def __getattr__(self, name):
        method = getattr(self.store, name)

        async def call(*arguments):
            await trio.sleep(self.delay + self.rng.uniform(0.001, 0.02))
            if self.down:
                raise PlatformUnavailableError("the platform is down")
            if self.rng.random() >= self.fault_rate:
                return await method(*arguments)
            await self._fail_call(name, method, arguments)

        return call

    async def _fail_call(self, name, method, arguments):
        kind = self.rng.choice(("before", "after", "late"))
        if name.startswith(("put", "write", "delete")):
            if kind == "after":
                await self._take_effect(method, arguments, 0)
            elif kind == "late":
                delay = self.rng.uniform(0.0, self.max_late_effect_seconds)
                self._nursery.start_soon(self._take_effect, method, arguments, delay)
        raise PlatformUnavailableError(f"no reply from the platform, fault: {kind}")

    @staticmethod
    async def _take_effect(method, arguments, delay):
        await trio.sleep(delay)
        try:
            await method(*arguments)
        except Exception:
            # The row may have changed before a late write; no caller is left.
            pass


class FakeNode:
    """An in-process instance that sends its configuration version to random peers."""

    def __init__(self, name, network, platform, seed):
        self.name = name
        self.network = network
        self.isolated = False
        self.ready_at = None
        self.versions = []
        self.distribution = Distribution(
            make_configuration(),
            platform,
            self,
            make_metrics(),
            lambda: 10.0,
            self._record_version,
            random.Random(seed),
        )
        self._rng = random.Random(seed + 1)
        self._scope = trio.CancelScope()

    @property
    def version(self):
        """The configuration version in force."""
        return self.distribution.version

    def _record_version(self):
        self.versions.append(self.distribution.version)

    def addresses(self):
        """Return the names of all other nodes; a name is an address here."""
        return sorted(set(self.network.nodes) - {self.name})

    def live_members(self):
        """Return the names of all other nodes and their addresses."""
        return {name: name for name in self.addresses()}

    def address_of(self, name):
        """Return the address of a node, or None."""
        return name if name in self.network.nodes else None

    async def announce(self, count):
        """Send the version to `count` random nodes."""
        names = self.addresses()
        for name in self._rng.sample(names, min(count, len(names))):
            self.network.send_version(self, name)

    async def fetch(self, address, after, want_backends):
        """Fetch the changes after version `after` from a node."""
        return await self.network.fetch(self, address, after, want_backends)

    async def run(self):
        """Load the configuration and run the node until it is killed."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_heartbeats)
                await self.distribution.load_initial()
                self.ready_at = trio.current_time()
                nursery.start_soon(self.distribution.run)

    def kill(self):
        """Cancel the tasks of the node."""
        self._scope.cancel()

    async def _send_heartbeats(self):
        while True:
            await self.announce(1)
            await trio.sleep(self._rng.uniform(0.9, 1.1))


class FakeNetwork:
    """Carries datagrams and fetches between fake nodes, with delay and loss."""

    def __init__(self, nursery, seed=0, loss=0.1):
        self.nodes = {}
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.loss = loss

    def add(self, name, platform, seed, start=True):
        """Add a node, in place of one of the same name, and start it if `start`."""
        node = self.nodes[name] = FakeNode(name, self, platform, seed)
        if start:
            self.nursery.start_soon(node.run)
        return node

    def send_version(self, sender, target):
        """Send the version to a node, which replies with its own version."""
        self.nursery.start_soon(
            self._deliver, sender.name, sender.version, target, True
        )

    async def fetch(self, sender, target, after, want_backends):
        """Return the reply of a node.

        Raises
        ------
        PeerError
            If the node is isolated or unknown, or the request is lost.
        """
        await trio.sleep(self.rng.uniform(0.001, 0.05))
        if not self._draw_is_reachable(sender.name, target):
            await trio.sleep(0.5)
            raise PeerError(False, "the peer is unreachable")
        peer = self.nodes[target]
        reply = await peer.distribution.answer_fetch(after, want_backends)
        await trio.sleep(self.rng.uniform(0.001, 0.05))
        return reply

    async def _deliver(self, sender, version, target, wants_answer):
        await trio.sleep(self.rng.uniform(0.001, 0.05))
        if not self._draw_is_reachable(sender, target):
            return
        peer = self.nodes[target]
        peer.distribution.record_peer_version(sender, version)
        if wants_answer:
            await self._deliver(target, peer.version, sender, False)

    def _draw_is_reachable(self, sender, target):
        ends = [self.nodes.get(sender), self.nodes.get(target)]
        if None in ends or any(node.isolated for node in ends):
            return False
        return self.rng.random() >= self.loss
