import trio
from behave import then
from limited_fleet import PROTOCOL
from rate_limits import play

from kumquatsaddle import clocks
from kumquatsaddle.balance import make_balanced_dispatcher
from kumquatsaddle.balance.announcements import apply_announcements
from kumquatsaddle.balance.attempts import AttemptOutcome, AttemptResult
from kumquatsaddle.discovery.records import ServerRecord
from kumquatsaddle.dispatch.answers import RawAnswer
from kumquatsaddle.exchange import Answer
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.sharing.limits import SharedLimits
from kumquatsaddle.sharing.messages import StatedLimit
from kumquatsaddle.types import Outcome

FREEZE_SECONDS = 30.0


class FrozenInstance:
    """The limits of one instance, whose clocks the test sets."""

    def __init__(self):
        self.suspended = 0.0
        self.delay = 0.0

    async def start(self):
        self.dispatcher = make_balanced_dispatcher("z", PROTOCOL, make_metrics(), 1000)
        self.dispatcher.get_arrival_delay = lambda: self.delay
        record = ServerRecord("b", 1, "s", Address("127.0.0.1", 1), "z", 6, False)
        await self.dispatcher.update_servers([record])
        self.server = self.dispatcher.find_server("b")
        self.limits = SharedLimits(self.dispatcher)
        self.dispatcher.on_limit_changed = self.limits.track

    def answer(self, rate):
        """Get an answer of the server that states a rate."""
        headers = [] if rate is None else [(PROTOCOL.rate_limit, str(rate).encode())]
        raw = RawAnswer(200, headers, b"")
        answer = Answer(Outcome.DONE, 200)
        result = AttemptResult(AttemptOutcome.SERVED, answer, raw)
        apply_announcements(self.dispatcher, self.server, result)

    def report(self, rate, age):
        """Get a report of a peer."""
        self.limits.apply([StatedLimit("b", rate, age)])

    @property
    def rate(self):
        return self.server.rate_limit.rate


def play_frozen(scenario):
    instance = FrozenInstance()
    original = getattr(clocks, "read_suspended_seconds", None)
    clocks.read_suspended_seconds = lambda: instance.suspended

    async def run(nursery):
        await instance.start()
        await scenario(instance)

    try:
        play(run)
    finally:
        clocks.read_suspended_seconds = original


@then("after a suspension the end of a limit that a peer reports is applied")
def check_suspension(context):
    async def scenario(instance):
        await trio.sleep(100)
        instance.answer(2.0)
        await trio.sleep(1)
        # The clock of trio stands still.
        instance.suspended += FREEZE_SECONDS
        (limit,) = instance.limits.list_first_hand()
        assert limit.age == FREEZE_SECONDS + 1, limit
        instance.report(None, 10.0)
        assert instance.rate is None, "kept a limit that ended meanwhile"
        instance.report(2.0, FREEZE_SECONDS)
        assert instance.rate is None

    play_frozen(scenario)


@then("a report that waited in the buffer during a freeze does not count as new")
def check_buffered_report(context):
    async def scenario(instance):
        await trio.sleep(100)
        # Sent just before the instance was frozen, read after it.
        await trio.sleep(FREEZE_SECONDS)
        instance.delay = FREEZE_SECONDS
        instance.report(2.0, 0.1)
        instance.delay = 0.0
        await trio.sleep(1)
        # The limit ended 5 s before the end of the freeze.
        instance.report(None, 6.0)
        assert instance.rate is None, "kept a limit that ended meanwhile"

    play_frozen(scenario)


@then("an answer that waited in the buffer during a freeze does not count as new")
def check_buffered_answer(context):
    async def scenario(instance):
        await trio.sleep(100 + FREEZE_SECONDS)
        instance.delay = FREEZE_SECONDS
        instance.answer(2.0)
        instance.delay = 0.0
        (limit,) = instance.limits.list_first_hand()
        assert limit.age == FREEZE_SECONDS, limit
        instance.report(None, 6.0)
        assert instance.rate is None, "kept a limit that ended meanwhile"

    play_frozen(scenario)
