"""Summaries between zones: what the instances of a zone have seen and in flight.

One instance of each zone, its speaker, sends them to one or two instances of every
other zone, which relay them to their peers. Traffic between zones is dear, so only
failures are told at once.
"""

from random import Random

import trio

from kumquatsaddle.balance.beliefs import Observation
from kumquatsaddle.sharing.messages import COUNTED, ServerLoad

__all__ = ["ZoneTotals", "ZoneViews", "choose_recipients"]

# Time in seconds without a summary after which the loads of a zone are dropped.
_ZONE_SILENCE = 3.5
# Time in seconds without a summary after which a zone counts as one without instances:
# somewhat more than the interval of summaries. A zone of which nothing is known yet is
# given the second time in addition.
_QUIET_TIME, _FIRST_TIME = 1.3, 2.0
# Time in seconds for which a server stays in summaries after its last observation.
_REPORTED_TIME = 2.5


class ZoneTotals:
    """Observations of all instances of this zone, by server."""

    def __init__(self):
        self._counts = {}
        self._observed = {}
        self.failed = set()

    def add(self, server, observation, number=1):
        """Add observations of a server."""
        counts = self._counts.setdefault(server.name, dict.fromkeys(COUNTED, 0))
        counts[observation] += number
        self._observed[server.name] = trio.current_time()
        if observation is Observation.FAILED_FAST:
            self.failed.add(server.name)

    def make_loads(self, servers, zone_load):
        """Return the `ServerLoad` of each server that is in use.

        Parameters
        ----------
        servers : iterable of BalancedServer
        zone_load : callable
            Returns what the instances of this zone have in flight at a server.
        """
        start = trio.current_time() - _REPORTED_TIME
        self._observed = {
            name: time for name, time in self._observed.items() if time > start
        }
        loads = []
        for server in servers:
            in_flight = zone_load(server)
            if in_flight or server.name in self._observed:
                counts = self._counts.get(server.name, {})
                told = tuple(counts.get(kind, 0) for kind in COUNTED)
                loads.append(ServerLoad(server.name, in_flight, told))
        return loads


class ZoneViews:
    """The latest summary of each other zone.

    Attributes
    ----------
    senders : dict of ZoneId to Report
    """

    def __init__(self):
        self.senders = {}
        self._heard = {}
        self._latest = {}
        self._counts = {}

    def accept(self, report, now):
        """Return whether a summary is new; its zone is then heard."""
        zone = report.sender.zone
        known = self.senders.get(zone)
        same = known is not None and known.incarnation == report.incarnation
        if same and report.sequence <= known.sequence:
            return False
        if not same:
            # Totals of another speaker start from its own observations. An urgent
            # summary tells of a failure that has just been seen.
            self._counts[zone] = {
                load.server: _take_back(load.counts) if report.partial else load.counts
                for load in report.loads
            }
        self.senders[zone] = report
        self._heard[zone] = self._latest[zone] = now
        return True

    def find_counts(self, zone):
        """Return the observations that a zone has told, by server."""
        return self._counts.setdefault(zone, {})

    def list_quiet(self, zones, now):
        """Return those of `zones` whose instances do not report any more.

        Parameters
        ----------
        zones : iterable of ZoneId
            Other zones.
        now : float
            On the clock of trio, in seconds.

        Returns
        -------
        frozenset of ZoneId
        """
        return frozenset(
            zone
            for zone in zones
            if now - self._latest.setdefault(zone, now + _FIRST_TIME) > _QUIET_TIME
        )

    def expire(self, now):
        """Return the zones that have fallen silent."""
        silent = [
            zone for zone, heard in self._heard.items() if now - heard > _ZONE_SILENCE
        ]
        for zone in silent:
            del self._heard[zone]
        return silent


def choose_recipients(peers, views, is_urgent, random=None):
    """Return the instances of other zones that a summary is sent to.

    The speaker of a zone is known from its summaries. A second instance gets urgent
    ones, and all while no speaker is known.

    Parameters
    ----------
    peers : PeerTable
    views : ZoneViews
    is_urgent : bool
    random : random.Random, optional

    Returns
    -------
    list of InstanceRecord
    """
    random = random or Random()
    recipients = []
    for zone, records in peers.list_other_zones().items():
        speaker = views.senders.get(zone)
        if speaker is not None:
            recipients.append(speaker.sender)
        if speaker is None or is_urgent:
            recipients.append(random.choice(records))
    return recipients


def _take_back(counts):
    """Return totals without the latest failure at once."""
    return tuple(
        max(0, count - (kind is Observation.FAILED_FAST))
        for kind, count in zip(COUNTED, counts, strict=True)
    )
