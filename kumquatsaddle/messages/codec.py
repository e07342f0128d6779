"""Encodes, seals, opens and checks messages between instances.

A sealed message is a 16-byte keyed BLAKE2b tag followed by a Cap'n Proto `Envelope`.
A receiver rejects a message with a wrong tag, one that is older than the time window
and one whose sequence number it has seen from that incarnation.
"""

import hmac
import time
from hashlib import blake2b
from pathlib import Path

import capnp

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.messages.validation import make_validator
from kumquatsaddle.types import MessageRejection

__all__ = ["MessageCodec", "find_reason", "make_codec", "schema"]

capnp.remove_import_hook()
schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))
_validate = make_validator(schema.Envelope.schema)

_TAG_BYTES = 16
# Largest difference in seconds between the clocks of two instances plus the time
# that a message travels. A replay within it is caught by its sequence number.
_TIME_WINDOW = 30.0
# Sequence numbers remembered below the highest one of an incarnation; datagrams and
# frames of several streams arrive out of order, a stalled stream by seconds.
_SEQUENCE_WINDOW = 8192
# Incarnations whose sequence numbers are remembered.
_MAX_INCARNATIONS = 4096
_WORD_BYTES = 8
# Deepest nesting of the schema is 4 (envelope, body, list, member).
_NESTING_LIMIT = 8
# The check of a message visits each part once, so a message that refers to the same
# bytes many times fails it. Each later access counts again.
_CHECK_FACTOR, _CHECK_WORDS = 2, 64
_ACCESS_FACTOR, _ACCESS_WORDS = 64, 4096


class MessageCodec:
    """Seals and opens the messages of one instance.

    Parameters
    ----------
    name : InstanceId
    incarnation : IncarnationId
    keys : sequence of bytes
        The first key signs, all verify.
    clock : callable, optional
        Returns seconds since the epoch.
    """

    def __init__(self, name, incarnation, keys, clock=time.time):
        if not keys or any(len(key) < _TAG_BYTES for key in keys):
            raise ValueError("a key of at least 16 bytes is needed")
        self.name = name
        self.incarnation = incarnation
        self._keys = [blake2b(key, digest_size=32).digest() for key in keys]
        self._clock = clock
        self._sequence = 0
        self._windows = {}

    def new_envelope(self, config_version=0):
        """Return an `Envelope` builder with the fields of the sender set."""
        envelope = schema.Envelope.new_message()
        self._sequence += 1
        envelope.sender = self.name
        envelope.incarnation = self.incarnation
        envelope.sequence = self._sequence
        envelope.sentAt = self._clock()
        envelope.configVersion = config_version
        return envelope

    def seal(self, envelope):
        """Return the sealed bytes of an envelope."""
        payload = envelope.to_bytes()
        return _tag(self._keys[0], payload) + payload

    def open(self, data):
        """Return the reader of a sealed message.

        Parameters
        ----------
        data : bytes

        Raises
        ------
        MessageError
            If the message is truncated, forged, malformed, too old or replayed, or
            comes from this incarnation itself; its text starts with the value of a
            `MessageRejection`.
        """
        tag, payload = data[:_TAG_BYTES], bytes(data[_TAG_BYTES:])
        if len(tag) < _TAG_BYTES or not payload:
            raise _reject(MessageRejection.TRUNCATED)
        if not any(hmac.compare_digest(tag, _tag(key, payload)) for key in self._keys):
            raise _reject(MessageRejection.FORGED)
        envelope = _read(payload)
        # Also rejects a time that is not a number.
        if not abs(self._clock() - envelope.sentAt) <= _TIME_WINDOW:
            raise _reject(MessageRejection.TOO_OLD)
        sender = envelope.incarnation
        if sender == self.incarnation:
            raise _reject(MessageRejection.REFLECTED)
        if not self._admit(sender, envelope.sequence):
            raise _reject(MessageRejection.REPLAYED)
        return envelope

    def _admit(self, incarnation, sequence):
        window = self._windows.pop(incarnation, None) or _ReplayWindow()
        self._windows[incarnation] = window
        if len(self._windows) > _MAX_INCARNATIONS:
            del self._windows[next(iter(self._windows))]
        return window.admit(sequence)


class _ReplayWindow:
    """The sequence numbers seen of one incarnation, as a bit set."""

    __slots__ = ("_bits", "_highest")

    def __init__(self):
        self._highest = 0
        self._bits = 0

    def admit(self, sequence):
        if sequence > self._highest:
            shift = sequence - self._highest
            kept = self._bits << shift if shift < _SEQUENCE_WINDOW else 0
            self._bits = (kept | 1) & ((1 << _SEQUENCE_WINDOW) - 1)
            self._highest = sequence
            return True
        offset = self._highest - sequence
        if offset >= _SEQUENCE_WINDOW or self._bits >> offset & 1:
            return False
        self._bits |= 1 << offset
        return True


def make_codec(name, incarnation, keys, clock=time.time):
    """Return the codec of one instance; see `MessageCodec`."""
    return MessageCodec(name, incarnation, keys, clock)


def find_reason(error):
    """Return the reason of a `MessageError`, the label of its counter."""
    return str(error).split(":")[0]


def _tag(key, payload):
    return blake2b(payload, digest_size=_TAG_BYTES, key=key).digest()


def _reject(reason, detail=""):
    return MessageError(f"{reason.value}: {detail}" if detail else reason.value)


def _read(payload):
    """Return a checked reader; its accesses cannot raise later."""
    words = len(payload) // _WORD_BYTES
    try:
        _validate(_open(payload, _CHECK_FACTOR * words + _CHECK_WORDS))
        return _open(payload, _ACCESS_FACTOR * words + _ACCESS_WORDS)
    except (capnp.KjException, ValueError) as error:
        # A UnicodeDecodeError is a ValueError.
        raise _reject(MessageRejection.MALFORMED, type(error).__name__) from None


def _open(payload, traversal_words):
    return schema.Envelope.from_bytes(
        payload,
        traversal_limit_in_words=traversal_words,
        nesting_limit=_NESTING_LIMIT,
    ).__enter__()
