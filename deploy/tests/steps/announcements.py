from behave import then, when
from harness import ROUTED_TARGET, send_request


@when("the server answers {status:d} with Server-Leaving")
def answer_leaving(context, status):
    server = context.harness.server
    server.status, server.headers = status, [("Server-Leaving", "1")]
    send_request(context, "callers", ROUTED_TARGET)


@when("the server turns a request away with Retry-After 30")
def turn_away(context):
    server = context.harness.server
    server.status = 503
    server.headers = [("X-Not-Executed", "1"), ("Retry-After", "30")]
    send_request(context, "callers", ROUTED_TARGET)


@then("3 further requests are refused as not run and do not reach it")
def check_refused(context):
    received = len(context.harness.server.received)
    context.answers = [
        send_request(context, "callers", ROUTED_TARGET) for _ in range(3)
    ]
    assert len(context.harness.server.received) == received
    assert {answer.status for answer in context.answers} == {503}


@then("each is told to come back when the pause has ended")
def check_return(context):
    for answer in context.answers:
        assert 25 <= float(answer.get_header(b"retry-after")) <= 32
