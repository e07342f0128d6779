"""Detection time and wrong ejections of the health tests, in simulated time.

Usage:
  benchmarks.detection [--seed=N] [--runs=N] [--days=N]

Options:
  --seed=N  Seed of the random numbers [default: 1].
  --runs=N  Runs of each fault [default: 500].
  --days=N  Simulated days of one server [default: 1].

Drives a `ServicePool` with the samples of 4 servers at 30 requests/s each; time is
simulated, so that figures depend on the seed only. A fault starts at a random phase.
The goals come from the requirements. Exits with status 1 if one is missed.
"""

import heapq
import random
import statistics
import sys

import trio
from docopt import docopt

from kumquatsaddle.addresses.groups import Backend, plan_groups
from kumquatsaddle.configuration.entities import parse_entity
from kumquatsaddle.dispatch.pools import make_pool
from kumquatsaddle.logs import set_log_level
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.types import BackendState

__all__ = ["Simulation", "main"]

# Requests/s of each server, and servers of the group.
_RATE = 30.0
_SERVERS = 4
# Median latency of an answer in seconds and the sigma of its logarithm.
_LATENCY = 0.02
_SIGMA = 0.5
# Share of answers of a healthy server that are slower, and their factor.
_NOISE_SHARE = 0.005
_NOISE_FACTOR = 5.0
_ERROR_RATE = 0.01
# Seconds of normal work before a fault, and after which a run counts as a miss.
_WARM_UP = 10.0
_GIVE_UP = 60.0
# Seconds between two checks of the pool for late requests.
_TICK = 0.025
_DAY_SAMPLES = 2_592_000
_BASELINE_ERRORS = 5
# Goals in seconds.
_MEDIAN_GOAL = 1.0
_P99_GOAL = 3.0
_FLAP_HALF = 0.5


def _fail_errors(age):
    return 0.30, 1.0


def _fail_slow(age):
    return _ERROR_RATE, 10.0


def _fail_flapping(age):
    return (0.60 if int(age / _FLAP_HALF) % 2 == 0 else _ERROR_RATE), 1.0


_FAULTS = {
    "30% errors": _fail_errors,
    "10 times slower": _fail_slow,
    "flapping": _fail_flapping,
}


class Simulation:
    """Requests of one group of servers in simulated time.

    Parameters
    ----------
    rng : random.Random
    servers : int, default=4
    floor : float, default=0.5
    """

    def __init__(self, rng, servers=_SERVERS, floor=0.5):
        self.now = 0.0
        self.metrics = make_metrics()
        service = parse_entity("service", "s", {"floor": floor})
        self.pool = make_pool(service, self.metrics, lambda: self.now)
        backends = [
            Backend(f"b{n}", "s", f"127.0.0.1:{n + 1}", "z", "r")
            for n in range(servers)
        ]
        groups = plan_groups("s", backends, floor)
        trio.run(self.pool.update_groups, service, groups)
        # Error rate and latency factor of each server.
        self.behaviour = {
            name: lambda now: (_ERROR_RATE, 1.0) for name in self.pool.servers
        }
        self.errors_in_row = dict.fromkeys(self.pool.servers, 0)
        self.crossed = {}
        self.ejected = {}
        self._rng = rng
        self._events = []
        self._serial = 0
        for name in self.pool.servers:
            self._schedule(rng.expovariate(_RATE), self._send, name)
        self._schedule(rng.uniform(0, _TICK), self._tick)

    def run_until(self, time, done=lambda: False):
        """Process the events up to a time in seconds, or until `done` is true."""
        while self._events[0][0] <= time and not done():
            self.now, _, act, args = heapq.heappop(self._events)
            act(*args)
        if not done():
            self.now = time

    def count(self, name):
        """Return the sum of a counter over its labels."""
        return sum(
            value for (key, _), value in self.metrics.counts.items() if key == name
        )

    def _schedule(self, time, act, *args):
        self._serial += 1
        heapq.heappush(self._events, (time, self._serial, act, args))

    def _tick(self):
        self.pool.advance()
        self._note_ejections()
        self._schedule(self.now + _TICK, self._tick)

    def _send(self, name):
        self._schedule(self.now + self._rng.expovariate(_RATE), self._send, name)
        server = self.pool.servers[name]
        if not server.has_room(True):
            return
        server.in_flight += 1
        error_rate, factor = self.behaviour[name](self.now)
        failed = self._rng.random() < error_rate
        latency = _LATENCY * factor * self._rng.lognormvariate(0.0, _SIGMA)
        if self._rng.random() < _NOISE_SHARE:
            latency *= _NOISE_FACTOR
        self._serial += 1
        self.pool.begin_request(server, self._serial)
        self._schedule(
            self.now + latency, self._answer, name, latency, failed, self._serial
        )

    def _answer(self, name, latency, failed, key):
        server = self.pool.servers[name]
        server.in_flight -= 1
        self.pool.record_answer(server, latency, failed, key)
        self._note_ejections()
        row = self.errors_in_row[name] + 1 if failed else 0
        self.errors_in_row[name] = row
        if row == _BASELINE_ERRORS:
            self.crossed.setdefault(name, []).append(self.now)

    def _note_ejections(self):
        for name, server in self.pool.servers.items():
            if server.health.state is BackendState.EJECTED:
                self.ejected.setdefault(name, self.now)


def measure_detection(seed, runs, fault):
    """Return the detection times of the tests and of the baseline, in seconds.

    A run without detection within 60 s counts as infinite.
    """
    found, baseline, wrong = [], [], 0
    for run in range(runs):
        rng = random.Random(f"{seed}/{run}")
        sim = Simulation(rng)
        sim.run_until(_WARM_UP)
        start = _WARM_UP
        phase = rng.uniform(0, 2 * _FLAP_HALF)
        sim.behaviour["b0"] = lambda now, start=start, phase=phase: fault(
            now - start + phase
        )
        sim.run_until(start + _GIVE_UP, lambda sim=sim: "b0" in sim.ejected)
        found.append(sim.ejected.get("b0", float("inf")) - start)
        wrong += sum(name != "b0" for name in sim.ejected)
        baseline.append(_measure_baseline(rng, fault, phase))
    return found, baseline, wrong


def _measure_baseline(rng, fault, phase):
    """Return the time of 5 consecutive errors on a server that stays in use."""
    now, row = 0.0, 0
    while now < _GIVE_UP:
        now += rng.expovariate(_RATE)
        row = row + 1 if rng.random() < fault(now + phase)[0] else 0
        if row == _BASELINE_ERRORS:
            return now
    return float("inf")


def measure_day(seed, samples=_DAY_SAMPLES):
    """Return the ejections of one healthy server in a simulated day.

    Its three peers are healthy too; they give the latency to compare with, and their
    ejections are returned as well.
    """
    sim = Simulation(random.Random(f"{seed}/day"))
    sim.run_until(samples / _RATE)
    causes = {
        labels[0][1]: value
        for (name, labels), value in sim.metrics.counts.items()
        if name == "ejections" and value
    }
    own = sim.ejected.get("b0")
    return own is not None, sim.count("ejections"), causes


def _quantile(values, share):
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def _report_fault(name, seed, runs):
    found, baseline, wrong = measure_detection(seed, runs, _FAULTS[name])
    median, p99 = statistics.median(found), _quantile(found, 0.99)
    met = median < _MEDIAN_GOAL and p99 < _P99_GOAL
    print(
        f"{name}: median {median:.2f} s, p99 {p99:.2f} s, longest {max(found):.2f} s, "
        f"healthy servers ejected {wrong}; "
        f"5 consecutive errors: median {statistics.median(baseline):.2f} s, "
        f"p99 {_quantile(baseline, 0.99):.2f} s, "
        f"not within {_GIVE_UP:.0f} s {sum(t == float('inf') for t in baseline)}; "
        f"goal {'met' if met and not wrong else 'missed'}"
    )
    return met and not wrong


def _report_day(seed):
    own, total, causes = measure_day(seed)
    print(
        f"day with seed {seed}: wrong ejections of the server: {int(own)}, "
        f"of all {_SERVERS} servers: {total} {causes or ''}; "
        f"goal {'met' if not own and not total else 'missed'}"
    )
    return not own and not total


def main(arguments=None):
    """Run the benchmark; return 1 if a goal is missed."""
    options = docopt(__doc__, argv=arguments)
    set_log_level("CRITICAL", sys.stderr)
    seed, runs = int(options["--seed"]), int(options["--runs"])
    print(f"seed {seed}, {runs} runs of each fault, {_RATE:.0f} requests/s per server")
    met = [_report_fault(name, seed, runs) for name in _FAULTS]
    met += [_report_day(seed + day) for day in range(int(options["--days"]))]
    return 0 if all(met) else 1


if __name__ == "__main__":
    sys.exit(main())
