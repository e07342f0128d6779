"""The other instances of the zone, as their reports describe them."""

from math import ceil
from zlib import crc32

from kumquatsaddle.logs import log_event
from kumquatsaddle.sharing.schedule import CLOSE_INTERVAL

__all__ = ["Peer", "PeerTable"]

# Reports that a peer may miss before it counts as gone, and the time in seconds that
# one may be late.
_MISSED_REPORTS = 3
_LATE_TIME = 0.15
# Time in seconds without a report after which a peer is forgotten.
_FORGET_TIME = 60.0
# Time in seconds without a report after which a peer counts as gone if the speaker of
# the zone no longer hears it either.
_SHARED_PATIENCE = _MISSED_REPORTS * CLOSE_INTERVAL + _LATE_TIME
# Callers are sent to a part of the instances of a zone: what one instance sees of the
# load of the servers is exact, and few have to be told.
_ACTIVE_SHARE = 1 / 6
_FEWEST_ACTIVE = 4
# Former incarnations of a peer whose late datagrams are dropped.
_MOST_FORMER = 8


class Peer:
    """One other instance.

    Attributes
    ----------
    record : InstanceRecord
    report : Report or None
        The latest one.
    heard : float
        When it came, on the clock of trio in seconds.
    counts : dict of BackendId to tuple of int, or None
        Observations that it has told; None before its first report.
    """

    def __init__(self, record, now):
        self.record = record
        self.report = None
        self.heard = float("-inf")
        self.added = now
        self.alive = False
        self.counts = None
        self.former = []

    def measure_read_age(self, now):
        """Return how long ago the store has answered the peer, in seconds."""
        if self.report is None:
            return float("inf")
        return self.report.read_age + now - self.heard


class PeerTable:
    """The other instances of the zone.

    Parameters
    ----------
    own : InstanceRecord
    """

    def __init__(self, own):
        self.own = own
        self.peers = {}
        self.instances = {own.name: own}

    def add_instance(self, record, now):
        """Note an instance of any zone; return whether it is a new peer."""
        if record.name == self.own.name:
            return False
        self.instances[record.name] = record
        if record.zone != self.own.zone:
            return False
        peer = self.peers.get(record.name)
        if peer is None:
            self.peers[record.name] = Peer(record, now)
            return True
        if peer.record != record and not peer.alive:
            peer.record = record
        return False

    def note_report(self, report, now):
        """Take over a report; return its peer, or None if it is of no use."""
        if report.sender.name == self.own.name:
            return None
        self.add_instance(report.sender, now)
        peer = self.peers.get(report.sender.name)
        if peer is None or report.incarnation in peer.former:
            return None
        known = peer.report
        if known is not None and known.incarnation == report.incarnation:
            if report.sequence <= known.sequence:
                return None
        elif known is not None:
            peer.former = [*peer.former[-_MOST_FORMER:], known.incarnation]
            peer.counts = None
        peer.record, peer.report, peer.heard = report.sender, report, now
        if not peer.alive:
            peer.alive = True
            log_event("instance_heard", instance=peer.record.name)
        return peer

    def expire(self, now):
        """Return the peers that have just fallen silent."""
        silent = []
        for name, peer in list(self.peers.items()):
            if peer.alive and now - peer.heard > _measure_patience(peer.report):
                _note_silence(peer, now)
                silent.append(peer)
            elif now - max(peer.heard, peer.added) > _FORGET_TIME:
                del self.peers[name]
                self.instances.pop(name, None)
        return silent

    def note_silent(self, names, now):
        """Return the peers that the speaker does not hear, and this instance neither.

        Parameters
        ----------
        names : iterable of InstanceId
        now : float
            On the clock of trio, in seconds.
        """
        silent = []
        for name in names:
            peer = self.peers.get(name)
            if peer and peer.alive and now - peer.heard > _SHARED_PATIENCE:
                _note_silence(peer, now)
                silent.append(peer)
        return silent

    def list_alive(self):
        """Return the peers that report, in the order of their names."""
        alive = [peer for peer in self.peers.values() if peer.alive]
        return sorted(alive, key=lambda peer: peer.record.name)

    def find_speaker(self):
        """Return the name of the instance that reports for its zone to the others."""
        alive = [name for name, peer in self.peers.items() if peer.alive]
        return min([self.own.name, *alive])

    def is_speaker(self):
        """Return whether this instance reports for its zone to the others."""
        return self.find_speaker() == self.own.name

    def list_other_zones(self):
        """Return the instances of each other zone, by zone."""
        zones = {}
        for record in self.instances.values():
            if record.zone != self.own.zone:
                zones.setdefault(record.zone, []).append(record)
        return zones

    def list_active(self, is_serving, capacity):
        """Return the `InstanceRecord` of the instances that callers are sent to.

        Every instance of the zone derives the same ones from the same reports: those
        with the most capacity, and among equals the first in the order of a hash.

        Parameters
        ----------
        is_serving : bool
            Whether this instance can serve callers.
        capacity : float
            Of this instance, in requests a second.
        """
        serving = [
            (peer.report.capacity, peer.record)
            for peer in self.list_alive()
            if peer.report.serving
        ]
        if is_serving:
            serving.append((capacity, self.own))
        serving.sort(key=_order_active)
        number = max(_FEWEST_ACTIVE, ceil(len(serving) * _ACTIVE_SHARE))
        return [record for _, record in serving[:number]]


def _order_active(item):
    capacity, record = item
    # The capacity travels as a 32-bit number.
    return -round(capacity), crc32(record.name.encode())


def _note_silence(peer, now):
    peer.alive = False
    age = round(now - peer.heard, 2)
    log_event("instance_silent", instance=peer.record.name, age=age)


def _measure_patience(report):
    """Return how long a peer may stay silent, in seconds."""
    return _MISSED_REPORTS * report.interval + _LATE_TIME
