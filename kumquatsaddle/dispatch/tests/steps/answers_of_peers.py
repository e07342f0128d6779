from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.dispatch.peers import read_answer, write_answer
from kumquatsaddle.exchange import Answer
from kumquatsaddle.messages.codec import schema
from kumquatsaddle.types import Outcome, RefusalReason

# In milliseconds, the resolution of the message.
RETRY_TIMES = st.none() | st.integers(1, 600_000)


@then("any answer is the same after a hop between instances")
def check_hop(context):
    @for_all(
        st.sampled_from(Outcome),
        st.binary(max_size=20),
        st.none() | st.sampled_from(RefusalReason),
        RETRY_TIMES,
    )
    def check(outcome, body, reason, retry_ms):
        retry_after = None if retry_ms is None else retry_ms / 1000
        headers = ((b"x-a", b"b"),)
        answer = Answer(outcome, 503, headers, body, reason, "op", retry_after)
        envelope = schema.Envelope.new_message()
        write_answer(envelope, 1, answer)
        with schema.Envelope.from_bytes(envelope.to_bytes()) as received:
            assert read_answer(received) == answer

    check()
