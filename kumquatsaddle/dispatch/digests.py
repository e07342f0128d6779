"""Digests of services that the homes tell each other: usual latency and load."""

from dataclasses import dataclass

from kumquatsaddle.types import InstanceId, ServiceName

__all__ = ["DigestBook", "ServiceDigest", "make_digests"]

# Age in seconds above which a digest is not used.
_LONGEST_AGE = 10.0


@dataclass(frozen=True, slots=True)
class ServiceDigest:
    """What a home tells of one of its services.

    Parameters
    ----------
    service : ServiceName
    median, p99 : float
        Latency of answers in seconds; 0 without samples.
    samples : int
        Answers that the quantiles are taken from.
    free_slots : int
        Requests that could start now.
    queued : int
        Requests that wait.
    """

    service: ServiceName
    median: float
    p99: float
    samples: int
    free_slots: int
    queued: int


class DigestBook:
    """The latest digest of each service from each other home."""

    def __init__(self):
        self._entries = {}

    def record(self, instance: InstanceId, digest: ServiceDigest, now):
        """Keep a digest; `now` is in seconds."""
        self._entries.setdefault(digest.service, {})[instance] = (digest, now)

    def current(self, service, now):
        """Return the digests of a service that are not too old.

        Returns
        -------
        dict of InstanceId to ServiceDigest
        """
        entries = self._entries.get(service, {})
        for name in [
            n for n, (_, time) in entries.items() if now - time > _LONGEST_AGE
        ]:
            del entries[name]
        return {name: digest for name, (digest, _) in entries.items()}


def make_digests():
    """Return a book without digests."""
    return DigestBook()
