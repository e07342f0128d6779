"""Encoding that the messages of `reports.capnp` have in common."""

from functools import lru_cache
from pathlib import Path

import capnp

from kumquatsaddle.discovery.records import InstanceRecord
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.types import InstanceId, MessageRejection, ZoneId

__all__ = [
    "MAX_AGE_SECONDS",
    "MAX_REVISION",
    "convert_instance",
    "decode_message",
    "parse_cached_address",
    "schema",
    "write_instances",
]

capnp.remove_import_hook()
schema = capnp.load(str(Path(__file__).with_name("reports.capnp")))
_WORD_BYTES = 8
# Ages are capped so that they fit into the field of the message.
MAX_AGE_SECONDS = 1e6
# Largest number of a field of 64 bits.
MAX_REVISION = (1 << 64) - 1
# Cached because each report repeats two addresses, and parsing them costs more than
# decoding the rest.
parse_cached_address = lru_cache(maxsize=4096)(parse_address)


def decode_message(message_schema, data, convert):
    """Return what `convert` makes of a message.

    Parameters
    ----------
    message_schema : capnp struct schema
    data : bytes
    convert : callable
        Takes the message, which is valid only during the call.

    Raises
    ------
    MessageError
    """
    if len(data) % _WORD_BYTES or not data:
        raise MessageError(MessageRejection.TRUNCATED.value)
    try:
        with message_schema.from_bytes(data) as message:
            return convert(message)
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise MessageError(f"{MessageRejection.MALFORMED.value}: {error}") from None


def write_instances(targets, records):
    """Write `InstanceRecord` items into a list of a message."""
    for target, item in zip(targets, records, strict=True):
        target.name, target.zone = item.name, item.zone
        target.callers, target.control = str(item.callers), str(item.control)


def convert_instance(message):
    """Return the `InstanceRecord` in a message."""
    return InstanceRecord(
        InstanceId(message.name),
        ZoneId(message.zone),
        parse_cached_address(message.callers),
        parse_cached_address(message.control),
    )
