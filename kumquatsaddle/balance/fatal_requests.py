"""Requests under which backend servers end, also known as queries of death.

A request that crashes its server is sent again by its caller or by the fleet, and ends
one server after the other. It is recognized by its content: a digest of method, host,
target and body, since each attempt of a caller has another id. Ends of servers are
counted by digest over all instances. The second one blocks the digest.

Other requests run at a server that ends, and one event may end many servers at a time.
Therefore an end counts only if its attempt started after the end that was counted
before, and an answer to a request with that content clears it.
"""

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from kumquatsaddle.types import BackendId, RequestDigest

__all__ = ["FatalRequests", "ServerEnd", "compute_digest"]

# Ends that block a request. One is not enough: whatever runs at a server when it
# crashes for another reason would be blocked.
_BLOCKING_ENDS = 2
# How long a digest is held after its latest end or blocked request.
_HOLD_SECONDS = 600.0
# How long a clearance is remembered, for ends that are reported late.
_CLEARANCE_SECONDS = 10.0
# Bounds the memory to about 1.4 MB; the oldest digests are dropped beyond it.
_MAX_DIGESTS = 2000
_MAX_ENDS_PER_DIGEST = 8
_DIGEST_BYTES = 8


class ServerEnd(NamedTuple):
    """The end of a server while a request ran there.

    Parameters
    ----------
    digest : RequestDigest
    server : BackendId
        Empty if an answer or an operator has cleared the digest.
    started_at, ended_at : float
        Of the attempt, on the clock of trio in seconds.
    """

    digest: RequestDigest
    server: BackendId
    started_at: float
    ended_at: float

    @property
    def clears(self):
        """Whether this clears the digest."""
        return not self.server


@dataclass(slots=True)
class _Record:
    """What is known of one digest."""

    ends: list = field(default_factory=list)
    cleared_at: float = float("-inf")
    used_at: float = float("-inf")
    counted: tuple = ()


class FatalRequests:
    """The digests of requests under which servers ended, as one instance knows them."""

    def __init__(self):
        self._records = {}

    def __bool__(self):
        """Return whether any digest is held."""
        return bool(self._records)

    def add(self, end, now):
        """Add a `ServerEnd`, seen here or at another instance; return whether new.

        Parameters
        ----------
        end : ServerEnd
        now : float
        """
        record = self._records.get(end.digest)
        if record is None:
            self._drop_oldest(now)
            record = self._records[end.digest] = _Record()
        record.used_at = max(record.used_at, end.ended_at)
        if end.clears:
            return _clear(record, end)
        known = any(_is_same_end(end, item) for item in record.ends)
        if known or end.ended_at <= record.cleared_at:
            return False
        record.ends = [*record.ends[-_MAX_ENDS_PER_DIGEST + 1 :], end]
        record.counted = _count_ends(record.ends)
        return True

    def list_servers(self, digest):
        """Return the names of the servers whose ends count, the earliest first."""
        record = self._records.get(digest)
        return record.counted if record is not None else ()

    def is_suspect(self, digest):
        """Return whether a server has ended under a request with this digest."""
        return bool(self.list_servers(digest))

    def is_blocked(self, digest, now):
        """Return whether a request must not be sent; that prolongs its hold."""
        record = self._records.get(digest)
        if record is None or len(record.counted) < _BLOCKING_ENDS:
            return False
        if now - record.used_at > _HOLD_SECONDS:
            del self._records[digest]
            return False
        record.used_at = now
        return True

    def list_blocked(self):
        """Return the blocked digests with the names of the servers that ended."""
        return {
            digest: record.counted
            for digest, record in self._records.items()
            if len(record.counted) >= _BLOCKING_ENDS
        }

    def list_ends(self, since=float("-inf")):
        """Return all ends and clearances after a time, the latest first."""
        ends = [
            end
            for digest, record in self._records.items()
            for end in (*record.ends, _make_clearance(digest, record))
            if end.ended_at > since
        ]
        return sorted(ends, key=lambda end: -end.ended_at)

    def _drop_oldest(self, now):
        self._records = {
            digest: record
            for digest, record in self._records.items()
            if now - record.used_at
            <= (_HOLD_SECONDS if record.ends else _CLEARANCE_SECONDS)
        }
        while len(self._records) >= _MAX_DIGESTS:
            del self._records[next(iter(self._records))]


def compute_digest(request):
    """Return the digest of the content of a request.

    Parameters
    ----------
    request : RoutedRequest
    """
    content = blake2b(digest_size=_DIGEST_BYTES)
    host = dict(request.headers).get(b"host", b"")
    for part in (request.method.encode(), host, request.target.encode("latin-1")):
        content.update(len(part).to_bytes(4, "big"))
        content.update(part)
    content.update(request.body)
    return RequestDigest(int.from_bytes(content.digest(), "big"))


def _clear(record, end):
    """Drop what came before a clearance; return whether there was anything."""
    record.cleared_at = max(record.cleared_at, end.ended_at)
    kept = [item for item in record.ends if item.ended_at > record.cleared_at]
    changed = len(kept) < len(record.ends)
    record.ends, record.counted = kept, _count_ends(kept)
    return changed


def _make_clearance(digest, record):
    return ServerEnd(digest, BackendId(""), record.cleared_at, record.cleared_at)


def _is_same_end(end, other):
    return end.server == other.server and abs(end.ended_at - other.ended_at) < 1.0


def _count_ends(ends):
    """Return the servers whose attempts started after the end counted before."""
    counted, ended_at = [], float("-inf")
    for end in sorted(ends, key=lambda item: item.ended_at):
        if end.started_at > ended_at:
            counted.append(end.server)
            ended_at = end.ended_at
    return tuple(counted)
