import trio
from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.messages import codec as codec_module
from kumquatsaddle.messages.codec import get_rejection_reason, make_codec
from kumquatsaddle.messages.frames import FrameReader
from kumquatsaddle.types import MessageRejection

KEY, OTHER_KEY = bytes(range(32)), bytes(range(32, 64))
KNOWN_REASONS = {reason.value for reason in MessageRejection}
KINDS = ("ping", "digest", "forward", "changes", "members", "hello")


class Clock:
    now = 1_700_000_000.0

    def __call__(self):
        return self.now


def make_pair(keys=(KEY,), other_keys=(KEY,), clock=None):
    clock = clock or Clock()
    sender = make_codec("entry-001", "a" * 16, keys, clock)
    return sender, make_codec("entry-002", "b" * 16, other_keys, clock)


def make_message(codec, kind="ping"):
    envelope = codec.new_envelope(7)
    body = envelope.init(kind)
    if kind == "ping":
        for builder in body.init("updates", 3):
            builder.name, builder.control = "entry-003", "127.0.0.1:1"
    elif kind == "digest":
        body.init("services", 2)[0].service = "catalogue"
    elif kind == "forward":
        body.body, body.target = b"x" * 50, "/orders"
        body.init("headers", 2)[1].value = b"y"
    elif kind == "changes":
        body.init("entries", 2)[0] = b"{}"
    elif kind == "members":
        body.init("members", 2)[1].zone = "zone"
    else:
        body.member.callers = "127.0.0.1:2"
    return codec.seal(envelope)


def seal(payload):
    return codec_module._compute_tag(make_pair()[0]._keys[0], payload) + payload


def reason_of(receiver, data):
    """Return the reason of a rejection, or None after reading all fields."""
    try:
        envelope = receiver.open(data)
    except MessageError as error:
        assert get_rejection_reason(error) in KNOWN_REASONS, error
        return get_rejection_reason(error)
    envelope.to_dict()
    return None


@then("opening any bytes raises nothing but a message error with a known reason")
def check_random(context):
    @for_all(st.binary(max_size=2000))
    def check(data):
        assert reason_of(make_pair()[1], data) in ("truncated", "forged")

    check()


@then("flipping any one bit of a sealed message makes it forged")
def check_flips(context):
    sender, receiver = make_pair()
    data = make_message(sender)
    for bit in range(8 * len(data)):
        changed = bytearray(data)
        changed[bit // 8] ^= 1 << bit % 8
        assert reason_of(receiver, bytes(changed)) == "forged", bit
    assert reason_of(receiver, data) is None


@then("every proper prefix and every extension of a sealed message is rejected")
def check_truncation(context):
    sender, receiver = make_pair()
    data = make_message(sender)
    for length in range(len(data)):
        assert reason_of(receiver, data[:length]) in ("truncated", "forged")
    assert reason_of(receiver, data + b"\0") == "forged"


@then("any payload sealed with the key raises a message error or can be read fully")
def check_payloads(context):
    words = st.lists(
        st.one_of(
            st.integers(0, 2**64 - 1),
            # Struct, list and far pointers with small offsets.
            st.builds(
                lambda kind, offset, rest: kind | offset << 2 | rest << 32,
                st.integers(0, 3),
                st.integers(0, 31),
                st.integers(0, 2**32 - 1),
            ),
        ),
        max_size=60,
    )

    @settings(max_examples=1500)
    @for_all(words, st.binary(max_size=9))
    def check(numbers, rest):
        body = b"".join(number.to_bytes(8, "little") for number in numbers)
        table = (len(numbers) << 32).to_bytes(8, "little")
        assert reason_of(make_pair()[1], seal(body + rest or b"\0")) != "forged"
        assert reason_of(make_pair()[1], seal(table + body + rest)) != "forged"

    check()


@then("any changed payload of a sealed message raises or can be read fully")
def check_damage(context):
    changes = st.lists(
        st.tuples(st.integers(0, 10**6), st.integers(0, 255)), min_size=1, max_size=8
    )
    seen = set()

    @settings(max_examples=3000)
    @for_all(st.sampled_from(KINDS), changes, st.integers(0, 16))
    def check(kind, places, cut):
        sender, receiver = make_pair()
        payload = bytearray(make_message(sender, kind)[16:])
        del payload[len(payload) - cut :]
        for place, value in places:
            payload[place % len(payload)] = value
        seen.add(reason_of(receiver, seal(bytes(payload))))

    check()
    assert {None, "malformed"} <= seen <= KNOWN_REASONS | {None}


@then("a list with 500 million empty members is malformed")
def check_amplification(context):
    sender, receiver = make_pair()
    envelope = sender.new_envelope()
    envelope.init("ping").init("updates", 1)
    payload = bytearray(envelope.to_bytes())
    # The tag word of the list: one struct of 2 data and 6 pointer words.
    old = (1 << 2 | 2 << 32 | 6 << 48).to_bytes(8, "little")
    place = payload.index(old)
    payload[place : place + 8] = (500_000_000 << 2).to_bytes(8, "little")
    assert reason_of(receiver, seal(bytes(payload))) == "malformed"


@then("each of the three is rejected with its reason")
def check_reasons(context):
    clock = Clock()
    sender, receiver = make_pair(clock=clock)
    data = make_message(sender)
    assert reason_of(receiver, data) is None
    assert reason_of(receiver, data) == "replayed"
    assert reason_of(sender, data) == "reflected"
    later = make_message(sender)
    clock.now += 31
    assert reason_of(receiver, later) == "too_old"
    envelope = sender.new_envelope()
    envelope.sentAt = float("nan")
    assert reason_of(receiver, sender.seal(envelope)) == "too_old"


@then("any order of messages with repetitions is accepted once for each message")
def check_order(context):
    @for_all(st.lists(st.integers(0, 199), max_size=400))
    def check(order):
        sender, receiver = make_pair()
        messages = [make_message(sender) for _ in range(200)]
        seen = set()
        for index in order:
            expected = "replayed" if index in seen else None
            assert reason_of(receiver, messages[index]) == expected
            seen.add(index)

    check()


@then("instances with the old, both and the new key accept what their keys allow")
def check_rotation(context):
    steps = [(KEY,), (KEY, OTHER_KEY), (OTHER_KEY, KEY), (OTHER_KEY,)]
    for index, keys in enumerate(steps):
        for other, other_keys in enumerate(steps):
            sender, receiver = make_pair(keys, other_keys)
            reason = reason_of(receiver, make_message(sender))
            assert reason == (None if keys[0] in other_keys else "forged")
            if abs(index - other) <= 1:
                assert reason is None


@then("after messages of 5000 incarnations at most 4096 are remembered")
def check_windows(context):
    _, receiver = make_pair()
    for number in range(5000):
        sender = make_codec("entry-001", f"{number:016x}", [KEY], Clock())
        assert reason_of(receiver, make_message(sender)) is None
    assert len(receiver._windows) <= 4096


class PiecewiseStream:
    """A stream that returns the given pieces."""

    def __init__(self, pieces):
        self.pieces = list(pieces)

    async def receive_some(self, size):
        await trio.lowlevel.checkpoint()
        return self.pieces.pop(0) if self.pieces else b""


@then("any messages cut into any pieces are read back")
def check_frames(context):
    @for_all(st.lists(st.binary(max_size=100)), st.lists(st.integers(1, 40)))
    def check(messages, sizes):
        data = b"".join(len(item).to_bytes(4, "big") + item for item in messages)
        pieces, place = [], 0
        for size in sizes:
            pieces.append(data[place : place + size])
            place += size
        pieces = [piece for piece in [*pieces, data[place:]] if piece]

        async def read_all():
            reader = FrameReader(PiecewiseStream(pieces))
            read = []
            while (item := await reader.read()) is not None:
                read.append(item)
            return read

        assert trio.run(read_all) == messages

    check()


@then("a frame above the limit is rejected after its length alone")
def check_long(context):
    async def read(pieces):
        try:
            return await FrameReader(PiecewiseStream(pieces), max_bytes=1000).read()
        except MessageError as error:
            return get_rejection_reason(error)

    prefix = (1001).to_bytes(4, "big")
    assert trio.run(read, [prefix]) == "too_long"
    assert trio.run(read, [(1000).to_bytes(4, "big"), b"x" * 999]) == "truncated"
    assert trio.run(read, [prefix[:2]]) == "truncated"
    assert trio.run(read, [(1000).to_bytes(4, "big"), b"x" * 1000]) == b"x" * 1000
