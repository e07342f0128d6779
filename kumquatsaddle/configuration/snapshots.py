"""Snapshots of the configuration in the object store.

A snapshot is a header line of JSON with the version and a digest of the content,
followed by compressed lines of JSON, one for each entity. A damaged snapshot is
ignored, and the log is read from an older snapshot or from its start instead.

Row ``config/snapshot`` names the highest version with a snapshot. If it is missing or
old, a starting instance only has to read more changes.
"""

import json
import zlib
from hashlib import blake2b

import trio

from kumquatsaddle.configuration.state import make_configuration
from kumquatsaddle.configuration.values import dump_entity
from kumquatsaddle.exceptions import ConfigurationError, ConflictError
from kumquatsaddle.types import ConfigVersion

__all__ = [
    "SNAPSHOT_INTERVAL_CHANGES",
    "decode_snapshot",
    "encode_snapshot",
    "read_snapshot",
    "write_snapshot",
]

SNAPSHOT_INTERVAL_CHANGES = 100
_POINTER_KEY = "config/snapshot"
_OBJECT_PREFIX = "config/snapshots/"
_FORMAT_VERSION = 1
# Older snapshots to try if the latest one is lost or damaged.
_OLDER_SNAPSHOTS_TRIED = 3
# Entities between two checkpoints of trio; about 2 ms of work.
_ENTITIES_PER_CHECKPOINT = 200
_MAX_DECOMPRESSED_BYTES = 64 << 20
_COMPRESSION_LEVEL = 1
_KINDS = ("service", "template", "account", "drain")


async def encode_snapshot(configuration):
    """Return the bytes of a snapshot of a configuration.

    Parameters
    ----------
    configuration : Configuration
        It may change during the call; the snapshot has the version at its start.

    Returns
    -------
    bytes
    """
    copied = configuration.copy()
    compressor = zlib.compressobj(_COMPRESSION_LEVEL)
    parts, lines = [], []
    for entry in _iterate_entries(copied):
        lines.append(json.dumps(entry, separators=(",", ":")))
        if len(lines) >= _ENTITIES_PER_CHECKPOINT:
            parts.append(compressor.compress(_encode_lines(lines)))
            lines.clear()
            await trio.lowlevel.checkpoint()
    parts += [compressor.compress(_encode_lines(lines)), compressor.flush()]
    content = b"".join(parts)
    header = {
        "format": _FORMAT_VERSION,
        "version": copied.version,
        "digest": _digest(copied.version, content),
    }
    return json.dumps(header).encode() + b"\n" + content


async def decode_snapshot(data):
    """Return the configuration that a snapshot contains.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    Configuration

    Raises
    ------
    ConfigurationError
        If the snapshot is damaged, incomplete or too long.
    """
    header, _, content = bytes(data).partition(b"\n")
    version = _verify_header(header, content)
    configuration = make_configuration()
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(content, _MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise ConfigurationError("is too long or incomplete", "snapshot")
        start, count = 0, 0
        while start < len(text):
            end = text.index(b"\n", start)
            kind, name, entity_version, value = json.loads(text[start:end])
            configuration.set_entity(kind, name, value, entity_version)
            start, count = end + 1, count + 1
            if count % _ENTITIES_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
    except (zlib.error, ValueError, TypeError) as error:
        raise ConfigurationError(f"damaged: {error}", "snapshot") from None
    configuration.version = ConfigVersion(version)
    return configuration


async def write_snapshot(platform, configuration):
    """Write a snapshot and the row that names its version.

    Raises
    ------
    PlatformUnavailableError
        The snapshot may be missing or incomplete, which is harmless.
    """
    data = await encode_snapshot(configuration)
    version = json.loads(data.partition(b"\n")[0])["version"]
    await platform.write_object(_object_key(version), data)
    row = await platform.read_row(_POINTER_KEY)
    if row is not None and _parse_pointer(row) >= version:
        return
    try:
        expected = row.version if row else None
        await platform.put_row(_POINTER_KEY, {"version": version}, expected)
    except ConflictError:
        # Another instance wrote the row at the same time; either version will do.
        pass


async def read_snapshot(platform):
    """Return the configuration of the latest intact snapshot, or None.

    Raises
    ------
    PlatformUnavailableError
    """
    row = await platform.read_row(_POINTER_KEY)
    version = _parse_pointer(row) if row is not None else 0
    for _ in range(_OLDER_SNAPSHOTS_TRIED + 1):
        if version <= 0:
            return None
        data = await platform.read_object(_object_key(version))
        try:
            if data is not None:
                return await decode_snapshot(data)
        except ConfigurationError:
            pass
        version = (version - 1) // SNAPSHOT_INTERVAL_CHANGES * SNAPSHOT_INTERVAL_CHANGES
    return None


def _iterate_entries(configuration):
    for kind in _KINDS:
        for entity in configuration.entities(kind).values():
            yield kind, entity.name, entity.version, dump_entity(entity)
    for (kind, name), version in configuration.removed.items():
        yield kind, name, version, None


def _verify_header(header, content):
    try:
        fields = json.loads(header)
        if fields["format"] != _FORMAT_VERSION:
            raise ConfigurationError("has an unsupported format", "snapshot")
        version, digest = int(fields["version"]), fields["digest"]
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise ConfigurationError(f"damaged header: {error}", "snapshot") from None
    if digest != _digest(version, content):
        raise ConfigurationError("the digest does not match the content", "snapshot")
    return version


def _parse_pointer(row):
    version = row.value.get("version")
    return version if isinstance(version, int) else 0


def _digest(version, content):
    return blake2b(b"%d\n" % version + content, digest_size=16).hexdigest()


def _encode_lines(lines):
    return "".join(line + "\n" for line in lines).encode()


def _object_key(version):
    return f"{_OBJECT_PREFIX}{version:010d}"
