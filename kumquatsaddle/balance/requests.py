"""Requests as the balanced dispatcher handles them."""

from dataclasses import dataclass

from kumquatsaddle.accounts import ClientAccount
from kumquatsaddle.balance.fatal_requests import compute_digest
from kumquatsaddle.routes.table import PublishedRoute
from kumquatsaddle.types import KeyDigest, RequestDigest, ServiceName

__all__ = ["RoutedRequest"]


@dataclass(slots=True)
class RoutedRequest:
    """A request of a caller with its route and service.

    Parameters
    ----------
    request_id : bytes
        As the caller sent it; empty if it sent none.
    method, target : str
    headers : list of (bytes, bytes)
        End-to-end headers; names in lower case.
    body : bytes
    route : PublishedRoute
    service : ServiceName
    arrived : float
        When it was read, on the clock of trio in seconds.
    deadline : float
        When its answer to the caller is due, on the same clock: the earlier of the
        caller's deadline and the timeout of the route.
    attempts_left : int
        Further attempts if the next one fails.
    kilobytes : float
        Expected size of the bodies of the request and its answer together.
    account : ClientAccount or None
        Of the caller; None on a public route and where there are no accounts.
    key_digest : KeyDigest or None
        Of the API key; None without an account.
    is_excess : bool
        Whether it is beyond the usual load of its account at this instance.
    """

    request_id: bytes
    method: str
    target: str
    headers: list
    body: bytes
    route: PublishedRoute
    service: ServiceName
    arrived: float
    deadline: float
    attempts_left: int = 1
    kilobytes: float = 0.0
    account: ClientAccount | None = None
    key_digest: KeyDigest | None = None
    is_excess: bool = False
    _digest: RequestDigest | None = None

    @property
    def idempotent(self):
        """Whether the request may run more than once."""
        return self.route.idempotent

    @property
    def digest(self):
        """Digest of the content, computed when it is first needed."""
        if self._digest is None:
            self._digest = compute_digest(self)
        return self._digest

    @property
    def rank(self):
        """Rank of the account if it has one, else of the route."""
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        return self.route.rank
