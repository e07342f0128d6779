from dataclasses import replace

import trio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from trio.testing import MockClock

from kumquatsaddle.membership.gossip import Gossip
from kumquatsaddle.membership.impairment import make_impairment_monitor, select_serving
from kumquatsaddle.membership.members import make_table, read_member, write_member
from kumquatsaddle.messages.codec import make_codec, schema
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.testing.gossip_fleet import KEY, describe_instance
from kumquatsaddle.types import ImpairmentReason, InstanceState


class Instance:
    """An instance that evaluates its state, with its inputs and a 0.1 s clock."""

    def __init__(self):
        self.version, self.reachable = 1, True
        self.metrics = make_metrics()
        own = describe_instance(0, started_at=0.0)
        codec = make_codec(own.name, own.incarnation, [KEY])
        self.gossip = Gossip(make_table(own), codec, self.metrics, 1.0, 3.0, None, None)
        self.impairment_monitor = make_impairment_monitor(
            self.gossip, self.metrics, lambda: self.version, lambda: self.reachable
        )
        self.lag, self.now = 0.0, 0.0
        self.set_state(InstanceState.ALIVE)

    def set_state(self, state):
        self.run(lambda: self.gossip.set_own_state(state))

    def run(self, function):
        async def main():
            function()

        trio.run(main, clock=MockClock())

    def pass_time(self, seconds, each=lambda: None):
        """Evaluate every 0.1 s; return the states seen."""

        def evaluate():
            for _ in range(round(seconds * 10)):
                self.now += 0.1
                each()
                self.impairment_monitor.record_lag(self.lag)
                self.impairment_monitor.evaluate(self.now)
                states.add(self.gossip.table.own.state)

        states = set()
        self.run(evaluate)
        return states

    def count(self, reason):
        key = ("impairments", (("reason", reason.value),))
        return self.metrics.counts[key]


@given("an instance that evaluates its own state")
def make_instance(context):
    context.instance = Instance()
    context.end_cause = lambda: None


@when("its event loop lags by {lag:g} s for {seconds:g} s")
def lag_event_loop(context, lag, seconds):
    context.instance.lag = lag
    context.instance.pass_time(seconds)
    context.instance.lag = 0.0


@when("more than half of its probes fail")
def fail_probes(context):
    health = context.instance.gossip.health
    for answered in (False, False, False, True, True):
        health.record_probe(answered)
    context.end_cause = lambda: [health.record_probe(True) for _ in range(12)]


@when("its peers have a later configuration")
def raise_version(context):
    context.instance.impairment_monitor.record_peer_version(2)

    def end():
        context.instance.version = 2

    context.end_cause = end


@when("a change arrives every 4 s and is in force 3 s later")
def change_often(context):
    instance = context.instance

    def change():
        instance.impairment_monitor.record_peer_version(int(instance.now // 4) + 1)
        instance.version = int(max(0.0, instance.now - 3) // 4) + 1

    assert instance.pass_time(60, change) == {InstanceState.ALIVE}
    instance.version = 16


@when("none of its backend servers is reachable")
def lose_backends(context):
    context.instance.reachable = False

    def end():
        context.instance.reachable = True

    context.end_cause = end


@when("it has no groups and the platform is unreachable")
def lose_groups(context):
    context.instance.reachable = None


@then("it is impaired by {name} within {seconds:g} s")
def check_impaired(context, name, seconds):
    reason, instance = ImpairmentReason(name), context.instance
    instance.pass_time(seconds)
    own = instance.gossip.table.own
    assert own.state is InstanceState.IMPAIRED and own.impairment is reason
    assert instance.count(reason) == 1
    assert instance.metrics.gauges["impaired", (("reason", name),)] == 1


@then("it is alive again 5 s after the cause ended")
def check_recovery(context):
    context.end_cause()
    instance = context.instance
    assert instance.pass_time(4.5) == {InstanceState.IMPAIRED}
    instance.pass_time(1.0)
    own = instance.gossip.table.own
    assert own.state is InstanceState.ALIVE and own.impairment is None
    for reason in ImpairmentReason:
        key = ("impaired", (("reason", reason.value),))
        assert instance.metrics.gauges[key] == 0


@then("it stays alive")
def check_alive(context):
    assert context.instance.pass_time(30) == {InstanceState.ALIVE}


@then("evaluation does not change the states JOINING and LEAVING")
def check_states(context):
    for state in (InstanceState.JOINING, InstanceState.LEAVING):
        instance = Instance()
        instance.set_state(state)
        assert instance.pass_time(5) == {state}
        instance.reachable = False
        assert instance.pass_time(5) == {state}


states_and_reasons = st.one_of(
    st.sampled_from([(state, None) for state in InstanceState]),
    st.sampled_from([(InstanceState.IMPAIRED, reason) for reason in ImpairmentReason]),
)


@then("any usable fleet has serving members, and a common impairment excludes none")
def check_serving(context):
    @for_all(st.lists(states_and_reasons, max_size=12))
    def check(fleet):
        members = [
            replace(
                describe_instance(number, started_at=0.0),
                state=state,
                impairment=reason,
            )
            for number, (state, reason) in enumerate(fleet)
        ]
        serving = select_serving(members)
        alive = [item for item in members if item.state is InstanceState.ALIVE]
        impaired = [item for item in members if item.state is InstanceState.IMPAIRED]
        usable = (InstanceState.ALIVE, InstanceState.IMPAIRED, InstanceState.LEAVING)
        assert bool(serving) == any(item.state in usable for item in members)
        assert set(alive) <= set(serving)
        for reason in ImpairmentReason:
            same = {item for item in impaired if item.impairment is reason}
            common = 2 * len(same) > len(alive) + len(impaired)
            if common:
                assert set(serving) == same | set(alive)
            elif alive:
                assert not same & set(serving)

    check()


@then("a record with an impairment survives encoding in a message")
def check_message(context):
    for reason in (None, *ImpairmentReason):
        member = replace(describe_instance(3, started_at=5.0), impairment=reason)
        builder = schema.Member.new_message()
        write_member(builder, member)
        assert read_member(builder) == member
