"""Client of the operators' API that tries several instances in order."""

import json
from pathlib import Path

import httpcore

from kumquatsaddle.exceptions import (
    ChangeNotWrittenError,
    ChangeUnknownError,
    ConfigurationError,
    ConflictError,
    KumquatsaddleError,
    PlatformUnavailableError,
    RefusedError,
    SettingsError,
)
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.types import RefusalReason

__all__ = ["OperatorsClient", "make_client"]

# A commit waits for the platform, which makes the limit for a reply the longer one.
_CONNECT_TIMEOUT_SECONDS = 2.0
_REPLY_TIMEOUT_SECONDS = 30.0
# How often a change is sent to each address while its result is not known.
_CHANGE_ROUNDS = 2
# A configuration with 35,000 accounts has about 6 MB.
_MAX_REPLY_BYTES = 16 << 20
_REFUSAL_REASONS = {reason.value for reason in RefusalReason}


class OperatorsClient:
    """Calls the operators' API.

    Parameters
    ----------
    addresses : list of Address
        Operators' addresses of instances, tried in order.
    token : str
        Bearer token; empty for none.
    send : callable, optional
        Sends one request; takes method, URL, headers, content and extensions, and
        returns a response with ``status`` and ``content``. Default: over HTTP.
    """

    def __init__(self, addresses, token, send=None):
        self._addresses = addresses
        self._token = token
        self._send = send or _send_request

    def send_idempotent(self, method, path, value=None):
        """Send a request that is safe to repeat; return the JSON value of the reply.

        Raises
        ------
        KumquatsaddleError
            Its subclass depends on the status and the outcome of the reply.
        """
        error = PlatformUnavailableError("no operators' address was given")
        for address in self._addresses:
            try:
                return self._request(address, method, path, value, {})
            except _NoReplyError as problem:
                error = PlatformUnavailableError(str(problem))
            except PlatformUnavailableError as problem:
                error = problem
        raise error

    def send_change(self, method, path, value, headers, repeated=False):
        """Send a change; repeat it with the same id while its result is not known.

        Parameters
        ----------
        method, path : str
        value : dict or None
        headers : dict
            Include the change id.
        repeated : bool
            Whether the change may have been sent before.

        Raises
        ------
        KumquatsaddleError
            Its subclass depends on the status and the outcome of the reply.
        """
        error = None
        for address in self._addresses * _CHANGE_ROUNDS:
            marked_headers = {
                **headers,
                "Kumquatsaddle-Repeated": "1" if repeated else "0",
            }
            try:
                return self._request(address, method, path, value, marked_headers)
            except _NoReplyError as problem:
                repeated = repeated or problem.maybe_received
                error = ChangeNotWrittenError(str(problem))
            except ChangeUnknownError as problem:
                repeated = True
                error = problem
            except PlatformUnavailableError as problem:
                error = problem
        if repeated:
            raise ChangeUnknownError(str(error))
        raise error

    def _request(self, address, method, path, value, headers):
        content = b"" if value is None else json.dumps(value).encode()
        all_headers = [
            ("Host", str(address)),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(content))),
            *headers.items(),
        ]
        if self._token:
            all_headers.append(("Authorization", f"Bearer {self._token}"))
        timeouts = {"connect": _CONNECT_TIMEOUT_SECONDS}
        timeouts |= dict.fromkeys(("read", "write", "pool"), _REPLY_TIMEOUT_SECONDS)
        url = f"http://{address}/api/v1/{path}"
        try:
            response = self._send(
                method,
                url,
                headers=all_headers,
                content=content,
                extensions={"timeout": timeouts},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise _NoReplyError(f"{address}: cannot connect: {error}", False) from None
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            raise _NoReplyError(f"{address}: no reply: {error}", True) from None
        return _parse_reply(address, response)


class _NoReplyError(KumquatsaddleError):
    """An instance gave no usable reply.

    Parameters
    ----------
    maybe_received : bool
        Whether the instance may have received the request.
    """

    def __init__(self, text, maybe_received):
        self.maybe_received = maybe_received
        super().__init__(text)


def make_client(addresses, token_file):
    """Return an `OperatorsClient`.

    Parameters
    ----------
    addresses : str
        ``host:port``, separated by commas.
    token_file : str or None
        File with the bearer token.

    Raises
    ------
    SettingsError
        If an address is not valid or the file cannot be read as ASCII text.
    """
    token = ""
    try:
        parsed = [parse_address(part) for part in addresses.replace(",", " ").split()]
    except ValueError as error:
        raise SettingsError(str(error), key="--node") from None
    if token_file:
        try:
            token = Path(token_file).read_text(encoding="ascii").strip()
        except OSError as error:
            raise SettingsError(error.strerror, token_file) from None
        except UnicodeDecodeError:
            raise SettingsError("is not ASCII", token_file) from None
    return OperatorsClient(parsed, token)


def _send_request(method, url, **options):
    """Send a request; return the response, whose content has a bounded length."""
    parts, size = [], 0
    with httpcore.stream(method, url, **options) as response:
        for part in response.iter_stream():
            size += len(part)
            if size > _MAX_REPLY_BYTES:
                raise httpcore.RemoteProtocolError("the reply is too long")
            parts.append(part)
        whole = httpcore.Response(response.status, content=b"".join(parts))
    whole.read()
    return whole


def _parse_reply(address, response):
    """Return the JSON object of a reply, or raise the error that it reports."""
    try:
        value = json.loads(response.content)
        if not isinstance(value, dict):
            raise ValueError("is not an object")
    except (ValueError, RecursionError):
        raise _NoReplyError(f"{address}: the reply is not JSON", True) from None
    if response.status < 300:
        return value
    text, outcome = str(value.get("error")), value.get("outcome")
    if outcome == "conflict":
        raise ConflictError(text)
    if outcome == "unknown":
        raise ChangeUnknownError(text)
    if outcome == "not-written":
        raise ChangeNotWrittenError(text)
    if response.status in (401, 403):
        raise RefusedError(RefusalReason.UNAUTHORIZED, text)
    if value.get("reason") in _REFUSAL_REASONS:
        raise RefusedError(RefusalReason(value["reason"]), text)
    if response.status >= 500:
        raise _NoReplyError(f"{address}: status {response.status}", True)
    raise ConfigurationError(text, value.get("field"))
