"""The waiting requests of one rank, shared fairly between client accounts.

Start-time fair queuing: every account has a tag, the service that it received in
units of requests. The waiting account with the lowest tag is served next, and an
account that starts to wait is raised to the virtual time, the tag of the account
served last, so that it neither owes nor claims anything for the time it was away.

References
----------
P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queuing", SIGCOMM 1996.
"""

from collections import OrderedDict

from kumquatsaddle.admission.heaps import make_heap
from kumquatsaddle.types import RefusalReason

__all__ = ["RankLine", "make_line"]

# Time in seconds over which an account may catch up with its floor.
_FLOOR_WINDOW = 1.0
# Accounts without a waiting request whose tags are remembered.
_MAX_IDLE_ACCOUNTS = 1024
# Requests by which an account that is served for its floor can run ahead of the
# virtual time. The bound keeps it from starving after its floor is lowered.
_MAX_LEAD = 64.0


class _Account:
    """Service received by one account, and its waiting requests by arrival."""

    __slots__ = ("name", "tag", "floor", "floor_due", "waiters")

    def __init__(self, name, tag):
        self.name = name
        self.tag = tag
        self.floor = 0.0
        self.floor_due = float("-inf")
        self.waiters = {}


class _Kind:
    """Waiters that fit the same backend servers."""

    __slots__ = ("fair", "floors", "waiting")

    def __init__(self):
        self.fair = make_heap()
        self.floors = make_heap()
        self.waiting = {}

    def schedule(self, account):
        """Bring the place of an account up to date."""
        heap = self.waiting[account]
        if not len(heap):
            del self.waiting[account]
            self.fair.discard(account)
            self.floors.discard(account)
            return
        self.fair.set_key(account, (account.tag, heap.peek()[0]))
        if account.floor > 0.0:
            self.floors.set_key(account, account.floor_due)
        else:
            self.floors.discard(account)

    def first_waiter(self, account):
        """Return the waiter of an account that has to start first."""
        return self.waiting[account].peek()[1]


class _Holders:
    """Accounts by the number of requests they hold; finds the largest at once."""

    __slots__ = ("_accounts", "_largest")

    def __init__(self):
        self._accounts = {}
        self._largest = 0

    def move(self, account, before, after):
        """Note that an account holds `after` requests; they differ by one."""
        if before:
            accounts = self._accounts[before]
            del accounts[account]
            if not accounts:
                del self._accounts[before]
        if after:
            self._accounts.setdefault(after, OrderedDict())[account] = None
        if after > self._largest:
            self._largest = after
        elif self._largest not in self._accounts:
            self._largest = after

    def largest(self):
        """Return the account that holds most, of equal ones the latest to do so."""
        return next(reversed(self._accounts[self._largest]))


class RankLine:
    """The waiting requests of one rank of one service."""

    def __init__(self):
        self._size = 0
        self._virtual_time = 0.0
        self._kinds = {}
        self._accounts = {}
        self._idle = OrderedDict()
        self._holders = _Holders()

    def __len__(self):
        return self._size

    def push(self, waiter):
        """Add a waiter."""
        account = self._open_account(waiter.request.account)
        account.floor = waiter.request.floor
        kind = self._kinds.get(waiter.kind)
        if kind is None:
            kind = self._kinds[waiter.kind] = _Kind()
        heap = kind.waiting.get(account)
        if heap is None:
            heap = kind.waiting[account] = make_heap()
        heap.set_key(waiter, waiter.start_by)
        held = len(account.waiters)
        account.waiters[waiter] = None
        self._holders.move(account, held, held + 1)
        self._size += 1
        kind.schedule(account)

    def remove(self, waiter):
        """Remove a waiter; return whether it was waiting."""
        account = self._accounts.get(waiter.request.account)
        if account is None or waiter not in account.waiters:
            return False
        self._take(account, waiter)
        self._retire(account)
        return True

    def drop_newest(self):
        """Remove and return the newest waiter of the account that holds most."""
        account = self._holders.largest()
        # `popitem` and not an iterator from the end: it skips removed entries once.
        waiter, _ = account.waiters.popitem()
        account.waiters[waiter] = None
        self.remove(waiter)
        return waiter

    def pop(self, fits, verdicts, now):
        """Remove and return the next waiter that fits, or None.

        Parameters
        ----------
        fits : callable
            Takes a `Waiter`; whether a slot is free for it.
        verdicts : dict
            Results of `fits` by kind, shared by the lines of a queue.
        now : float
            In seconds. Waiters that had to start earlier are refused on the way.
        """
        while self._size:
            kinds = self._fitting_kinds(fits, verdicts)
            if not kinds:
                return None
            kind, account, is_fair_turn = _choose_account(kinds, now)
            waiter = kind.first_waiter(account)
            self._take(account, waiter)
            if now < waiter.start_by:
                self._charge(account, is_fair_turn, now)
                self._retire(account)
                return waiter
            self._retire(account)
            waiter.refuse(RefusalReason.DEADLINE)
        return None

    def _fitting_kinds(self, fits, verdicts):
        kinds = []
        for key, kind in self._kinds.items():
            verdict = verdicts.get(key)
            if verdict is None:
                waiter = kind.first_waiter(kind.fair.peek()[1])
                verdict = verdicts[key] = bool(fits(waiter))
            if verdict:
                kinds.append(kind)
        return kinds

    def _take(self, account, waiter):
        held = len(account.waiters)
        del account.waiters[waiter]
        self._holders.move(account, held, held - 1)
        self._size -= 1
        kind = self._kinds[waiter.kind]
        kind.waiting[account].discard(waiter)
        kind.schedule(account)
        if not kind.waiting:
            del self._kinds[waiter.kind]

    def _charge(self, account, is_fair_turn, now):
        if is_fair_turn:
            self._virtual_time = max(self._virtual_time, account.tag)
        account.tag = min(account.tag + 1.0, self._virtual_time + _MAX_LEAD)
        if account.floor > 0.0:
            since = max(account.floor_due, now - _FLOOR_WINDOW)
            account.floor_due = since + 1.0 / account.floor
        for kind in self._kinds.values():
            if account in kind.waiting:
                kind.schedule(account)

    def _open_account(self, name):
        account = self._accounts.get(name)
        if account is None:
            account = self._idle.pop(name, None) or _Account(name, 0.0)
            account.tag = max(account.tag, self._virtual_time)
            self._accounts[name] = account
        return account

    def _retire(self, account):
        if account.waiters:
            return
        del self._accounts[account.name]
        self._idle[account.name] = account
        if len(self._idle) > _MAX_IDLE_ACCOUNTS:
            self._idle.popitem(last=False)


def make_line():
    """Return a line without waiters; see `RankLine`."""
    return RankLine()


def _choose_account(kinds, now):
    """Return the kind, the account and whether it is the account's fair turn."""
    best = None
    for kind in kinds:
        entry = kind.floors.peek()
        if entry is not None and entry[0] <= now:
            if best is None or entry[0] < best[0]:
                best = (entry[0], kind, entry[1], False)
    if best is None:
        for kind in kinds:
            key, account = kind.fair.peek()
            if best is None or key < best[0]:
                best = (key, kind, account, True)
    return best[1:]
