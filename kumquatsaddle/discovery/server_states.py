"""What a backend server says of the order of its states, and what follows from it.

A server writes its start and a count into each entry, so an entry that the store
performs late, or shows again after its return from a copy, is known to be old. A state
that takes a server out of use is believed at once if it was written after the known
one; one that would bring it back, only in the order of the server.
"""

from enum import Enum
from typing import NamedTuple

__all__ = ["Judgement", "StateOrder", "get_state_order", "judge_state"]


class Judgement(Enum):
    """What becomes of a state that a row of the store shows."""

    # It replaces the known one.
    APPLY = "apply"
    # The known one is kept, but its server gets no more requests.
    DRAIN = "drain"
    # The known one is kept as long as this may be late.
    HOLD = "hold"


class StateOrder(NamedTuple):
    """The place of a state among all states of a server under one name.

    Parameters
    ----------
    started_at_ms : int
        Start of the incarnation, in milliseconds since the epoch.
    sequence : int or None
        Count within the incarnation; None if none is stated.
    """

    started_at_ms: int
    sequence: int | None

    def is_before(self, other):
        """Return whether this state is older by what both state."""
        if self.started_at_ms != other.started_at_ms:
            return self.started_at_ms < other.started_at_ms
        return self._has_counts(other) and self.sequence < other.sequence

    def is_after(self, other):
        """Return whether this state is newer by what both state."""
        return other.is_before(self)

    def has_equal_count(self, other):
        """Return whether both state the same count of the same incarnation."""
        return self._has_counts(other) and self == other

    def _has_counts(self, other):
        return self.sequence is not None and other.sequence is not None


def get_state_order(record):
    """Return the `StateOrder` of a `ServerRecord`."""
    return StateOrder(record.started_at_ms, record.sequence)


def judge_state(record, known, known_order, is_first):
    """Return the `Judgement` of a state that a row shows.

    Parameters
    ----------
    record : ServerRecord
    known : ServerRecord or None
        The state in use; None if the entry is removed or names no server.
    known_order : StateOrder or None
        Of the newest state that was known; None if there was none.
    is_first : bool
        Whether it is the first row of its entry since the store came back from a copy.
        Otherwise the row was written after the known one.
    """
    if known_order is None or record == known:
        return Judgement.APPLY
    order = get_state_order(record)
    brings_back = not record.draining and (known is None or known.draining)
    if order.is_after(known_order):
        return Judgement.APPLY
    if order.is_before(known_order):
        if record.draining and known is not None and not is_first:
            return Judgement.DRAIN
        return Judgement.HOLD
    if brings_back and (is_first or order.has_equal_count(known_order)):
        return Judgement.HOLD
    return Judgement.APPLY
