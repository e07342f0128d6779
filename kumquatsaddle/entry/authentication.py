"""Authentication of callers by API keys (bearer tokens, RFC 6750)."""

from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.types import RefusalReason

__all__ = ["AUTHORIZATION_HEADER", "authenticate", "read_api_key"]

AUTHORIZATION_HEADER = b"authorization"
_SCHEME = b"bearer"


def authenticate(headers, accounts):
    """Return the account of a request and its API key.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.
    accounts : AccountTable

    Returns
    -------
    account : ClientAccount
    key : bytes

    Raises
    ------
    RefusedError
        If the key is missing, malformed, given several times or unknown.
    """
    key = read_api_key(headers)
    account = accounts.find_by_key(key) if key is not None else None
    if account is None:
        raise RefusedError(RefusalReason.UNAUTHORIZED)
    return account, key


def read_api_key(headers):
    """Return the API key of a request, or None without exactly one.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.
    """
    values = [bytes(value) for name, value in headers if name == AUTHORIZATION_HEADER]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].partition(b" ")
    key = key.strip(b" ")
    if scheme.lower() != _SCHEME or not key or b" " in key:
        return None
    return key
