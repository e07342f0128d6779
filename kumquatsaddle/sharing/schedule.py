"""Schedule of the reports from an instance to each of its peers.

The active instances, which callers are sent to, and the zone leader are called close:
what they know decides where requests go. All others are called distant. They only take
over when a close one is lost, so two distant instances rarely report to each other, and
the number of datagrams in a zone grows with its close instances rather than with the
square of all. The leader and any instance that reads the store report to all peers
often, because the age of their data decides whether others read too.
"""

from enum import Enum

__all__ = [
    "CLOSE_INTERVAL_SECONDS",
    "MAX_INTERVAL_SECONDS",
    "READER_INTERVAL_SECONDS",
    "RECENT_AGE_SECONDS",
    "ReportSchedule",
    "Scope",
]

# Age up to which data read from the store counts as recent. A reader reads every 1.2 s
# and reports each read at once; the rest is for the delay of the store and of reports.
RECENT_AGE_SECONDS = 1.4
# From readers of the store to all, counted from their last read.
READER_INTERVAL_SECONDS = 0.42
# Between close instances, and from the zone leader to all.
CLOSE_INTERVAL_SECONDS = 0.4
_CLOSE_TO_DISTANT_INTERVAL_SECONDS = 1.2
_DISTANT_TO_CLOSE_INTERVAL_SECONDS = 1.0
# Between distant instances.
MAX_INTERVAL_SECONDS = 5.0
_SILENT_PEER_INTERVAL_SECONDS = 2.0
# How much earlier than due a report may be sent.
_EARLY_TOLERANCE_SECONDS = 0.01


class Scope(Enum):
    """Peers that get a report in addition to those whose report is due."""

    # No additional ones.
    DUE = "due"
    # The instances that callers are sent to.
    ACTIVE = "active"
    # The active instances and the zone leader.
    CLOSE = "close"
    ALL = "all"


class ReportSchedule:
    """Decides when one instance reports to each of its peers.

    Parameters
    ----------
    peers : PeerTable
    """

    def __init__(self, peers):
        self._peers = peers
        self._active = frozenset()
        self._leader = None
        self._is_reader = False
        # When the next report is due and the interval last used, by peer name.
        self._scheduled = {}

    def update(self, active, read_age):
        """Update which instances are close and whether this one reads the store.

        Parameters
        ----------
        active : iterable of InstanceRecord
            The instances that callers are sent to.
        read_age : float
            How long ago the store answered this instance, in seconds.
        """
        self._is_reader = read_age < RECENT_AGE_SECONDS
        self._active = frozenset(record.name for record in active)
        self._leader = self._peers.find_leader()

    def restart(self):
        """Make a report to each live peer due, from which the intervals count anew."""
        self._scheduled = {
            name: scheduled
            for name, scheduled in self._scheduled.items()
            if scheduled[1] == _SILENT_PEER_INTERVAL_SECONDS
        }

    def get_round_interval(self):
        """Return the time between two rounds of due reports, in seconds."""
        if self._is_reader:
            return READER_INTERVAL_SECONDS
        if self._is_close(self._peers.own.name):
            return CLOSE_INTERVAL_SECONDS
        return _DISTANT_TO_CLOSE_INTERVAL_SECONDS

    def list_recipients(self, now, scope):
        """Return the peers that get a report now and schedule their next one.

        Parameters
        ----------
        now : float
            On the clock of trio, in seconds.
        scope : Scope

        Returns
        -------
        list of (Peer, float, bool)
            Each peer with the longest time until its next report, in seconds, and
            whether a report is due; if so, it gets a full report, not only changes.
        """
        recipients = []
        scheduled, self._scheduled = self._scheduled, {}
        for name, peer in self._peers.peers.items():
            interval = self._compute_interval(peer)
            due, previous_interval = scheduled.get(name, (now, None))
            is_due = (
                now >= due - _EARLY_TOLERANCE_SECONDS or interval != previous_interval
            )
            if is_due or (peer.alive and self._is_in_scope(name, scope)):
                recipients.append((peer, interval, is_due))
            if is_due:
                due = now + interval
            self._scheduled[name] = due, interval
        return recipients

    def list_in_scope(self, scope):
        """Return the live peers in a `Scope`."""
        return [
            peer
            for name, peer in self._peers.peers.items()
            if peer.alive and self._is_in_scope(name, scope)
        ]

    def _compute_interval(self, peer):
        own, name = self._peers.own.name, peer.record.name
        if not peer.alive:
            return _SILENT_PEER_INTERVAL_SECONDS
        if self._is_reader:
            return READER_INTERVAL_SECONDS
        if own == self._leader:
            return CLOSE_INTERVAL_SECONDS
        if self._is_close(own):
            return (
                CLOSE_INTERVAL_SECONDS
                if self._is_close(name)
                else _CLOSE_TO_DISTANT_INTERVAL_SECONDS
            )
        return (
            _DISTANT_TO_CLOSE_INTERVAL_SECONDS
            if self._is_close(name)
            else MAX_INTERVAL_SECONDS
        )

    def _is_close(self, name):
        return name in self._active or name == self._leader

    def _is_in_scope(self, name, scope):
        if scope is Scope.ACTIVE:
            return name in self._active
        if scope is Scope.CLOSE:
            return self._is_close(name)
        return scope is Scope.ALL
