"""The waiting requests of one rank, shared fairly between client accounts.

Start-time fair queuing: every account has a start tag, the number of its requests that
were served, with the corrections below. The account with the lowest tag among those
with waiters is served next. When an idle account gets a waiter, its tag is raised to
the virtual time, the tag of the account served last, so that it gets no credit for the
time it was idle. An account with a floor, in requests per second, comes first when its
next request is due.

References
----------
P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queuing", SIGCOMM 1996.
"""

from collections import OrderedDict

from kumquatsaddle.admission.heaps import make_heap
from kumquatsaddle.types import RefusalReason

__all__ = ["FairQueue", "make_fair_queue"]

# Time for which an account may catch up with its floor.
_FLOOR_WINDOW_SECONDS = 1.0
# Accounts without a waiter whose tags are kept.
_MAX_IDLE_ACCOUNTS = 1024
# Maximum by which the tag of an account that is served for its floor is ahead of the
# virtual time. The bound prevents starvation of the account after its floor is lowered.
_MAX_LEAD_REQUESTS = 64.0


class _Account:
    """The tags of one client account, and its waiters in order of arrival."""

    __slots__ = ("name", "start_tag", "floor", "floor_due", "waiters")

    def __init__(self, name, start_tag):
        self.name = name
        self.start_tag = start_tag
        self.floor = 0.0
        self.floor_due = float("-inf")
        self.waiters = {}


class _Kind:
    """Waiters of one `Waiter.kind`, which may be sent to the same backend servers."""

    __slots__ = ("by_start_tag", "by_floor_due", "waiters_by_account")

    def __init__(self):
        self.by_start_tag = make_heap()
        self.by_floor_due = make_heap()
        self.waiters_by_account = {}

    def reschedule(self, account):
        """Update the position of an account after a change of its waiters or tags."""
        heap = self.waiters_by_account[account]
        if not len(heap):
            del self.waiters_by_account[account]
            self.by_start_tag.discard(account)
            self.by_floor_due.discard(account)
            return
        self.by_start_tag.set_key(account, (account.start_tag, heap.peek()[0]))
        if account.floor > 0.0:
            self.by_floor_due.set_key(account, account.floor_due)
        else:
            self.by_floor_due.discard(account)

    def get_next_waiter(self, account):
        """Return that waiter of an account which has the earliest `start_by`."""
        return self.waiters_by_account[account].peek()[1]


class _AccountsBySize:
    """Accounts by the number of their waiters; finds the maximum in constant time."""

    __slots__ = ("_accounts", "_max_size")

    def __init__(self):
        self._accounts = {}
        self._max_size = 0

    def move(self, account, before, after):
        """Change the waiters of an account by one, from `before` to `after`."""
        if before:
            accounts = self._accounts[before]
            del accounts[account]
            if not accounts:
                del self._accounts[before]
        if after:
            self._accounts.setdefault(after, OrderedDict())[account] = None
        if after > self._max_size:
            self._max_size = after
        elif self._max_size not in self._accounts:
            self._max_size = after

    def find_largest(self):
        """Return the account with the most waiters; on a tie, the one moved last."""
        return next(reversed(self._accounts[self._max_size]))


class FairQueue:
    """The waiting requests of one rank of one service."""

    def __init__(self):
        self._size = 0
        self._virtual_time = 0.0
        self._kinds = {}
        self._accounts = {}
        self._idle_accounts = OrderedDict()
        self._accounts_by_size = _AccountsBySize()

    def __len__(self):
        return self._size

    def push(self, waiter):
        """Add a waiter."""
        account = self._activate_account(waiter.request.account)
        account.floor = waiter.request.floor
        kind = self._kinds.get(waiter.kind)
        if kind is None:
            kind = self._kinds[waiter.kind] = _Kind()
        heap = kind.waiters_by_account.get(account)
        if heap is None:
            heap = kind.waiters_by_account[account] = make_heap()
        heap.set_key(waiter, waiter.start_by)
        count = len(account.waiters)
        account.waiters[waiter] = None
        self._accounts_by_size.move(account, count, count + 1)
        self._size += 1
        kind.reschedule(account)

    def remove(self, waiter):
        """Remove a waiter; return whether it was waiting."""
        account = self._accounts.get(waiter.request.account)
        if account is None or waiter not in account.waiters:
            return False
        self._remove_waiter(account, waiter)
        self._deactivate_if_empty(account)
        return True

    def drop_newest(self):
        """Remove and return the newest waiter of the account with the most waiters."""
        account = self._accounts_by_size.find_largest()
        # `popitem` skips the entries of removed waiters only once; an iterator from the
        # end would do so on every call. `remove` needs the waiter, so it is put back.
        waiter, _ = account.waiters.popitem()
        account.waiters[waiter] = None
        self.remove(waiter)
        return waiter

    def pop(self, fits, fits_by_kind, now):
        """Remove and return the next waiter that fits, or None.

        Parameters
        ----------
        fits : callable
            Takes a `Waiter` and returns whether a slot is free for it.
        fits_by_kind : dict
            Results of `fits` by kind, shared by the queues of all ranks.
        now : float
            Current time in seconds. Waiters before the returned one that had to start
            earlier are refused.
        """
        while self._size:
            kinds = self._fitting_kinds(fits, fits_by_kind)
            if not kinds:
                return None
            kind, account, is_fair_turn = _choose_account(kinds, now)
            waiter = kind.get_next_waiter(account)
            self._remove_waiter(account, waiter)
            if now < waiter.start_by:
                self._charge(account, is_fair_turn, now)
                self._deactivate_if_empty(account)
                return waiter
            self._deactivate_if_empty(account)
            waiter.refuse(RefusalReason.DEADLINE)
        return None

    def _fitting_kinds(self, fits, fits_by_kind):
        kinds = []
        for key, kind in self._kinds.items():
            does_fit = fits_by_kind.get(key)
            if does_fit is None:
                waiter = kind.get_next_waiter(kind.by_start_tag.peek()[1])
                does_fit = fits_by_kind[key] = bool(fits(waiter))
            if does_fit:
                kinds.append(kind)
        return kinds

    def _remove_waiter(self, account, waiter):
        count = len(account.waiters)
        del account.waiters[waiter]
        self._accounts_by_size.move(account, count, count - 1)
        self._size -= 1
        kind = self._kinds[waiter.kind]
        kind.waiters_by_account[account].discard(waiter)
        kind.reschedule(account)
        if not kind.waiters_by_account:
            del self._kinds[waiter.kind]

    def _charge(self, account, is_fair_turn, now):
        if is_fair_turn:
            self._virtual_time = max(self._virtual_time, account.start_tag)
        account.start_tag = min(
            account.start_tag + 1.0, self._virtual_time + _MAX_LEAD_REQUESTS
        )
        if account.floor > 0.0:
            since = max(account.floor_due, now - _FLOOR_WINDOW_SECONDS)
            account.floor_due = since + 1.0 / account.floor
        for kind in self._kinds.values():
            if account in kind.waiters_by_account:
                kind.reschedule(account)

    def _activate_account(self, name):
        account = self._accounts.get(name)
        if account is None:
            account = self._idle_accounts.pop(name, None) or _Account(name, 0.0)
            account.start_tag = max(account.start_tag, self._virtual_time)
            self._accounts[name] = account
        return account

    def _deactivate_if_empty(self, account):
        if account.waiters:
            return
        del self._accounts[account.name]
        self._idle_accounts[account.name] = account
        if len(self._idle_accounts) > _MAX_IDLE_ACCOUNTS:
            self._idle_accounts.popitem(last=False)


def make_fair_queue():
    """Return an empty queue; see `FairQueue`."""
    return FairQueue()


def _choose_account(kinds, now):
    """Choose the account to serve; accounts whose floor is due come first.

    Returns
    -------
    (_Kind, _Account, bool)
        The last is whether the account was chosen by its start tag.
    """
    best = None
    for kind in kinds:
        entry = kind.by_floor_due.peek()
        if entry is not None and entry[0] <= now:
            if best is None or entry[0] < best[0]:
                best = (entry[0], kind, entry[1], False)
    if best is None:
        for kind in kinds:
            key, account = kind.by_start_tag.peek()
            if best is None or key < best[0]:
                best = (key, kind, account, True)
    return best[1:]
