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
def check_fleet(context):
    entities = [("template", "default", {"routes": ROUTES})]

    async def run():
        # One backend server: one of the two instances forwards.
        async with open_fleet(2, 1, entities=entities) as fleet:
            for entry in fleet.nodes:
                whole = await fleet.call(entry.callers, "GET", "/x")
                head = await fleet.call(entry.callers, "HEAD", "/x")
                assert (head.status, head.body) == (200, b"")
                length = head.get_header(b"content-length")
                assert whole.body and length == b"%d" % len(whole.body), length

    trio.run(run)


def encode(is_head, *lengths, body=b""):
    headers = [(b"content-length", length) for length in lengths]
    return encode_answer(Answer(Outcome.DONE, 200, headers, body), False, is_head)


@then("an answer to HEAD with no valid length of a backend server has none")
def check_invalid(context):
    for lengths in ((), (b"",), (b"-1",), (b"x",), (b"1", b"2"), (b"9" * 5000,)):
        assert b"content-length" not in encode(True, *lengths).lower(), lengths
    assert encode(True, b"7", b"7").count(b"Content-Length: 7\r\n") == 1


@then("a length of a backend server is not passed on in answers to GET")
def check_get(context):
    data = encode(False, b"7", body=b"body")
    assert data.lower().count(b"content-length") == 1
    assert b"Content-Length: 4\r\n" in data
    assert b"Content-Length: 0\r\n" in encode(False, b"7")
