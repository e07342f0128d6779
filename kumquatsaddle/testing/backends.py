"""Scripted backend servers on loopback addresses, for tests of dispatch.

The body of a complete answer is the target of the request. Each answer, except a
refusal, repeats the header ``Kumquatsaddle-Request`` of the request.
"""

import trio

from kumquatsaddle.addresses.groups import Backend

__all__ = ["MAX_ANSWER_BYTES", "ScriptedServers"]

# Size limit in bytes that tests set for the body of an answer.
MAX_ANSWER_BYTES = 4096
_REFUSAL = b"HTTP/1.1 503 Shed\r\nBackend-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
_START_OF_REFUSAL = b"HTTP/1.1 503 Shed\r\n"
_MISDIRECTED = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
# Answers without the id of the request, by the kind that sends them twice.
_REPEATED_REFUSALS = {"refuse_again": _REFUSAL, "misdirect_again": _MISDIRECTED}
_STATUSES = {
    "failed": b"500 Failed",
    "misdirected": b"421 Misdirected Request",
    "unavailable": b"503 Unavailable",
}
_UNREQUESTED_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"


class ScriptedServers:
    """Backend servers that share a script: a list of actions, one for each request.

    An action is a pair of a kind and a number, which only ``cut`` uses. The kinds:

    - ``whole``: a complete answer with a ``Content-Length``;
    - ``chunked``: a complete answer in chunked encoding;
    - ``head``: an informational answer (status 103) before the complete one;
    - ``failed``, ``misdirected``, ``unavailable``: a complete answer with status 500,
      421 or 503;
    - ``refuse``: status 503, marked as unprocessed;
    - ``refuse_again``: the same, and a second copy of it when the next request on the
      connection has arrived, before the answer to that one;
    - ``misdirect_again``: the same with status 421;
    - ``cut``: only the first `number` bytes of an answer, modulo its length;
    - ``close``: closes the connection without an answer;
    - ``early``: closes the connection before it reads the request;
    - ``surplus``: a complete answer and further bytes;
    - ``stray``: a complete answer and a second one that was not requested;
    - ``repeated``: a complete answer, and a second copy of it when the next request on
      the connection has arrived, before the answer to that one;
    - ``endless``: an answer without a length, delimited by the end of the connection;
    - ``large``: an answer with a body longer than `MAX_ANSWER_BYTES`;
    - ``late``: a complete answer once `release_answer` is set.

    Parameters
    ----------
    nursery : trio.Nursery

    Attributes
    ----------
    script : list of (str, int)
    rate_limit : bytes or None
        Rate limit that each answer states, in requests a second.
    announcements : bytes
        Header lines of each answer, refusals included.
    default : (str, int)
        Action when the script is empty.
    reached, refused : list of str
        Targets of the requests that were accepted, and of those refused as unprocessed.
    answer_delayed, release_answer : trio.Event
        Set by a server that delays an answer; set by the test to send the answer.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.script = []
        self.rate_limit = None
        self.announcements = b""
        self.default = ("whole", 0)
        self.reached = []
        self.refused = []
        self._late_copies = {}
        self.answer_delayed = trio.Event()
        self.release_answer = trio.Event()

    async def start(self, count):
        """Start `count` servers and return their `Backend` entries."""
        backends = []
        for number in range(count):
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            backends.append(Backend(f"b{number}", "s", f"127.0.0.1:{port}", "z", "r"))
            self.nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        return backends

    def _next_action(self):
        return self.script.pop(0) if self.script else self.default

    async def _serve(self, stream):
        try:
            while await self._serve_request(stream):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_request(self, stream):
        if self.script and self.script[0][0] == "early":
            self.script.pop(0)
            return False
        head = b""
        while b"\r\n\r\n" not in head:
            data = await stream.receive_some(4096)
            if not data:
                return False
            head += data
        target = head.split()[1]
        request_id_line = [
            line for line in head.split(b"\r\n") if b"-request:" in line.lower()
        ]
        kind, number = self._next_action()
        if kind == "refuse" or kind in _REPEATED_REFUSALS:
            self.refused.append(target.decode())
            refusal = _REPEATED_REFUSALS.get(kind, _REFUSAL)
            refusal = refusal.replace(
                _START_OF_REFUSAL, _START_OF_REFUSAL + self.announcements
            )
            await stream.send_all(self._late_copies.pop(stream, b"") + refusal)
            if kind in _REPEATED_REFUSALS:
                self._late_copies[stream] = refusal
            return True
        self.reached.append(target.decode())
        return await self._send_answer(
            stream, kind, number, target, request_id_line[0] + b"\r\n"
        )

    async def _send_answer(self, stream, kind, number, target, request_id_line):
        if kind == "late":
            self.answer_delayed.set()
            await self.release_answer.wait()
        if kind == "close":
            return False
        if self.rate_limit is not None:
            request_id_line += b"Backend-Rate-Limit: %b\r\n" % self.rate_limit
        request_id_line += self.announcements
        data = _encode_answer(kind, target, request_id_line)
        if kind == "cut":
            data = data[: number % len(data)]
        await stream.send_all(self._late_copies.pop(stream, b"") + data)
        if kind == "repeated":
            self._late_copies[stream] = data
        if kind == "stray":
            await trio.lowlevel.checkpoint()
            await stream.send_all(_UNREQUESTED_ANSWER)
        return kind not in ("cut", "endless")


def _encode_answer(kind, target, request_id_line):
    status = _STATUSES.get(kind, b"200 OK")
    start = b"HTTP/1.1 " + status + b"\r\n" + request_id_line
    if kind == "chunked":
        chunk = b"%x\r\n" % len(target) + target + b"\r\n0\r\n\r\n"
        return start + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
    if kind == "endless":
        return start + b"\r\n" + target
    body = b"x" * (MAX_ANSWER_BYTES + 1) if kind == "large" else target
    whole = start + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if kind == "head":
        return b"HTTP/1.1 103 Early Hints\r\n\r\n" + whole
    return whole + b"\r\nmore" if kind == "surplus" else whole
