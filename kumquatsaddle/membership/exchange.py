"""The exchange of the whole member table over TCP: ``hello`` and ``members``."""

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.membership.members import read_member, write_member
from kumquatsaddle.types import MessageRejection

__all__ = ["fill_hello", "fill_members", "read_members", "handle_hello"]

# Members accepted in one table. A table holds the live instances, 520 at the target
# size of a fleet, and those that died within the last two hours.
_MAX_MEMBERS = 8192


def fill_hello(envelope, number, own):
    """Fill a ``hello`` message: a request for the table, with the record `own`."""
    body = envelope.init("hello")
    body.number = number
    write_member(body.init("member"), own)


def fill_members(envelope, number, table):
    """Fill a ``members`` message with all members of a table."""
    body = envelope.init("members")
    body.number = number
    builders = body.init("members", len(table.members))
    for builder, member in zip(builders, table.members.values(), strict=True):
        write_member(builder, member)


def read_members(envelope):
    """Return the members of a ``members`` message.

    Returns
    -------
    list of Member

    Raises
    ------
    MessageError
        If it is another kind of message, has too many members or is malformed.
    """
    if envelope.which() != "members":
        raise MessageError(MessageRejection.UNEXPECTED.value)
    readers = envelope.members.members
    if len(readers) > _MAX_MEMBERS:
        raise MessageError(MessageRejection.TOO_LONG.value)
    return [_decode_member(reader) for reader in readers]


def handle_hello(envelope, gossip):
    """Merge the sender's record in a ``hello`` message into the table of `gossip`.

    Raises
    ------
    MessageError
        If the record is malformed or does not describe the sender.
    """
    member = _decode_member(envelope.hello.member)
    if (member.name, member.incarnation) != (envelope.sender, envelope.incarnation):
        raise MessageError(MessageRejection.UNKNOWN_SENDER.value)
    gossip.merge_update(member)


def _decode_member(reader):
    try:
        return read_member(reader)
    except ValueError as error:
        reason = MessageRejection.MALFORMED.value
        raise MessageError(f"{reason}: {error}") from None
