"""Brings a request to its authority and to a home of its service."""

import trio

from kumquatsaddle.dispatch.peers import PeerError, fill_forward, read_answer
from kumquatsaddle.dispatch.retries import choose_answer
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.exchange import Answer
from kumquatsaddle.types import InstanceState, Outcome, RefusalReason, RetryReason

__all__ = ["TO_AUTHORITY", "TO_HOME", "Router", "make_router"]

TO_AUTHORITY, TO_HOME = 0, 1
# Time in seconds added to the deadline for a reply to come back from a peer.
_REPLY_MARGIN = 0.25
# Homes that a request is offered to, this instance included.
_MAX_HOMES = 3


class Router:
    """Forwards the requests of one instance.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node

    async def ask_issuer(self, request, incarnation):
        """Return the answer of the instance that issued the operation id.

        Parameters
        ----------
        request : Request
        incarnation : IncarnationId

        Returns
        -------
        Answer
            UNKNOWN if the issuer cannot be asked: an earlier attempt may have run.
        """
        member = self._node.table.find_incarnation(incarnation)
        if member is None or member.state is InstanceState.DEAD:
            return Answer.unknown(RefusalReason.ISSUER_GONE, request.operation)
        try:
            return await self._forward(request, member, TO_AUTHORITY)
        except PeerError:
            return Answer.unknown(RefusalReason.ISSUER_GONE, request.operation)

    async def ask_primary(self, request, name):
        """Return the answer of the account's primary.

        Parameters
        ----------
        request : Request
        name : InstanceId

        Returns
        -------
        answer : Answer or None
            None if the primary cannot be reached.
        is_final : bool
            Whether the request must not run here.
        """
        member = self._node.table.members.get(name)
        if member is None or name in self._node.gossip.unreachable:
            return None, False
        try:
            return await self._forward(request, member, TO_AUTHORITY), True
        except PeerError as error:
            lost = Answer.unknown(RefusalReason.ANSWER_LOST)
            if error.written and not request.idempotent:
                return lost, True
            self._node.metrics.count_retry(RetryReason.PEER_LOST)
            return (lost if error.written else None), False

    async def dispatch(self, request):
        """Run a request at a home of its service and return the answer.

        A request that waits has a better chance at a home with free slots, so those
        are asked before it joins the queue of this instance.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Answer
        """
        answer, tried = None, 0
        for name in self._order_attempts(request):
            if trio.current_time() >= request.deadline:
                refusal = Answer.refuse(RefusalReason.DEADLINE, request.operation)
                return choose_answer(answer, refusal)
            if tried >= _MAX_HOMES:
                break
            if tried:
                self._node.metrics.count_retry(RetryReason.PEER_REFUSED)
            tried += 1
            try:
                later = await self._offer(request, name)
            except PeerError as error:
                lost = Answer.unknown(RefusalReason.ANSWER_LOST, request.operation)
                if error.written and not request.idempotent:
                    return lost
                self._node.metrics.count_retry(RetryReason.PEER_LOST)
                if error.written:
                    answer = choose_answer(answer, lost)
                continue
            if later is None:
                continue
            answer = choose_answer(answer, later)
            if later.outcome is not Outcome.NOT_RUN:
                break
        if answer is None:
            return Answer.refuse(RefusalReason.NO_BACKEND, request.operation)
        return answer

    async def _offer(self, request, name):
        """Return the answer of a home, or None if it is no member."""
        if name == self._node.name:
            return await self._node.dispatcher.dispatch(request)
        member = self._node.table.members.get(name)
        if member is None:
            return None
        return await self._forward(request, member, TO_HOME)

    def _order_attempts(self, request):
        """Yield the instances to offer a request to."""
        node, service = self._node, request.service
        own = node.name
        if node.dispatcher.has_room(service):
            yield own
        homes = node.order_homes(service, request.account)
        others = [
            name
            for name in homes
            if name != own and name not in node.gossip.unreachable
        ]
        digests = node.digests.current(service, trio.current_time())
        free = [name for name in others if self._has_room(digests.get(name))]
        yield from free[:1]
        if service in node.dispatcher.pools:
            yield own
        yield from (name for name in others if name not in free[:1])

    @staticmethod
    def _has_room(digest):
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
            remaining + _REPLY_MARGIN,
        )
        try:
            return read_answer(envelope)
        except MessageError as error:
            raise PeerError(True, error) from None


def make_router(node):
    """Return the router of a node."""
    return Router(node)
