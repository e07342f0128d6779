"""Authenticates, checks and decodes the messages between instances.

A sealed message is a 16-byte keyed BLAKE2b tag followed by a Cap'n Proto `Envelope`.
A receiver rejects a message with a wrong tag, one whose time is outside of the time
window and one whose sequence number it has already seen from that incarnation.
"""

import hmac
import time
from hashlib import blake2b
from pathlib import Path

import capnp

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.messages.validation import make_validator
from kumquatsaddle.types import MessageRejection

__all__ = ["MessageCodec", "get_rejection_reason", "make_codec", "schema"]

capnp.remove_import_hook()
schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))
_validate = make_validator(schema.Envelope.schema)

_TAG_BYTES = 16
# Largest difference between the clocks of two instances plus the transit time of a
# message. A replay within this window is detected by its sequence number.
_TIME_WINDOW_SECONDS = 30.0
# Sequence numbers remembered below the highest one of an incarnation. Datagrams and
# frames of several streams arrive out of order, those of a stalled stream seconds late.
_SEQUENCE_WINDOW = 8192
# Incarnations whose sequence numbers are remembered.
_MAX_INCARNATIONS = 4096
_WORD_BYTES = 8
# The deepest nesting of the schema is 4 (envelope, body, list, member).
_NESTING_LIMIT = 8
# Traversal limits of Cap'n Proto: factor * words of the message + base words. The check
# visits each part once, so a message that refers to the same bytes many times exceeds
# its limit. Each later access counts again.
_CHECK_FACTOR, _CHECK_BASE_WORDS = 2, 64
_ACCESS_FACTOR, _ACCESS_BASE_WORDS = 64, 4096


class MessageCodec:
    """Seals and opens the messages of one instance.

    Parameters
    ----------
    name : InstanceId
    incarnation : IncarnationId
    keys : sequence of bytes
        Each of at least 16 bytes. The first key signs, all verify.
    clock : callable, optional
        Returns seconds since the epoch.

    Raises
    ------
    ValueError
        If there is no key or a key is too short.
    """

    def __init__(self, name, incarnation, keys, clock=time.time):
        if not keys or any(len(key) < _TAG_BYTES for key in keys):
            raise ValueError(
                "at least one key is required, and each key must have at least 16 bytes"
            )
        self.name = name
        self.incarnation = incarnation
        self._keys = [blake2b(key, digest_size=32).digest() for key in keys]
        self._clock = clock
        self._sequence = 0
        self._windows = {}

    def new_envelope(self, config_version=0):
        """Return an `Envelope` builder of this sender with the next sequence number."""
        envelope = schema.Envelope.new_message()
        self._sequence += 1
        envelope.sender = self.name
        envelope.incarnation = self.incarnation
        envelope.sequence = self._sequence
        envelope.sentAt = self._clock()
        envelope.configVersion = config_version
        return envelope

    def seal(self, envelope):
        """Return the tag and the encoded bytes of an envelope."""
        payload = envelope.to_bytes()
        return _compute_tag(self._keys[0], payload) + payload

    def open(self, data):
        """Verify and check a sealed message and return its reader.

        Parameters
        ----------
        data : bytes

        Raises
        ------
        MessageError
            If the message is truncated, forged, malformed or replayed, was sent too
            long ago or too far in the future, or comes from this incarnation itself.
            The text of the error starts with the value of a `MessageRejection`.
        """
        tag, payload = data[:_TAG_BYTES], bytes(data[_TAG_BYTES:])
        if len(tag) < _TAG_BYTES or not payload:
            raise _make_rejection(MessageRejection.TRUNCATED)
        if not any(
            hmac.compare_digest(tag, _compute_tag(key, payload)) for key in self._keys
        ):
            raise _make_rejection(MessageRejection.FORGED)
        envelope = _read_validated(payload)
        # Also rejects NaN.
        if not abs(self._clock() - envelope.sentAt) <= _TIME_WINDOW_SECONDS:
            raise _make_rejection(MessageRejection.TOO_OLD)
        sender = envelope.incarnation
        if sender == self.incarnation:
            raise _make_rejection(MessageRejection.REFLECTED)
        if not self._accept_sequence(sender, envelope.sequence):
            raise _make_rejection(MessageRejection.REPLAYED)
        return envelope

    def _accept_sequence(self, incarnation, sequence):
        window = self._windows.pop(incarnation, None) or _ReplayWindow()
        self._windows[incarnation] = window
        if len(self._windows) > _MAX_INCARNATIONS:
            del self._windows[next(iter(self._windows))]
        return window.accept(sequence)


class _ReplayWindow:
    """The sequence numbers seen from one incarnation, as a bit set."""

    __slots__ = ("_bits", "_highest")

    def __init__(self):
        self._highest = 0
        self._bits = 0

    def accept(self, sequence):
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
    """Return the `MessageCodec` of one instance."""
    return MessageCodec(name, incarnation, keys, clock)


def get_rejection_reason(error):
    """Return the reason at the start of a `MessageError`, the label of its counter."""
    return str(error).split(":")[0]


def _compute_tag(key, payload):
    return blake2b(payload, digest_size=_TAG_BYTES, key=key).digest()


def _make_rejection(reason, detail=""):
    return MessageError(f"{reason.value}: {detail}" if detail else reason.value)


def _read_validated(payload):
    """Return a reader of a payload that was read completely without an error."""
    words = len(payload) // _WORD_BYTES
    try:
        _validate(_open_reader(payload, _CHECK_FACTOR * words + _CHECK_BASE_WORDS))
        return _open_reader(payload, _ACCESS_FACTOR * words + _ACCESS_BASE_WORDS)
    except (capnp.KjException, ValueError) as error:
        # A UnicodeDecodeError is a ValueError.
        raise _make_rejection(
            MessageRejection.MALFORMED, type(error).__name__
        ) from None


def _open_reader(payload, traversal_words):
    return schema.Envelope.from_bytes(
        payload,
        traversal_limit_in_words=traversal_words,
        nesting_limit=_NESTING_LIMIT,
    ).__enter__()
