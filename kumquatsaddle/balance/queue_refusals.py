"""What decided that a waiting request is refused under scarcity."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["QueueRefusal", "QueueRule"]


class QueueRule(Enum):
    """Which rule refused a waiting request; the label of a counter."""

    # It cannot start in time behind the requests before it.
    HOPELESS = "hopeless"
    # A more urgent rank of the service is served less often.
    RANK = "rank"
    # It is beyond the usual load of its account, and requests within the usual load of
    # theirs are late or refused.
    ACCOUNT = "account"


@dataclass(frozen=True, slots=True)
class QueueRefusal:
    """What decided that a request is refused before its latest start.

    Parameters
    ----------
    rule : QueueRule
    place : int
        Number of requests before it in the queue.
    work_before : float
        Their expected work, in seconds at a server.
    slot_rate : float or None
        Work that this queue can start in a second, in seconds; None if it is not known.
    time_left : float
        Time until its latest start, in seconds.
    retry_after : float
        In seconds.
    """

    rule: QueueRule
    place: int
    work_before: float
    slot_rate: float | None
    time_left: float
    retry_after: float
