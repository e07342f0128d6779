"""The TCP server for other instances: forwarded requests, one task a connection."""

import trio

from kumquatsaddle.dispatch.peers import read_headers, write_answer
from kumquatsaddle.entry.proxy import make_proxy
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.exchange import Request
from kumquatsaddle.membership.exchange import fill_members, take_hello
from kumquatsaddle.messages.codec import find_reason
from kumquatsaddle.messages.frames import FrameReader, write_frame
from kumquatsaddle.types import MessageRejection, Rank

__all__ = ["ControlServer", "make_control_server"]


class ControlServer:
    """Answers the requests that other instances forward.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node
        self._proxy = make_proxy(node)

    async def run(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Serve other instances at `address` until cancelled."""
        await trio.serve_tcp(
            self._serve_link, address.port, host=address.host, task_status=task_status
        )

    async def _serve_link(self, stream):
        reader = FrameReader(stream)
        lock = trio.Lock()
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    data = await reader.read()
                    if data is None:
                        break
                    envelope = self._node.codec.open(data)
                    kind = envelope.which()
                    if kind == "hello":
                        nursery.start_soon(self._introduce, envelope, stream, lock)
                        continue
                    if kind != "forward":
                        raise MessageError(MessageRejection.UNEXPECTED.value)
                    nursery.start_soon(self._answer, envelope.forward, stream, lock)
        except* MessageError as group:
            reason = find_reason(group.exceptions[0])
            self._node.metrics.count("messages_rejected", reason=reason)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            self._node.metrics.count("peer_links_broken")
        finally:
            await trio.aclose_forcefully(stream)

    async def _introduce(self, envelope, stream, lock):
        """Merge a ``hello`` and send the member table."""
        node = self._node
        take_hello(envelope, node.gossip)
        reply = node.codec.new_envelope(node.configuration.version)
        fill_members(reply, envelope.hello.number, node.table)
        async with lock:
            await write_frame(stream, node.codec.seal(reply))

    async def _answer(self, body, stream, lock):
        request = _read_request(body, trio.current_time())
        answer = await self._proxy.answer_forwarded(request, body.kind)
        envelope = self._node.codec.new_envelope(self._node.configuration.version)
        write_answer(envelope, body.number, answer)
        async with lock:
            await write_frame(stream, self._node.codec.seal(envelope))


def make_control_server(node):
    """Return the server for the peers of a node."""
    return ControlServer(node)


def _read_request(body, now):
    if body.rank > max(Rank):
        raise MessageError(MessageRejection.MALFORMED.value)
    return Request(
        method=body.method,
        target=body.target,
        headers=list(read_headers(body)),
        body=bytes(body.body),
        account=body.account,
        service=body.service,
        rank=Rank(body.rank),
        idempotent=body.idempotent,
        deadline=now + body.remainingMs / 1000,
        operation=body.operation,
    )
