from types import SimpleNamespace

from behave import given, then, when

from kumquatsaddle.sharing.schedule import ReportSchedule, Scope

# How late each round of the simulation comes.
ROUND_DELAY_SECONDS = 0.002
# Start of the simulation that is left out of the rate.
FIRST_SECONDS = 1.0


@given("the schedules of {count:d} instances of which {active:d} are active")
def prepare(context, count, active):
    context.names = [f"entry-{number:02}" for number in range(count)]
    # The leader, the first by name, is not among them.
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
            find_leader=lambda: context.names[0],
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


def simulate(context, seconds, change=None):
    """Let each instance report by its schedule in rounds of its own interval."""
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
        due[name] = now + schedule.get_round_interval() + ROUND_DELAY_SECONDS


@when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    context.seconds = seconds
    simulate(context, seconds)


@when(
    "{seconds:d} seconds pass, in which the active ones change every {pause:d} seconds"
)
def pass_changing(context, seconds, pause):
    context.seconds = seconds
    simulate(context, seconds, pause)


@then("at most {most:d} reports a second are sent")
def check_rate(context, most):
    later = [item for item in context.sent if item[0] >= FIRST_SECONDS]
    rate = len(later) / (context.seconds - FIRST_SECONDS)
    assert rate <= most, rate


@then("no report comes later than the sender announced")
def check_announced(context):
    announced = {}
    for now, sender, recipient, interval in context.sent:
        latest = announced.get((sender, recipient))
        # A round may end just before a report is due.
        assert latest is None or now <= latest + 1.0 + 5 * ROUND_DELAY_SECONDS, (
            sender,
            recipient,
        )
        announced[sender, recipient] = now + interval
    assert all(time > context.seconds - 1.0 for time in announced.values())


@then("every other one gets its reports at least twice a second")
def check_reader_reports(context):
    (reader,) = context.readers
    for name in context.names:
        report_times = [
            now
            for now, sender, recipient, _ in context.sent
            if (sender, recipient) == (reader, name)
        ]
        if name != reader:
            assert len(report_times) >= 2 * context.seconds, (name, len(report_times))
