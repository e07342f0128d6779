from behave import given, then, when
from crowds import CROWDS, open_crowd
from deployments import DESCRIPTORS, MEMORY_BYTES, start_instance

# Share of the machine's memory that clients may occupy. The rest belongs to the
# interpreter, the configuration and the backend servers' connections.
_CLIENT_SHARE = 0.5
_EVERYWHERE = {
    "platform": ["route", "readiness", "directory", "operators", "control"],
    "node": ["route", "node operators", "control"],
}


@given("a {kind} instance on a small machine")
def start_small_instance(context, kind):
    context.instance = start_instance(context, kind)


@when("a crowd sends {crowd} to the {place}")
def send_crowd(context, crowd, place):
    open_crowd(context, context.instance, CROWDS[crowd], [place])


@when("crowds send half heads to every address of the {kind}")
def send_everywhere(context, kind):
    open_crowd(context, context.instance, CROWDS["half heads"], _EVERYWHERE[kind])


@then("the process lives within its memory and descriptors, and serves callers")
def check_instance(context):
    instance = context.instance
    assert instance.process.poll() is None, instance.process.returncode
    instance.wait_until_answered("callers", "/work/after", b"ordinary")
    instance.wait_until_answered(*instance.readiness)
    assert instance.process.poll() is None, instance.process.returncode
    instance.sample_descriptors()
    grown = instance.read_peak_memory() - instance.memory_before
    measured = f"{grown / 1e6:.0f} MB more, {instance.most_descriptors} descriptors"
    print(measured)
    assert instance.most_descriptors <= DESCRIPTORS, measured
    assert grown <= _CLIENT_SHARE * MEMORY_BYTES, measured
