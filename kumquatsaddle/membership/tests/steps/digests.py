import random

import trio
from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st
from trio.testing import MockClock

from kumquatsaddle.dispatch.digests import (
    ServiceDigest,
    choose_digests,
    make_digest_table,
    read_digests,
    write_digests,
)
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.messages.codec import make_codec
from kumquatsaddle.testing.gossip_fleet import KEY, MemoryFleet
from kumquatsaddle.testing.network import make_network

SERVICES = [f"service-{number}" for number in range(12)]
NAMES = [f"entry-{number:03}" for number in range(13)]


def make_digest(service, median=0.25):
    return ServiceDigest(service, median, 2 * median, 100, 3, 1)


def make_envelope(name="entry-001"):
    codec = make_codec(name, "a" * 16, [KEY])
    return codec, codec.new_envelope()


@then("any choice has at most 3 other homes and only services they share")
def check_choice(context):
    homes = st.dictionaries(
        st.sampled_from(SERVICES), st.sets(st.sampled_from(NAMES)), min_size=1
    )

    @for_all(homes, st.randoms(use_true_random=False))
    def check(homes, rng):
        digests = [make_digest(service) for service in homes]
        chosen = choose_digests(digests, homes.get, NAMES[0], rng)
        others = set().union(*homes.values()) - {NAMES[0]}
        assert len(chosen) == min(3, len(others)) and set(chosen) <= others
        for home, told in chosen.items():
            shared = {service for service in homes if home in homes[service]}
            assert {digest.service for digest in told} <= shared
            assert len(told) == min(8, len(shared))

    check()


@then("within 30 rounds each of 12 other homes is chosen")
def check_turns(context):
    rng, told = random.Random(1), set()
    for _ in range(30):
        told |= set(choose_digests([make_digest("s")], lambda _: NAMES, NAMES[0], rng))
    assert told == set(NAMES[1:])


digests = st.builds(
    ServiceDigest,
    st.text(st.characters(codec="ascii", exclude_characters="\0"), max_size=64),
    st.integers(0, 1000).map(lambda value: value / 64),
    st.integers(0, 1000).map(lambda value: value / 64),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**16 - 1),
    st.integers(0, 2**16 - 1),
)


@then("any digests survive encoding in a message, which stays below 1400 bytes")
def check_message_size(context):
    @for_all(st.lists(digests, max_size=8))
    def check(sent):
        codec, envelope = make_envelope("n" * 64)
        write_digests(envelope, sent)
        data = codec.seal(envelope)
        received = make_codec("entry-002", "b" * 16, [KEY]).open(data)
        assert read_digests(received) == sent
        assert len(data) < 1400

    check()


@then("digests with bad latencies, long names or too many services are rejected")
def check_malformed(context):
    for sent in (
        [make_digest("s", float("nan"))],
        [make_digest("s", float("inf"))],
        [make_digest("s", -1.0)],
        [make_digest("s" * 65)],
        [make_digest("s")] * 9,
    ):
        _, envelope = make_envelope()
        write_digests(envelope, sent)
        try:
            read_digests(envelope)
        except MessageError:
            continue
        raise AssertionError(f"{sent} was accepted")


@then("digests older than 10 s are dropped and at most 8192 are kept")
def check_retention(context):
    book = make_digest_table()
    book.record("entry-001", make_digest("s"), 0.0)
    assert book.list_current("s", 10.0) == {"entry-001": make_digest("s")}
    assert book.list_current("s", 10.1) == {}
    for number in range(9000):
        book.record(f"entry-{number}", make_digest("s"), 20.0)
    assert len(book.list_current("s", 20.0)) == 8192
    book.record("entry-001", make_digest("other"), 31.0)
    assert book.list_current("other", 31.0) == {"entry-001": make_digest("other")}
    assert book.list_current("s", 31.0) == {}


@then("a digest sent by gossip is recorded by its receiver under the sender's name")
def check_gossip(context):
    async def main():
        async with trio.open_nursery() as nursery:
            fleet = MemoryFleet(make_network(), nursery)
            for number in range(2):
                await fleet.start(number)
            assert await fleet.wait_converged(30) is not None
            received = []
            fleet.gossips[1].on_service_digests = lambda *entry: received.append(entry)
            await fleet.gossips[0].send_service_digests("entry-001", [make_digest("s")])
            await fleet.gossips[0].send_service_digests("entry-404", [make_digest("s")])
            await trio.sleep(0.1)
            assert received == [("entry-000", [make_digest("s")])]
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
