"""Measures service by rank and by account during floods, against first-in-first-out.

Usage:
  benchmarks.floods [--seed=N] [--seconds=S] [--skip-speed]

Options:
  --seed=N      Seed of arrivals and service times [default: 1].
  --seconds=S   Simulated seconds of each flood [default: 20].
  --skip-speed  Leave out the speed of the queue, which depends on the machine.

A discrete-event simulation with a virtual clock drives the queue of the product:
requests arrive at random, wait for one of 24 slots and occupy it for about 20 ms. "In
time" means answered before the deadline of 1 s.
"""

import random
import sys
import time
from collections import deque
from dataclasses import dataclass
from heapq import heappop, heappush

from docopt import docopt

from kumquatsaddle.admission.queue import Waiter, make_queue
from kumquatsaddle.exchange import Request
from kumquatsaddle.types import Rank, RefusalReason

__all__ = ["Fifo", "Source", "main", "make_flood", "make_queue_for", "simulate"]

SLOTS = 24
MEAN_SERVICE_SECONDS = 0.02
CAPACITY_PER_SECOND = SLOTS / MEAN_SERVICE_SECONDS
DEADLINE_SECONDS = 1.0
MAX_WAITING = 384
RANK_FLOORS = {Rank.URGENT: 0.2, Rank.STANDARD: 0.1, Rank.BULK: 0.05}
FLOOD_LOAD = 10.0
# Loads are shares of the capacity; modest ones are below the floor of their rank.
MODEST_LOADS = {Rank.URGENT: 0.15, Rank.STANDARD: 0.08, Rank.BULK: 0.04}
_ACCOUNTS_PER_RANK = 20
# Sigma of the logarithm of the log-normal service time.
_SERVICE_TIME_SIGMA = 0.25
_QUEUE_SIZES = (100, 1_000, 10_000)
_SPEED_OPERATIONS = 50_000


class Fifo:
    """First-in-first-out queue with the size limit and deadlines of the real queue."""

    def __init__(self, clock):
        self._waiting = deque()
        self._clock = clock
        self.service_time = 0.0

    def __len__(self):
        return len(self._waiting)

    def push(self, waiter):
        """Add a waiter and return None, or return the waiter if the queue is full."""
        if len(self._waiting) >= MAX_WAITING * len(Rank):
            return waiter
        waiter.start_by = waiter.request.deadline - self.service_time
        self._waiting.append(waiter)
        return None

    def pop(self, fits):
        """Return the oldest waiter, or None if it does not fit."""
        while self._waiting and fits(self._waiting[0]):
            waiter = self._waiting.popleft()
            if self._clock() < waiter.start_by:
                return waiter
            waiter.refuse(RefusalReason.DEADLINE)
        return None


def make_queue_for(clock):
    """Return the queue of the product with the floors of the simulation."""
    return make_queue(RANK_FLOORS, MAX_WAITING, clock)


@dataclass(frozen=True)
class Source:
    """Requests of one account at random times.

    Parameters
    ----------
    label : str
        Line of the table that it counts for.
    account : str
    rank : Rank
    rate : float
        Requests a second.
    floor : float
    """

    label: str
    account: str
    rank: Rank
    rate: float
    floor: float = 0.0


class _Simulation:
    """Discrete-event simulation of arrivals, slots and a queue on a virtual clock."""

    def __init__(self, make, sources, seconds, seed):
        self.now = 0.0
        # Two streams of random numbers, so that every queue gets the same arrivals.
        self._arrival_random = random.Random(f"{seed}/arrivals")
        self._service_time_random = random.Random(f"{seed}/times")
        self._sources = sources
        self._seconds = seconds
        self._queue = make(lambda: self.now)
        self._queue.service_time = MEAN_SERVICE_SECONDS
        self._free_slots = SLOTS
        self._events = []
        self._event_number = 0
        self.offered = {source.label: 0 for source in sources}
        self.in_time = dict.fromkeys(self.offered, 0)
        self.longest_queue = 0

    def run(self):
        for source in self._sources:
            self._schedule_arrival(source)
        while self._events:
            self.now, _, source, waiter = heappop(self._events)
            if waiter is None:
                self._arrive(source)
            else:
                self._finish(source, waiter)
            self._serve()
            self.longest_queue = max(self.longest_queue, len(self._queue))

    def _schedule(self, delay, source, waiter):
        self._event_number += 1
        heappush(self._events, (self.now + delay, self._event_number, source, waiter))

    def _schedule_arrival(self, source):
        delay = self._arrival_random.expovariate(source.rate)
        if self.now + delay < self._seconds:
            self._schedule(delay, source, None)

    def _arrive(self, source):
        self._schedule_arrival(source)
        self.offered[source.label] += 1
        deadline = self.now + DEADLINE_SECONDS
        waiter = Waiter(make_request(source, deadline), event=_NullEvent())
        # The queue does not use the slot here; it carries the source of the request.
        waiter.slot = source
        self._queue.push(waiter)

    def _serve(self):
        while self._free_slots and len(self._queue):
            waiter = self._queue.pop(lambda _: True)
            if waiter is None:
                return
            self._free_slots -= 1
            service_time = (
                MEAN_SERVICE_SECONDS
                * self._service_time_random.lognormvariate(0, _SERVICE_TIME_SIGMA)
            )
            self._schedule(service_time, waiter.slot, waiter)

    def _finish(self, source, waiter):
        self._free_slots += 1
        self.in_time[source.label] += self.now <= waiter.request.deadline


class _NullEvent:
    """Replaces the event of a waiter, because no task waits for it."""

    def set(self):
        """Do nothing."""


def make_request(source, deadline):
    """Return a request of a source with a deadline in seconds."""
    return Request(
        method="GET",
        target="/",
        headers=[],
        body=b"",
        account=source.account,
        service="s",
        rank=source.rank,
        idempotent=True,
        deadline=deadline,
        floor=source.floor,
    )


def simulate(make, sources, seconds, seed):
    """Return offered and in-time requests by label, and the longest queue.

    Parameters
    ----------
    make : callable
        Takes a clock and returns a queue.
    sources : list of Source
    seconds : float
    seed : int
    """
    simulation = _Simulation(make, sources, seconds, seed)
    simulation.run()
    return simulation.offered, simulation.in_time, simulation.longest_queue


def make_flood(flooding):
    """Return sources of all ranks, of which one floods."""
    sources = []
    for rank in Rank:
        load = FLOOD_LOAD if rank is flooding else MODEST_LOADS[rank]
        rate = load * CAPACITY_PER_SECOND / _ACCOUNTS_PER_RANK
        sources += [
            Source(rank.name.lower(), f"{rank.name}-{number}", rank, rate)
            for number in range(_ACCOUNTS_PER_RANK)
        ]
    return sources


def make_account_flood():
    """Return a modest account and one of the same rank that floods."""
    return [
        Source("modest account", "modest", Rank.STANDARD, 0.2 * CAPACITY_PER_SECOND),
        Source(
            "flooding account",
            "flooding",
            Rank.STANDARD,
            FLOOD_LOAD * CAPACITY_PER_SECOND,
        ),
    ]


def make_floor_flood():
    """Return an account that sends below its floor, and 50 others that flood."""
    rate = 0.1 * CAPACITY_PER_SECOND
    reserved = Source("account with floor", "floor", Rank.STANDARD, rate, 1.2 * rate)
    return [reserved] + [
        Source(
            "50 others",
            f"other-{n}",
            Rank.STANDARD,
            FLOOD_LOAD * CAPACITY_PER_SECOND / 50,
        )
        for n in range(50)
    ]


def _scenarios():
    for rank in Rank:
        yield f"{rank.name.lower()} floods", make_flood(rank)
    yield "one account floods", make_account_flood()
    yield "50 accounts flood", make_floor_flood()


def _print_floods(seconds, seed):
    print(f"{'scenario':<20}{'work':<20}{'load':>7}{'fifo':>9}{'queue':>9}")
    for title, sources in _scenarios():
        offered, fifo, _ = simulate(Fifo, sources, seconds, seed)
        _, product, _ = simulate(make_queue_for, sources, seconds, seed)
        for label, count in offered.items():
            load = count / seconds / CAPACITY_PER_SECOND
            print(
                f"{title:<20}{label:<20}{load:>6.2f}x"
                f"{fifo[label] / count:>9.1%}{product[label] / count:>9.1%}"
            )


def _measure_speed(size):
    """Return pushes and pops per second at a steady number of waiters."""
    rng = random.Random(size)
    queue = make_queue(RANK_FLOORS, size, time.perf_counter)
    sources = [
        Source("", f"a{number}", Rank(number % 3), 1.0, float(number % 5 == 0))
        for number in range(200)
    ]
    far_deadline = time.perf_counter() + 1e6
    waiters = [
        Waiter(
            make_request(rng.choice(sources), far_deadline + rng.random()),
            event=_NullEvent(),
        )
        for _ in range(size + _SPEED_OPERATIONS)
    ]
    for waiter in waiters[:size]:
        queue.push(waiter)
    started = time.perf_counter()
    for waiter in waiters[size:]:
        queue.push(waiter)
        queue.pop(lambda _: True)
    return _SPEED_OPERATIONS / (time.perf_counter() - started)


def main(arguments=None):
    """Print the tables."""
    options = docopt(__doc__, argv=arguments)
    print("share of the requests served in time")
    _print_floods(float(options["--seconds"]), int(options["--seed"]))
    if options["--skip-speed"]:
        return 0
    print(f"\n{'waiters':>8}{'push and pop /s':>18}")
    for size in _QUEUE_SIZES:
        print(f"{size:>8}{_measure_speed(size):>18.0f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
