"""The client accounts of one version of the published configuration.

Only digests of the API keys are kept, so that neither a log line nor a memory image
contains a key. A key is looked up by its digest: how long a look-up takes tells nothing
about the keys, because a caller cannot choose the bytes of a digest.
"""

from dataclasses import dataclass
from hashlib import blake2b

from kumquatsaddle.exceptions import ConfigurationError, raise_error
from kumquatsaddle.types import AccountId, KeyDigest, Rank

__all__ = [
    "AccountTable",
    "ClientAccount",
    "Quota",
    "compute_key_digest",
    "make_account_table",
]

_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Quota:
    """The request rate that an account may use at all instances together.

    Parameters
    ----------
    rate : float
        Requests a second.
    burst : float
        Requests in addition to the rate.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account.

    Parameters
    ----------
    name : AccountId
    rank : Rank or None
        Takes precedence over the rank of the route; None keeps that.
    quota : Quota or None
        None is no limit.
    """

    name: AccountId
    rank: Rank | None = None
    quota: Quota | None = None


class AccountTable:
    """The accounts by name and by API key.

    Parameters
    ----------
    accounts : dict of AccountId to ClientAccount
    names_by_digest : dict of KeyDigest to AccountId
    """

    def __init__(self, accounts, names_by_digest):
        self.accounts = accounts
        self._names_by_digest = names_by_digest

    def __len__(self):
        return len(self.accounts)

    def find_by_key(self, key):
        """Return the account that holds an API key, or None.

        Parameters
        ----------
        key : bytes
        """
        return self.find_by_digest(compute_key_digest(key))

    def find_by_digest(self, digest):
        """Return the account that holds the API key with a digest, or None.

        Parameters
        ----------
        digest : KeyDigest
        """
        name = self._names_by_digest.get(digest)
        return None if name is None else self.accounts[name]

    def holds_key(self, digest, name):
        """Return whether an account holds the API key with a digest.

        Parameters
        ----------
        digest : KeyDigest
        name : AccountId
        """
        return self._names_by_digest.get(digest) == name

    def count_keys(self):
        """Return the number of API keys of all accounts."""
        return len(self._names_by_digest)

    def group_key_digests(self):
        """Return a dict of AccountId to the set of the digests of its API keys.

        Accounts without keys are not in it.
        """
        digests_by_name = {}
        for digest, name in self._names_by_digest.items():
            digests_by_name.setdefault(name, set()).add(digest)
        return digests_by_name


def compute_key_digest(key):
    """Return the digest of an API key.

    Parameters
    ----------
    key : bytes
    """
    return KeyDigest(blake2b(key, digest_size=_DIGEST_BYTES).digest())


def make_account_table(accounts_and_digests, report=raise_error):
    """Return the table of accounts with their API keys.

    Parameters
    ----------
    accounts_and_digests : iterable of (ClientAccount, iterable of KeyDigest)
    report : callable, optional
        Gets each `ConfigurationError`. One that returns keeps the first of two accounts
        with one name, and the first holder of a key. The default raises the first
        error.

    Raises
    ------
    ConfigurationError
        If two accounts have the same name or the same key. The error does not name the
        key.

    Examples
    --------
    >>> digests = [compute_key_digest(b"k1"), compute_key_digest(b"k2")]
    >>> table = make_account_table([(ClientAccount("farms"), digests)])
    >>> table.find_by_key(b"k2").name
    'farms'
    >>> table.find_by_key(b"k3") is None
    True
    """
    accounts, names_by_digest = {}, {}
    for account, digests in accounts_and_digests:
        if account.name in accounts:
            report(ConfigurationError("two accounts have this name", account.name))
            continue
        accounts[account.name] = account
        for digest in digests:
            if names_by_digest.setdefault(digest, account.name) != account.name:
                problem = "an API key belongs to another account as well"
                report(ConfigurationError(problem, account.name))
    return AccountTable(accounts, names_by_digest)
