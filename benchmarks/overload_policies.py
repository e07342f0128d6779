"""Orders of waiting requests that `benchmarks.overload` compares with the product's.

Each is a control as in `kumquatsaddle.balance.overload`, in a simple form.
"""

from collections import deque
from hashlib import blake2b
from math import sqrt

from kumquatsaddle.balance.overload import (
    DeadlineControl,
    QueueRefusal,
    QueueRule,
    ValueControl,
    queue_policies,
)
from kumquatsaddle.balance.waiting import WaitingRequests

__all__ = ["compared_policies"]

compared_policies = {
    "deadline": queue_policies.get("deadline"),
    "value": queue_policies.get("value"),
}
# Longest time by which a request with more work is passed, in units of its work.
_AGEING_FACTOR = 4.0
_CODEL_TARGET_SECONDS, _CODEL_INTERVAL_SECONDS = 0.1, 0.5
# DAGOR: mean wait that counts as overload, length of a window, and steps of the level.
_DAGOR_WAIT_SECONDS, _DAGOR_WINDOW_SECONDS = 0.2, 0.5
_DAGOR_DOWN, _DAGOR_UP = 0.05, 0.01
_RETRY_SECONDS = 0.3


def _register(name):
    def decorate(factory):
        compared_policies[name] = factory
        return factory

    return decorate


class _KeyOrder:
    """Waiters sorted by a key that does not change while they wait."""

    def __init__(self, compute_key):
        self._entries = {}
        self._compute_key = compute_key

    def add(self, waiter, number):
        self._entries[waiter] = (waiter.rank, *self._compute_key(waiter), number)

    def remove(self, waiter):
        del self._entries[waiter]

    def list_parts(self, now):
        return [sorted(self._entries, key=self._entries.get)]


class _KeyControl(DeadlineControl):
    """Order by rank and a key; a request waits until its latest start."""

    def __init__(self, averages, random=None):
        super().__init__(averages, random)
        self.queue = WaitingRequests(_KeyOrder(self._compute_key))

    def make_waiter(self, request, excluded, until, event, now):
        waiter = super().make_waiter(request, excluded, until, event, now)
        waiter.work = self._averages.estimate_seconds(request.route)
        return waiter

    def _compute_key(self, waiter):
        return (waiter.request.arrived,)


_register("fifo")(_KeyControl)


@_register("shortest")
class _ShortestControl(_KeyControl):
    """Shortest work first, with a bound on how long a request is passed."""

    def _compute_key(self, waiter):
        return (waiter.request.arrived + _AGEING_FACTOR * waiter.work,)


@_register("fair")
class _FairControl(_KeyControl):
    """Start-time fair queueing between accounts."""

    def __init__(self, averages, random=None):
        super().__init__(averages, random)
        self._virtual_time = 0.0
        self._tags = {}

    def _compute_key(self, waiter):
        account = waiter.request.account
        name = account.name if account is not None else ""
        tag = max(self._virtual_time, self._tags.get(name, 0.0))
        self._tags[name] = tag + waiter.work
        waiter.objective_start = tag
        return (tag,)

    def record_start(self, request, now):
        for part in self.queue.list_parts(now):
            for waiter in part:
                if waiter.request is request:
                    self._virtual_time = max(self._virtual_time, waiter.objective_start)
                    return


@_register("codel")
class _CodelControl(_KeyControl):
    """First in, first out; CoDel refuses at the head."""

    def __init__(self, averages, random=None):
        super().__init__(averages, random)
        self._above_since = None
        self._drop_at = float("inf")
        self._drops = 0

    def find_refusals(self, now):
        order = self.queue.list_in_order(now)
        if not order or now - order[0].request.arrived < _CODEL_TARGET_SECONDS:
            self._above_since, self._drops = None, 0
            return []
        if self._above_since is None:
            self._above_since = now
            self._drop_at = now + _CODEL_INTERVAL_SECONDS
        refused = []
        while now >= self._drop_at and len(refused) < len(order):
            self._drops += 1
            self._drop_at += _CODEL_INTERVAL_SECONDS / sqrt(self._drops)
            refused.append((order[len(refused)], _make_refusal(now)))
        return refused


@_register("dagor")
class _DagorControl(_KeyControl):
    """Admission by rank and account, adapted to the wait as in DAGOR."""

    def __init__(self, averages, random=None):
        super().__init__(averages, random)
        self._level = 1.0
        self._window_ends = 0.0
        self._waits = deque(maxlen=200)

    def check_arrival(self, request, now):
        if now >= self._window_ends:
            self._adapt(now)
        name = request.account.name if request.account is not None else "none"
        digest = blake2b(name.encode(), digest_size=4).digest()
        part = int.from_bytes(digest, "big") / 2**32
        if (request.rank + part) / 3.0 > self._level:
            return _make_refusal(now)
        return None

    def record_start(self, request, now):
        self._waits.append(now - request.arrived)

    def _adapt(self, now):
        self._window_ends = now + _DAGOR_WINDOW_SECONDS
        if self._waits:
            mean = sum(self._waits) / len(self._waits)
            if mean > _DAGOR_WAIT_SECONDS:
                self._level *= 1.0 - _DAGOR_DOWN
            else:
                self._level = min(1.0, self._level + _DAGOR_UP)
            self._waits.clear()


@_register("value-order")
class _ValueOrderControl(ValueControl):
    """The order of the product without any early refusal."""

    def check_arrival(self, request, now):
        return None

    def find_refusals(self, now):
        return []


def _make_refusal(now):
    return QueueRefusal(QueueRule.HOPELESS, 0, 0.0, None, 0.0, _RETRY_SECONDS)
