"""A node with the embedded platform, and calls to its application for operators."""

import json
import secrets
import socket
import tempfile
from pathlib import Path

from kumquatsaddle.lifecycle.node import make_node
from kumquatsaddle.settings.files import load_settings
from kumquatsaddle.types import InstanceState

__all__ = ["OperatorsNode", "call_app", "write_settings"]

_SETTINGS = """\
[instance]
id = one
zone = a

[listen]
callers = {host}:{callers}
control = {host}:{control}
operators = {host}:{operators}

[platform]
kind = memory

[membership]
probe_interval = 0.2 s

[stop]
notice = 0 s

[service:lookup]
floor = 0.5

[template:crew]
routes = [{{"prefix": "/lookup", "service": "lookup", "rank": "urgent"}}]
limits = {{"lookup": {{"rate": 5, "burst": 7}}}}

[account:shop]
template = crew

[backend:b1]
service = lookup
address = {host}:9

[backend:b2]
service = lookup
address = {host}:9
"""


def write_settings(folder, host, token=True):
    """Write a settings file with unused ports; return its path and the token file's.

    Parameters
    ----------
    folder : str or Path
    host : str
        Loopback address.
    token : bool, default=True
        Whether the settings name the token file.
    """
    ports = {}
    for name in ("callers", "control", "operators"):
        with socket.socket() as probe:
            probe.bind((host, 0))
            ports[name] = probe.getsockname()[1]
    token_file = Path(folder, "operator.token")
    token_file.write_text(secrets.token_hex(16))
    text = _SETTINGS.format(host=host, **ports)
    if token:
        text += f"\n[secrets]\noperator_token_file = {token_file}\n"
    file = Path(folder, "node.ini")
    file.write_text(text)
    return file, token_file


class OperatorsNode:
    """A node whose servers are not started; its application is called directly.

    Parameters
    ----------
    token : bool
        Whether it has an operator token.
    """

    def __init__(self, token=True):
        with tempfile.TemporaryDirectory() as folder:
            self._make_node(*write_settings(folder, "127.0.34.1", token))

    def _make_node(self, file, token_file):
        self.token = token_file.read_text()
        self.node, _ = make_node(load_settings(file))

    async def load(self):
        """Load the configuration and become ALIVE."""
        await self.node._load_initial_configuration()
        self.node.gossip.set_own_state(InstanceState.ALIVE)
        await self.node.update_placement()

    async def call(self, method, path, value=None, **headers):
        """Call the application with the token; return the status and the JSON value.

        Underscores in the names of `headers` become hyphens.
        """
        fields = {"authorization": f"Bearer {self.token}"}
        fields |= {name.replace("_", "-"): text for name, text in headers.items()}
        body = b"" if value is None else json.dumps(value).encode()
        app = self.node.operators.app
        status, _, content = await call_app(app, method, path, body, fields)
        return status, json.loads(content)


async def call_app(app, method, path, body=b"", headers=()):
    """Send one request to an ASGI application.

    Returns
    -------
    status : int
    headers : dict of bytes to bytes
    body : bytes
    """
    path, _, query = path.partition("?")
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": query.encode(),
        "headers": [
            (name.encode("latin-1"), text.encode("latin-1"))
            for name, text in dict(headers).items()
        ],
    }
    sent = []
    messages = [
        {"type": "http.request", "body": body[:10], "more_body": True},
        {"type": "http.request", "body": body[10:], "more_body": False},
    ]

    async def receive():
        return messages.pop(0)

    async def send(message):
        sent.append(message)

    await app(scope, receive, send)
    content = b"".join(message.get("body", b"") for message in sent[1:])
    return sent[0]["status"], dict(sent[0]["headers"]), content
