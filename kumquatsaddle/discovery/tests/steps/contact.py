import math
from types import SimpleNamespace

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle import clocks
from kumquatsaddle.discovery.contact import StoreContact

SECONDS = st.floats(0, 100)
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["own", "peer"]), SECONDS, SECONDS, SECONDS, st.booleans()
    )
)
ROUNDING = 1e-6


@then("for any answers and reports the age is that of the latest one that counts")
def check_age(context):
    @for_all(EVENTS)
    def check(events):
        state = SimpleNamespace(now=0.0, delay=0.0)
        contact = StoreContact(lambda: state.now)
        contact.get_arrival_delay = lambda: state.delay
        assert contact.get_age() == math.inf
        latest = -math.inf
        for kind, step, age, delay, is_newer in events:
            state.now += step
            state.delay = delay
            if kind == "own":
                contact.record_own_answer(age)
                latest = max(latest, state.now - min(age, delay))
            else:
                contact.record_peer_answer(age, 6 if is_newer else 5, 5)
                if not is_newer:
                    latest = max(latest, state.now - age - delay)
            expected = state.now - latest
            assert contact.get_age() == expected or (
                abs(contact.get_age() - expected) < ROUNDING
            )

    check()


@then("the age grows by the time for which the machine was suspended")
def check_suspension(context):
    state = SimpleNamespace(now=50.0, suspended=3.0)
    original = clocks.trio.current_time, clocks.read_suspended_seconds
    clocks.trio.current_time = lambda: state.now
    clocks.read_suspended_seconds = lambda: state.suspended
    try:
        contact = StoreContact()
        contact.record_own_answer(0.0)
        state.now, state.suspended = 51.0, 33.0
        assert contact.get_age() == 31.0, contact.get_age()
    finally:
        clocks.trio.current_time, clocks.read_suspended_seconds = original
