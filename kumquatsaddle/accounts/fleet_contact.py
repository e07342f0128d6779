"""Which part of the fleet this instance is in contact with, now and until recently.

An owner of a quota uses the part of it that corresponds to the instances in contact, so
that the parts that are used on all sides of a partition add up to at most the whole.

Load: `FleetContact` handles each report of a peer and each summary of a zone, some
hundred a second at most; `ViewHistory` is asked for each request of an account with a
quota, and changes with the instances, a few times a minute.
"""

from collections import deque
from dataclasses import dataclass

from kumquatsaddle.accounts.owner_choice import OwnerChoice
from kumquatsaddle.addresses.scores import hash_name

__all__ = [
    "RETAINED_SECONDS",
    "TAKEOVER_SECONDS",
    "FleetContact",
    "FleetView",
    "ViewHistory",
    "ZoneView",
]

# Age of the last report up to which a peer is in contact. Those that an owner counts
# report to it every 1.0 s, because owners are active instances.
_PEER_CONTACT_SECONDS = 2.0
# Age of the last summary up to which a zone is in contact. Summaries are sent every
# second; the loss of two in succession is bridged.
_ZONE_CONTACT_SECONDS = 3.2
# How long a lost instance counts as known: longer than a partition lasts, an hour.
_KNOWN_SECONDS = 7200.0
# The same for an instance that was listed but never heard. It may have ended before.
_LISTED_SECONDS = 600.0
# Time for which a new owner grants nothing. Instances learn of a change at most 1.3 s
# apart: a report is sent every second, a summary follows at the next tick.
TAKEOVER_SECONDS = 2.5
# Longest gap between two calls in which no other instance can have taken over: that
# takes the time until this one counts as silent and the takeover delay.
_MAX_GAP_SECONDS = 1.5
# How long views are retained. A bucket that was idle for this time starts anew.
RETAINED_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class ZoneView:
    """What the leader of a zone reports of its instances.

    Parameters
    ----------
    active : tuple of int
        Hashes of the names of the instances that may own quotas.
    live, known : int
        Number of instances in contact, and of all that have not left on purpose.
    """

    active: tuple[int, ...]
    live: int
    known: int


@dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as one instance sees it.

    Parameters
    ----------
    candidates : tuple of int
        Hashes of the names of the instances that may own quotas, ascending.
    live, known : int
        Number of instances in contact, and of all that have not left on purpose.
    """

    candidates: tuple[int, ...]
    live: int
    known: int

    @property
    def share(self):
        """Part of the fleet that is in contact, at most 1."""
        return min(1.0, self.live / max(1, self.known))


class _Peer:
    __slots__ = ("noted_at", "heard_at", "holds_quotas", "recently_started")

    def __init__(self, noted_at):
        self.noted_at = noted_at
        self.heard_at = None
        self.holds_quotas = False
        self.recently_started = False

    def is_in_contact(self, now):
        heard_at = self.heard_at
        return heard_at is not None and now - heard_at <= _PEER_CONTACT_SECONDS

    def is_known(self, now):
        if self.heard_at is None:
            return now - self.noted_at <= _LISTED_SECONDS
        return now - self.heard_at <= _KNOWN_SECONDS


class FleetContact:
    """The instances that this one knows and when it heard of them.

    All times are on a clock that includes the time in which the process is suspended.

    Parameters
    ----------
    own_name : InstanceId
    """

    def __init__(self, own_name):
        self._own_name = own_name
        self._peers = {}
        # Names of the peers that left on purpose.
        self._left = set()
        # The last view of each other zone and when it came.
        self._zones = {}

    def note_peers(self, names, now):
        """Add peers from a list; those that left on purpose stay out.

        Those that left are remembered for as long as the list has them.
        """
        self._left.intersection_update(names)
        for name in names:
            if name not in self._peers and name not in self._left:
                self._peers[name] = _Peer(now)

    def hear_peer(self, name, is_leaving, holds_quotas, now, recently_started=False):
        """Record a report of a peer.

        Parameters
        ----------
        name : InstanceId
        is_leaving : bool
        holds_quotas : bool
            Whether it takes part in the quotas; older builds do not.
        now : float
            In seconds.
        recently_started : bool, default=False
        """
        if is_leaving:
            self._peers.pop(name, None)
            self._left.add(name)
            return
        self._left.discard(name)
        peer = self._peers.setdefault(name, _Peer(now))
        peer.heard_at, peer.holds_quotas = now, holds_quotas
        peer.recently_started = recently_started

    def has_restarted(self, now):
        """Return whether all of the zone that is heard, at least half, is new.

        Then no owner of before is left in the zone. Owners in other zones use only the
        part of the quota that excludes this zone.
        """
        heard = [peer for peer in self._peers.values() if peer.is_in_contact(now)]
        if 2 * (len(heard) + 1) < len(self._peers) + 1:
            return False
        return all(peer.recently_started for peer in heard)

    def hear_zone(self, zone, view, now):
        """Record the `ZoneView` in a summary of another zone."""
        self._zones[zone] = view, now

    def make_zone_view(self, active, now):
        """Return the `ZoneView` of the own zone.

        Parameters
        ----------
        active : iterable of InstanceId
            Instances of the zone that callers are sent to.
        now : float
            In seconds.
        """
        self._forget_peers(now)
        live = {name for name, peer in self._peers.items() if peer.is_in_contact(now)}
        owners = [
            hash_name(name)
            for name in active
            if name == self._own_name
            or (name in live and self._peers[name].holds_quotas)
        ]
        return ZoneView(tuple(sorted(owners)), len(live) + 1, len(self._peers) + 1)

    def make_view(self, own_zone, listed, now):
        """Return the `FleetView`.

        Parameters
        ----------
        own_zone : ZoneView
        listed : dict of ZoneId to int
            Number of listed instances of the other zones, which counts for a zone that
            has sent no summary yet.
        now : float
            In seconds.
        """
        candidates, live, known = [*own_zone.active], own_zone.live, own_zone.known
        for zone in listed.keys() | self._zones.keys():
            view, heard_at = self._zones.get(zone, (None, None))
            if view is None:
                known += listed[zone]
                continue
            if now - heard_at > _KNOWN_SECONDS:
                continue
            known += view.known
            if now - heard_at <= _ZONE_CONTACT_SECONDS:
                live += min(view.live, view.known)
                candidates += view.active
        return FleetView(tuple(sorted(candidates)), live, known)

    def _forget_peers(self, now):
        forgotten = [
            name for name, peer in self._peers.items() if not peer.is_known(now)
        ]
        for name in forgotten:
            del self._peers[name]


class ViewHistory:
    """The views of the last minute, and what an owner may use by them.

    An owner uses the smallest share of the last takeover delay, and no quota that it
    has not owned for that time. So when contact is regained or an owner appears, its
    part grows only after the other instances have learnt of it.

    Parameters
    ----------
    own_name : InstanceId
    now : float
        On a clock that includes the time in which the process is suspended, in seconds.
    """

    def __init__(self, own_name, now):
        self.own = hash_name(own_name)
        self._choices = deque()
        self._shares = deque()
        self._observed_at = now
        self._restart(now)

    def observe(self, now):
        """Start over as a new owner if the process was suspended.

        Return the length of the suspension in seconds, or 0.0 without one.
        """
        gap, self._observed_at = now - self._observed_at, now
        if gap <= _MAX_GAP_SECONDS:
            return 0.0
        self._restart(now)
        return gap

    def update(self, view, now):
        """Add a `FleetView`; return whether the candidates have changed."""
        if view.share != self._shares[-1][1]:
            self._shares.append((now, view.share))
        _prune(self._shares, now - TAKEOVER_SECONDS)
        has_changed = view.candidates != self._choices[-1][1].candidates
        if has_changed:
            self._choices.append((now, OwnerChoice(view.candidates)))
        _prune(self._choices, now - RETAINED_SECONDS)
        return has_changed

    def find_owner(self, account):
        """Return the hash of the name of the owner, or None if there is none."""
        return self._choices[-1][1].find(account)

    def find_owned_since(self, account):
        """Return since when this instance owns an account, or None if it does not."""
        owned_since = None
        for since, choice in reversed(self._choices):
            if choice.find(account) != self.own:
                break
            owned_since = since
        return owned_since

    def compute_share(self, now):
        """Return the smallest share of the fleet in contact in the takeover delay."""
        _prune(self._shares, now - TAKEOVER_SECONDS)
        return min(share for _, share in self._shares)

    def _restart(self, now):
        """Forget all views, as a new process has none."""
        self._choices.clear()
        self._shares.clear()
        self._choices.append((now, OwnerChoice(())))
        self._shares.append((now, 0.0))


def _prune(entries, oldest):
    """Remove the entries that were replaced before a time."""
    while len(entries) > 1 and entries[1][0] < oldest:
        entries.popleft()
