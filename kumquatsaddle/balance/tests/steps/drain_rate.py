from itertools import islice

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.balance.drain_rate import DrainRate


@then("it is unknown until requests have waited for {seconds:g} seconds")
def check_unknown(context, seconds):
    rate = DrainRate()
    rate.restart(5.0)
    assert rate.iterate_delays(5.0 + 0.9 * seconds) is None
    assert rate.iterate_delays(5.0 + seconds) is not None


@then("for any rate the tenth request is expected after half of its time at that rate")
def check_tenth(context):
    @for_all(st.integers(1, 200))
    def check(starts_per_second):
        rate = DrainRate()
        rate.restart(0.0)
        for number in range(4 * starts_per_second):
            rate.add_start((number + 0.5) / starts_per_second)
        tenth = next(islice(rate.iterate_delays(4.0), 9, None))
        expected = 10.0 / starts_per_second / 2.0
        assert 0.9 * expected <= tenth <= 1.1 * expected, (tenth, expected)

    check()


@then("after {number:d} starts at {rate:d} a second at most {most:d} of them are kept")
def check_memory(context, number, rate, most):
    drain_rate = DrainRate()
    drain_rate.restart(0.0)
    for index in range(number):
        drain_rate.add_start(index / rate)
    assert len(drain_rate._started_at) <= most
