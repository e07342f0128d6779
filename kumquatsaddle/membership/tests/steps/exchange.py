import random
from dataclasses import replace
from types import SimpleNamespace

import trio
from behave import given, then, when
from trio.testing import memory_stream_pair

from kumquatsaddle.entry.control import ControlServer
from kumquatsaddle.membership.exchange import fill_hello, read_members
from kumquatsaddle.membership.gossip import Gossip
from kumquatsaddle.membership.members import make_table
from kumquatsaddle.messages.codec import make_codec
from kumquatsaddle.messages.frames import FrameReader, write_frame
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.testing.gossip_fleet import KEY, describe_instance

SENDER = describe_instance(99, "9" * 16, 5.0)


@given("a control server with {count:d} members")
def make_server(context, count):
    own = describe_instance(0, "a" * 16, 1.0)
    codec, metrics = make_codec(own.name, own.incarnation, [KEY]), make_metrics()
    rng = random.Random(1)
    gossip = Gossip(make_table(own), codec, metrics, 1.0, 3.0, None, None, rng)
    for number in range(1, count):
        gossip.table.merge(describe_instance(number, "b" * 16, 1.0), 0.0)
    context.node = SimpleNamespace(
        codec=codec,
        gossip=gossip,
        table=gossip.table,
        metrics=metrics,
        configuration=SimpleNamespace(version=1),
    )


def send_hello(context, member):
    """Send a hello; store the reply frame, or None if the stream was closed."""
    codec = make_codec(SENDER.name, SENDER.incarnation, [KEY])
    envelope = codec.new_envelope()
    fill_hello(envelope, 7, member)

    async def main():
        ours, theirs = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ControlServer(context.node)._serve_link, theirs)
            await write_frame(ours, codec.seal(envelope))
            context.reply = await FrameReader(ours).read()
            await ours.aclose()

    trio.run(main)
    context.opened = codec.open(context.reply) if context.reply else None


@when("an instance sends a hello over a stream")
def send_good(context):
    send_hello(context, SENDER)


@when("an instance sends a hello that introduces another one")
def send_foreign(context):
    send_hello(context, describe_instance(98, "8" * 16, 5.0))


@when("an instance sends a hello with a malformed address")
def send_malformed(context):
    send_hello(context, replace(SENDER, control="nowhere"))


@then("it receives all members")
def check_members(context):
    assert context.opened.members.number == 7
    received = {member.name: member for member in read_members(context.opened)}
    assert received == context.node.table.members and len(received) == 31


@then("the server knows the instance")
def check_known(context):
    assert context.node.table.members[SENDER.name] == SENDER


@then("the stream is closed and {reason} is counted")
def check_closed(context, reason):
    assert context.reply is None
    key = ("messages_rejected", (("reason", reason),))
    assert context.node.metrics.counts[key] == 1
    assert SENDER.name not in context.node.table.members
