"""Sends the summaries of this zone to the other zones and applies theirs."""

import trio

from kumquatsaddle.sharing.messages import encode_report
from kumquatsaddle.sharing.schedule import Scope
from kumquatsaddle.sharing.summaries import ZoneSummaries, ZoneTotals, choose_recipients

__all__ = ["SummaryExchange"]

_SUMMARY_INTERVAL_SECONDS = 1.0
# Shortest time between two summaries when failures are reported early.
_MIN_SUMMARY_INTERVAL_SECONDS = 0.03


class SummaryExchange:
    """The exchange of one instance with the other zones.

    Parameters
    ----------
    exchange : ZoneExchange
        Makes and sends the datagrams.
    dispatcher : BalancedDispatcher
    schedule : ReportSchedule
    remote_loads : RemoteLoads
    announcements : SharedAnnouncements
    is_responsible : callable
        Returns whether this zone reports the rate limit of a server to the others.
    """

    def __init__(
        self,
        exchange,
        dispatcher,
        schedule,
        remote_loads,
        announcements,
        is_responsible,
    ):
        self._exchange = exchange
        self._dispatcher = dispatcher
        self._schedule = schedule
        self._remote_loads = remote_loads
        self._announcements = announcements
        self._is_responsible = is_responsible
        self._totals = ZoneTotals()
        self._summaries = ZoneSummaries()
        self._is_urgent = trio.Event()

    def add_observations(self, server, observation, number=1):
        """Add observations of this zone; a fast failure is reported early."""
        self._totals.add(server, observation, number)
        if self._totals.failed:
            self.send_soon()

    def send_soon(self):
        """Send a summary before the next one is due, if this instance is the leader."""
        self._is_urgent.set()

    def find_unattended(self, zones, now):
        """Return the zones that have no live instance.

        Parameters
        ----------
        zones : iterable of ZoneId
        now : float
            On the clock of trio, in seconds.
        """
        return self._summaries.list_unattended(zones, now)

    def has_left(self, zone):
        """Return whether the last instance heard from a zone was stopping."""
        latest = self._summaries.latest_reports.get(zone)
        return latest is not None and latest.leaving

    async def run(self):
        """Send summaries while this instance is the zone leader, until cancelled."""
        due = trio.current_time() + _SUMMARY_INTERVAL_SECONDS
        while True:
            with trio.move_on_at(due):
                await self._is_urgent.wait()
            self._is_urgent = trio.Event()
            now = trio.current_time()
            for zone in self._summaries.expire(now):
                self._remote_loads.drop(_zone_key(zone))
            failed, self._totals.failed = self._totals.failed, set()
            if now >= due:
                # Send a full summary even if failures keep coming.
                due, failed = now + _SUMMARY_INTERVAL_SECONDS, set()
            if self._exchange.peers.is_leader():
                self._send(failed)
            await trio.sleep(_MIN_SUMMARY_INTERVAL_SECONDS)

    def handle(self, report, data, host, now):
        """Apply a summary of another zone, and relay one that came from there.

        Return whether it is newer than those known.

        Parameters
        ----------
        report : Report
        data : bytes
            The datagram.
        host : str
            Its sender.
        now : float
        """
        peers, zone = self._exchange.peers, report.sender.zone
        if zone == peers.own.zone or not self._summaries.accept(report, now):
            return False
        peers.add_instance(report.sender, now)
        if host == report.sender.control.host:
            # Relay only what came directly from the other zone. Partial summaries
            # carry failures, which matter to the instances that callers are sent to.
            scope = Scope.CLOSE if report.partial else Scope.ALL
            for peer in self._schedule.list_in_scope(scope):
                self._exchange.send(data, peer.record.control)
        self._announcements.apply(report)
        self._remote_loads.apply(
            _zone_key(zone), self._summaries.get_counts(zone), report, now
        )
        return True

    def _send(self, failed):
        """Send a summary of the servers that failed, or a full one if none did."""
        loads = self._totals.make_loads(
            self._dispatcher.list_servers(), self._count_in_flight
        )
        if failed:
            loads = [load for load in loads if load.server in failed]
        announcements = self._announcements.list_for_zones(
            None if failed else self._is_responsible
        )
        report = self._exchange.make_report(
            loads, announcements, summary=True, partial=bool(failed)
        )
        data = encode_report(report)
        for record in choose_recipients(
            self._exchange.peers, self._summaries, bool(failed)
        ):
            self._exchange.send(data, record.control)

    def _count_in_flight(self, server):
        """Return the requests that this zone's instances have in flight at a server."""
        return server.own_in_flight + sum(
            server.get_reported_in_flight(name) for name in self._exchange.peers.peers
        )


def _zone_key(zone):
    """Return the key for the loads of another zone; no instance has such a name."""
    return f"zone:{zone}"
