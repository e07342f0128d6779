"""Encodes and decodes the messages of `quotas.capnp`."""

from pathlib import Path
from typing import NamedTuple

import capnp

from kumquatsaddle.accounts.quota_owner import Grant, QuotaRefusal
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.types import AccountId, InstanceId, MessageRejection

__all__ = [
    "QUOTA_PREFIX",
    "QuotaAsk",
    "QuotaMessage",
    "decode_quota_message",
    "encode_quota_message",
]

# A Cap'n Proto message cannot start with it: the first four bytes would be a number of
# segments above the limit of the library.
QUOTA_PREFIX = b"KSQUOTA1"
_WORD_BYTES = 8
_MAX_COUNT = (1 << 16) - 1
# Numbers of the refusals in a message; only append to it. 0 is none.
_REFUSALS = (
    None,
    QuotaRefusal.LIMIT,
    QuotaRefusal.TAKEOVER,
    QuotaRefusal.PARTITION,
    QuotaRefusal.NOT_OWNER,
)
_schema = capnp.load(str(Path(__file__).with_name("quotas.capnp")))


class QuotaAsk(NamedTuple):
    """Request for tokens of an account.

    Parameters
    ----------
    number : int
        Number of the ask, the same when it is repeated.
    account : AccountId
    needed : int
        Requests that wait.
    advance : int, default=0
        Further tokens for requests to come.
    returned : int, default=0
        Tokens that go back because their requests were refused without having run.
    """

    number: int
    account: AccountId
    needed: int
    advance: int = 0
    returned: int = 0


class QuotaMessage(NamedTuple):
    """The content of a datagram; see `quotas.capnp`.

    Parameters
    ----------
    sender : InstanceId
    incarnation : int
        Of the instance that asks.
    asks : tuple of QuotaAsk
    answers : tuple of (int, Grant)
        The numbers of asks with their grants.
    """

    sender: InstanceId
    incarnation: int
    asks: tuple[QuotaAsk, ...] = ()
    answers: tuple[tuple[int, Grant], ...] = ()


def encode_quota_message(message):
    """Return the datagram of a `QuotaMessage`."""
    target = _schema.QuotaMessage.new_message()
    target.sender, target.incarnation = message.sender, message.incarnation
    if message.asks:
        asks = target.init("asks", len(message.asks))
        for item, ask in zip(asks, message.asks, strict=True):
            item.number, item.account = ask.number, ask.account
            item.needed = min(ask.needed, _MAX_COUNT)
            item.advance = min(ask.advance, _MAX_COUNT)
            item.returned = min(ask.returned, _MAX_COUNT)
    if message.answers:
        answers = target.init("answers", len(message.answers))
        for item, (number, grant) in zip(answers, message.answers, strict=True):
            item.number, item.granted = number, min(grant.granted, _MAX_COUNT)
            item.refusal = _REFUSALS.index(grant.refusal)
            item.retryAfterMs = int(grant.retry_after * 1000)
    return QUOTA_PREFIX + target.to_bytes()


def decode_quota_message(data):
    """Return the `QuotaMessage` in a datagram.

    Raises
    ------
    MessageError
    """
    content = data[len(QUOTA_PREFIX) :]
    if not data.startswith(QUOTA_PREFIX) or len(content) % _WORD_BYTES or not content:
        raise MessageError(MessageRejection.TRUNCATED.value)
    try:
        with _schema.QuotaMessage.from_bytes(content) as message:
            return _convert(message)
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise MessageError(f"{MessageRejection.MALFORMED.value}: {error}") from None


def _convert(message):
    asks = tuple(
        QuotaAsk(
            item.number,
            AccountId(item.account),
            item.needed,
            item.advance,
            item.returned,
        )
        for item in message.asks
    )
    answers = tuple((item.number, _convert_grant(item)) for item in message.answers)
    return QuotaMessage(InstanceId(message.sender), message.incarnation, asks, answers)


def _convert_grant(item):
    """Return the `Grant` in an answer; raise `ValueError` for an unknown refusal."""
    if item.refusal >= len(_REFUSALS):
        raise ValueError(f"refusal {item.refusal}")
    return Grant(item.granted, item.retryAfterMs / 1000, _REFUSALS[item.refusal])
