"""A client of the operators' API that tries several instances in order."""

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

# Limit in seconds for a connection and for a reply; a commit waits for the platform.
_CONNECT_TIMEOUT = 2.0
_REPLY_TIMEOUT = 30.0
# Rounds over all addresses while the result of a change is not known.
_ROUNDS = 2
_REASONS = {reason.value for reason in RefusalReason}


class OperatorsClient:
    """Calls the operators' API.

    Parameters
    ----------
    addresses : list of Address
        Tried in order.
    token : str
    send : callable, optional
        Sends one request; takes method, URL, headers, content and extensions, and
        returns a response with ``status`` and ``content``.
    """

    def __init__(self, addresses, token, send=httpcore.request):
        self._addresses = addresses
        self._token = token
        self._send = send

    def call(self, method, path, value=None):
        """Return the JSON value of a reply; the call must be safe to repeat.

        Raises
        ------
        KumquatsaddleError
            The class that belongs to the reply.
        """
        error = PlatformUnavailableError("no address was given")
        for address in self._addresses:
            try:
                return self._request(address, method, path, value, {})
            except _NoReplyError as problem:
                error = PlatformUnavailableError(str(problem))
            except PlatformUnavailableError as problem:
                error = problem
        raise error

    def change(self, method, path, value, headers, repeated=False):
        """Send a change, and the same one again while its result is not known.

        Parameters
        ----------
        method, path : str
        value : dict or None
        headers : dict
            With the change id.
        repeated : bool
            Whether the change may have been sent before.

        Raises
        ------
        KumquatsaddleError
            The class that belongs to the reply.
        """
        error = None
        for address in self._addresses * _ROUNDS:
            fields = {**headers, "Kumquatsaddle-Repeated": "1" if repeated else "0"}
            try:
                return self._request(address, method, path, value, fields)
            except _NoReplyError as problem:
                repeated = repeated or problem.sent
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
        fields = [
            ("Host", str(address)),
            ("Authorization", f"Bearer {self._token}"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(content))),
            *headers.items(),
        ]
        limits = {"connect": _CONNECT_TIMEOUT}
        limits |= dict.fromkeys(("read", "write", "pool"), _REPLY_TIMEOUT)
        url = f"http://{address}/api/v1/{path}"
        try:
            response = self._send(
                method,
                url,
                headers=fields,
                content=content,
                extensions={"timeout": limits},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise _NoReplyError(f"{address}: cannot connect: {error}", False) from None
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            raise _NoReplyError(f"{address}: no reply: {error}", True) from None
        return _read_reply(address, response)


class _NoReplyError(KumquatsaddleError):
    """An instance gave no reply.

    Parameters
    ----------
    sent : bool
        Whether the request can have reached it.
    """

    def __init__(self, text, sent):
        self.sent = sent
        super().__init__(text)


def make_client(addresses, token_file):
    """Return a client.

    Parameters
    ----------
    addresses : str
        ``host:port``, separated by commas.
    token_file : str or None

    Raises
    ------
    SettingsError
        If an address or the file is not valid.
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


def _read_reply(address, response):
    try:
        value = json.loads(response.content)
        if not isinstance(value, dict):
            raise ValueError("is not an object")
    except ValueError:
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
    if value.get("reason") in _REASONS:
        raise RefusedError(RefusalReason(value["reason"]), text)
    if response.status >= 500:
        raise _NoReplyError(f"{address}: status {response.status}", True)
    raise ConfigurationError(text, value.get("field"))
