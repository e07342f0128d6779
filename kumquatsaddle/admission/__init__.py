"""Admission control: rate limits of client accounts and queues of services."""

from kumquatsaddle.admission.limits import AccountLimits, make_account_limits
from kumquatsaddle.admission.queue import ServiceQueue, Waiter, make_queue

__all__ = [
    "AccountLimits",
    "ServiceQueue",
    "Waiter",
    "make_account_limits",
    "make_queue",
]
