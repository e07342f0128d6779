"""Request handling of an instance.

To resolve a request is to find its route, and with it its service, rank, limit and
deadline. A resolved request is forwarded to its authority, admitted there within the
limit of its account, and dispatched to a home of its service. The authority of a
request is the instance that issued its operation id, or the primary of its account if
it has no operation id. A home of a service is an instance that dispatches to backend
servers of the service.

Only the issuer of an operation id may answer NOT_RUN for it, because the issuer records
the refusal. Every other instance that refuses such a request answers UNKNOWN.
"""

import trio

from kumquatsaddle.admission.limits import get_limit_share
from kumquatsaddle.dispatch.answers import HOP_BY_HOP_HEADERS
from kumquatsaddle.dispatch.retries import choose_answer
from kumquatsaddle.entry.claiming import answer_claimed
from kumquatsaddle.entry.reserved import RESERVED_PREFIX, answer_reserved
from kumquatsaddle.entry.routing import TO_HOME, make_router
from kumquatsaddle.entry.running import run_operation
from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.exchange import Answer, Request
from kumquatsaddle.logs import log_event
from kumquatsaddle.operations.issuer import parse_incarnation
from kumquatsaddle.types import (
    AccountId,
    InstanceState,
    OperationId,
    RefusalReason,
)

__all__ = ["Proxy", "make_proxy"]

# Bounds the cost of int() on a header value.
_MAX_TIMEOUT_DIGITS = 9
_ACCOUNT_HEADER = b"kumquatsaddle-account"
_OPERATION_HEADER = b"kumquatsaddle-operation"
_TIMEOUT_HEADER = b"kumquatsaddle-timeout-ms"
_RESERVED_HEADER_PREFIX = b"kumquatsaddle-"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
ATTEMPT_HEADER = b"kumquatsaddle-attempt"
# RFC 9110, section 9.2.1.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})


class Proxy:
    """Handles requests from callers and requests that other instances forward.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node
        self._router = make_router(node)

    async def answer(self, caller_request):
        """Return the answer to a request from a caller.

        Parameters
        ----------
        caller_request : CallerRequest

        Returns
        -------
        Answer
        """
        if caller_request.target.startswith(RESERVED_PREFIX):
            return answer_reserved(
                self._node, caller_request.method, caller_request.target
            )
        try:
            answer = await self._resolve_and_answer(caller_request)
        except Exception as error:
            # An error in the handling of one request must not stop the instance.
            log_event("request_failed", level="ERROR", error=repr(error))
            answer = Answer.unknown(RefusalReason.INTERNAL_ERROR)
        if answer.reason is not None:
            self._node.metrics.count_refusal(answer.reason)
        return answer

    def answer_head(self, caller_request):
        """Return the answer to a request if it does not depend on its body, or None.

        Parameters
        ----------
        caller_request : CallerRequest
            Its body has not been read.
        """
        if caller_request.target.startswith(RESERVED_PREFIX):
            return answer_reserved(
                self._node, caller_request.method, caller_request.target
            )
        try:
            self._resolve_request(caller_request, trio.current_time())
        except RefusedError as error:
            self._node.metrics.count_refusal(error.reason)
            return self.refuse_unresolved(caller_request.headers, error.reason)
        return None

    def allows_overlap(self, caller_request):
        """Return whether a request may run beside others of its connection.

        Parameters
        ----------
        caller_request : CallerRequest

        Returns
        -------
        bool
            Only for idempotent requests with a safe method (RFC 9112, section 9.3.2):
            a read behind an idempotent write must see what it has written.
        """
        if caller_request.method not in _SAFE_METHODS:
            return False
        if caller_request.target.startswith(RESERVED_PREFIX):
            return True
        try:
            account = AccountId(caller_request.get_header(_ACCOUNT_HEADER))
            route = self._node.configuration.resolve_route(
                account, caller_request.method, _extract_path(caller_request.target)
            )
        except (RefusedError, ValueError):
            return False
        return route.idempotent

    async def answer_forwarded(self, request, kind):
        """Return the answer to a request that another instance forwarded.

        Parameters
        ----------
        request : Request
        kind : int
            `TO_AUTHORITY` if the sender takes this instance for the authority of the
            request, `TO_HOME` if it takes it for a home of the service.
        """
        if kind == TO_HOME:
            return await self._node.dispatcher.dispatch(request)
        try:
            route = self._node.configuration.resolve_route(
                request.account, request.method, _extract_path(request.target)
            )
        except RefusedError as error:
            return self._refuse_request(request, error.reason)
        return await self._answer_resolved(request, route.limit, may_forward=False)

    async def _resolve_and_answer(self, caller_request):
        start_time = min(
            trio.current_time() - self._node.pause_detector.get_arrival_delay(),
            caller_request.arrived_at,
        )
        try:
            request, limit = self._resolve_request(caller_request, start_time)
        except RefusedError as error:
            return self.refuse_unresolved(caller_request.headers, error.reason)
        answer = await self._answer_resolved(request, limit, may_forward=True)
        latency = trio.current_time() - start_time
        self._node.metrics.observe_latency(request.rank, latency)
        return answer

    def refuse_unresolved(self, headers, reason):
        """Return the answer to a request that is refused before it is resolved.

        Parameters
        ----------
        headers : sequence of (bytes, bytes)
            As received, with names in lower case.
        reason : RefusalReason
        """
        operations = [value for name, value in headers if name == _OPERATION_HEADER]
        if len(operations) == 1 and operations[0]:
            operation = OperationId(operations[0].decode("latin-1"))
            return self._refuse_operation(operation, reason)
        if operations or any(name == IDEMPOTENCY_KEY_HEADER for name, _ in headers):
            return Answer.unknown(reason)
        return Answer.from_reason(reason)

    def _refuse_operation(self, operation, reason):
        node = self._node
        try:
            if parse_incarnation(operation) != node.incarnation:
                return Answer.unknown(reason, operation)
            issued_at = node.issuer.read_issue_time(operation)
        except RefusedError as error:
            # No instance issued this id, so no operation can have run under it.
            return Answer.from_reason(error.reason)
        return node.ledger.record_refusal(operation, issued_at, reason)

    def _refuse_request(self, request, reason):
        if request.operation:
            return self._refuse_operation(request.operation, reason)
        return self.refuse_unresolved(request.headers, reason)

    def _resolve_request(self, caller_request, arrived_at):
        if self._node.table.own.state is InstanceState.JOINING:
            raise RefusedError(RefusalReason.NOT_READY)
        try:
            account = AccountId(caller_request.get_header(_ACCOUNT_HEADER))
            operation = OperationId(caller_request.get_header(_OPERATION_HEADER))
            timeout = caller_request.get_header(_TIMEOUT_HEADER)
        except ValueError as error:
            raise RefusedError(RefusalReason.BAD_REQUEST, str(error)) from None
        route = self._node.configuration.resolve_route(
            account, caller_request.method, _extract_path(caller_request.target)
        )
        deadline = route.deadline
        if timeout:
            if not timeout.isdigit() or len(timeout) > _MAX_TIMEOUT_DIGITS:
                raise RefusedError(RefusalReason.BAD_REQUEST, "timeout")
            deadline = min(deadline, int(timeout) / 1000)
        request = Request(
            method=caller_request.method,
            target=caller_request.target,
            headers=_select_end_to_end_headers(caller_request.headers),
            body=caller_request.body,
            account=account,
            service=route.service,
            rank=route.rank,
            idempotent=route.idempotent,
            deadline=arrived_at + deadline,
            operation=OperationId("") if route.idempotent else operation,
            floor=route.floor,
        )
        return request, route.limit

    async def _answer_resolved(self, request, limit, may_forward):
        if request.operation:
            return await self._answer_with_operation_id(request, limit, may_forward)
        homes = self._node.order_homes(request.service, request.account)
        answer = None
        if homes and homes[0] != self._node.name and may_forward:
            answer, is_final = await self._router.forward_to_primary(request, homes[0])
            if is_final:
                return answer
        return choose_answer(
            answer, await self._answer_as_authority(request, limit, homes)
        )

    async def _answer_as_authority(self, request, limit, homes):
        """Answer a request for which this instance acts as the authority."""
        if not self._admit(request, limit, homes):
            return self._refuse_request(request, RefusalReason.ACCOUNT_LIMIT)
        if request.idempotent:
            return await self._router.dispatch(request)
        if any(name == IDEMPOTENCY_KEY_HEADER for name, _ in request.headers):
            return await answer_claimed(self._node, self._router, request)
        if self._node.ledger.is_full():
            return Answer.from_reason(RefusalReason.LEDGER_FULL)
        request.operation = self._node.issuer.issue(self._node.clock())
        return await run_operation(self._node, self._router, request)

    async def _answer_with_operation_id(self, request, limit, may_forward):
        node = self._node
        try:
            incarnation = parse_incarnation(request.operation)
            if incarnation != node.incarnation:
                if may_forward:
                    return await self._router.forward_to_issuer(request, incarnation)
                return Answer.unknown(RefusalReason.ISSUER_GONE, request.operation)
            # Called only for its check: it raises if the id is forged.
            node.issuer.read_issue_time(request.operation)
        except RefusedError as error:
            return Answer.from_reason(error.reason)
        if not node.ledger.has_record(request.operation):
            homes = node.order_homes(request.service, request.account)
            if not self._admit(request, limit, homes):
                return self._refuse_request(request, RefusalReason.ACCOUNT_LIMIT)
        return await run_operation(node, self._router, request)

    def _admit(self, request, limit, homes):
        return self._node.limits.admit(
            request.account,
            request.service,
            limit,
            get_limit_share(self._node.name, homes),
            trio.current_time(),
        )


def make_proxy(node):
    """Return the request proxy of a node."""
    return Proxy(node)


def _extract_path(target):
    # `check_head` accepts only targets that consist of a path and an optional query.
    return target.partition("?")[0]


def _select_end_to_end_headers(headers):
    hop_by_hop = set()
    for name, value in headers:
        if name == b"connection":
            hop_by_hop |= {token.strip().lower() for token in value.split(b",")}
    dropped = HOP_BY_HOP_HEADERS | {b"host"} | hop_by_hop
    return [
        (bytes(name), bytes(value))
        for name, value in headers
        if name not in dropped
        and (not name.startswith(_RESERVED_HEADER_PREFIX) or name == ATTEMPT_HEADER)
    ]
