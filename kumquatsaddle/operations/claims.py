"""Claims in the platform's table for callers that send their own Idempotency-Key.

A claim row binds a key of an account to one operation id. It is written with
put-if-absent before the operation is dispatched. No other instance takes it over: the
outcome of the operation is requested from the incarnation that issued its id. Only a
claim whose operation did not run is bound to a new id, with compare-and-set.

References
----------
IETF draft-ietf-httpapi-idempotency-key-header.
"""

from dataclasses import dataclass
from hashlib import blake2b

from kumquatsaddle.exceptions import ConflictError, PlatformUnavailableError
from kumquatsaddle.types import IncarnationId, OperationId, Outcome

__all__ = ["Claim", "ClaimUnavailableError", "Claims", "make_claims", "make_row_key"]

_ROW_PREFIX = "claims/"
_KEY_DIGEST_BYTES = 16


class ClaimUnavailableError(PlatformUnavailableError):
    """It is not known whether a key is claimed, because the table did not answer.

    Parameters
    ----------
    operation : OperationId
        Id that the failed write may have bound to the key; it must never run.
    """

    def __init__(self, operation):
        self.operation = operation
        super().__init__(
            "the platform's table did not answer a read or write of a claim"
        )


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim as read from its row.

    Parameters
    ----------
    key : str
        Key of the row.
    version : str
        Version of the row.
    operation : OperationId
    incarnation : IncarnationId
        Issuer of the operation.
    fingerprint : str
        Digest of the request, hexadecimal.
    outcome : Outcome or None
        None until the outcome is recorded.
    status : int
        HTTP status of a DONE operation.
    """

    key: str
    version: str
    operation: OperationId
    incarnation: IncarnationId
    fingerprint: str
    outcome: Outcome | None = None
    status: int = 0


class Claims:
    """Reads and writes the claims of one incarnation.

    Parameters
    ----------
    platform : Platform
    issuer : OperationIssuer
    clock : callable
        Returns seconds since the epoch.
    """

    def __init__(self, platform, issuer, clock):
        self._platform = platform
        self._issuer = issuer
        self._clock = clock

    async def claim(self, account, key, fingerprint):
        """Claim a key for a new operation, or return the existing claim of the key.

        Parameters
        ----------
        account : AccountId
        key : str
            The caller's Idempotency-Key.
        fingerprint : bytes
            Digest of the request.

        Returns
        -------
        Claim

        Raises
        ------
        ClaimUnavailableError
            If the table did not answer.
        """
        return await self._write(make_row_key(account, key), None, fingerprint)

    async def renew(self, claim):
        """Bind a claim whose operation did not run to a new operation.

        Returns
        -------
        Claim
            The new claim, or the one that another instance wrote first.

        Raises
        ------
        ClaimUnavailableError
            If the table did not answer.
        """
        fingerprint = bytes.fromhex(claim.fingerprint)
        return await self._write(claim.key, claim.version, fingerprint)

    async def record_outcome(self, claim, answer):
        """Record the outcome of the operation of a claim; a failed write is ignored.

        If the write fails, repeats are answered UNKNOWN once the incarnation is gone;
        nothing else is lost.
        """
        value = self._make_value(claim.operation, claim.fingerprint)
        value["outcome"] = answer.outcome.value
        value["status"] = answer.status
        try:
            await self._platform.put_row(claim.key, value, claim.version)
        except (ConflictError, PlatformUnavailableError):
            return

    async def _write(self, key, version, fingerprint):
        operation = self._issuer.issue(self._clock())
        value = self._make_value(operation, fingerprint.hex())
        try:
            new_version = await self._platform.put_row(key, value, version)
            return _parse_claim(key, new_version, value)
        except ConflictError:
            return await self._read(key, operation)
        except PlatformUnavailableError:
            # The write may have taken effect, or may do so later.
            return await self._read(key, operation)

    async def _read(self, key, operation):
        try:
            row = await self._platform.read_row(key)
        except PlatformUnavailableError:
            raise ClaimUnavailableError(operation) from None
        if row is None:
            raise ClaimUnavailableError(operation)
        return _parse_claim(key, row.version, row.value)

    def _make_value(self, operation, fingerprint):
        return {
            "operation": operation,
            "incarnation": self._issuer.incarnation,
            "fingerprint": fingerprint,
            "time": self._clock(),
        }


def make_row_key(account, key):
    """Return the key of the row that holds the claim of an Idempotency-Key.

    The Idempotency-Key is hashed, because it may contain any character.
    """
    digest = blake2b(key.encode(), digest_size=_KEY_DIGEST_BYTES).hexdigest()
    return f"{_ROW_PREFIX}{account}/{digest}"


def make_claims(platform, issuer, clock):
    """Return the claims of an incarnation; see `Claims`."""
    return Claims(platform, issuer, clock)


def _parse_claim(key, version, value):
    outcome = value.get("outcome")
    return Claim(
        key=key,
        version=version,
        operation=OperationId(value["operation"]),
        incarnation=IncarnationId(value["incarnation"]),
        fingerprint=value["fingerprint"],
        outcome=Outcome(outcome) if outcome else None,
        status=value.get("status", 0),
    )
