"""Issues and verifies operation ids.

An id is ``<incarnation>.<issue time in s>.<sequence>.<tag>``. Only the incarnation
that issued an id decides whether to dispatch it, so the key of the tag is random and
never leaves the process.
"""

import hmac
import secrets
from hashlib import blake2b

from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.types import IncarnationId, OperationId, RefusalReason

__all__ = [
    "OperationIssuer",
    "make_incarnation",
    "make_issuer",
    "parse_incarnation",
]

# Time after its issue in seconds within which an id may be dispatched.
ISSUE_VALIDITY = 600.0
_INCARNATION_BYTES = 8
_KEY_BYTES = 32
_TAG_BYTES = 8
_LONGEST_ID = 96


class OperationIssuer:
    """Issues the operation ids of one incarnation.

    Parameters
    ----------
    incarnation : IncarnationId
    key : bytes
        Key of the tags.
    """

    def __init__(self, incarnation, key):
        self.incarnation = incarnation
        self._key = key
        self._sequence = 0

    def issue(self, now):
        """Return a new id.

        Parameters
        ----------
        now : float
            Seconds since the epoch.
        """
        self._sequence += 1
        body = f"{self.incarnation}.{int(now)}.{self._sequence}"
        return OperationId(f"{body}.{self._tag(body)}")

    def read_issue_time(self, operation):
        """Return when an id of this incarnation was issued, in seconds.

        Raises
        ------
        RefusedError
            If this incarnation did not issue it.
        """
        body, _, tag = operation.rpartition(".")
        if not hmac.compare_digest(tag.encode(), self._tag(body).encode()):
            raise RefusedError(RefusalReason.INVALID_OPERATION_ID, "wrong tag")
        return int(body.split(".")[1])

    def _tag(self, body):
        digest = blake2b(body.encode(), digest_size=_TAG_BYTES, key=self._key)
        return digest.hexdigest()


def make_incarnation():
    """Return a random id for a process, made anew at each start."""
    return IncarnationId(secrets.token_hex(_INCARNATION_BYTES))


def make_issuer(incarnation):
    """Return an issuer with a random key."""
    return OperationIssuer(incarnation, secrets.token_bytes(_KEY_BYTES))


def parse_incarnation(operation):
    """Return the incarnation named by an operation id.

    Raises
    ------
    RefusedError
        If `operation` has not the form of an id.
    """
    parts = operation.split(".")
    plain = operation.isascii() and len(operation) <= _LONGEST_ID
    if not plain or len(parts) != 4 or not parts[1].isdigit():
        raise RefusedError(RefusalReason.INVALID_OPERATION_ID, "malformed")
    return IncarnationId(parts[0])
