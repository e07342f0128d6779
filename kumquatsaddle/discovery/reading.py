"""When the store is read, by the one that reads it for a zone and by the others.

One instance of a zone reads the store for all. The others notice its loss by the age of
the newest read that they know of, whatever the reason of the loss: each of them reads
the store itself once no read is known for `RECENT_AGE_SECONDS` and its turn has come.
The turns double: one instance reads first, then one, two, four more, and finally all.
So a lost reader costs few calls, and the last turn does not come later in a larger zone
or after the loss of more instances.
"""

from dataclasses import dataclass
from typing import Any

import trio

from kumquatsaddle.logs import log_event
from kumquatsaddle.sharing.schedule import RECENT_AGE_SECONDS

__all__ = [
    "MIN_CALL_INTERVAL_SECONDS",
    "StoreAnswer",
    "StoreTable",
    "WatchCycle",
    "compute_check_pause",
    "find_known_read",
    "find_read_due",
    "has_earlier_reader",
    "log_reading_started",
]

# Highest age of what a reader knows while nothing changes. Ends just before the third
# report after the last read, which the report of the next read then replaces.
_WATCH_SECONDS = 1.2
# Between two calls for one table, so that changes in quick succession share a call.
MIN_CALL_INTERVAL_SECONDS = 0.25
# Between two turns; the read of one instance is reported to the others in less.
_TURN_SECONDS = 0.05
_MAX_TURN = 4
# Between two checks whether to read, and while the time to read is near.
_CHECK_INTERVAL_SECONDS = 0.15
_TURN_CHECK_SECONDS = 0.02
_MIN_CHECK_PAUSE_SECONDS = 0.001
# Watches get shorter by the delay of the store, at most by this.
_MAX_CALL_DELAY_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """An answer of the store to the read of a table.

    Parameters
    ----------
    snapshot : Snapshot
    is_whole : bool
        Whether it has all rows, not only those that changed.
    called_at, received_at : float
        In seconds.
    delay : float
        How old it may have been when it was received, in seconds.
    """

    snapshot: Any
    is_whole: bool
    called_at: float
    received_at: float
    delay: float


class StoreTable:
    """How a table of the store, routes or servers, is read, and its read state.

    Parameters
    ----------
    name : str
    read, watch, confirm : callable
        Async calls of the store.
    apply_snapshot, apply_changes : callable
        Async; take a `Snapshot`.

    Attributes
    ----------
    position : StorePosition or None
        Up to which the changes are known; None before a read.
    read_at : float
        As of when the last answer was valid, in seconds.
    suspended_seconds : float
        When it was read, the time in which the machine was suspended.
    confirm_until : float
        Until when reads are confirmed, since they may be stale.
    watching : bool
        Whether a task reads the table.
    """

    def __init__(self, name, read, watch, confirm, apply_snapshot, apply_changes):
        self.name = name
        self.read = read
        self.watch = watch
        self.confirm = confirm
        self.apply_snapshot = apply_snapshot
        self.apply_changes = apply_changes
        self.position = None
        self.read_at = float("-inf")
        self.suspended_seconds = 0.0
        self.confirm_until = float("-inf")
        self.watching = False

    async def call(self, cycle, clock, epoch):
        """Return the `StoreAnswer` with what is new.

        Parameters
        ----------
        cycle : WatchCycle
        clock : callable
        epoch : StoreEpoch
            The latest known one. The whole table is read if the known changes are of
            another one.

        Raises
        ------
        PlatformUnavailableError
        HistoryLostError
        """
        called_at, wait = clock(), 0.0
        is_whole = self.position is None or self.position.epoch != epoch
        if is_whole:
            snapshot = await self.read()
        else:
            # After a failure or a change of the reader, the store answers at once, so
            # that all know soon that it is available.
            if called_at - self.read_at < RECENT_AGE_SECONDS:
                wait = cycle.start_watch()
            snapshot = await self.watch(self.position.version, wait)
        received_at = clock()
        delay = cycle.measure_delay(received_at - called_at, wait)
        return StoreAnswer(snapshot, is_whole, called_at, received_at, delay)


class WatchCycle:
    """Lets the watches of all tables of one reader end at about the same time.

    The age of what a reader knows is that of its oldest table, so one report tells of
    the reads of all of them.

    Parameters
    ----------
    clock : callable, default=trio.current_time
    """

    def __init__(self, clock=trio.current_time):
        self._clock = clock
        self._end = float("-inf")
        self._call_delay = 0.0
        self._reported_at = float("-inf")

    def start_watch(self):
        """Return how long the store should hold the next watch, in seconds."""
        now = self._clock()
        if self._end - now < MIN_CALL_INTERVAL_SECONDS:
            self._end = now + _WATCH_SECONDS - self._call_delay
        return max(0.0, self._end - now - self._call_delay)

    def measure_delay(self, call_seconds, wait):
        """Return how old an answer of the store may be, in seconds.

        An answer before the end of the wait says nothing about it; then the delay of
        the last one that does is returned.

        Parameters
        ----------
        call_seconds : float
            How long the call took.
        wait : float
            How long the store was to hold it, in seconds.
        """
        if call_seconds >= wait:
            self._call_delay = min(call_seconds - wait, _MAX_CALL_DELAY_SECONDS)
            return call_seconds - wait
        return min(self._call_delay, call_seconds)

    def is_report_due(self, read_at):
        """Return, once, whether the reads of a whole cycle are not reported yet.

        Parameters
        ----------
        read_at : float
            When the oldest table was read, in seconds.
        """
        if read_at - self._reported_at < _WATCH_SECONDS / 2:
            return False
        self._reported_at = read_at
        return True


def find_known_read(peers, is_unknown):
    """Return when the store was last read by a peer of which all is known here.

    Parameters
    ----------
    peers : PeerTable
    is_unknown : callable
        Takes a `Report`; whether its sender has newer versions than this instance, or
        versions of another epoch of the store. Then its read does not count: it may be
        lost before they are fetched.

    Returns
    -------
    float
        In seconds, on the clock of the reports; negative infinity if there is none.
    """
    times = [
        peer.heard_at - peer.report.read_age
        for peer in peers.peers.values()
        if peer.report is not None and not is_unknown(peer.report)
    ]
    return max(times, default=float("-inf"))


def find_read_due(peers, read_at):
    """Return when an instance has to read the store if it hears of no newer read.

    Parameters
    ----------
    peers : PeerTable
    read_at : float
        Time of the newest read of which all is known here, in seconds.
    """
    return read_at + RECENT_AGE_SECONDS + _compute_turn_delay(_count_earlier(peers))


def compute_check_pause(remaining):
    """Return the time until the next check whether to read, in seconds.

    Parameters
    ----------
    remaining : float
        Time until the store has to be read, in seconds.
    """
    if not 0.0 < remaining < _CHECK_INTERVAL_SECONDS:
        return _CHECK_INTERVAL_SECONDS
    # The turns change when an instance is found to be silent.
    return min(max(remaining, _MIN_CHECK_PAUSE_SECONDS), _TURN_CHECK_SECONDS)


def has_earlier_reader(peers, now, epoch):
    """Return whether a live instance reads that is before this one in the order.

    Parameters
    ----------
    peers : PeerTable
    now : float
        In seconds.
    epoch : StoreEpoch
        Of the store. One that reads another epoch does not count.
    """
    return any(
        peer.record.name < peers.own.name
        and peer.get_read_age(now) < RECENT_AGE_SECONDS
        and peer.report.store_epoch == epoch
        for peer in peers.list_alive()
    )


def log_reading_started(table, peers, now, due):
    """Log since when no instance has read a table that this one begins to read.

    Parameters
    ----------
    table : StoreTable
    peers : PeerTable
    now, due : float
        The present time, and when the table had to be read, in seconds.
    """
    ages = [peer.get_read_age(now) for peer in peers.peers.values()]
    log_event(
        "store_reading_started",
        table=table.name,
        after=table.position.version if table.position else None,
        read_age=round(min([*ages, now - table.read_at]), 3),
        turn=_count_earlier(peers),
        late=round(now - due, 3),
    )


def _count_earlier(peers):
    """Return the number of live instances before this one in the order of names."""
    own = peers.own.name
    return sum(peer.alive and name < own for name, peer in peers.peers.items())


def _compute_turn_delay(turn):
    """Return how long an instance leaves the store to `turn` others, in seconds."""
    return min(turn.bit_length(), _MAX_TURN) * _TURN_SECONDS
