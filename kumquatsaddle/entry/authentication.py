"""Authentication of callers by API keys (bearer tokens, RFC 6750)."""

from kumquatsaddle.accounts import compute_key_digest
from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.types import KeyProblem, RefusalReason

__all__ = [
    "AUTHORIZATION_HEADER",
    "CHALLENGE",
    "KeyRefusedError",
    "authenticate",
    "read_api_key",
]

AUTHORIZATION_HEADER = b"authorization"
# Header of each response with status 401 (RFC 9110, section 11.6.1).
CHALLENGE = (b"WWW-Authenticate", b"Bearer")
_SCHEME = b"bearer"


class KeyRefusedError(RefusedError):
    """The API key of a request is not accepted.

    Parameters
    ----------
    problem : KeyProblem
    """

    def __init__(self, problem):
        self.problem = problem
        super().__init__(RefusalReason.UNAUTHORIZED, problem.value)


def authenticate(headers, accounts):
    """Return the account of a request and the digest of its API key.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.
    accounts : AccountTable

    Returns
    -------
    account : ClientAccount
    digest : KeyDigest

    Raises
    ------
    KeyRefusedError
        If the key is missing, malformed, given several times or unknown.
    """
    digest = compute_key_digest(read_api_key(headers))
    account = accounts.find_by_digest(digest)
    if account is None:
        raise KeyRefusedError(KeyProblem.UNKNOWN)
    return account, digest


def read_api_key(headers):
    """Return the API key of a request.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.

    Raises
    ------
    KeyRefusedError
        If the key is missing, malformed or given several times. The error does not
        contain it.
    """
    values = [bytes(value) for name, value in headers if name == AUTHORIZATION_HEADER]
    if not values:
        raise KeyRefusedError(KeyProblem.MISSING)
    if len(values) > 1:
        raise KeyRefusedError(KeyProblem.SEVERAL)
    scheme, _, key = values[0].partition(b" ")
    key = key.strip(b" ")
    if scheme.lower() != _SCHEME or not key or b" " in key:
        raise KeyRefusedError(KeyProblem.MALFORMED)
    return key
