import trio
from behave import then

from kumquatsaddle.entry.answers import encode_answer
from kumquatsaddle.exchange import Answer
from kumquatsaddle.testing.fleet import open_fleet
from kumquatsaddle.types import Outcome

ROUTES = [
    {"method": method, "prefix": "/", "service": "lookup", "idempotent": True}
    for method in ("GET", "HEAD")
]


@then("an answer to HEAD has the length of the answer to GET on every instance")
def check_head_length(context):
    entities = [("template", "default", {"routes": ROUTES})]

    async def run():
        # With one backend server, one of the two instances forwards its requests.
        async with open_fleet(2, 1, entities=entities) as fleet:
            for instance in fleet.nodes:
                answer = await fleet.call(instance.callers, "GET", "/x")
                head_answer = await fleet.call(instance.callers, "HEAD", "/x")
                assert (head_answer.status, head_answer.body) == (200, b"")
                length = head_answer.get_header(b"content-length")
                assert answer.body and length == b"%d" % len(answer.body), length

    trio.run(run)


def encode_with_lengths(is_head, *lengths, body=b""):
    headers = [(b"content-length", length) for length in lengths]
    return encode_answer(Answer(Outcome.DONE, 200, headers, body), False, is_head)


@then("an answer to HEAD without a valid length from the backend server has none")
def check_invalid_length(context):
    for lengths in ((), (b"",), (b"-1",), (b"x",), (b"1", b"2"), (b"9" * 5000,)):
        assert b"content-length" not in encode_with_lengths(True, *lengths).lower(), (
            lengths
        )
    assert encode_with_lengths(True, b"7", b"7").count(b"Content-Length: 7\r\n") == 1


@then("a length from the backend server is not passed on in answers to GET")
def check_get_length(context):
    data = encode_with_lengths(False, b"7", body=b"body")
    assert data.lower().count(b"content-length") == 1
    assert b"Content-Length: 4\r\n" in data
    assert b"Content-Length: 0\r\n" in encode_with_lengths(False, b"7")
