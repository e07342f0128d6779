import random
import secrets
from contextlib import suppress

import trio
from behave import given, then, when

from kumquatsaddle.dispatch.peers import fill_forward
from kumquatsaddle.entry.routing import TO_HOME
from kumquatsaddle.exchange import Request
from kumquatsaddle.membership.members import Member, write_member
from kumquatsaddle.messages.codec import MessageCodec, make_codec
from kumquatsaddle.messages.frames import write_frame
from kumquatsaddle.types import InstanceState, Rank

STRANGER = Member(
    "stranger",
    "0123456789abcdef",
    1.0,
    1,
    InstanceState.ALIVE,
    "a",
    "west",
    "127.0.0.1:1",
    "127.0.0.1:1",
)


def get_control_address(entry):
    return entry.node.settings.get("listen", "control")


def make_stranger_codec():
    return make_codec("stranger", STRANGER.incarnation, [secrets.token_bytes(32)])


def make_member_codec(entry):
    key = entry.node.settings.get("secrets", "control_key_files")[0]
    with open(key, "rb") as stream:
        return make_codec("member", secrets.token_hex(8), [stream.read().strip()])


def seal_order(codec, operation, recipient):
    order = Request(
        "POST", "/order", [], b"x", "shop", "order", Rank.STANDARD, False, 0.0
    )
    order.operation = operation
    envelope = codec.new_envelope()
    fill_forward(envelope, 1, TO_HOME, order, 2.0, recipient)
    return codec.seal(envelope)


async def send_datagram(address, data):
    with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sender:
        await sender.sendto(data, (address.host, address.port))


async def send_frame(address, data):
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        await write_frame(stream, data)
        # The instance has read the frame once it answers or closes the connection.
        with trio.move_on_after(2), suppress(trio.BrokenResourceError):
            await stream.receive_some(1000)


@when("a process with another key sends an update of a member to each instance")
def send_member_update(context):
    codec = make_stranger_codec()
    envelope = codec.new_envelope()
    body = envelope.init("ping")
    write_member(body.init("updates", 1)[0], STRANGER)
    data = codec.seal(envelope)

    async def run():
        for entry in context.fleet.nodes:
            await send_datagram(get_control_address(entry), data)
        await trio.sleep(0.5)

    context.loop.run(run)


@then("no instance knows this member")
def check_unknown(context):
    for entry in context.fleet.nodes:
        assert "stranger" not in entry.node.table.members


@then("each instance counted a rejected message")
def check_counted(context):
    for entry in context.fleet.nodes:
        counts = entry.node.metrics.counts
        assert any(name == "messages_rejected" for name, _ in counts), counts


@when("a process with another key forwards an order to each instance")
def forward_order(context):
    async def run():
        for entry in context.fleet.nodes:
            recipient = entry.node.incarnation
            data = seal_order(make_stranger_codec(), "forged.1.1.x", recipient)
            await send_frame(get_control_address(entry), data)

    context.loop.run(run)


@given("instances that accept any sequence number")
def accept_replays(context):
    original = MessageCodec._accept_sequence
    MessageCodec._accept_sequence = lambda self, incarnation, sequence: True

    def restore():
        MessageCodec._accept_sequence = original

    context.add_cleanup(restore)


@when("a recorded forwarded order is sent {count:d} times to one instance")
def replay_order(context, count):
    async def run():
        entry = find_home(context.fleet)
        recipient = entry.node.incarnation
        data = seal_order(make_member_codec(entry), "recorded.1.1.x", recipient)
        for _ in range(count):
            await send_frame(get_control_address(entry), data)

    context.loop.run(run)


@when("a recorded forwarded order for one instance is sent to another one")
def replay_elsewhere(context):
    async def run():
        home = find_home(context.fleet)
        data = seal_order(make_member_codec(home), "recorded.1.1.x", "0123456789abcdef")
        await send_frame(get_control_address(home), data)

    context.loop.run(run)


def find_home(fleet):
    for entry in fleet.nodes:
        if "order" in entry.node.dispatcher.pools:
            return entry
    raise AssertionError("no instance is a home of the service order")


@when("broken frames and datagrams reach each instance")
def send_broken(context):
    rng = random.Random(1)

    async def run():
        for entry in context.fleet.nodes:
            address = get_control_address(entry)
            recipient = entry.node.incarnation
            whole = seal_order(make_member_codec(entry), "broken.1.1.x", recipient)
            for _ in range(20):
                cut = whole[: rng.randrange(len(whole))]
                await send_datagram(address, cut)
                await send_bytes(address, len(whole).to_bytes(4, "big") + cut)
                await send_bytes(address, rng.randbytes(64))

    context.loop.run(run)


async def send_bytes(address, data):
    stream = await trio.open_tcp_stream(address.host, address.port)
    with suppress(trio.BrokenResourceError):
        await stream.send_all(data)
    await stream.aclose()


@then("each instance still answers lookups")
def check_lookups(context):
    for entry in context.fleet.nodes:
        raw = context.loop.run(context.fleet.call, entry.callers, "GET", "/lookup")
        assert raw.status == 200, raw.status
