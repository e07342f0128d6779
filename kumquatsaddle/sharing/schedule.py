"""When an instance reports to which of its peers.

The instances that callers are sent to and the speaker of the zone are close: what they
know decides where requests go. The others only take over when a close one is lost, so
two of them rarely report to each other, and the datagrams of a zone grow with its close
instances rather than with the square of all. The speaker and whoever reads the store
report to all at the shortest interval, as the age of their view decides who else reads.
"""

from enum import Enum

__all__ = [
    "CLOSE_INTERVAL",
    "LONGEST_INTERVAL",
    "RECENT_AGE",
    "ReportSchedule",
    "Scope",
]

# Age in seconds up to which a view of the store counts as recent.
RECENT_AGE = 1.6
# Time in seconds between reports of the speaker, and from close to close instances.
CLOSE_INTERVAL = 0.4
# From close to distant instances, from distant to close ones, and between distant ones.
_OUTWARD_INTERVAL, _INWARD_INTERVAL, LONGEST_INTERVAL = 1.2, 1.0, 5.0
# To peers that are silent.
_SILENT_INTERVAL = 2.0
# Time in seconds by which a report may be early.
_EARLY_TIME = 0.01


class Scope(Enum):
    """Who gets a report beside those whose time has come."""

    DUE = "due"
    # The instances that callers are sent to.
    ACTIVE = "active"
    # These and the speaker.
    CLOSE = "close"
    ALL = "all"


class ReportSchedule:
    """The times of the reports of one instance.

    Parameters
    ----------
    peers : PeerTable
    """

    def __init__(self, peers):
        self._peers = peers
        self._active = frozenset()
        self._speaker = None
        self._is_reader = False
        self._told = {}

    def update(self, active, read_age):
        """Take note of who is close.

        Parameters
        ----------
        active : iterable of InstanceRecord
            The instances that callers are sent to.
        read_age : float
            How long ago the store has answered this instance, in seconds.
        """
        self._is_reader = read_age < RECENT_AGE
        self._active = frozenset(record.name for record in active)
        self._speaker = self._peers.find_speaker()

    def measure_round(self):
        """Return the shortest time between reports of this instance, in seconds."""
        if self._is_reader or self._is_close(self._peers.own.name):
            return CLOSE_INTERVAL
        return _INWARD_INTERVAL

    def list_recipients(self, now, scope):
        """Return who gets a report now.

        Parameters
        ----------
        now : float
            On the clock of trio, in seconds.
        scope : Scope

        Returns
        -------
        list of (Peer, float, bool)
            With the longest time until the next report to the peer, in seconds, and
            whether its time has come; it then gets a whole report.
        """
        recipients = []
        told, self._told = self._told, {}
        for name, peer in self._peers.peers.items():
            interval = self._measure_interval(peer)
            due, known = told.get(name, (now, None))
            is_due = now >= due - _EARLY_TIME or interval != known
            if is_due or (peer.alive and self._is_within(name, scope)):
                recipients.append((peer, interval, is_due))
            if is_due:
                due = now + interval
            self._told[name] = due, interval
        return recipients

    def list_within(self, scope):
        """Return the peers that are alive and within a `Scope`."""
        return [
            peer
            for name, peer in self._peers.peers.items()
            if peer.alive and self._is_within(name, scope)
        ]

    def _measure_interval(self, peer):
        own, name = self._peers.own.name, peer.record.name
        if not peer.alive:
            return _SILENT_INTERVAL
        if self._is_reader or own == self._speaker:
            return CLOSE_INTERVAL
        if self._is_close(own):
            return CLOSE_INTERVAL if self._is_close(name) else _OUTWARD_INTERVAL
        return _INWARD_INTERVAL if self._is_close(name) else LONGEST_INTERVAL

    def _is_close(self, name):
        return name in self._active or name == self._speaker

    def _is_within(self, name, scope):
        if scope is Scope.ACTIVE:
            return name in self._active
        if scope is Scope.CLOSE:
            return self._is_close(name)
        return scope is Scope.ALL
