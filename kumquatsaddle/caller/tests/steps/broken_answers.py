import json

import trio
from behave import then, when

from kumquatsaddle.caller import make_caller
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.types import Outcome

TIMEOUT_SECONDS = 10.0


def frame(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


ANSWERS = {
    "a text that is no JSON": frame(b"nonsense"),
    "JSON that is nested deeply": frame(b"[" * 16000),
    "half of a body": frame(b"{}" * 100)[:-100],
    "bytes that are no answer": b"nonsense\r\n\r\n",
}


async def send_to_broken_instance(question, answer):
    """Send a request to an instance that breaks one answer.

    Returns
    -------
    result : CallResult
    targets : list of str
        Of the requests that arrived.
    """
    targets = []
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = Address(*listener.socket.getsockname())
    addresses = json.dumps({"addresses": [{"address": str(address)}], "ttl": 60})

    async def serve(stream):
        async with stream:
            target = (await stream.receive_some(65536)).split()[1].decode()
            targets.append(target)
            asks_for_addresses = "address" in target
            if asks_for_addresses == (question == "addresses"):
                await stream.send_all(answer)
            else:
                await stream.send_all(frame(addresses.encode()))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        caller = make_caller([address], "s", "a", timeout=2.0, attempts=1)
        with trio.fail_after(TIMEOUT_SECONDS):
            result = await caller.send("POST", "/order", b"body")
        await caller.close()
        nursery.cancel_scope.cancel()
    return result, targets


@when("an instance answers a question for {question} with {answer}")
def answer_question(context, question, answer):
    context.result, context.targets = trio.run(
        send_to_broken_instance, question, ANSWERS[answer]
    )


@then("the request of the caller was not sent")
def check_not_sent(context):
    assert context.result.outcome is Outcome.NOT_RUN, context.result
    assert context.targets and "/order" not in context.targets, context.targets
