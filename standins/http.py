"""A small HTTP/1.1 server on h11 for the simulated systems."""

import json

import h11
import trio

__all__ = ["Reply", "reply_json", "serve_http"]

_READ_BYTES = 65536


class Reply:
    """A reply of a simulated system.

    Parameters
    ----------
    status : int
    body : bytes
    headers : sequence of (str, str)
    cut : bool, default=False
        Whether to close the connection after half of the body.
    """

    def __init__(self, status, body=b"", headers=(), cut=False):
        self.status = status
        self.body = body
        self.headers = headers
        self.cut = cut


def reply_json(value, status=200, headers=()):
    """Return a reply with a JSON body."""
    return Reply(status, json.dumps(value).encode(), headers)


async def serve_http(handle, host, port, task_status=trio.TASK_STATUS_IGNORED):
    """Serve requests until cancelled.

    Parameters
    ----------
    handle : callable
        Async; takes method, target, headers (dict of lower-case str) and body, and
        returns a `Reply`, or None to close the connection without a reply.
    host : str
    port : int
    """

    async def serve(stream):
        try:
            await _serve_connection(stream, handle)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except h11.RemoteProtocolError:
            pass
        finally:
            await trio.aclose_forcefully(stream)

    listeners = await trio.open_tcp_listeners(port, host=host, backlog=512)
    task_status.started(listeners)
    await trio.serve_listeners(serve, listeners)


async def _serve_connection(stream, handle):
    parser = h11.Connection(h11.SERVER)
    while True:
        head = await _next_event(parser, stream)
        if not isinstance(head, h11.Request):
            return
        body = b""
        while True:
            event = await _next_event(parser, stream)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return
            body += bytes(event.data)
        headers = {n.decode(): v.decode("latin-1") for n, v in head.headers}
        reply = await handle(head.method.decode(), head.target.decode(), headers, body)
        if reply is None:
            return
        await _send(parser, stream, reply, head.method == b"HEAD")
        if reply.cut or parser.our_state is not h11.DONE:
            return
        parser.start_next_cycle()


async def _send(parser, stream, reply, is_head):
    headers = list(reply.headers)
    if reply.status != 304:
        headers.append(("Content-Length", str(len(reply.body))))
    response = h11.Response(status_code=reply.status, headers=headers)
    data = parser.send(response)
    if reply.cut:
        await stream.send_all(data + reply.body[: len(reply.body) // 2])
        return
    if reply.body and not is_head:
        data += parser.send(h11.Data(data=reply.body))
    await stream.send_all(data + parser.send(h11.EndOfMessage()))


async def _next_event(parser, stream):
    while True:
        if parser.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(parser.send(continue_response))
        event = parser.next_event()
        if event is not h11.NEED_DATA:
            return event
        parser.receive_data(await stream.receive_some(_READ_BYTES))
