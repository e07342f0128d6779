"""Admission control: rate limits of client accounts and queues of services."""

from kumquatsaddle.admission.limits import AccountLimits, TokenBucket, make_limits
from kumquatsaddle.admission.queue import RankQueue, Waiter, make_queue

__all__ = [
    "AccountLimits",
    "RankQueue",
    "TokenBucket",
    "Waiter",
    "make_limits",
    "make_queue",
]
