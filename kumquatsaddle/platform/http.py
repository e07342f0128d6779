"""The platform over HTTP, by conditional requests.

Rows are JSON resources below ``/table/``, objects are resources below
``/objects/``, the list is ``/instances``. A write carries ``If-Match`` with the
entity tag it expects, or ``If-None-Match: *`` where the row must not exist.

References
----------
RFC 9110, HTTP Semantics, section 13, Conditional Requests.
"""

import json
import ssl
import time
import zlib
from email.utils import parsedate_to_datetime
from urllib.parse import quote

import httpcore
import trio

from kumquatsaddle.exceptions import ConflictError, PlatformUnavailableError
from kumquatsaddle.platform.interface import (
    InstanceList,
    Row,
    parse_instances,
    platforms,
)

__all__ = ["HttpPlatform", "make_http_platform"]

# Longest list of instances in bytes, decompressed.
_LONGEST_LIST = 64 << 20
# Connections kept to the platform by one instance.
_MAX_CONNECTIONS = 4


class HttpPlatform:
    """A client of the platform's HTTP interface.

    Parameters
    ----------
    url : str
        Base URL.
    timeout : float
        Limit of a call in seconds, connection and reply together.
    """

    def __init__(self, url, timeout):
        self._url = url.rstrip("/")
        self._timeout = timeout
        # The list as it was read last; at the target size it is 1 MB, and it is asked
        # for far more often than it changes.
        self._list_tag = ""
        self._listed = []
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS, ssl_context=ssl.create_default_context()
        )

    async def read_row(self, key):
        """Return the row at `key`, or None."""
        response = await self._call("GET", f"/table/{quote(key)}")
        if response.status == 404:
            return None
        return _make_row(key, self._json(response), self._tag(response))

    async def put_row(self, key, value, expected_version):
        """Write a row if its version is the expected one."""
        condition = _condition(expected_version)
        body = json.dumps(value).encode()
        response = await self._call("PUT", f"/table/{quote(key)}", body, condition)
        if response.status == 412:
            raise ConflictError(f"{key}: not at version {expected_version}")
        if response.status == 404:
            raise PlatformUnavailableError(f"{key}: 404")
        return self._tag(response)

    async def delete_row(self, key, expected_version):
        """Delete a row if its version is the expected one."""
        condition = _condition(expected_version)
        response = await self._call("DELETE", f"/table/{quote(key)}", b"", condition)
        if response.status in (404, 412):
            raise ConflictError(f"{key}: not at version {expected_version}")

    async def list_rows(self, prefix, after="", limit=1000):
        """Return rows in the order of their keys."""
        query = f"?prefix={quote(prefix)}&after={quote(after)}&limit={limit}"
        rows = self._json(await self._call("GET", f"/table{query}"))
        try:
            return [_make_row(row["key"], row["value"], row["version"]) for row in rows]
        except (TypeError, KeyError) as error:
            raise PlatformUnavailableError(f"/table: {error!r}") from None

    async def read_object(self, key):
        """Return an object's bytes, or None."""
        response = await self._call("GET", f"/objects/{quote(key)}")
        return None if response.status == 404 else response.content

    async def write_object(self, key, data):
        """Write an object."""
        await self._call("PUT", f"/objects/{quote(key)}", bytes(data))

    async def list_instances(self):
        """Return the instances known to the platform."""
        asked_at = time.time()
        headers = [("Accept-Encoding", "gzip")]
        if self._list_tag:
            headers.append(("If-None-Match", f'"{self._list_tag}"'))
        response = await self._call("GET", "/instances", headers=headers)
        if response.status != 304:
            try:
                self._listed = parse_instances(json.loads(_read_content(response)))
            except (ValueError, RecursionError, zlib.error) as error:
                raise PlatformUnavailableError(f"/instances: {error}") from None
            self._list_tag = _find_header(response, b"etag").strip('"')
        return InstanceList(self._listed, _read_date(response, asked_at))

    async def close(self):
        """Close the connections."""
        await self._pool.aclose()

    async def _call(self, method, path, body=None, headers=()):
        try:
            with trio.fail_after(self._timeout):
                response = await self._pool.request(
                    method, self._url + path, headers=list(headers), content=body
                )
        except (trio.TooSlowError, httpcore.NetworkError, httpcore.TimeoutException):
            raise PlatformUnavailableError(f"{method} {path}: no reply") from None
        except (httpcore.ProtocolError, httpcore.UnsupportedProtocol) as error:
            raise PlatformUnavailableError(f"{method} {path}: {error}") from None
        if response.status >= 300 and response.status not in (304, 404, 412):
            raise PlatformUnavailableError(f"{method} {path}: {response.status}")
        return response

    @staticmethod
    def _json(response):
        try:
            return json.loads(response.content)
        except (ValueError, RecursionError):
            raise PlatformUnavailableError("the reply is not JSON") from None

    @staticmethod
    def _tag(response):
        tag = _find_header(response, b"etag").strip('"')
        if not tag:
            raise PlatformUnavailableError("the reply has no ETag")
        return tag


def _make_row(key, value, version):
    if not isinstance(value, dict) or not isinstance(key, str):
        raise PlatformUnavailableError("the reply is not a row")
    return Row(key, value, str(version))


def _read_date(response, default):
    """Return the time of a reply in seconds since the epoch (RFC 9110, 6.6.1)."""
    for name, value in response.headers:
        if name.lower() == b"date":
            try:
                return parsedate_to_datetime(value.decode("latin-1")).timestamp()
            except ValueError:
                break
    return default


def _find_header(response, name):
    for key, value in response.headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return ""


def _read_content(response):
    """Return the body of a response, decompressed up to a limit."""
    if _find_header(response, b"content-encoding") != "gzip":
        return response.content
    decoder = zlib.decompressobj(16 + zlib.MAX_WBITS)
    content = decoder.decompress(response.content, _LONGEST_LIST)
    if not decoder.eof:
        raise ValueError("the list is truncated or too long")
    return content


def _condition(expected_version):
    if expected_version is None:
        return [("If-None-Match", "*")]
    return [("If-Match", f'"{expected_version}"')]


@platforms.register("http")
def make_http_platform(settings):
    """Return the platform at the URL of the settings."""
    return HttpPlatform(
        settings.get("platform", "url"), settings.get("platform", "timeout")
    )
