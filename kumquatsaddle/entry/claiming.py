"""Answers requests that carry the caller's own Idempotency-Key.

NOT_RUN is said of a key only when every operation that was bound to it is known not
to have run. Before the claim is read this instance cannot know that, so it answers
UNKNOWN, unless the caller says by ``Kumquatsaddle-Attempt: 1`` that it sends the key
for the first time.
"""

import time

from kumquatsaddle.entry.running import fingerprint_request, run_operation
from kumquatsaddle.exchange import Answer
from kumquatsaddle.operations.claims import ClaimUnavailableError
from kumquatsaddle.types import InstanceState, Outcome, RefusalReason

__all__ = ["answer_claimed"]

_KEY_HEADER = b"idempotency-key"
_ATTEMPT_HEADER = b"kumquatsaddle-attempt"
_LONGEST_KEY = 255
# Times that a claim is bound to a new operation while one request is answered.
_MAX_RENEWALS = 2
# Reasons for which the table may know more than the instances.
_NOT_ON_RECORD = (RefusalReason.ISSUER_GONE, RefusalReason.OPERATION_EXPIRED)


async def answer_claimed(node, router, request):
    """Return the answer to a non-idempotent request with an Idempotency-Key.

    Parameters
    ----------
    node : Node
    router : Router
    request : Request

    Returns
    -------
    Answer
    """
    keys = [value for name, value in request.headers if name == _KEY_HEADER]
    first = (_ATTEMPT_HEADER, b"1") in request.headers
    refuse = Answer.refuse if first else Answer.unknown
    if len(keys) != 1 or not 0 < len(keys[0]) <= _LONGEST_KEY:
        return Answer.refuse(RefusalReason.BAD_REQUEST)
    if not node.claim_bucket.take(time.monotonic()):
        return refuse(RefusalReason.CLAIM_LIMIT)
    fingerprint = fingerprint_request(request)
    try:
        claim = await node.claims.claim(
            request.account, keys[0].decode("latin-1"), fingerprint
        )
    except ClaimUnavailableError as error:
        _give_up(node, error.operation)
        return refuse(RefusalReason.CLAIM_UNAVAILABLE)
    if claim.fingerprint != fingerprint.hex():
        return Answer.unknown(RefusalReason.OPERATION_MISMATCH, claim.operation)
    return await _follow_claim(node, router, request, claim)


async def _follow_claim(node, router, request, claim):
    for _ in range(_MAX_RENEWALS):
        fresh = _is_fresh(node, claim)
        answer = await _run_claim(node, router, request, claim)
        if answer.outcome is not Outcome.NOT_RUN or fresh:
            return answer
        try:
            claim = await node.claims.renew(claim)
        except ClaimUnavailableError as error:
            _give_up(node, error.operation)
            return Answer.refuse(RefusalReason.CLAIM_UNAVAILABLE)
    return await _run_claim(node, router, request, claim)


def _is_fresh(node, claim):
    """Return whether the operation of a claim starts with this request."""
    own = claim.incarnation == node.incarnation
    return own and not node.ledger.has_record(claim.operation)


async def _run_claim(node, router, request, claim):
    request.operation = claim.operation
    if claim.incarnation == node.incarnation:
        answer = await run_operation(node, router, request)
        if answer.reason in _NOT_ON_RECORD:
            return _read_record(claim)
        if claim.outcome is None:
            node.start_background(node.claims.finish, claim, answer)
        return answer
    member = node.table.find_incarnation(claim.incarnation)
    if member is not None and member.state is not InstanceState.DEAD:
        answer = await router.ask_issuer(request, claim.incarnation)
        if answer.reason not in _NOT_ON_RECORD:
            return answer
    return _read_record(claim)


def _read_record(claim):
    """Return what the table tells of an operation that no issuer has on record."""
    if claim.outcome is Outcome.DONE:
        reason = RefusalReason.ANSWER_FORGOTTEN
        return Answer(Outcome.DONE, claim.status, (), b"", reason, claim.operation)
    if claim.outcome is Outcome.NOT_RUN:
        return Answer(
            Outcome.NOT_RUN, 503, (), b"", RefusalReason.NO_BACKEND, claim.operation
        )
    return Answer.unknown(RefusalReason.ISSUER_GONE, claim.operation)


def _give_up(node, operation):
    """Make sure that an operation whose claim may still take effect never runs."""
    issued_at = node.issuer.read_issue_time(operation)
    node.ledger.refuse(operation, issued_at, RefusalReason.CLAIM_UNAVAILABLE)
