"""API and web pages for operators, an ASGI application served by hypercorn.

All requests except those to the health endpoints need the token from the settings,
either as a bearer token or, for pages in a browser, as the password of HTTP basic
authentication.
"""

import base64
import binascii
import hmac
import html
import json
from urllib.parse import parse_qsl, unquote

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from kumquatsaddle.configuration.api import ApiRequest, answer_api
from kumquatsaddle.entry.status import describe_status, explain_request
from kumquatsaddle.exceptions import RefusedError, SettingsError
from kumquatsaddle.settings.files import read_secret
from kumquatsaddle.types import InstanceState, OperatorRefusal

__all__ = ["OperatorsServer", "make_operators_server"]

# A template of 50 routes has about 6 KB.
_MAX_BODY_BYTES = 1 << 20
_GRACEFUL_TIMEOUT_SECONDS = 1.0
_LISTEN_BACKLOG = 100
# Maximum time between bytes of a request; also applies to idle connections.
_READ_TIMEOUT_SECONDS = 30.0
_API_PREFIX = "/api/v1/"
_READY_STATES = (InstanceState.ALIVE, InstanceState.IMPAIRED)
# Pages that accept basic authentication. They must not change any state, because a
# browser also sends these credentials with requests that other sites cause (CSRF).
_BROWSER_PAGES = ("/", "/status.json", "/metrics")
_SECURITY_HEADERS = (
    (b"cache-control", b"no-store"),
    (b"x-content-type-options", b"nosniff"),
    (b"content-security-policy", b"default-src 'none'; style-src 'unsafe-inline'"),
)


class OperatorsServer:
    """Server of one instance for its operators.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node
        token_file = node.settings.get("secrets", "operator_token_file")
        self._token = None
        if token_file:
            self._token = read_secret(
                node.settings, "secrets", "operator_token_file", token_file
            )

    async def run(self, address, task_status=trio.TASK_STATUS_IGNORED):
        """Serve at `address` until cancelled.

        Raises
        ------
        SettingsError
            If the server cannot listen at the address.
        """
        config = Config()
        config.accesslog = config.errorlog = None
        config.graceful_timeout = _GRACEFUL_TIMEOUT_SECONDS
        config.keep_alive_timeout = config.read_timeout = _READ_TIMEOUT_SECONDS
        config.include_server_header = False
        try:
            listeners = await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=_LISTEN_BACKLOG
            )
        except OSError as error:
            raise SettingsError(
                f"{address} cannot be bound: {error.strerror}",
                self._node.settings.file,
                "listen",
                "operators",
            ) from None
        # hypercorn.trio.serve has no limit of connections and never closes one whose
        # caller reads nothing, so only its protocol is used here.
        context = WorkerContext(None)
        app = ASGIWrapper(self.app)

        async def serve(stream):
            await self._serve_connection(
                stream, TCPServer(app, config, context, ConnectionState({}), stream)
            )

        task_status.started(listeners)
        try:
            await trio.serve_listeners(serve, listeners)
        finally:
            await context.terminated.set()

    async def _serve_connection(self, stream, protocol):
        """Serve a connection, or close it if it gets no slot."""
        slots = self._node.client_limits.slots
        slot = slots.open("operators", trio.current_time())
        if slot is None:
            self._count_refusal(OperatorRefusal.TOO_MANY)
            await trio.aclose_forcefully(stream)
            return
        slot.close = stream.socket.close
        try:
            await protocol
        finally:
            slots.close(slot)
            await trio.aclose_forcefully(stream)

    async def app(self, scope, receive, send):
        """Handle one ASGI connection, an HTTP request or the lifespan."""
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        reply = await self._answer_request(scope, receive)
        await _send_response(send, scope["method"], *reply)

    async def _answer_request(self, scope, receive):
        # Only the API reads a body, and only with the right token.
        path, method = scope["path"], scope["method"]
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        if path in ("/healthz", "/readyz"):
            return self._answer_health(path)
        refusal = self._check_token(headers, path, method)
        if refusal is not None:
            return refusal
        query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
        if path.startswith(_API_PREFIX):
            raw = scope.get("raw_path") or path.encode()
            raw = raw.decode("latin-1").partition("?")[0].removeprefix(_API_PREFIX)
            segments = tuple(unquote(part) for part in raw.split("/"))
            body = await _read_body(receive)
            if body is None:
                self._count_refusal(OperatorRefusal.TOO_LARGE)
                error = f"request body exceeds {_MAX_BODY_BYTES} bytes"
                return _json_reply(413, {"error": error})
            return await self._answer_api(method, segments, query, headers, body)
        if method not in ("GET", "HEAD"):
            return _json_reply(
                405, {"error": "method is not allowed; use GET", "field": "method"}
            )
        return self._answer_page(path)

    def _answer_health(self, path):
        state = self._node.table.own.state
        ready = self._node.distribution.ready and state in _READY_STATES
        status = 200 if path == "/healthz" or ready else 503
        return _json_reply(status, {"state": state.value, "ready": ready})

    def _answer_page(self, path):
        if path == "/metrics":
            content = self._node.metrics.render_text()
            return 200, b"text/plain; version=0.0.4; charset=utf-8", content
        if path == "/status.json":
            return _json_reply(200, describe_status(self._node))
        if path == "/":
            page = _render_page(describe_status(self._node))
            return 200, b"text/html; charset=utf-8", page.encode()
        return _json_reply(404, {"error": "no such resource", "field": "path"})

    async def _answer_api(self, method, segments, query, headers, body):
        if not self._node.distribution.ready:
            self._count_refusal(OperatorRefusal.NOT_WRITTEN)
            return _json_reply(
                503,
                {
                    "outcome": "not-written",
                    "error": "instance has no configuration yet",
                },
            )
        if segments == ("explain",) and method == "GET":
            try:
                return _json_reply(200, explain_request(self._node, query))
            except RefusedError as error:
                value = {"error": error.detail, "reason": error.reason.value}
                return _json_reply(404, value)
        request = ApiRequest(method, segments, query, headers, body)
        reply = await answer_api(self._node.distribution, request)
        return _json_reply(reply.status, reply.value)

    def _check_token(self, headers, path, method):
        """Return the refusal of a request without the right token, or None."""
        if self._token is None:
            self._count_refusal(OperatorRefusal.NO_TOKEN)
            value = {"error": "operator_token_file is not set in the settings"}
            return _json_reply(403, value)
        token = _read_token(
            headers, path in _BROWSER_PAGES and method in ("GET", "HEAD")
        )
        if token is not None and hmac.compare_digest(token, self._token):
            return None
        self._count_refusal(OperatorRefusal.UNAUTHORIZED)
        return _json_reply(401, {"error": "operator token is missing or wrong"})

    def _count_refusal(self, reason):
        self._node.metrics.count("operator_refusals", reason=reason.value)


def make_operators_server(node):
    """Return the server of a node for operators; see `OperatorsServer`."""
    return OperatorsServer(node)


def _read_token(headers, basic_allowed):
    scheme, _, value = headers.get("authorization", "").partition(" ")
    if scheme.lower() == "bearer":
        return value.strip().encode("latin-1")
    if scheme.lower() != "basic" or not basic_allowed:
        return None
    try:
        return base64.b64decode(value, validate=True).partition(b":")[2]
    except (binascii.Error, ValueError):
        return None


async def _answer_lifespan(receive, send):
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_body(receive):
    """Return the body, or None if it is too large."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return bytes(body)
        body += message.get("body", b"")
        if len(body) > _MAX_BODY_BYTES:
            return None
        if not message.get("more_body"):
            return bytes(body)


async def _send_response(send, method, status, content_type, content):
    headers = [
        (b"content-type", content_type),
        (b"content-length", b"%d" % len(content)),
        *_SECURITY_HEADERS,
    ]
    if status == 401:
        headers.append((b"www-authenticate", b'Bearer, Basic realm="operators"'))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    body = b"" if method == "HEAD" else content
    await send({"type": "http.response.body", "body": body})


def _json_reply(status, value):
    return status, b"application/json", json.dumps(value).encode()


def _render_page(status):
    """Return the status as an HTML page in which every value is escaped."""
    parts = [
        "<!doctype html><meta charset=utf-8><title>Kumquatsaddle</title>",
        "<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:left}"
        "</style>",
        f"<h1>Instance {html.escape(str(status['instance']))}</h1>",
        f"<p>state {html.escape(str(status['state']))}, "
        f"configuration version {int(status['version'])}</p>",
    ]
    for title in ("members", "groups", "servers", "queues", "counters"):
        parts.append(f"<h2>{title.capitalize()}</h2>{_render_table(status[title])}")
    return "".join(parts)


def _render_table(rows):
    if not rows:
        return "<p>none</p>"
    columns = list(rows[0])
    head = "".join(f"<th>{html.escape(column)}</th>" for column in columns)
    lines = [
        "".join(f"<td>{html.escape(str(row.get(column)))}</td>" for column in columns)
        for row in rows
    ]
    body = "".join(f"<tr>{line}</tr>" for line in lines)
    return f"<table><tr>{head}</tr>{body}</table>"
