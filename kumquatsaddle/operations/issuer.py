"""Issues and verifies operation ids.

An id is ``<incarnation>.<issue time in s>.<sequence>.<tag>``. The tag is a keyed hash
of the rest. Only the incarnation that issued an id decides whether to dispatch it, so
the key is random and never leaves the process.
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

# Time after its issue within which an id may be dispatched.
OPERATION_VALIDITY_SECONDS = 600.0
_INCARNATION_BYTES = 8
_KEY_BYTES = 32
_TAG_BYTES = 8
_MAX_ID_LENGTH = 96


class OperationIssuer:
    """Issues the operation ids of one incarnation.

    Parameters
    ----------
    incarnation : IncarnationId
    key : bytes
        Key of the hash that makes the tags.
    """

    def __init__(self, incarnation, key):
        self.incarnation = incarnation
        self._key = key
        self._sequence = 0

    def issue(self, now):
        """Return a new operation id.

        Parameters
        ----------
        now : float
            Seconds since the epoch.
        """
        self._sequence += 1
        body = f"{self.incarnation}.{int(now)}.{self._sequence}"
        return OperationId(f"{body}.{self._compute_tag(body)}")

    def read_issue_time(self, operation):
        """Verify an id and return its issue time in seconds since the epoch.

        Raises
        ------
        RefusedError
            If the id was not issued by this incarnation.
        """
        body, _, tag = operation.rpartition(".")
        if not hmac.compare_digest(tag.encode(), self._compute_tag(body).encode()):
            raise RefusedError(
                RefusalReason.INVALID_OPERATION_ID,
                "the tag of the operation id is wrong",
            )
        return int(body.split(".")[1])

    def _compute_tag(self, body):
        digest = blake2b(body.encode(), digest_size=_TAG_BYTES, key=self._key)
        return digest.hexdigest()


def make_incarnation():
    """Return a random id that identifies one run of a process."""
    return IncarnationId(secrets.token_hex(_INCARNATION_BYTES))


def make_issuer(incarnation):
    """Return an issuer with a random key."""
    return OperationIssuer(incarnation, secrets.token_bytes(_KEY_BYTES))


def parse_incarnation(operation):
    """Return the incarnation named by an operation id.

    Raises
    ------
    RefusedError
        If `operation` is not a well-formed operation id.
    """
    parts = operation.split(".")
    plain = operation.isascii() and len(operation) <= _MAX_ID_LENGTH
    if not plain or len(parts) != 4 or not parts[1].isdigit():
        raise RefusedError(
            RefusalReason.INVALID_OPERATION_ID, "the operation id is malformed"
        )
    return IncarnationId(parts[0])
