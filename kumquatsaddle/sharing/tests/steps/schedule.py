from types import SimpleNamespace

from behave import given, then, when

from kumquatsaddle.sharing.schedule import ReportSchedule, Scope

# Time in seconds by which the rounds of the test come late.
LATE = 0.002
# Time in seconds for which an instance is silent before its first report.
FIRST = 1.0


@given("the schedules of {count:d} instances of which {active:d} are active")
def prepare(context, count, active):
    context.names = [f"entry-{number:02}" for number in range(count)]
    # The speaker, the first by name, is not among them.
    context.active = context.names[1 : 1 + active]
    context.readers = set()
    context.sent = []
    context.schedules = {}
    for name in context.names:
        peers = {
            other: SimpleNamespace(record=SimpleNamespace(name=other), alive=True)
            for other in context.names
            if other != name
        }
        table = SimpleNamespace(
            own=SimpleNamespace(name=name),
            peers=peers,
            find_speaker=lambda: context.names[0],
        )
        context.schedules[name] = ReportSchedule(table)


@given("a distant one reads the store")
def prepare_reader(context):
    context.readers.add(context.names[-1])


def update(context, name):
    schedule = context.schedules[name]
    active = [SimpleNamespace(name=item) for item in context.active]
    schedule.update(active, 0.1 if name in context.readers else 60.0)
    return schedule


def play(context, seconds, change=None):
    """Let each instance report by its schedule; it wakes by its own round."""
    due = dict.fromkeys(context.names, 0.0)
    changed = change or seconds
    while min(due.values()) < seconds:
        name = min(due, key=due.get)
        now = due[name]
        if now >= changed:
            changed += change
            start = context.names.index(context.active[0]) + 3
            shifted = context.names[1:] * 2
            context.active = shifted[start : start + len(context.active)]
        schedule = update(context, name)
        for peer, interval, _ in schedule.list_recipients(now, Scope.DUE):
            context.sent.append((now, name, peer.record.name, interval))
        due[name] = now + schedule.measure_round() + LATE


@when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    context.seconds = seconds
    play(context, seconds)


@when(
    "{seconds:d} seconds pass, in which the active ones change every {pause:d} seconds"
)
def pass_changing(context, seconds, pause):
    context.seconds = seconds
    play(context, seconds, pause)


@then("at most {most:d} reports a second are sent")
def check_rate(context, most):
    later = [item for item in context.sent if item[0] >= FIRST]
    rate = len(later) / (context.seconds - FIRST)
    assert rate <= most, rate


@then("no report comes later than its recipient was told")
def check_told(context):
    told = {}
    for now, sender, recipient, interval in context.sent:
        latest = told.get((sender, recipient))
        # A round may end just before a report is due.
        assert latest is None or now <= latest + 1.0 + 5 * LATE, (sender, recipient)
        told[sender, recipient] = now + interval
    assert all(time > context.seconds - 1.0 for time in told.values())


@then("every other one hears it at least twice a second")
def check_heard(context):
    (reader,) = context.readers
    for name in context.names:
        heard = [
            now
            for now, sender, recipient, _ in context.sent
            if (sender, recipient) == (reader, name)
        ]
        if name != reader:
            assert len(heard) >= 2 * context.seconds, (name, len(heard))
