from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.accounts import Quota
from kumquatsaddle.accounts.fleet_contact import FleetContact
from kumquatsaddle.accounts.restart_tokens import RESTART_SECONDS, RestartTokens

SLACK = 20.0


@then(
    "restarted instances together admit at most the slack and the rate, for 6 seconds"
)
def check_bound(context):
    requests = st.lists(st.tuples(st.floats(0, 0.3), st.integers(0, 59)), max_size=300)

    @for_all(st.integers(1, 60), st.floats(0.5, 200), st.floats(0, 200), requests)
    def check(active, rate, burst, requests):
        quota, now, admitted = Quota(rate, burst), 0.0, 0
        fleet = [RestartTokens(0.0, SLACK) for _ in range(active)]
        for pause, index in requests:
            now += pause
            tokens = fleet[index % active]
            is_admitted = tokens.try_take("farms", quota, active, now)
            assert not is_admitted or now < RESTART_SECONDS
            admitted += is_admitted
            elapsed = min(now, RESTART_SECONDS)
            assert admitted <= SLACK + rate * elapsed + 1e-6, (admitted, elapsed)

    check()


@then("an instance admits by itself only if all that it hears, at least half, are new")
def check_contact(context):
    contact = FleetContact("a")
    contact.note_peers(["b", "c", "d", "e"], 0.0)
    assert not contact.has_restarted(0.1)
    contact.hear_peer("b", False, True, 0.2, recently_started=True)
    assert not contact.has_restarted(0.2)
    contact.hear_peer("c", False, True, 0.3, recently_started=True)
    assert contact.has_restarted(0.3)
    contact.hear_peer("d", False, True, 0.4, recently_started=False)
    assert not contact.has_restarted(0.4)
