from types import SimpleNamespace

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.discovery.reading import (
    WatchCycle,
    find_known_read,
    find_read_due,
)
from kumquatsaddle.sharing.peers import PeerTable
from kumquatsaddle.sharing.schedule import RECENT_AGE_SECONDS
from kumquatsaddle.testing.discovery import make_instance

WAIT_SECONDS = 1.0
# Each with the durations and waits of calls, the last one of which counts.
CALLS = {
    "an answer at the end of its wait": [(1.0, 1.0)],
    "an answer 0.3 s after the end of its wait": [(1.3, 1.0)],
    "a change in a wait, when the last one came 0.3 s late": [(1.3, 1.0), (0.5, 1.0)],
    "an answer to a call of 0.2 s without a wait": [(0.2, 0.0)],
}
READ_AT_SECONDS = 100.0


@then("{answer} counts as {age:g} s old")
def check_age(context, answer, age):
    cycle = WatchCycle(lambda: 0.0)
    for call_seconds, wait in CALLS[answer]:
        delay = cycle.measure_delay(call_seconds, wait)
    assert round(delay, 6) == age, delay


@then("after any early answers both tables are read within 1.2 s, and at the same time")
def check_cycle(context):
    @for_all(st.lists(st.tuples(st.integers(0, 1), st.floats(0.25, 1.2)), max_size=8))
    def check(early):
        now = [0.0]
        cycle = WatchCycle(lambda: now[0])
        ends = [cycle.start_watch(), cycle.start_watch()]
        for table, after in early:
            if now[0] + after >= min(ends):
                continue
            now[0] += after
            ends[table] = now[0] + cycle.start_watch()
            assert ends[table] <= now[0] + 1.2
        # At the end of the earlier watch, it goes on to the end of the other one.
        now[0] = min(ends)
        for table, end in enumerate(ends):
            if end == now[0]:
                ends[table] = now[0] + cycle.start_watch()
        assert abs(ends[0] - ends[1]) < 1e-9, ends

    check()


def make_table(own, count):
    """Return the peers of an instance, all alive, that read at the same time."""
    peers = PeerTable(make_instance(f"i{own:03}"))
    for number in range(count):
        if number != own:
            peer_name = f"i{number:03}"
            peers.add_instance(make_instance(peer_name), 0.0)
            peer = peers.peers[peer_name]
            peer.alive, peer.heard_at = True, READ_AT_SECONDS
            peer.report = SimpleNamespace(read_age=0.0)
    return peers


def find_due(peers, own_read_at, has_newer):
    """Return when an instance reads that last read by itself at a time."""
    read_at = max(own_read_at, find_known_read(peers, has_newer))
    return find_read_due(peers, read_at)


@then("no instance of any zone waits more than 0.2 s for the others")
def check_turns(context):
    for count in (2, 4, 75, 520):
        dues = [
            find_due(make_table(own, count), 0.0, lambda report: False)
            for own in {0, 1, 2, 3, count // 2, count - 1}
            if own < count
        ]
        first = READ_AT_SECONDS + RECENT_AGE_SECONDS
        assert min(dues) == first
        assert max(dues) <= first + 0.2 + 1e-9, dues


@then("a reader that knows what is not known here delays nothing")
def check_unknown(context):
    due = find_due(make_table(0, 4), 50.0, lambda report: True)
    assert due == 50.0 + RECENT_AGE_SECONDS
