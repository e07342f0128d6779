import random
from dataclasses import replace

import trio
from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from kumquatsaddle.addresses.groups import Backend, ejection_allowance, plan_groups
from kumquatsaddle.configuration.entities import parse_entity
from kumquatsaddle.dispatch.pools import ServicePool
from kumquatsaddle.types import BackendState, RefusalReason

SERVERS = 12
service = parse_entity("service", "s", {"floor": 0.5})


class CountingPool(ServicePool):
    """Ejects a server after 5 consecutive errors, without regard to tokens."""

    def record_answer(self, server, latency, failed, key=None):
        server.consecutive_errors = (
            getattr(server, "consecutive_errors", 0) + 1 if failed else 0
        )
        if server.consecutive_errors >= 5:
            server.health.eject()

    def _return_uncovered_servers(self, group):
        pass


class NeverReturning(ServicePool):
    """Returns no ejected member when the group gets fewer tokens."""

    def _return_uncovered_servers(self, group):
        pass


class IgnoresDrained(ServicePool):
    """Does not charge tokens for draining and warming members."""

    def _list_health(self, group):
        members = super()._list_health(group)
        lost = (BackendState.DRAINING, BackendState.WARMING)
        return [entry for entry in members if entry.state not in lost]


class ServiceTokens(ServicePool):
    """Gives each group the tokens of the whole service."""

    async def update_groups(self, service, groups, new=frozenset()):
        groups = [replace(group, tokens=self.allowance) for group in groups]
        await super().update_groups(service, groups, new)


RULES = {
    rule.__name__: rule
    for rule in (
        ServicePool,
        CountingPool,
        NeverReturning,
        IgnoresDrained,
        ServiceTokens,
    )
}

# Kinds of events. Each has a number from 0 to 59 from which its argument is derived.
SAMPLE_EVENTS = ["errors", "slow", "late", "good", "unreachable", "wait"]
STATE_EVENTS = ["drain", "probe_drain", "probe_clear"]
LIST_EVENTS = ["leave", "resize", "floor"]


def draw_events(kinds):
    event = st.tuples(
        st.sampled_from(kinds), st.integers(0, SERVERS - 1), st.integers(0, 59)
    )
    return st.lists(event, min_size=8, max_size=50)


class SimulatedHomes:
    """Pools of one service at several homes with the same list, in simulated time."""

    def __init__(self, rule, homes, floor=0.5):
        self.now, self.key, self.size, self.floor = 100.0, 0, SERVERS, floor
        self.leaving, self.drained, self.homes = set(), set(), homes
        self.pools = [rule(service, None, lambda: self.now) for _ in range(homes)]
        self.update_pools()

    def update_pools(self, new=frozenset()):
        backends = [
            Backend(f"b{n}", "s", f"127.0.0.1:{n + 1}", "z", "r", n in self.leaving)
            for n in range(self.size)
        ]
        self.groups = plan_groups("s", backends, self.floor)
        for index, pool in enumerate(self.pools):
            pool.allowance = ejection_allowance(self.size, self.floor)
            own = [g for i, g in enumerate(self.groups) if i % self.homes == index]
            if self.homes > 1 and index == 1:
                # Two homes act as the home of the first group.
                own.append(self.groups[0])
            trio.run(pool.update_groups, service, own, new)

    def apply(self, kind, number, amount):
        """Apply an event; a sample goes to each chosen home that has the server."""
        if kind == "wait":
            self.now += amount
            for pool in self.pools:
                pool.advance()
        elif kind == "floor":
            self.floor = amount / 59
            self.update_pools()
        elif kind == "resize":
            old, self.size = self.size, 1 + amount % SERVERS
            self.update_pools({f"b{n}" for n in range(old, self.size)})
        elif kind == "leave":
            self.leaving ^= {number}
            self.update_pools()
        else:
            # With an even amount only one of two homes gets the sample.
            chosen = self.pools if amount % 2 else self.pools[amount // 2 % 2 :][:1]
            for pool in chosen:
                if f"b{number}" in pool.servers:
                    self.sample(pool, pool.servers[f"b{number}"], kind, amount)

    def sample(self, pool, server, kind, amount):
        if kind == "drain":
            pool.record_draining(server)
        elif kind in ("probe_drain", "probe_clear"):
            pool.record_probe(server, kind == "probe_drain")
        elif kind == "unreachable":
            for _ in range(amount % 10):
                pool.record_failure(server, RefusalReason.BACKEND_UNREACHABLE, "k")
        else:
            for _ in range(amount):
                if server.health.accepts(True):
                    self.exchange(pool, server, kind)
        if kind in ("drain", "probe_drain"):
            self.drained.add(server.name)

    def exchange(self, pool, server, kind):
        self.key += 1
        self.now += 0.01
        pool.begin_request(server, self.key)
        if kind == "late":
            self.now += 1.5
            pool.advance()
        latency = 9.0 if kind in ("slow", "late") else 0.02
        pool.record_answer(server, latency, kind == "errors", self.key)


def check_groups(rule, events, floor):
    simulation = SimulatedHomes(rule, 1, floor)
    for event in events:
        simulation.apply(*event)
        pool = simulation.pools[0]
        for group in simulation.groups:
            members = [pool.servers[member.name].health for member in group.members]
            ejected = [
                entry
                for entry in members
                if entry.state in (BackendState.EJECTED, BackendState.PROBATION)
            ]
            healthy = [
                entry
                for entry in members
                if entry.state is BackendState.HEALTHY and not entry.unreachable
            ]
            # Without ejections fewer members may be healthy for other causes.
            assert not ejected or len(healthy) >= len(members) - group.tokens, event


def check_homes(rule, events, floor):
    simulation = SimulatedHomes(rule, 2, floor)
    allowance = ejection_allowance(SERVERS, floor)
    for event in events:
        simulation.apply(*event)
        working = {
            server.name
            for pool in simulation.pools
            for server in pool.servers.values()
            if server.health.state in (BackendState.HEALTHY, BackendState.WARMING)
        }
        assert len(working | simulation.drained) >= SERVERS - allowance, event


def expect_violation(check, kinds):
    """Fail unless some of many random orders of events violates the property."""
    rng = random.Random(7)
    for _ in range(300):
        events = [
            (rng.choice(kinds), rng.randrange(SERVERS), rng.randrange(60))
            for _ in range(50)
        ]
        try:
            check(events, rng.random())
        except AssertionError:
            return
    raise AssertionError("the property holds for a rule that is known to be wrong")


GROUP_EVENTS = SAMPLE_EVENTS + STATE_EVENTS + LIST_EVENTS
HOME_EVENTS = 3 * SAMPLE_EVENTS + STATE_EVENTS


@then("no order of events makes a pool of {rule} eject beyond its tokens")
def check_tokens_kept(context, rule):
    @settings(max_examples=300)
    @for_all(draw_events(GROUP_EVENTS), st.floats(0, 1))
    def check(events, floor):
        check_groups(RULES[rule], events, floor)

    check()


@then("some order of events makes a pool of {rule} eject beyond its tokens")
def check_tokens_broken(context, rule):
    expect_violation(lambda *drawn: check_groups(RULES[rule], *drawn), GROUP_EVENTS)


@then("no order of events makes homes of {rule} leave a service below its floor")
def check_floor_kept(context, rule):
    @settings(max_examples=300)
    @for_all(draw_events(HOME_EVENTS), st.floats(0, 1))
    def check(events, floor):
        check_homes(RULES[rule], events, floor)

    check()


@then("some order of events makes homes of {rule} leave a service below its floor")
def check_floor_broken(context, rule):
    expect_violation(lambda *drawn: check_homes(RULES[rule], *drawn), HOME_EVENTS)
