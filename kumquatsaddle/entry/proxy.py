"""The way of a request through an instance.

A request is resolved to a route, brought to its authority, admitted there within the
limit of its account, and dispatched to a home of its service. The authority is the
issuer of its operation id, else the primary of its account.
"""

import json
import time
from hashlib import blake2b
from urllib.parse import parse_qs, urlsplit

import trio

from kumquatsaddle.addresses.answers import answer_addresses
from kumquatsaddle.dispatch.connections import HOP_HEADERS
from kumquatsaddle.dispatch.peers import PeerError, fill_forward, read_answer
from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.exchange import Answer, Request
from kumquatsaddle.operations.issuer import parse_incarnation
from kumquatsaddle.types import (
    AccountId,
    InstanceState,
    OperationId,
    Outcome,
    RefusalReason,
    RetryReason,
    ServiceName,
)

__all__ = ["Proxy", "make_proxy"]

RESERVED_PREFIX = "/.kumquatsaddle/"
TO_AUTHORITY, TO_HOME = 0, 1
# Time in seconds that a caller may keep an address answer.
_ADDRESS_TTL = 10
_MAX_BATCH = 256
# Share of an account's limit at an instance that is not its primary.
_SECOND_SHARE = 0.25
# Time in seconds added to the deadline for a reply to come back from a peer.
_REPLY_MARGIN = 0.25
_ACCOUNT_HEADER = b"kumquatsaddle-account"
_OPERATION_HEADER = b"kumquatsaddle-operation"
_TIMEOUT_HEADER = b"kumquatsaddle-timeout-ms"
_KEPT_FROM_BACKENDS = frozenset(
    {b"host", _ACCOUNT_HEADER, _OPERATION_HEADER, _TIMEOUT_HEADER}
)


class Proxy:
    """Answers the requests of callers and of other instances.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node

    async def answer(self, caller_request):
        """Return the answer to a request of a caller.

        Parameters
        ----------
        caller_request : CallerRequest

        Returns
        -------
        Answer
        """
        started = trio.current_time()
        metrics = self._node.metrics
        try:
            if caller_request.target.startswith(RESERVED_PREFIX):
                return self._answer_reserved(caller_request)
            request, limit = self._resolve(caller_request, started)
            answer = await self._answer_request(request, limit, may_forward=True)
        except RefusedError as error:
            answer = Answer.refuse(error.reason)
        else:
            metrics.observe_latency(request.rank, trio.current_time() - started)
        if answer.reason is not None:
            metrics.count_refusal(answer.reason)
        return answer

    async def answer_forwarded(self, request, kind):
        """Return the answer to a request that another instance forwarded.

        Parameters
        ----------
        request : Request
        kind : int
            0 if this instance is its authority, 1 if it is a home of its service.
        """
        if kind == TO_HOME:
            return await self._node.dispatcher.dispatch(request)
        try:
            route = self._node.configuration.resolve_route(
                request.account, request.method, urlsplit(request.target).path
            )
            return await self._answer_request(request, route.limit, may_forward=False)
        except RefusedError as error:
            return Answer.refuse(error.reason, request.operation)

    def _resolve(self, caller_request, now):
        if self._node.table.own.state is InstanceState.JOINING:
            raise RefusedError(RefusalReason.NOT_READY)
        try:
            account = AccountId(caller_request.get_header(_ACCOUNT_HEADER))
            operation = OperationId(caller_request.get_header(_OPERATION_HEADER))
            timeout = caller_request.get_header(_TIMEOUT_HEADER)
        except ValueError as error:
            raise RefusedError(RefusalReason.BAD_REQUEST, str(error)) from None
        route = self._node.configuration.resolve_route(
            account, caller_request.method, urlsplit(caller_request.target).path
        )
        deadline = route.deadline
        if timeout:
            if not timeout.isdigit():
                raise RefusedError(RefusalReason.BAD_REQUEST, "timeout")
            deadline = min(deadline, int(timeout[:9]) / 1000)
        request = Request(
            method=caller_request.method,
            target=caller_request.target,
            headers=_end_to_end(caller_request.headers),
            body=caller_request.body,
            account=account,
            service=route.service,
            rank=route.rank,
            idempotent=route.idempotent,
            deadline=now + deadline,
            operation=OperationId("") if route.idempotent else operation,
            floor=route.floor,
        )
        return request, route.limit

    async def _answer_request(self, request, limit, may_forward):
        if request.operation:
            incarnation = parse_incarnation(request.operation)
            if incarnation != self._node.incarnation:
                return await self._ask_issuer(request, incarnation, may_forward)
            return await self._admit(request, limit, 1.0)
        homes = self._node.order_homes(request.service, request.account)
        own = self._node.name
        if homes and homes[0] != own and may_forward:
            answer = await self._ask_primary(request, homes[0])
            if answer is not None:
                return answer
        share = 1.0 if not homes or homes[0] == own else _SECOND_SHARE
        return await self._admit(request, limit, share)

    async def _ask_issuer(self, request, incarnation, may_forward):
        member = self._node.table.find_incarnation(incarnation)
        if not may_forward or member is None or member.state is InstanceState.DEAD:
            return Answer.refuse(RefusalReason.ISSUER_GONE, request.operation)
        try:
            return await self._forward(request, member.control, TO_AUTHORITY)
        except PeerError as error:
            # An earlier attempt at the issuer may have run the operation.
            return _lost(request, error, RefusalReason.ISSUER_GONE)

    async def _ask_primary(self, request, name):
        """Return the answer of the account's primary, or None if it has none."""
        member = self._node.table.members[name]
        if name in self._node.gossip.unreachable:
            return None
        try:
            return await self._forward(request, member.control, TO_AUTHORITY)
        except PeerError as error:
            if error.written and not request.idempotent:
                return _lost(request, error, RefusalReason.ANSWER_LOST)
            self._node.metrics.count_retry(RetryReason.PEER_LOST)
            return None

    async def _admit(self, request, limit, share):
        node = self._node
        if request.idempotent:
            self._check_limit(request, limit, share)
            return await self._dispatch(request)
        now = time.time()
        if not request.operation:
            self._check_limit(request, limit, share)
            request.operation = node.issuer.issue(now)
        elif node.ledger.look_up(request.operation) is None:
            self._check_limit(request, limit, share)
        issued_at = node.issuer.read_issue_time(request.operation)
        return await node.ledger.run_once(
            request.operation,
            issued_at,
            _fingerprint(request),
            lambda: self._dispatch(request),
        )

    def _check_limit(self, request, limit, share):
        admitted = self._node.limits.admit(
            request.account, request.service, limit, share, trio.current_time()
        )
        if not admitted:
            raise RefusedError(RefusalReason.ACCOUNT_LIMIT, request.account)

    async def _dispatch(self, request):
        node = self._node
        if node.dispatcher.has_room(request.service):
            return await node.dispatcher.dispatch(request)
        for name in self._other_homes(request):
            try:
                control = node.table.members[name].control
                answer = await self._forward(request, control, TO_HOME)
            except PeerError as error:
                if error.written and not request.idempotent:
                    return _lost(request, error, RefusalReason.ANSWER_LOST)
                node.metrics.count_retry(RetryReason.PEER_LOST)
                continue
            if answer.outcome is not Outcome.NOT_RUN:
                return answer
            node.metrics.count_retry(RetryReason.PEER_REFUSED)
        return await node.dispatcher.dispatch(request)

    def _other_homes(self, request):
        homes = self._node.order_homes(request.service, request.account)
        unreachable = self._node.gossip.unreachable
        others = [
            name
            for name in homes
            if name != self._node.name and name not in unreachable
        ]
        return others[:1]

    async def _forward(self, request, control, kind):
        remaining = request.deadline - trio.current_time()
        envelope = await self._node.links.request(
            control,
            lambda envelope, number: fill_forward(
                envelope, number, kind, request, remaining
            ),
            remaining + _REPLY_MARGIN,
        )
        return read_answer(envelope)

    def _answer_reserved(self, caller_request):
        parts = urlsplit(caller_request.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        name = parts.path.removeprefix(RESERVED_PREFIX)
        if name == "addresses":
            return self._answer_addresses(query)
        if name == "operations" and caller_request.method == "POST":
            return self._issue_operations(query)
        return Answer.refuse(RefusalReason.UNKNOWN_ROUTE)

    def _answer_addresses(self, query):
        node = self._node
        service = ServiceName(query.get("service", ""))
        entries = answer_addresses(
            node.placement.homes_of(service),
            service,
            AccountId(query.get("account", "")),
            {member.name: member.callers for member in node.serving_members()},
        )
        addresses = [
            {"address": entry.address, "instance": entry.instance} for entry in entries
        ]
        return _json_answer({"addresses": addresses, "ttl": _ADDRESS_TTL})

    def _issue_operations(self, query):
        count = query.get("count", "1")
        if not count.isdigit() or not 0 < int(count[:9]) <= _MAX_BATCH:
            return Answer.refuse(RefusalReason.BAD_REQUEST)
        now = time.time()
        issued = [self._node.issuer.issue(now) for _ in range(int(count))]
        return _json_answer({"operations": issued})


def make_proxy(node):
    """Return the proxy of a node."""
    return Proxy(node)


def _end_to_end(headers):
    named = set()
    for name, value in headers:
        if name == b"connection":
            named |= {word.strip().lower() for word in value.split(b",")}
    dropped = HOP_HEADERS | _KEPT_FROM_BACKENDS | named
    return [(bytes(n), bytes(v)) for n, v in headers if n not in dropped]


def _fingerprint(request):
    digest = blake2b(digest_size=16)
    for part in (request.method, request.target, request.account):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.digest()


def _lost(request, error, reason):
    return Answer.refuse(reason, request.operation)


def _json_answer(value):
    headers = ((b"Content-Type", b"application/json"),)
    return Answer(Outcome.DONE, 200, headers, json.dumps(value).encode())
