"""Admission: limits of client accounts and the queue by rank."""

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
