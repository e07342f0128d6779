import trio
from behave import then
from trio.testing import MockClock

from kumquatsaddle.configuration.snapshot_writer import make_snapshot_writer
from kumquatsaddle.configuration.state import make_configuration
from kumquatsaddle.exceptions import PlatformUnavailableError
from kumquatsaddle.metrics import make_metrics

_WRITE_SECONDS = 2.0


class SlowPlatform:
    """Records the names of the objects that are written, each in 2 s."""

    def __init__(self):
        self.down = False
        self.written = []

    async def write_object(self, key, data):
        await trio.sleep(_WRITE_SECONDS)
        if self.down:
            raise PlatformUnavailableError("down")
        self.written.append(int(key.rpartition("/")[2]))

    async def read_row(self, key):
        return None

    async def put_row(self, key, value, expected_version):
        pass


def make_version(number):
    configuration = make_configuration()
    configuration.version = number
    return configuration


def run_requests(platform, requests):
    """Request versions at times in seconds, with the platform down or not."""

    async def run():
        writer = make_snapshot_writer(platform, make_metrics())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            for time, version, is_down in requests:
                await trio.sleep_until(start + time)
                platform.down = is_down
                writer.schedule(make_version(version))
            await trio.sleep(5 * _WRITE_SECONDS)
            nursery.cancel_scope.cancel()

    clock = MockClock(autojump_threshold=0)
    start = clock.current_time()
    trio.run(run, clock=clock)


@then("of requests during a slow write the last one is written after it")
def check_overlap(context):
    platform = SlowPlatform()
    run_requests(platform, [(0, 100, False), (0.5, 200, False), (1, 300, False)])
    assert platform.written == [100, 300], platform.written


@then("after an outage of the platform the next requested snapshot is written")
def check_outage(context):
    platform = SlowPlatform()
    run_requests(platform, [(0, 100, True), (5, 200, False)])
    assert platform.written == [200], platform.written
