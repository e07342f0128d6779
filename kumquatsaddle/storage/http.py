"""HTTP client of the platform, based on conditional requests.

Rows are JSON resources below ``/table/``, objects are resources below
``/objects/``, and the list of instances is ``/instances``. A write of a row carries
``If-Match`` with the expected entity tag, or ``If-None-Match: *`` if the row must not
exist.

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

from kumquatsaddle.exceptions import ConflictError, PlatformUnavailableError
from kumquatsaddle.storage.interface import (
    InstanceList,
    Row,
    parse_instances,
    platforms,
)
from kumquatsaddle.storage.replies import call_platform

__all__ = ["HttpPlatform", "make_http_platform"]

# For one instance of the fleet.
_MAX_CONNECTIONS = 4
# Maximum decompressed size of the list of instances: about 50 times its size in a
# fleet of the target size.
_MAX_LIST_BYTES = 32 << 20
# Value of wbits that makes zlib expect a gzip header.
_GZIP_WBITS = zlib.MAX_WBITS | 16


class HttpPlatform:
    """A client of the platform's HTTP interface.

    Parameters
    ----------
    url : str
        Base URL.
    timeout : float
        Time limit of a call in seconds, from connecting to the end of the reply.
    """

    def __init__(self, url, timeout):
        self._url = url.rstrip("/")
        self._timeout = timeout
        # The last received list of instances and its entity tag, for conditional reads:
        # at the target size the list has 0.6 MB, and few reads find it changed.
        self._cached_instances = []
        self._cached_instances_etag = None
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS, ssl_context=ssl.create_default_context()
        )

    async def read_row(self, key):
        """Return the row at `key`, or None."""
        response = await self._call("GET", f"/table/{quote(key)}")
        if response.status == 404:
            return None
        return _make_row(key, self._parse_content(response), self._get_etag(response))

    async def put_row(self, key, value, expected_version):
        """Write a row if it has the expected version; return the new version."""
        precondition = _make_precondition(expected_version)
        body = json.dumps(value).encode()
        response = await self._call("PUT", f"/table/{quote(key)}", body, precondition)
        if response.status == 412:
            raise ConflictError(f"{key}: the row is not at version {expected_version}")
        if response.status == 404:
            raise PlatformUnavailableError(
                f"{key}: the write was answered with status 404"
            )
        return self._get_etag(response)

    async def delete_row(self, key, expected_version):
        """Delete a row if it has the expected version."""
        precondition = _make_precondition(expected_version)
        response = await self._call("DELETE", f"/table/{quote(key)}", b"", precondition)
        if response.status in (404, 412):
            raise ConflictError(f"{key}: the row is not at version {expected_version}")

    async def list_rows(self, prefix, after="", limit=1000):
        """Return rows sorted by key."""
        query = f"?prefix={quote(prefix)}&after={quote(after)}&limit={limit}"
        rows = self._parse_content(await self._call("GET", f"/table{query}"))
        try:
            return [_make_row(row["key"], row["value"], row["version"]) for row in rows]
        except (TypeError, KeyError) as error:
            raise PlatformUnavailableError(
                f"/table: the reply has an invalid row: {error!r}"
            ) from None

    async def read_object(self, key):
        """Return an object's bytes, or None."""
        response = await self._call("GET", f"/objects/{quote(key)}")
        return None if response.status == 404 else response.content

    async def write_object(self, key, data):
        """Write an object."""
        await self._call("PUT", f"/objects/{quote(key)}", bytes(data))

    async def list_instances(self):
        """Return the platform's list of instances; fetch it only if it has changed."""
        requested_at = time.time()
        headers = [("Accept-Encoding", "gzip")]
        if self._cached_instances_etag is not None:
            headers.append(("If-None-Match", self._cached_instances_etag))
        response = await self._call("GET", "/instances", None, headers)
        if response.status != 304:
            try:
                self._cached_instances = parse_instances(
                    _parse_json(_decompress(response))
                )
            except ValueError as error:
                raise PlatformUnavailableError(f"/instances: {error}") from None
            self._cached_instances_etag = _get_header(response, b"etag")
        return InstanceList(self._cached_instances, _read_date(response, requested_at))

    async def close(self):
        """Close the connections."""
        await self._pool.aclose()

    async def _call(self, method, path, body=None, headers=()):
        response = await call_platform(
            self._pool, method, self._url, path, self._timeout, headers, body
        )
        is_conditional_read = method == "GET" and any(
            name == "If-None-Match" for name, _ in headers
        )
        expected_statuses = (304, 404, 412) if is_conditional_read else (404, 412)
        if response.status >= 300 and response.status not in expected_statuses:
            raise PlatformUnavailableError(
                f"{method} {path}: unexpected status {response.status}"
            )
        return response

    @staticmethod
    def _parse_content(response):
        return _parse_json(response.content)

    @staticmethod
    def _get_etag(response):
        tag = _get_header(response, b"etag")
        if tag is None:
            raise PlatformUnavailableError(
                "the reply of the platform has no ETag header"
            )
        return tag.strip('"')


def _get_header(response, wanted_name):
    for name, value in response.headers:
        if name.lower() == wanted_name:
            return value.decode("latin-1")
    return None


def _decompress(response):
    """Return the content of a reply, decompressed if it is gzip data."""
    if _get_header(response, b"content-encoding") != "gzip":
        return response.content
    decompressor = zlib.decompressobj(wbits=_GZIP_WBITS)
    try:
        content = decompressor.decompress(response.content, _MAX_LIST_BYTES)
    except zlib.error as error:
        raise PlatformUnavailableError(
            f"the reply of the platform is not valid gzip data: {error}"
        ) from None
    if not decompressor.eof:
        raise PlatformUnavailableError(
            "the gzip data of the platform's reply is too long or incomplete"
        )
    return content


def _parse_json(content):
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        raise PlatformUnavailableError(
            "the reply of the platform is not JSON"
        ) from None


def _make_row(key, value, version):
    if not isinstance(value, dict) or not isinstance(key, str):
        raise PlatformUnavailableError("the reply of the platform is not a valid row")
    return Row(key, value, str(version))


def _read_date(response, default):
    """Return the Date of a reply in seconds since the epoch (RFC 9110, 6.6.1)."""
    for name, value in response.headers:
        if name.lower() == b"date":
            try:
                return parsedate_to_datetime(value.decode("latin-1")).timestamp()
            except ValueError:
                break
    return default


def _make_precondition(expected_version):
    if expected_version is None:
        return [("If-None-Match", "*")]
    return [("If-Match", f'"{expected_version}"')]


@platforms.register("http")
def make_http_platform(settings):
    """Return a client of the platform at the URL of the settings."""
    return HttpPlatform(
        settings.get("platform", "url"), settings.get("platform", "timeout")
    )
