"""Encodes and decodes fetches and updates, the messages between instances over TCP."""

import zlib
from dataclasses import dataclass
from functools import lru_cache

from kumquatsaddle.discovery.positions import NO_EPOCH, StorePosition
from kumquatsaddle.discovery.records import InstanceRecord
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.sharing.encoding import (
    MAX_AGE_SECONDS,
    MAX_REVISION,
    convert_instance,
    decode_message,
    schema,
    write_instances,
)
from kumquatsaddle.types import InstanceId, MessageRejection, StoreEpoch

__all__ = [
    "EncodedRow",
    "Fetch",
    "Update",
    "decode_fetch",
    "decode_update",
    "encode_fetch",
    "encode_update",
]

# Shorter updates are not compressed: they fit into a packet or two.
_MIN_COMPRESSED_BYTES = 2048
_COMPRESSION_LEVEL = 1
# Longest update after decompression.
_MAX_UPDATE_BYTES = 1 << 26


@dataclass(frozen=True, slots=True)
class Fetch:
    """Request for the routes and servers that changed after given store versions.

    Parameters
    ----------
    sender : InstanceId
    routes_after, servers_after : int
        Versions of `store_epoch`.
    wants_instances, accepts_compressed : bool, default=False
    store_epoch : StoreEpoch, default=NO_EPOCH
    routes_revision : int, default=0
        Of the routes known, as their operator has set it; 0 without any.
    """

    sender: InstanceId
    routes_after: int
    servers_after: int
    wants_instances: bool = False
    accepts_compressed: bool = False
    store_epoch: StoreEpoch = NO_EPOCH
    routes_revision: int = 0


@dataclass(frozen=True, slots=True)
class EncodedRow:
    """An entry of the list of backend servers as the platform encodes it.

    Parameters
    ----------
    key : str
    version : int
    removed : bool
    text : bytes
    keep_seconds : float, default=0.0
        How long the server of a removed entry stays in use.

    See Also
    --------
    kumquatsaddle.discovery.listed_rows.ListedRow
    """

    key: str
    version: int
    removed: bool
    text: bytes
    keep_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Update:
    """The answer to a `Fetch`.

    Parameters
    ----------
    routes_version : int
    routes : bytes
        Empty if they are not newer.
    servers_version : int
        Version of the newest change that the sender knows.
    rows : tuple of EncodedRow
    instances : tuple of InstanceRecord
        Empty if not wanted.
    complete_version : int, default=0
        Version as of which the rows are the whole list; 0 if they are only those that
        changed.
    store_epoch : StoreEpoch, default=NO_EPOCH
        Of all versions.
    """

    routes_version: int
    routes: bytes
    servers_version: int
    rows: tuple[EncodedRow, ...]
    instances: tuple[InstanceRecord, ...]
    complete_version: int = 0
    store_epoch: StoreEpoch = NO_EPOCH

    @property
    def servers_position(self):
        """The `StorePosition` of the newest change that the sender knows."""
        return StorePosition(self.store_epoch, self.servers_version)


def encode_fetch(fetch):
    """Return the bytes of a fetch."""
    message = schema.Fetch.new_message()
    message.sender = fetch.sender
    message.routesAfter = fetch.routes_after
    message.serversAfter = fetch.servers_after
    message.wantsInstances = fetch.wants_instances
    message.acceptsCompressed = fetch.accepts_compressed
    message.storeEpoch = fetch.store_epoch
    message.routesRevision = min(fetch.routes_revision, MAX_REVISION)
    return message.to_bytes()


def decode_fetch(data):
    """Return the fetch in a frame; raise `MessageError` if it is invalid."""
    return decode_message(
        schema.Fetch,
        data,
        lambda item: Fetch(
            item.sender,
            item.routesAfter,
            item.serversAfter,
            item.wantsInstances,
            item.acceptsCompressed,
            StoreEpoch(item.storeEpoch),
            item.routesRevision,
        ),
    )


def encode_update(update, compresses=False):
    """Return the bytes of an update.

    Parameters
    ----------
    update : Update
    compresses : bool, default=False
        Whether a long one may be compressed.
    """
    message = schema.Update.new_message()
    message.routesVersion, message.routes = update.routes_version, update.routes
    message.serversVersion = update.servers_version
    message.completeVersion = update.complete_version
    message.storeEpoch = update.store_epoch
    rows = message.init("rows", len(update.rows))
    for target, row in zip(rows, update.rows, strict=True):
        target.key, target.version = row.key, row.version
        target.removed, target.text = row.removed, row.text
        target.keepMs = int(min(row.keep_seconds, MAX_AGE_SECONDS) * 1000)
    write_instances(message.init("instances", len(update.instances)), update.instances)
    data = message.to_bytes()
    if not compresses or len(data) < _MIN_COMPRESSED_BYTES:
        return data
    return _compress(data)


@lru_cache(maxsize=4)
def _compress(data):
    """Return an update that holds another one compressed.

    Cached because all instances of a zone fetch the same one at about the same time.
    """
    message = schema.Update.new_message()
    message.compressed = zlib.compress(data, _COMPRESSION_LEVEL)
    return message.to_bytes()


def decode_update(data):
    """Return the update in a frame; raise `MessageError` if it is invalid."""
    compressed = decode_message(
        schema.Update, data, lambda item: bytes(item.compressed)
    )
    if compressed:
        data = _decompress(compressed)
    return decode_message(schema.Update, data, _convert_update)


def _decompress(data):
    """Return the bytes of an update; raise `MessageError` if they are invalid."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, _MAX_UPDATE_BYTES)
    except zlib.error as error:
        raise MessageError(f"{MessageRejection.MALFORMED.value}: {error}") from None
    if not decompressor.eof:
        raise MessageError(MessageRejection.TRUNCATED.value)
    return decompressed


def _convert_update(message):
    return Update(
        routes_version=message.routesVersion,
        routes=bytes(message.routes),
        servers_version=message.serversVersion,
        rows=tuple(
            EncodedRow(
                row.key, row.version, row.removed, bytes(row.text), row.keepMs / 1000
            )
            for row in message.rows
        ),
        instances=tuple(convert_instance(item) for item in message.instances),
        complete_version=message.completeVersion,
        store_epoch=StoreEpoch(message.storeEpoch),
    )
