"""Simulated platform: table, object store and list of instances over HTTP.

Usage:
  standins.platform --listen=ADDRESS

The interface is that of `kumquatsaddle.storage.http`. Faults are set by
``PUT /.faults`` with a JSON object:

- ``down``: true closes the connection on every call;
- ``delay``: seconds before each call is handled;
- ``lose_replies``: number of next writes whose reply is lost, after they took effect;
- ``lag``: age in seconds of the list of instances that is returned.
"""

import gzip
import json
import sys
from dataclasses import asdict
from email.utils import formatdate
from hashlib import blake2b
from urllib.parse import parse_qs, unquote, urlsplit

import trio
from docopt import docopt

from kumquatsaddle.exceptions import ConflictError
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.storage.interface import ListedInstance
from kumquatsaddle.storage.memory import MemoryPlatform
from standins.http import Reply, reply_json, serve_http

__all__ = ["PlatformStandin", "main"]


class PlatformStandin:
    """A simulated platform: its content, faults and counts of calls."""

    def __init__(self):
        self.store = MemoryPlatform()
        self.faults = {"down": False, "delay": 0.0, "lose_replies": 0, "lag": 0.0}
        self.calls = {"reads": 0, "writes": 0}
        self._history = []

    async def handle(self, method, target, headers, body):
        """Answer one request."""
        parts = urlsplit(target)
        if parts.path == "/.faults":
            self.faults.update(json.loads(body))
            return reply_json(self.faults)
        if parts.path == "/.calls":
            return reply_json(self.calls)
        if parts.path == "/.instances":
            return self._set_instance(json.loads(body))
        if self.faults["delay"]:
            await trio.sleep(self.faults["delay"])
        if self.faults["down"]:
            return None
        self.calls["reads" if method == "GET" else "writes"] += 1
        reply = await self._handle_call(method, parts, headers, body)
        if method != "GET" and self.faults["lose_replies"] > 0:
            self.faults["lose_replies"] -= 1
            return None
        return reply

    async def _handle_call(self, method, parts, headers, body):
        if parts.path == "/instances":
            return self._reply_instances(headers)
        if parts.path == "/table" and method == "GET":
            return await self._list_rows(parts.query)
        kind, _, key = unquote(parts.path).lstrip("/").partition("/")
        if kind == "table":
            return await self._handle_row(method, key, headers, body)
        if kind == "objects":
            return await self._handle_object(method, key, body)
        return Reply(404)

    async def _list_rows(self, query):
        values = {key: items[0] for key, items in parse_qs(query).items()}
        rows = await self.store.list_rows(
            values.get("prefix", ""), values.get("after", ""), int(values["limit"])
        )
        return reply_json([asdict(row) for row in rows])

    async def _handle_row(self, method, key, headers, body):
        if method == "GET":
            row = await self.store.read_row(key)
            if row is None:
                return Reply(404)
            return reply_json(row.value, headers=[("ETag", f'"{row.version}"')])
        expected = headers.get("if-match")
        expected = expected.strip('"') if expected else None
        try:
            if method == "DELETE":
                await self.store.delete_row(key, expected)
                return Reply(204)
            version = await self.store.put_row(key, json.loads(body), expected)
        except ConflictError:
            return Reply(412)
        return Reply(200, headers=[("ETag", f'"{version}"')])

    async def _handle_object(self, method, key, body):
        if method == "PUT":
            await self.store.write_object(key, body)
            return Reply(200)
        data = await self.store.read_object(key)
        return Reply(404) if data is None else Reply(200, data)

    def _set_instance(self, value):
        """Add or change an instance, or remove it if ``gone`` is true."""
        gone = value.pop("gone", False)
        instances = dict(self.store.instances)
        if gone:
            instances.pop(value["name"], None)
        else:
            instances[value["name"]] = ListedInstance(**value)
        self.store.instances = instances
        self._history.append((trio.current_time(), instances))
        return reply_json({})

    def _reply_instances(self, headers):
        """Reply with the list, compressed if accepted, or with status 304."""
        entries = [asdict(entry) for entry in self._list_instances()]
        content = json.dumps(entries).encode()
        tag = f'"{blake2b(content, digest_size=16).hexdigest()}"'
        fields = [("Date", formatdate(usegmt=True)), ("ETag", tag)]
        if headers.get("if-none-match") == tag:
            return Reply(304, headers=fields)
        if "gzip" in headers.get("accept-encoding", ""):
            content = gzip.compress(content)
            fields.append(("Content-Encoding", "gzip"))
        return Reply(200, content, fields)

    def _list_instances(self):
        """Return the list of `lag` seconds ago, or the oldest one."""
        latest_time = trio.current_time() - self.faults["lag"]
        visible = [entries for time, entries in self._history if time <= latest_time]
        oldest = self._history[0][1] if self._history else {}
        entries = visible[-1] if visible else oldest
        return [entries[name] for name in sorted(entries)]


def main(arguments=None):
    """Run the platform until it is terminated."""
    options = docopt(__doc__, argv=arguments)
    address = parse_address(options["--listen"])
    standin = PlatformStandin()
    trio.run(serve_http, standin.handle, address.host, address.port)


if __name__ == "__main__":
    sys.exit(main())
