"""Scripted backend servers on loopback for tests of exchanges and dispatch.

The body of a whole answer is the target of the request, and every answer to a request
repeats its header ``Kumquatsaddle-Request``.
"""

import trio

from kumquatsaddle.addresses.groups import Backend

__all__ = ["MAX_ANSWER", "ScriptedServers"]

# Longest body in bytes that tests accept.
MAX_ANSWER = 4096
_REFUSE = b"HTTP/1.1 503 Shed\r\nBackend-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
_STATUSES = {"failed": b"500 Failed", "misdirected": b"421 Misdirected Request"}
_STRAY = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"


class ScriptedServers:
    """Servers that share one script; its next action answers the next request.

    An action is a pair of a word and a number: ``whole``, ``chunked``, ``head`` (after
    an informational answer), ``failed`` (status 500), ``refuse`` (unprocessed), ``cut``
    (after `number` bytes), ``close`` (without an answer), ``early`` (before the request
    is read), ``surplus`` (bytes after the end), ``stray`` (a second one), ``endless``
    (no length), ``large`` (above `MAX_ANSWER`), ``misdirected`` (status 421) and
    ``late`` (when `late` is set).

    Parameters
    ----------
    nursery : trio.Nursery

    Attributes
    ----------
    script : list of (str, int)
    default : (str, int)
        Action when the script is at its end.
    reached, refused : list of str
        Targets of the requests that arrived and that were refused as unprocessed.
    is_late, late : trio.Event
        Set when a server holds an answer back; set to let it go.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.script = []
        self.default = ("whole", 0)
        self.reached = []
        self.refused = []
        self.is_late = trio.Event()
        self.late = trio.Event()

    async def start(self, count):
        """Start servers and return their `Backend` entries."""
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
            while await self._answer(stream):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer(self, stream):
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
        echo = [line for line in head.split(b"\r\n") if b"-request:" in line.lower()]
        kind, number = self._next_action()
        if kind == "refuse":
            self.refused.append(target.decode())
            await stream.send_all(_REFUSE)
            return True
        self.reached.append(target.decode())
        return await self._act(stream, kind, number, target, echo[0] + b"\r\n")

    async def _act(self, stream, kind, number, target, echo):
        if kind == "late":
            self.is_late.set()
            await self.late.wait()
        if kind == "close":
            return False
        data = _encode(kind, target, echo)
        if kind == "cut":
            data = data[: number % len(data)]
        await stream.send_all(data)
        if kind == "stray":
            await trio.lowlevel.checkpoint()
            await stream.send_all(_STRAY)
        return kind not in ("cut", "endless")


def _encode(kind, target, echo):
    status = _STATUSES.get(kind, b"200 OK")
    start = b"HTTP/1.1 " + status + b"\r\n" + echo
    if kind == "chunked":
        chunk = b"%x\r\n" % len(target) + target + b"\r\n0\r\n\r\n"
        return start + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
    if kind == "endless":
        return start + b"\r\n" + target
    body = b"x" * (MAX_ANSWER + 1) if kind == "large" else target
    whole = start + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if kind == "head":
        return b"HTTP/1.1 103 Early Hints\r\n\r\n" + whole
    return whole + b"\r\nmore" if kind == "surplus" else whole
