"""Table of the other instances of the zone and of their latest reports."""

from math import ceil
from zlib import crc32

from kumquatsaddle.logs import log_event
from kumquatsaddle.sharing.schedule import CLOSE_INTERVAL_SECONDS

__all__ = ["Peer", "PeerTable"]

# A peer is considered silent after this number of missed reports plus the tolerance for
# a late one.
_MAX_MISSED_REPORTS = 3
_LATE_TOLERANCE_SECONDS = 0.15
# Time without a report after which a peer is removed from the table.
_FORGET_AFTER_SECONDS = 60.0
# Time without a report after which a peer is considered silent if the zone leader has
# reported it as silent.
_CONFIRMED_SILENCE_SECONDS = (
    _MAX_MISSED_REPORTS * CLOSE_INTERVAL_SECONDS + _LATE_TOLERANCE_SECONDS
)
# Callers are sent to only a part of the instances of a zone, the active ones: each then
# knows more of the load of the servers first hand and has few peers to report to.
_ACTIVE_FRACTION = 1 / 6
_MIN_ACTIVE = 4
_MAX_FORMER_INCARNATIONS = 8


class Peer:
    """Another instance of the zone.

    Attributes
    ----------
    record : InstanceRecord
    report : Report or None
        The latest one.
    heard_at : float
        When the latest report came, on the clock of trio in seconds.
    counts : dict of BackendId to tuple of int, or None
        Observations that the peer has reported; None before its first report.
    alive : bool
        Whether the peer sends reports; False before the first and while it is silent.
    former_incarnations : list of int
        Earlier incarnations, whose late datagrams are dropped.
    """

    def __init__(self, record, now):
        self.record = record
        self.report = None
        self.heard_at = float("-inf")
        self.added_at = now
        self.alive = False
        self.counts = None
        self.former_incarnations = []

    def get_read_age(self, now):
        """Return how long ago the store answered the peer, in seconds."""
        if self.report is None:
            return float("inf")
        return self.report.read_age + now - self.heard_at


class PeerTable:
    """The known instances of all zones, and the reports of the peers.

    Peers are the other instances of this zone.

    Parameters
    ----------
    own : InstanceRecord

    Attributes
    ----------
    peers : dict of InstanceId to Peer
    instances : dict of InstanceId to InstanceRecord
        Instances of all zones, this one included.
    """

    def __init__(self, own):
        self.own = own
        self.peers = {}
        self.instances = {own.name: own}

    def add_instance(self, record, now):
        """Add an instance of any zone; return whether it is a new peer."""
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

    def accept_report(self, report, now):
        """Store a report; return its peer, or None if the report is outdated."""
        if report.sender.name == self.own.name:
            return None
        self.add_instance(report.sender, now)
        peer = self.peers.get(report.sender.name)
        if peer is None or report.incarnation in peer.former_incarnations:
            return None
        known = peer.report
        if known is not None and known.incarnation == report.incarnation:
            if report.sequence <= known.sequence:
                return None
        elif known is not None:
            peer.former_incarnations = [
                *peer.former_incarnations[-_MAX_FORMER_INCARNATIONS:],
                known.incarnation,
            ]
            peer.counts = None
        peer.record, peer.report, peer.heard_at = report.sender, report, now
        if not peer.alive:
            peer.alive = True
            log_event("instance_heard", instance=peer.record.name)
        return peer

    def expire(self, now):
        """Mark peers as silent or remove them; return those newly marked silent."""
        silent = []
        for name, peer in list(self.peers.items()):
            if peer.alive and now - peer.heard_at > _compute_silence_timeout(
                peer.report
            ):
                _mark_peer_silent(peer, now)
                silent.append(peer)
            elif now - max(peer.heard_at, peer.added_at) > _FORGET_AFTER_SECONDS:
                del self.peers[name]
                self.instances.pop(name, None)
        return silent

    def mark_silent(self, names, now):
        """Mark peers as silent that neither the leader nor this instance hears.

        Return those newly marked.

        Parameters
        ----------
        names : iterable of InstanceId
        now : float
            On the clock of trio, in seconds.
        """
        silent = []
        for name in names:
            peer = self.peers.get(name)
            if peer and peer.alive and now - peer.heard_at > _CONFIRMED_SILENCE_SECONDS:
                _mark_peer_silent(peer, now)
                silent.append(peer)
        return silent

    def list_alive(self):
        """Return the peers that are not silent, sorted by name."""
        alive = [peer for peer in self.peers.values() if peer.alive]
        return sorted(alive, key=lambda peer: peer.record.name)

    def hears_majority(self):
        """Return whether more than half of the instances of the zone are in contact.

        An instance that is cut off cannot tell what the others of its zone decide.
        """
        heard = 1 + sum(peer.alive for peer in self.peers.values())
        return 2 * heard > 1 + len(self.peers)

    def count_expected_active(self):
        """Return how many instances of all zones are active while all of them serve."""
        zones = [1 + len(self.peers)]
        zones += [len(records) for records in self.group_other_zones().values()]
        return sum(map(_count_active, zones))

    def find_leader(self):
        """Return the name of the zone leader: of the live instances, the first by name.

        The leader sends the summaries of the zone to the other zones.
        """
        alive = [name for name, peer in self.peers.items() if peer.alive]
        return min([self.own.name, *alive])

    def is_leader(self):
        """Return whether this instance is the zone leader."""
        return self.find_leader() == self.own.name

    def group_other_zones(self):
        """Return the known instances of the other zones, grouped by zone."""
        zones = {}
        for record in self.instances.values():
            if record.zone != self.own.zone:
                zones.setdefault(record.zone, []).append(record)
        return zones

    def list_active(self, is_serving, capacity):
        """Return the `InstanceRecord` of the instances that callers are sent to.

        Instances that have received the same reports choose the same ones: those with
        the highest capacity, with ties broken by a hash of the name.

        Parameters
        ----------
        is_serving : bool
            Whether this instance can serve callers.
        capacity : float
            Of this instance, in requests per second.
        """
        return [record for _, record in self._rank_active(is_serving, capacity)]

    def list_strongest(self, is_serving, capacity):
        """Return the active instances with at least half of the highest capacity.

        They answer messages soon: on a slow link, datagrams wait behind large answers.

        Parameters
        ----------
        is_serving, capacity : bool, float
            See `list_active`.
        """
        active = self._rank_active(is_serving, capacity)
        return [record for found, record in active if 2 * found >= active[0][0]]

    def choose_addresses(self, is_serving, capacity, random):
        """Return the `InstanceRecord` of the instances for one caller.

        Callers use the addresses that they are told alike. So that the load of an
        instance follows its capacity, one with less than half of the highest is told to
        a part of the callers only.

        Parameters
        ----------
        is_serving, capacity : bool, float
            See `list_active`.
        random : random.Random
        """
        active = self._rank_active(is_serving, capacity)
        return [
            record
            for found, record in active
            if 2 * found >= active[0][0] or random.random() < found / active[0][0]
        ]

    def _rank_active(self, is_serving, capacity):
        """Return the active instances with their capacity, the highest first."""
        serving = [
            (peer.report.capacity, peer.record)
            for peer in self.list_alive()
            if peer.report.serving
        ]
        if is_serving:
            serving.append((capacity, self.own))
        serving.sort(key=_compute_sort_key)
        return serving[: _count_active(len(serving))]


def _count_active(serving):
    """Return how many of the serving instances of a zone are active."""
    return max(_MIN_ACTIVE, ceil(serving * _ACTIVE_FRACTION))


def _compute_sort_key(item):
    capacity, record = item
    # Rounded because reports carry the capacity as a 32-bit float.
    return -round(capacity), crc32(record.name.encode())


def _mark_peer_silent(peer, now):
    peer.alive = False
    age = round(now - peer.heard_at, 2)
    log_event("instance_silent", instance=peer.record.name, age=age)


def _compute_silence_timeout(report):
    """Return the time without a report after which a peer is silent, in seconds."""
    return _MAX_MISSED_REPORTS * report.interval + _LATE_TOLERANCE_SECONDS
