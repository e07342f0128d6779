"""Summaries between zones: observations and requests in flight of a whole zone.

One instance of each zone, its leader, sends them to one or two instances of every other
zone, which relay them to their peers. Traffic between zones is expensive, so only
failures are reported immediately.
"""

from random import Random

import trio

from kumquatsaddle.balance.beliefs import Observation
from kumquatsaddle.sharing.messages import (
    REPORTED_OBSERVATIONS,
    ServerLoad,
)

__all__ = ["ZoneSummaries", "ZoneTotals", "choose_recipients"]

# Time without a summary after which the loads of a zone are dropped.
_ZONE_LOAD_TIMEOUT_SECONDS = 3.5
# Time without a summary after which a zone counts as unattended, that is, without
# instances. It is somewhat longer than the interval of summaries.
_UNATTENDED_TIMEOUT_SECONDS = 1.3
# Added to the timeout of a zone that has sent no summary yet.
_FIRST_SUMMARY_GRACE_SECONDS = 2.0
# How long a server stays in summaries after its last observation.
_REPORTED_AFTER_OBSERVATION_SECONDS = 2.5


class ZoneTotals:
    """Observations of all instances of this zone, by server.

    Attributes
    ----------
    failed : set of BackendId
        Servers that have failed fast since the last summary.
    """

    def __init__(self):
        self._counts = {}
        self._observed_at = {}
        self.failed = set()

    def add(self, server, observation, number=1):
        """Add observations of a server."""
        counts = self._counts.setdefault(
            server.name, dict.fromkeys(REPORTED_OBSERVATIONS, 0)
        )
        counts[observation] += number
        self._observed_at[server.name] = trio.current_time()
        if observation is Observation.FAILED_FAST:
            self.failed.add(server.name)

    def make_loads(self, servers, count_in_flight):
        """Return the `ServerLoad` of each server that is in use.

        Parameters
        ----------
        servers : iterable of BalancedServer
        count_in_flight : callable
            Returns the requests that this zone's instances have in flight at a server.
        """
        start = trio.current_time() - _REPORTED_AFTER_OBSERVATION_SECONDS
        self._observed_at = {
            name: time for name, time in self._observed_at.items() if time > start
        }
        loads = []
        for server in servers:
            in_flight = count_in_flight(server)
            if in_flight or server.name in self._observed_at:
                counts = self._counts.get(server.name, {})
                observed = tuple(counts.get(kind, 0) for kind in REPORTED_OBSERVATIONS)
                loads.append(ServerLoad(server.name, in_flight, observed))
        return loads


class ZoneSummaries:
    """The latest summary of each other zone.

    Attributes
    ----------
    latest_reports : dict of ZoneId to Report
    """

    def __init__(self):
        self.latest_reports = {}
        self._load_updated_at = {}
        self._last_summary_at = {}
        self._counts = {}

    def accept(self, report, now):
        """Store a summary unless it is outdated; return whether it was stored."""
        zone = report.sender.zone
        known = self.latest_reports.get(zone)
        same = known is not None and known.incarnation == report.incarnation
        if same and report.sequence <= known.sequence:
            return False
        if not same:
            # The totals of a new leader start from its own observations, so its first
            # summary is the baseline. A partial one reports a failure that has just
            # been observed, which is left out of the baseline.
            self._counts[zone] = {
                load.server: _subtract_latest_failure(load.counts)
                if report.partial
                else load.counts
                for load in report.loads
            }
        self.latest_reports[zone] = report
        self._load_updated_at[zone] = self._last_summary_at[zone] = now
        return True

    def get_counts(self, zone):
        """Return the observations that a zone has reported, by server."""
        return self._counts.setdefault(zone, {})

    def list_unattended(self, zones, now):
        """Return those of `zones` that no longer send summaries.

        A zone that has sent none yet gets a grace period from the first call on.

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
            if now
            - self._last_summary_at.setdefault(zone, now + _FIRST_SUMMARY_GRACE_SECONDS)
            > _UNATTENDED_TIMEOUT_SECONDS
        )

    def expire(self, now):
        """Return the zones whose loads have just timed out."""
        silent = [
            zone
            for zone, heard in self._load_updated_at.items()
            if now - heard > _ZONE_LOAD_TIMEOUT_SECONDS
        ]
        for zone in silent:
            del self._load_updated_at[zone]
        return silent


def choose_recipients(peers, summaries, is_urgent, random=None):
    """Return the instances of other zones that a summary is sent to.

    A summary goes to the leader of each zone, which is known from its own summaries.
    Urgent ones also go to a random instance of the zone, and so do all summaries while
    the leader is unknown.

    Parameters
    ----------
    peers : PeerTable
    summaries : ZoneSummaries
    is_urgent : bool
    random : random.Random, optional

    Returns
    -------
    list of InstanceRecord
    """
    random = random or Random()
    recipients = []
    for zone, records in peers.group_other_zones().items():
        latest = summaries.latest_reports.get(zone)
        if latest is not None:
            recipients.append(latest.sender)
        if latest is None or is_urgent:
            recipients.append(random.choice(records))
    return recipients


def _subtract_latest_failure(counts):
    """Return totals without the latest fast failure."""
    return tuple(
        max(0, count - (kind is Observation.FAILED_FAST))
        for kind, count in zip(REPORTED_OBSERVATIONS, counts, strict=True)
    )
