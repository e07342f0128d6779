"""Snapshots of the configuration: one object with a digest of its content.

A snapshot is a line of JSON with the version and the digest, followed by compressed
lines of JSON, one for each entity. A damaged one is recognised and ignored, and the
log is read from an older snapshot or from its start instead.

Row ``config/snapshot`` names the highest version with a snapshot. It is a hint: a
missing or old one only makes a starting instance read more changes.
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
    "SNAPSHOT_INTERVAL",
    "decode_snapshot",
    "encode_snapshot",
    "read_snapshot",
    "write_snapshot",
]

# Changes between two snapshots.
SNAPSHOT_INTERVAL = 100
_POINTER_KEY = "config/snapshot"
_OBJECT_PREFIX = "config/snapshots/"
_FORMAT = 1
# Older snapshots that are tried when the latest one is lost or damaged.
_OLDER_TRIED = 3
# Entities between two yields to other tasks; about 2 ms of work.
_ENTITIES_PER_STEP = 200
_MAX_BYTES = 64 << 20
_COMPRESSION_LEVEL = 1
_KINDS = ("service", "template", "account", "drain")


async def encode_snapshot(configuration):
    """Return the bytes of a snapshot of a configuration.

    Parameters
    ----------
    configuration : Configuration
        It may change meanwhile; the snapshot has the version at the call.

    Returns
    -------
    bytes
    """
    view = configuration.copy()
    packer = zlib.compressobj(_COMPRESSION_LEVEL)
    parts, lines = [], []
    for entry in _list_entries(view):
        lines.append(json.dumps(entry, separators=(",", ":")))
        if len(lines) >= _ENTITIES_PER_STEP:
            parts.append(packer.compress(_join(lines)))
            lines.clear()
            await trio.lowlevel.checkpoint()
    parts += [packer.compress(_join(lines)), packer.flush()]
    content = b"".join(parts)
    head = {
        "format": _FORMAT,
        "version": view.version,
        "digest": _digest(view.version, content),
    }
    return json.dumps(head).encode() + b"\n" + content


async def decode_snapshot(data):
    """Return the configuration of a snapshot.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    Configuration

    Raises
    ------
    ConfigurationError
        If it is damaged or incomplete.
    """
    head, _, content = bytes(data).partition(b"\n")
    version = _check_head(head, content)
    configuration = make_configuration()
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(content, _MAX_BYTES)
        if not unpacker.eof:
            raise ConfigurationError("is too long or incomplete", "snapshot")
        start, count = 0, 0
        while start < len(text):
            end = text.index(b"\n", start)
            kind, name, entity_version, value = json.loads(text[start:end])
            configuration.put(kind, name, value, entity_version)
            start, count = end + 1, count + 1
            if count % _ENTITIES_PER_STEP == 0:
                await trio.lowlevel.checkpoint()
    except (zlib.error, ValueError, TypeError) as error:
        raise ConfigurationError(f"damaged: {error}", "snapshot") from None
    configuration.version = ConfigVersion(version)
    return configuration


async def write_snapshot(platform, configuration):
    """Write a snapshot and the row that names it.

    Raises
    ------
    PlatformUnavailableError
        The snapshot may be missing or incomplete, which is harmless.
    """
    data = await encode_snapshot(configuration)
    version = json.loads(data.partition(b"\n")[0])["version"]
    await platform.write_object(_object_key(version), data)
    row = await platform.read_row(_POINTER_KEY)
    if row is not None and _read_pointer(row) >= version:
        return
    try:
        expected = row.version if row else None
        await platform.put_row(_POINTER_KEY, {"version": version}, expected)
    except ConflictError:
        # Another instance wrote a row at the same time; either one will do.
        pass


async def read_snapshot(platform):
    """Return the configuration of the latest intact snapshot, or None.

    Raises
    ------
    PlatformUnavailableError
    """
    row = await platform.read_row(_POINTER_KEY)
    version = _read_pointer(row) if row is not None else 0
    for _ in range(_OLDER_TRIED + 1):
        if version <= 0:
            return None
        data = await platform.read_object(_object_key(version))
        try:
            if data is not None:
                return await decode_snapshot(data)
        except ConfigurationError:
            pass
        version = (version - 1) // SNAPSHOT_INTERVAL * SNAPSHOT_INTERVAL
    return None


def _list_entries(view):
    for kind in _KINDS:
        for entity in view.entities(kind).values():
            yield kind, entity.name, entity.version, dump_entity(entity)
    for (kind, name), version in view.removed.items():
        yield kind, name, version, None


def _check_head(head, content):
    try:
        fields = json.loads(head)
        if fields["format"] != _FORMAT:
            raise ConfigurationError("has another format", "snapshot")
        version, digest = int(fields["version"]), fields["digest"]
    except (ValueError, KeyError, TypeError) as error:
        raise ConfigurationError(f"damaged head: {error}", "snapshot") from None
    if digest != _digest(version, content):
        raise ConfigurationError("the digest differs", "snapshot")
    return version


def _read_pointer(row):
    version = row.value.get("version")
    return version if isinstance(version, int) else 0


def _digest(version, content):
    return blake2b(b"%d\n" % version + content, digest_size=16).hexdigest()


def _join(lines):
    return "".join(line + "\n" for line in lines).encode()


def _object_key(version):
    return f"{_OBJECT_PREFIX}{version:010d}"
