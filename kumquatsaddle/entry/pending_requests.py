"""Requests of one connection that were started and are not answered yet."""

import trio

__all__ = ["PendingRequest"]


class PendingRequest:
    """A request that was started and whose answer is not sent yet.

    Parameters
    ----------
    request : CallerRequest
    previous : PendingRequest or None
        The request whose answer precedes.
    body_bytes : int
        Memory reserved for the body.
    head_bytes : int
        Memory reserved for the head.
    """

    __slots__ = (
        "request",
        "previous",
        "body_bytes",
        "head_bytes",
        "scope",
        "answer",
        "finished",
    )

    def __init__(self, request, previous, body_bytes, head_bytes):
        self.request = request
        self.previous = previous
        self.body_bytes = body_bytes
        self.head_bytes = head_bytes
        self.scope = trio.CancelScope()
        self.answer = None
        self.finished = trio.Event()
