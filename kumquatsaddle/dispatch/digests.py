"""Digests of latency and load that the homes of a service send to each other."""

from dataclasses import dataclass

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.types import InstanceId, MessageRejection, ServiceName

__all__ = [
    "DigestTable",
    "ServiceDigest",
    "choose_digests",
    "make_digest_table",
    "read_digests",
    "write_digests",
]

# Older digests are not used.
_MAX_AGE_SECONDS = 10.0
# Number of homes to which one home sends digests each second. With 13 homes of a
# service, each of them gets a digest from each other one every 4 s on average.
_HOMES_PER_SECOND = 3
# Keeps a datagram below 1,400 bytes with service names of 64 bytes.
_MAX_SERVICES_PER_MESSAGE = 8
_MAX_NAME_BYTES = 64
# Capacity of the table; the target size has 110 services with 10 homes each.
_MAX_ENTRIES = 8192
_MS_PER_SECOND = 1000.0
_MAX_UINT16 = 0xFFFF
_MAX_UINT32 = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class ServiceDigest:
    """Latency and load of one service at one of its homes.

    Parameters
    ----------
    service : ServiceName
    median, p99 : float
        Latency of answers in seconds; 0 without samples.
    samples : int
        Number of answers from which the quantiles are calculated.
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


class DigestTable:
    """The latest digest of each service from each other home."""

    def __init__(self):
        self._entries = {}
        self._count = 0

    def record(self, instance: InstanceId, digest: ServiceDigest, now):
        """Store a digest unless the table is full; `now` is in seconds."""
        if instance not in self._entries.get(digest.service, ()):
            if self._count >= _MAX_ENTRIES:
                self._prune(now)
            if self._count >= _MAX_ENTRIES:
                return
            self._count += 1
        self._entries.setdefault(digest.service, {})[instance] = (digest, now)

    def list_current(self, service, now):
        """Return the digests of a service that are not too old.

        Returns
        -------
        dict of InstanceId to ServiceDigest
        """
        self._prune_service(service, now)
        entries = self._entries.get(service, {})
        return {name: digest for name, (digest, _) in entries.items()}

    def _prune(self, now):
        for service in list(self._entries):
            self._prune_service(service, now)

    def _prune_service(self, service, now):
        entries = self._entries.get(service, {})
        old = [
            name for name, (_, time) in entries.items() if now - time > _MAX_AGE_SECONDS
        ]
        for name in old:
            del entries[name]
        self._count -= len(old)
        if not entries:
            self._entries.pop(service, None)


def make_digest_table():
    """Return an empty table of digests."""
    return DigestTable()


def choose_digests(digests, homes_of, own, rng):
    """Choose the homes that are sent digests this second, and the digests for each.

    Parameters
    ----------
    digests : iterable of ServiceDigest
        Of the services at this instance.
    homes_of : callable
        Takes a service; returns the names of its homes.
    own : InstanceId
    rng : random.Random

    Returns
    -------
    dict of InstanceId to list of ServiceDigest
        At most 3 homes; each is sent only digests of services of which it is a home.
    """
    digests_by_home = {}
    for digest in digests:
        for home in homes_of(digest.service):
            if home != own:
                digests_by_home.setdefault(home, []).append(digest)
    chosen = rng.sample(
        sorted(digests_by_home), min(_HOMES_PER_SECOND, len(digests_by_home))
    )
    return {
        home: rng.sample(
            digests_by_home[home],
            min(_MAX_SERVICES_PER_MESSAGE, len(digests_by_home[home])),
        )
        for home in chosen
    }


def write_digests(envelope, digests):
    """Fill a ``digest`` message from a list of `ServiceDigest`."""
    builders = envelope.init("digest").init("services", len(digests))
    for builder, digest in zip(builders, digests, strict=True):
        builder.service = digest.service
        builder.medianMs = digest.median * _MS_PER_SECOND
        builder.p99Ms = digest.p99 * _MS_PER_SECOND
        builder.samples = min(digest.samples, _MAX_UINT32)
        builder.freeSlots = max(0, min(digest.free_slots, _MAX_UINT16))
        builder.queued = max(0, min(digest.queued, _MAX_UINT16))


def read_digests(envelope):
    """Return the digests of a ``digest`` message.

    Returns
    -------
    list of ServiceDigest

    Raises
    ------
    MessageError
        If there are more than 8, a name is too long or a latency is negative or not
        finite.
    """
    readers = envelope.digest.services
    if len(readers) > _MAX_SERVICES_PER_MESSAGE:
        raise MessageError(MessageRejection.TOO_LONG.value)
    return [_read_digest(reader) for reader in readers]


def _read_digest(reader):
    times = (reader.medianMs / _MS_PER_SECOND, reader.p99Ms / _MS_PER_SECOND)
    if not all(0 <= time < float("inf") for time in times):
        raise MessageError(
            f"{MessageRejection.MALFORMED.value}: invalid latency {times}"
        )
    if len(reader.service.encode()) > _MAX_NAME_BYTES:
        raise MessageError(
            f"{MessageRejection.MALFORMED.value}: service name is too long"
        )
    return ServiceDigest(
        ServiceName(reader.service),
        *times,
        reader.samples,
        reader.freeSlots,
        reader.queued,
    )
