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
from kumquatsaddle.storage.interface import (
    InstanceList,
    Row,
    parse_instances,
    platforms,
)

__all__ = ["HttpPlatform", "make_http_platform"]

# Connections kept to the platform by one instance.
_MAX_CONNECTIONS = 4
# Longest list of instances in bytes, about 50 times that of the target size.
_MAX_LIST_BYTES = 32 << 20
# Format of zlib for data with the header of gzip.
_GZIP = zlib.MAX_WBITS | 16


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
        # The latest list of instances and its entity tag, as the platform sent it. At
        # the target size the list has 0.6 MB and few reads find a change.
        self._listed = []
        self._listed_tag = None
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
        if self._listed_tag is not None:
            headers.append(("If-None-Match", self._listed_tag))
        response = await self._call("GET", "/instances", None, headers)
        if response.status != 304:
            try:
                self._listed = parse_instances(_parse_json(_decode(response)))
            except ValueError as error:
                raise PlatformUnavailableError(f"/instances: {error}") from None
            self._listed_tag = _find_header(response, b"etag")
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
        asked = method == "GET" and any(name == "If-None-Match" for name, _ in headers)
        known = (304, 404, 412) if asked else (404, 412)
        if response.status >= 300 and response.status not in known:
            raise PlatformUnavailableError(f"{method} {path}: {response.status}")
        return response

    @staticmethod
    def _json(response):
        return _parse_json(response.content)

    @staticmethod
    def _tag(response):
        tag = _find_header(response, b"etag")
        if tag is None:
            raise PlatformUnavailableError("the reply has no ETag")
        return tag.strip('"')


def _find_header(response, wanted):
    for name, value in response.headers:
        if name.lower() == wanted:
            return value.decode("latin-1")
    return None


def _decode(response):
    """Return the content of a reply without its compression."""
    if _find_header(response, b"content-encoding") != "gzip":
        return response.content
    unpacker = zlib.decompressobj(wbits=_GZIP)
    try:
        content = unpacker.decompress(response.content, _MAX_LIST_BYTES)
    except zlib.error as error:
        raise PlatformUnavailableError(f"the reply is damaged: {error}") from None
    if not unpacker.eof:
        raise PlatformUnavailableError("the reply is too long or incomplete")
    return content


def _parse_json(content):
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        raise PlatformUnavailableError("the reply is not JSON") from None


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
