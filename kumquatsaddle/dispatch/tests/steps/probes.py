import trio
from behave import then, when

from kumquatsaddle.addresses.groups import Backend, Group
from kumquatsaddle.dispatch.pools import make_pool
from kumquatsaddle.dispatch.probes import probe_server
from kumquatsaddle.testing.pools import SERVICE
from kumquatsaddle.testing.raw_servers import open_raw_server
from kumquatsaddle.types import BackendState

TIMEOUT_SECONDS = 10.0
OK = b"HTTP/1.1 200 OK\r\n"
DRAINING = b'{"state": "draining"}'
NESTED = b"[" * 16000


def frame(body):
    return OK + b"Content-Length: %d\r\n\r\n" % len(body) + body


# What is sent once and what is repeated without end.
ANSWERS = {
    "nothing": (b"", b""),
    "bytes that are no answer": (b"Bad line\r\n", b""),
    "such bytes without end": (b"", b"Bad line\r\n" * 100),
    "a head without end": (OK, b"X-More: a\r\n" * 100),
    "a body without end": (OK + b"Content-Length: 999999999\r\n\r\n", DRAINING * 100),
    "half of a body": (frame(DRAINING)[:-5], b""),
    "a text that is no JSON": (frame(DRAINING[:-5]), b""),
    "JSON that is nested deeply": (frame(NESTED), b""),
}


async def probe_answer(start, repeated):
    """Probe a server that answers with given bytes; return its state before, after."""
    async with trio.open_nursery() as nursery:
        _, address = await open_raw_server(nursery, start, repeated)
        pool = make_pool(SERVICE)
        members = (Backend("b0", "s", str(address), "z", "r"),)
        await pool.update_groups(SERVICE, [Group("g", "s", "z", "r", members, 2)])
        server = pool.servers["b0"]
        state = server.health.state
        with trio.fail_after(TIMEOUT_SECONDS):
            await probe_server(pool, server)
        nursery.cancel_scope.cancel()
    return state, server.health.state


@when("the health endpoint of a server answers with {answer}")
def answer_probe(context, answer):
    context.states = trio.run(probe_answer, *ANSWERS[answer])


@then("the probe ends and the server stays in service")
def check_state(context):
    before, after = context.states
    assert before is after is not BackendState.DRAINING, context.states
