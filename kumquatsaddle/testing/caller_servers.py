"""Test doubles and parsers for tests of the server for callers."""

from types import SimpleNamespace

import h11
import trio

from kumquatsaddle.entry.callers import make_caller_server
from kumquatsaddle.exchange import Answer
from kumquatsaddle.metrics import make_metrics
from kumquatsaddle.settings.fields import known_fields
from kumquatsaddle.settings.files import Settings
from kumquatsaddle.types import Outcome

__all__ = ["EchoProxy", "make_default_settings", "make_test_server", "read_responses"]


class EchoProxy:
    """Answers each request after `delay` seconds, with its target and body or `body`.

    A target that contains ``fault`` makes it raise RuntimeError.
    """

    def __init__(self, delay=0.0, body=None):
        self.delay = delay
        self.body = body
        self.requests = []
        self.cancelled = 0

    def allows_overlap(self, request):
        """Return whether a request may run beside others: GET may."""
        return request.method == "GET"

    async def answer(self, request):
        """Return the answer to a request."""
        self.requests.append(request)
        if "fault" in request.target:
            raise RuntimeError("injected fault of the proxy")
        try:
            await trio.sleep(self.delay)
        except trio.Cancelled:
            self.cancelled += 1
            raise
        body = self.body or request.target.encode() + b"|" + request.body
        return Answer(Outcome.DONE, 200, (), body)


def make_default_settings(file="test.ini", **changes):
    """Return settings with the declared defaults.

    `changes` are parsed values, named ``section__key``. Required keys are empty;
    `kumquatsaddle.testing.settings.make_settings` takes texts and leaves them out.
    """
    values = {
        (field.section, field.key): "" if field.required else field.default
        for field in known_fields()
    }
    for name, value in changes.items():
        values[tuple(name.split("__"))] = value
    return Settings(values, {}, file)


def make_test_server(proxy=None, **changes):
    """Return a server for callers; `changes` are those of `make_default_settings`."""
    node = SimpleNamespace(
        settings=make_default_settings(**changes), metrics=make_metrics()
    )
    return make_caller_server(node, proxy or EchoProxy())


def read_responses(data, methods=None):
    """Parse the bytes of responses; return (status, headers, body) of each.

    Parameters
    ----------
    data : bytes
    methods : list of str, optional
        Methods of the requests, in order; default: all GET.
    """
    responses, methods = [], list(methods or [])
    while data:
        parser = h11.Connection(h11.CLIENT)
        method = methods.pop(0) if methods else "GET"
        request = h11.Request(method=method, target="/", headers=[("Host", "x")])
        parser.send(request)
        parser.send(h11.EndOfMessage())
        parser.receive_data(data)
        parser.receive_data(b"")
        head = parser.next_event()
        if isinstance(head, h11.InformationalResponse):
            responses.append((head.status_code, {}, b""))
            data = data[data.index(b"\r\n\r\n") + 4 :]
            continue
        body = b""
        while isinstance(event := parser.next_event(), h11.Data):
            body += bytes(event.data)
        assert isinstance(event, h11.EndOfMessage), event
        responses.append((head.status_code, dict(head.headers), body))
        data = parser.trailing_data[0]
    return responses
