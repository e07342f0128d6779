"""Forwarding of requests to their authority and to homes of their service."""

import trio

from kumquatsaddle.dispatch.peers import PeerError, fill_forward, read_answer
from kumquatsaddle.dispatch.retries import choose_answer
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.exchange import Answer
from kumquatsaddle.types import InstanceState, Outcome, RefusalReason, RetryReason

__all__ = ["TO_AUTHORITY", "TO_HOME", "Router", "make_router"]

# Values of the field `kind` of a forwarded request.
TO_AUTHORITY, TO_HOME = 0, 1
# Added to the remaining time of a request, so that the reply of a peer can arrive.
_REPLY_MARGIN_SECONDS = 0.25
# Homes at which one request is attempted, including this instance.
_MAX_ATTEMPTED_HOMES = 3


class Router:
    """Forwards the requests of one instance.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node

    async def forward_to_issuer(self, request, incarnation):
        """Forward a request to the issuer of its operation id; return the answer.

        Parameters
        ----------
        request : Request
        incarnation : IncarnationId

        Returns
        -------
        Answer
            UNKNOWN if the issuer cannot be reached, because an earlier attempt may have
            run.
        """
        member = self._node.table.find_by_incarnation(incarnation)
        if member is None or member.state is InstanceState.DEAD:
            return Answer.unknown(RefusalReason.ISSUER_GONE, request.operation)
        try:
            return await self._forward(request, member, TO_AUTHORITY)
        except PeerError:
            return Answer.unknown(RefusalReason.ISSUER_GONE, request.operation)

    async def forward_to_primary(self, request, name):
        """Forward a request to the primary of its account; return the answer.

        Parameters
        ----------
        request : Request
        name : InstanceId
            The primary.

        Returns
        -------
        answer : Answer or None
            None if the request was not sent to the primary.
        is_final : bool
            Whether the caller gets this answer; otherwise this instance may run the
            request.
        """
        member = self._node.table.members.get(name)
        if member is None or name in self._node.gossip.unreachable:
            return None, False
        try:
            return await self._forward(request, member, TO_AUTHORITY), True
        except PeerError as error:
            lost_answer = Answer.unknown(RefusalReason.ANSWER_LOST)
            if error.written and not request.idempotent:
                return lost_answer, True
            self._node.metrics.count_retry(RetryReason.PEER_LOST)
            return (lost_answer if error.written else None), False

    async def dispatch(self, request):
        """Run a request at a home of its service and return the answer.

        If the request would have to queue at this instance, a home that reports free
        slots is tried first.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Answer
        """
        answer, attempts = None, 0
        for name in self._order_candidates(request):
            if trio.current_time() >= request.deadline:
                refusal = Answer.from_reason(RefusalReason.DEADLINE, request.operation)
                return choose_answer(answer, refusal)
            if attempts >= _MAX_ATTEMPTED_HOMES:
                break
            if attempts:
                self._node.metrics.count_retry(RetryReason.PEER_REFUSED)
            attempts += 1
            try:
                attempt_answer = await self._attempt_at_home(request, name)
            except PeerError as error:
                lost_answer = Answer.unknown(
                    RefusalReason.ANSWER_LOST, request.operation
                )
                if error.written and not request.idempotent:
                    return lost_answer
                self._node.metrics.count_retry(RetryReason.PEER_LOST)
                if error.written:
                    answer = choose_answer(answer, lost_answer)
                continue
            if attempt_answer is None:
                continue
            answer = choose_answer(answer, attempt_answer)
            if attempt_answer.outcome is not Outcome.NOT_RUN:
                break
        if answer is None:
            return Answer.from_reason(RefusalReason.NO_BACKEND, request.operation)
        return answer

    async def _attempt_at_home(self, request, name):
        """Return the answer of a home, or None if the home is not a member."""
        if name == self._node.name:
            return await self._node.dispatcher.dispatch(request)
        member = self._node.table.members.get(name)
        if member is None:
            return None
        return await self._forward(request, member, TO_HOME)

    def _order_candidates(self, request):
        """Yield the instances at which to attempt a request, in order."""
        node, service = self._node, request.service
        own_name = node.name
        if node.dispatcher.has_room(service):
            yield own_name
        homes = node.order_homes(service, request.account)
        others = [
            name
            for name in homes
            if name != own_name and name not in node.gossip.unreachable
        ]
        digests = node.digests.list_current(service, trio.current_time())
        with_free_slots = [
            name for name in others if self._has_free_slots(digests.get(name))
        ]
        yield from with_free_slots[:1]
        if service in node.dispatcher.pools:
            yield own_name
        yield from (name for name in others if name not in with_free_slots[:1])

    @staticmethod
    def _has_free_slots(digest):
        return digest is not None and digest.free_slots > 0 and not digest.queued

    async def _forward(self, request, member, kind):
        remaining = request.deadline - trio.current_time()
        if remaining <= 0:
            raise PeerError(False, "the deadline has passed")
        envelope = await self._node.links.request(
            member.control,
            lambda envelope, number: fill_forward(
                envelope, number, kind, request, remaining, member.incarnation
            ),
            remaining + _REPLY_MARGIN_SECONDS,
        )
        try:
            return read_answer(envelope)
        except MessageError as error:
            raise PeerError(True, error) from None


def make_router(node):
    """Return the router of a node."""
    return Router(node)
