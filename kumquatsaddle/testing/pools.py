"""A pool of backend servers in simulated time, for tests of server health."""

import trio

from kumquatsaddle.addresses.groups import Backend, Group
from kumquatsaddle.configuration.entities import parse_entity
from kumquatsaddle.dispatch.pools import make_pool
from kumquatsaddle.metrics import make_metrics

__all__ = ["SERVICE", "SimulatedPool", "read_count"]

SERVICE = parse_entity("service", "s", {"floor": 0.5, "slots": 6})


class SimulatedPool:
    """A pool of one group with 2 tokens and 4 servers, in simulated time.

    Attributes
    ----------
    now : float
        The time in seconds.
    """

    def __init__(self):
        self.now, self.key, self.metrics = 100.0, 0, make_metrics()
        self.pool = make_pool(SERVICE, self.metrics, lambda: self.now)
        self.set_servers(4)

    def set_servers(self, count, new=frozenset(), leaving=()):
        """Update the pool to a list of `count` servers, named ``b0`` and so on.

        Servers in `new` were not in the first list and start WARMING if the pool does
        not have them yet; those in `leaving` are listed as leaving.
        """
        members = tuple(
            Backend(f"b{n}", "s", f"127.0.0.1:{n + 1}", "z", "r", f"b{n}" in leaving)
            for n in range(count)
        )
        group = Group("g", "s", "z", "r", members, 2)
        trio.run(self.pool.update_groups, SERVICE, [group], new)

    def health(self, name):
        """Return the `ServerHealth` of a server."""
        return self.pool.servers[name].health

    def record_request(self, name, latency=0.02, failed=False):
        """Record a request answered after `latency`; advance time by 0.02 s at most."""
        server = self.pool.servers[name]
        self.key += 1
        self.pool.begin_request(server, self.key)
        self.now += min(latency, 0.02)
        self.pool.record_answer(server, latency, failed, self.key)

    def wait(self, seconds):
        """Advance the time by `seconds` and let the pool act on it."""
        self.now += seconds
        self.pool.advance()


def read_count(metrics, name, **labels):
    """Return the value of a counter; 0 if it does not exist."""
    return metrics.counts.get((name, tuple(sorted(labels.items()))), 0)
