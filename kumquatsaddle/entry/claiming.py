"""Handling of requests with an Idempotency-Key that the caller chose.

A key is answered with NOT_RUN only if no operation that was ever bound to it has run.
An instance that has not read the claim of the key cannot know this and answers
UNKNOWN, unless the caller states with ``Kumquatsaddle-Attempt: 1`` that this is the
first request with the key.
"""

import time

from kumquatsaddle.entry.running import fingerprint_request, run_operation
from kumquatsaddle.exchange import Answer
from kumquatsaddle.operations.claims import ClaimUnavailableError
from kumquatsaddle.types import InstanceState, Outcome, RefusalReason

__all__ = ["answer_claimed"]

_IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
_ATTEMPT_HEADER = b"kumquatsaddle-attempt"
_MAX_KEY_BYTES = 255
# Number of times one request may bind its claim to a new operation id.
_MAX_RENEWALS = 2
# Reasons given by instances that have no record of an operation. The claim row of the
# table may still tell its outcome.
_NO_RECORD_REASONS = (RefusalReason.ISSUER_GONE, RefusalReason.OPERATION_EXPIRED)


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
    keys = [value for name, value in request.headers if name == _IDEMPOTENCY_KEY_HEADER]
    is_first_attempt = (_ATTEMPT_HEADER, b"1") in request.headers
    refuse = Answer.from_reason if is_first_attempt else Answer.unknown
    if len(keys) != 1 or not 0 < len(keys[0]) <= _MAX_KEY_BYTES:
        return Answer.from_reason(RefusalReason.BAD_REQUEST)
    if not node.claim_bucket.try_take(time.monotonic()):
        return refuse(RefusalReason.CLAIM_LIMIT)
    fingerprint = fingerprint_request(request)
    try:
        claim = await node.claims.claim(
            request.account, keys[0].decode("latin-1"), fingerprint
        )
    except ClaimUnavailableError as error:
        _record_not_run(node, error.operation)
        return refuse(RefusalReason.CLAIM_UNAVAILABLE)
    if claim.fingerprint != fingerprint.hex():
        return Answer.unknown(RefusalReason.OPERATION_MISMATCH, claim.operation)
    return await _run_claim_until_final(node, router, request, claim)


async def _run_claim_until_final(node, router, request, claim):
    for _ in range(_MAX_RENEWALS):
        is_new = _is_new_operation(node, claim)
        answer = await _run_claim_once(node, router, request, claim)
        if answer.outcome is not Outcome.NOT_RUN or is_new:
            return answer
        try:
            claim = await node.claims.renew(claim)
        except ClaimUnavailableError as error:
            _record_not_run(node, error.operation)
            return Answer.from_reason(RefusalReason.CLAIM_UNAVAILABLE)
    return await _run_claim_once(node, router, request, claim)


def _is_new_operation(node, claim):
    """Return whether no request has started the operation of a claim yet."""
    is_own = claim.incarnation == node.incarnation
    return is_own and not node.ledger.has_record(claim.operation)


async def _run_claim_once(node, router, request, claim):
    request.operation = claim.operation
    if claim.incarnation == node.incarnation:
        answer = await run_operation(node, router, request)
        if answer.reason in _NO_RECORD_REASONS:
            return _answer_from_claim(claim)
        if claim.outcome is None:
            node.start_background(node.claims.record_outcome, claim, answer)
        return answer
    member = node.table.find_by_incarnation(claim.incarnation)
    if member is not None and member.state is not InstanceState.DEAD:
        answer = await router.forward_to_issuer(request, claim.incarnation)
        if answer.reason not in _NO_RECORD_REASONS:
            return answer
    return _answer_from_claim(claim)


def _answer_from_claim(claim):
    """Return the answer that the claim row gives when the issuer has no record."""
    if claim.outcome is Outcome.DONE:
        reason = RefusalReason.ANSWER_FORGOTTEN
        return Answer(Outcome.DONE, claim.status, (), b"", reason, claim.operation)
    if claim.outcome is Outcome.NOT_RUN:
        return Answer(
            Outcome.NOT_RUN, 503, (), b"", RefusalReason.NO_BACKEND, claim.operation
        )
    return Answer.unknown(RefusalReason.ISSUER_GONE, claim.operation)


def _record_not_run(node, operation):
    """Record an operation as not run, in case a failed write still binds it to a key.

    The record makes sure that the operation never runs.
    """
    issued_at = node.issuer.read_issue_time(operation)
    node.ledger.record_refusal(operation, issued_at, RefusalReason.CLAIM_UNAVAILABLE)
