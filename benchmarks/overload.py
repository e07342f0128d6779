"""Compares orders of waiting requests under scarcity, by a simulation.

Usage:
  benchmarks.overload [--policies=P] [--loads=L] [--mixes=M] [--seed=N] [--seconds=S]
                      [--burst] [--flood=F] [--flooding=A] [--storm] [--accounts]

Options:
  --policies=P  Names, separated by commas [default: deadline,value].
  --loads=L     Loads as multiples of the capacity [default: 0.7,1.0,1.3,1.8,2.5].
  --mixes=M     Mixes of kinds of requests [default: reads,commands,valves,postings].
  --seed=N      Seed of arrivals and work [default: 1].
  --seconds=S   Simulated seconds [default: 20].
  --burst       The load is 0.8 and rises to L for 5 of every 15 seconds.
  --flood=F     One account sends F times its usual load [default: 1].
  --flooding=A  Its name; a0 is the largest, a quarter of the load [default: a10].
  --storm       The callers of that account retry at once and often.
  --accounts    Print what the accounts get.

Several instances with a queue each share the servers of one service. Callers return
after a refusal if Retry-After is at most a third of their remaining time. "worth" is
the value of the answers as a share of that of all requests, with the values of the
table in docs/design/scope.md.
"""

import sys
from collections import defaultdict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from docopt import docopt

from benchmarks.overload_policies import compared_policies
from kumquatsaddle.accounts import ClientAccount
from kumquatsaddle.balance.averages import RouteAverages
from kumquatsaddle.balance.requests import RoutedRequest
from kumquatsaddle.routes import PublishedRoute, RouteShare
from kumquatsaddle.types import Rank

__all__ = ["MIXES", "Load", "main", "simulate"]

# Kinds of requests of the scope page: name, rank, requests/s, work s, objective s,
# deadline s, value in time, value late.
_KINDS = {
    "reads": (Rank.URGENT, 90, 0.204, 0.920, 1.701, 1.8, 0.21),
    "commands": (Rank.STANDARD, 304, 0.151, 0.924, 2.301, 1.9, 0.56),
    "logs": (Rank.BULK, 49, 0.126, 2.845, 4.514, 0.46, 0.21),
    "meters": (Rank.BULK, 64, 0.270, 1.320, 6.600, 1.0, 0.5),
    "valves": (Rank.STANDARD, 195, 0.202, 1.325, 6.590, 2.0, 1.0),
    "drawings": (Rank.BULK, 21, 0.170, 1.824, 14.592, 1.0, 0.5),
    "postings": (Rank.STANDARD, 20, 0.189, 0.980, 6.750, 1.0, 0.5),
}
# Kinds that share a service.
MIXES = {
    "reads": ("reads", "logs"),
    "commands": ("commands",),
    "valves": ("valves", "meters"),
    "postings": ("postings", "drawings"),
}
_QUEUES = 21
_ACCOUNTS = 81
_LARGEST_ACCOUNT_SHARE = 0.25
# Sigma of the logarithm of the work; 3% of the requests take 7 times as long.
_WORK_SIGMA = 0.3
_LONG_SHARE, _LONG_FACTOR = 0.03, 7.0
_WARM_UP_SECONDS, _WARM_UP_LOAD = 30.0, 0.7
_CHECK_SECONDS = 0.1
_BURST_SECONDS, _BURST_PERIOD_SECONDS, _BURST_BASE = 5.0, 15.0, 0.8
_LATENCY_SECONDS = 0.008
_MAX_RETURNS = 5
_STORM_RETRY_SECONDS, _STORM_RETURNS = 0.05, 30
_MIN_REMAINING_SHARE = 0.8
# A refusal within this time of the first attempt counts as at once.
_AT_ONCE_SECONDS = 0.3


@dataclass(frozen=True)
class Load:
    """What is played.

    Parameters
    ----------
    mix : str
        Key of `MIXES`.
    factor : float
        Load as a multiple of the capacity.
    seconds : float
    burst : bool
    flood : float
        Factor on the load of one account.
    storm : bool
        Whether its callers retry at once and often.
    flooding_account : str
        Its name; a0 is the largest.
    """

    mix: str
    factor: float
    seconds: float = 20.0
    burst: bool = False
    flood: float = 1.0
    storm: bool = False
    flooding_account: str = "a10"


@dataclass
class Tally:
    """What the callers of a kind or an account got.

    A refusal counts as early within 0.3 s of the first attempt.
    """

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused_early: int = 0
    refused_late: int = 0
    worth: float = 0.0
    most: float = 0.0

    @property
    def served_share(self):
        """Share of the requests that were answered before their deadline."""
        return (self.in_time + self.late) / max(1, self.sent)

    @property
    def worth_share(self):
        """Value of the answers as a share of that of all requests."""
        return self.worth / self.most if self.most else 1.0


@dataclass
class Result:
    """Tallies by kind and account.

    Attributes
    ----------
    attempts : int
        Times that a request was sent.
    expired : int
        Of these, those that waited until their latest start.
    """

    by_kind: dict = field(default_factory=lambda: defaultdict(Tally))
    by_account: dict = field(default_factory=lambda: defaultdict(Tally))
    total: Tally = field(default_factory=Tally)
    attempts: int = 0
    expired: int = 0

    def list_kinds_by_rank(self):
        """Return the tallies of the kinds, the most urgent rank first."""
        return [self.by_kind[name] for name in sorted(self.by_kind, key=_KINDS.get)]


class _Call:
    """A request of a caller with its attempts."""

    __slots__ = ("kind", "route", "account", "sent_at", "returns", "counts", "work")

    def __init__(self, kind, route, account, sent_at, counts, work):
        self.kind, self.route, self.account = kind, route, account
        self.sent_at, self.counts, self.work = sent_at, counts, work
        self.returns = 0


class _Event:
    @staticmethod
    def set():
        """Do nothing; the simulation reads the waiter."""


class _Instance:
    def __init__(self, policy, seed):
        self.averages = RouteAverages()
        self.control = compared_policies[policy](self.averages, Random(seed))


class _Simulation:
    def __init__(self, policy, load, seed):
        # Of their own, so that all policies get the same requests.
        self.arrivals = Random(seed)
        self.random = Random(seed + 1)
        self.load = load
        self.result = Result()
        self.instances = [_Instance(policy, number) for number in range(_QUEUES)]
        self.numbers = count()
        self.events = []
        self.now = 0.0
        self.open_calls = 0
        self.kinds = {name: _KINDS[name] for name in MIXES[load.mix]}
        self.routes = {name: _make_route(name, kind) for name, kind in _KINDS.items()}
        self.accounts = [ClientAccount(f"a{n}") for n in range(_ACCOUNTS)]
        others = [1.0 / (5 + n) for n in range(1, _ACCOUNTS)]
        scale = (1.0 - _LARGEST_ACCOUNT_SHARE) / sum(others)
        self.weights = [_LARGEST_ACCOUNT_SHARE, *(w * scale for w in others)]
        mean = sum(rate * work for _, rate, work, *_ in self.kinds.values())
        mean *= 1.0 + _LONG_SHARE * (_LONG_FACTOR - 1.0)
        self.free_slots = max(2, round(mean))

    def run(self):
        end = _WARM_UP_SECONDS + self.load.seconds
        for name in self.kinds:
            self.plan_arrival(name)
        for instance in self.instances:
            self.at(self.random.random() * _CHECK_SECONDS, self.check, instance)
        # Requests continue to arrive until the last measured one has ended; otherwise
        # an order that keeps many waiting would serve them without any load.
        while self.now < end or self.open_calls:
            self.now, _, handle, args = heappop(self.events)
            handle(*args)
        return self.result

    def at(self, time, handle, *args):
        heappush(self.events, (time, next(self.numbers), handle, args))

    def current_factor(self):
        if self.now < _WARM_UP_SECONDS:
            return _WARM_UP_LOAD
        if not self.load.burst:
            return self.load.factor
        phase = (self.now - _WARM_UP_SECONDS) % _BURST_PERIOD_SECONDS
        return self.load.factor if phase < _BURST_SECONDS else _BURST_BASE

    def plan_arrival(self, name):
        rate = self.kinds[name][1] * self.current_factor()
        self.at(self.now + self.arrivals.expovariate(rate), self.arrive, name)

    def arrive(self, name):
        self.plan_arrival(name)
        (account,) = self.arrivals.choices(self.accounts, self.weights)
        copies = 1
        end = _WARM_UP_SECONDS + self.load.seconds
        is_measured = _WARM_UP_SECONDS <= self.now < end
        if self.now >= _WARM_UP_SECONDS and account.name == self.load.flooding_account:
            copies = round(self.load.flood)
        for _ in range(copies):
            work = self.kinds[name][2] * self.arrivals.lognormvariate(
                -(_WORK_SIGMA**2) / 2, _WORK_SIGMA
            )
            if self.arrivals.random() < _LONG_SHARE:
                work *= _LONG_FACTOR
            route = self.routes[name]
            self.open_calls += is_measured
            self.try_call(_Call(name, route, account, self.now, is_measured, work))

    def try_call(self, call):
        self.result.attempts += call.counts
        route = call.route
        timeout = call.sent_at + route.timeout - self.now
        request = RoutedRequest(
            b"", "GET", "/", [], b"", route, "s", self.now, self.now + timeout - 0.03
        )
        request.account = call.account
        instance = self.random.choice(self.instances)
        control, now = instance.control, self.now
        control.record_arrival(request, now)
        refusal = control.check_arrival(request, now)
        if refusal is not None:
            control.record_loss(request, now)
            self.refuse(call, refusal.retry_after)
            return
        if self.free_slots and not control.queue.has_waiting_up_to(request.rank):
            self.start(instance, request, call)
            return
        expected = instance.averages.estimate_seconds(route)
        until = request.deadline - _MIN_REMAINING_SHARE * expected
        waiter = control.make_waiter(request, frozenset(), until, _Event, now)
        waiter.server = call
        control.queue.add(waiter)
        self.refuse_found(control)
        self.at(until, self.give_up, control, waiter)

    def refuse_found(self, control):
        if self.free_slots:
            return
        for waiter, refusal in control.find_refusals(self.now):
            control.queue.remove(waiter)
            control.record_loss(waiter.request, self.now)
            self.refuse(waiter.server, refusal.retry_after)

    def give_up(self, control, waiter):
        if waiter in control.queue:
            control.queue.remove(waiter)
            control.record_loss(waiter.request, self.now)
            self.result.expired += waiter.server.counts
            self.refuse(waiter.server, 0.5)

    def check(self, instance):
        self.refuse_found(instance.control)
        self.at(self.now + _CHECK_SECONDS, self.check, instance)

    def start(self, instance, request, call):
        instance.control.record_start(request, self.now)
        self.free_slots -= 1
        self.at(self.now + call.work, self.end, instance, request, call)

    def end(self, instance, request, call):
        self.free_slots += 1
        instance.averages.add_seconds(request.route, call.work)
        self.tally(call, self.now + _LATENCY_SECONDS)
        # The instance that got the answer knows of the slot first.
        order = [instance, *self.random.sample(self.instances, _QUEUES)]
        for other in order:
            if not self.free_slots:
                return
            self.assign(other)

    def assign(self, instance):
        control = instance.control
        while self.free_slots and control.queue:
            waiter = next(w for p in control.list_parts(self.now) for w in p)
            self.start(instance, waiter.request, waiter.server)
            control.queue.remove(waiter)

    def refuse(self, call, retry_after):
        remaining = call.sent_at + call.route.timeout - self.now
        call.returns += 1
        is_storm = self.load.storm and call.account.name == self.load.flooding_account
        if is_storm and call.returns <= _STORM_RETURNS and remaining > 0.1:
            self.at(self.now + _STORM_RETRY_SECONDS, self.try_call, call)
        elif call.returns <= _MAX_RETURNS and retry_after <= remaining / 3:
            self.at(self.now + retry_after, self.try_call, call)
        else:
            self.tally(call, None)

    def tally(self, call, answered_at):
        if not call.counts:
            return
        self.open_calls -= 1
        *_, objective, timeout, in_time, late = _KINDS[call.kind]
        account = call.account.name
        for tally in (
            self.result.by_kind[call.kind],
            self.result.by_account[account],
            self.result.total,
        ):
            tally.sent += 1
            tally.most += in_time
            taken = None if answered_at is None else answered_at - call.sent_at
            if taken is None:
                if self.now - call.sent_at < _AT_ONCE_SECONDS:
                    tally.refused_early += 1
                else:
                    tally.refused_late += 1
            elif taken <= objective:
                tally.in_time += 1
                tally.worth += in_time
            elif taken <= timeout:
                tally.late += 1
                tally.worth += late


def _make_route(name, kind):
    rank, _, _, objective, timeout, *_ = kind
    shares = (RouteShare("s", 1.0),)
    return PublishedRoute(name, "h", "/", True, timeout, objective, rank, 2, shares)


def simulate(policy, load, seed=1):
    """Play a load and return the `Result`.

    Parameters
    ----------
    policy : str
        Key of `compared_policies`.
    load : Load
    seed : int, default=1
    """
    return _Simulation(policy, load, seed).run()


def _print_tally(label, tally):
    sent = max(1, tally.sent)
    parts = (tally.in_time, tally.late, tally.refused_early, tally.refused_late)
    shares = " ".join(f"{part / sent:6.3f}" for part in parts)
    print(f"{label:36} {tally.sent:6} {shares} worth {tally.worth_share:.3f}")


def main(arguments=None):
    """Print what each kind gets by mix, load and policy; return the exit code."""
    options = docopt(__doc__, argv=arguments)
    print(
        f"seed {options['--seed']}; columns: sent, share in time, late, refused at"
        " once, refused late"
    )
    for mix in options["--mixes"].split(","):
        for factor in map(float, options["--loads"].split(",")):
            load = Load(
                mix,
                factor,
                float(options["--seconds"]),
                options["--burst"],
                float(options["--flood"]),
                options["--storm"],
                options["--flooding"],
            )
            for policy in options["--policies"].split(","):
                result = simulate(policy, load, int(options["--seed"]))
                label = f"{mix} {factor:g} {policy}"
                _print_tally(label, result.total)
                if len(result.by_kind) > 1:
                    for kind, tally in sorted(result.by_kind.items()):
                        _print_tally(f"  {kind}", tally)
                if options["--accounts"]:
                    _print_accounts(result, load.flooding_account)
    return 0


def _print_accounts(result, flooding_account):
    flooding = result.by_account[flooding_account]
    others = [t for n, t in result.by_account.items() if n != flooding_account]
    served = sum(t.in_time + t.late for t in others) / sum(t.sent for t in others)
    worth = sum(t.worth for t in others) / sum(t.most for t in others)
    largest = result.by_account["a0"]
    least = min(t.served_share for t in result.by_account.values() if t.sent >= 30)
    print(
        f"  flooding account: served {flooding.served_share:.3f} worth"
        f" {flooding.worth_share:.3f}; others {served:.3f} {worth:.3f}; largest"
        f" {largest.served_share:.3f}; least {least:.3f};"
        f" all {result.total.served_share:.3f}"
    )


if __name__ == "__main__":
    sys.exit(main())
