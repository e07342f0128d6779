"""Sends and receives load reports between instances, and serves fetches.

Reports are UDP datagrams. They carry the current number of requests in flight and
cumulative totals of answers, so a lost report is made up for by the next one.
"""

import math
import socket
from secrets import randbits

import trio

from kumquatsaddle.balance.allowance import AllowanceShare
from kumquatsaddle.balance.beliefs import Observation
from kumquatsaddle.balance.limit_shares import LimitShares
from kumquatsaddle.entry.connection_slots import make_connection_slots
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.sharing.announcements import (
    NO_ANNOUNCEMENTS,
    SharedAnnouncements,
)
from kumquatsaddle.sharing.fetches import (
    fetch_update,
    make_long_update_limiter,
    serve_fetch,
)
from kumquatsaddle.sharing.loads import OwnLoads, RemoteLoads
from kumquatsaddle.sharing.messages import (
    Report,
    decode_report,
    encode_report,
)
from kumquatsaddle.sharing.quota_messages import QUOTA_PREFIX
from kumquatsaddle.sharing.schedule import MAX_INTERVAL_SECONDS, ReportSchedule, Scope
from kumquatsaddle.sharing.summary_exchange import SummaryExchange
from kumquatsaddle.sharing.survivals import SurvivalReports
from kumquatsaddle.types import LinkRefusal

__all__ = ["ZoneExchange", "make_zone_exchange"]

# How long changes of load are collected into one report. The shorter time applies when
# a server is busy. A failure is reported immediately.
_COALESCE_SECONDS = 0.15
_BUSY_COALESCE_SECONDS = 0.015
# Share of the slots in use from which a server counts as busy.
_BUSY_UTILIZATION = 0.6
# How long the zone leader lists a peer as silent in its reports.
_SILENCE_REPORTED_SECONDS = 2.0
_MAX_DATAGRAM_BYTES = 65536
_LISTEN_BACKLOG = 256


class ZoneExchange:
    """Sends reports to the peers and applies the reports that they send.

    Parameters
    ----------
    peers : PeerTable
    dispatcher : BalancedDispatcher
    node : RoutedNode
        Provides the state of this instance for reports, and answers fetches.
    metrics : Metrics
    slots : ConnectionSlots, optional
        Of the process; default: no bound of the connections that fetch.

    Attributes
    ----------
    quotas : Quotas or None
    """

    def __init__(self, peers, dispatcher, node, metrics, slots=None):
        self.peers = peers
        self.quotas = None
        self._dispatcher = dispatcher
        self._node = node
        self._metrics = metrics
        self._incarnation = randbits(64)
        self._sequence = 0
        self._socket = None
        self._changed = trio.Event()
        self._pending_scope = Scope.DUE
        self._server_is_busy = False
        self._survival_reports = SurvivalReports()
        self._last_round_at = -math.inf
        self._read_unreported = False
        self._schedule = ReportSchedule(peers)
        # When peers became silent, by instance name.
        self._silent_since = {}
        self._remote_loads = RemoteLoads(dispatcher)
        self._own_loads = OwnLoads(dispatcher)
        dispatcher.on_load_changed = self._on_load
        self._announcements = SharedAnnouncements(dispatcher)
        self._limit_shares = LimitShares(peers.own)
        self._allowance_share = AllowanceShare()
        # Other zones whose instances are heard, and all that have instances.
        self._attended_zones = self._known_zones = frozenset()
        self._summaries = SummaryExchange(
            self,
            dispatcher,
            self._schedule,
            self._remote_loads,
            self._announcements,
            self._limit_shares.is_responsible,
        )
        self._long_updates = make_long_update_limiter()
        self._slots = slots or make_connection_slots(0, ("control",))
        dispatcher.on_answer = self._on_answer
        dispatcher.on_limit_changed = self._on_limit_changed
        dispatcher.on_departure = self._on_departure
        dispatcher.end_records.on_end = self._on_server_end
        dispatcher.compute_limit_share = self._limit_shares.compute_share

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Send reports and serve peers until cancelled."""
        address = self.peers.own.control
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with self._socket:
            self._socket.setblocking(False)
            self._socket.bind((address.host, address.port))
            listeners = await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=_LISTEN_BACKLOG
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(trio.serve_listeners, self._serve_fetch, listeners)
                nursery.start_soon(self._summaries.run)
                task_status.started()
                await self._send_reports()

    def report_now(self):
        """Send a report to all peers as soon as possible."""
        self._pending_scope = Scope.ALL
        self._changed.set()

    def report_read(self):
        """Report a read of the store to all peers now, in place of the next round."""
        self._read_unreported = True
        self._changed.set()

    def send_summary_soon(self):
        """Send a summary to the other zones if this instance is the zone leader."""
        self._summaries.send_soon()

    def introduce(self, addresses):
        """Send a report that asks for a reply to instances not heard from yet."""
        data = encode_report(self._make_first_report(wants_reply=True))
        for address in addresses:
            self.send(data, address)

    async def fetch(self, address, fetch, timeout):
        """Return the `Update` of another instance.

        Parameters
        ----------
        address : Address
        fetch : Fetch
        timeout : float
            In seconds.

        Raises
        ------
        MessageError
            If the instance does not answer in time or sends an invalid answer.
        """
        return await fetch_update(address, fetch, timeout)

    def _on_load(self, server):
        now = trio.current_time()
        self._own_loads.mark_changed(server, now)
        self._survival_reports.add(server, now)
        if server.in_flight >= _BUSY_UTILIZATION * server.record.slots:
            self._server_is_busy = True
        self._changed.set()

    def _on_answer(self, server, observation):
        self._own_loads.mark_changed(server, trio.current_time())
        if observation is not None:
            self._summaries.add_observations(server, observation)
        if observation is Observation.FAILED_FAST and self._pending_scope is Scope.DUE:
            self._pending_scope = Scope.CLOSE
        self._changed.set()

    def _on_limit_changed(self, server):
        self._announcements.limits.track(server)
        if server.rate_limit.is_first_hand:
            if self._pending_scope is Scope.DUE:
                self._pending_scope = Scope.CLOSE
            self._changed.set()

    def _on_departure(self, server, is_first_hand):
        self._announcements.departures.track(server, is_first_hand)
        if is_first_hand:
            self.report_now()

    def _on_server_end(self, end):
        self._announcements.ends.track(end)
        self._summaries.send_soon()
        if self._pending_scope is Scope.DUE:
            self._pending_scope = Scope.CLOSE
        self._changed.set()

    def _update_limit_shares(self, active):
        names = [record.name for record in active]
        if self._limit_shares.update(names, self._attended_zones, self._known_zones):
            self._dispatcher.update_limit_shares()

    def _update_allowance(self, active):
        """Compute the part of the retry allowance that this instance may use."""
        limits, own = self._dispatcher.retry_limits, self.peers.own.name
        is_active = any(record.name == own for record in active)
        self._allowance_share.update(
            trio.current_time(),
            limits.window,
            is_active and self.peers.hears_majority(),
            self.peers.count_expected_active(),
            len(self.peers.instances),
        )
        limits.fraction = self._allowance_share.fraction

    async def _send_reports(self):
        while True:
            active = self._node.list_active()
            self._update_allowance(active)
            self._schedule.update(active, self._node.get_read_age())
            self._update_limit_shares(active)
            due = self._last_round_at + self._schedule.get_round_interval()
            with trio.move_on_at(min(due, self._survival_reports.get_next_due())):
                await self._changed.wait()
            now = trio.current_time()
            scope = Scope.DUE
            survived = self._survival_reports.pop_due(now)
            self._own_loads.changed |= survived
            if survived:
                scope = Scope.ACTIVE
            elif self._changed.is_set():
                if now < due:
                    await self._coalesce_changes()
                scope = Scope.ACTIVE
            if self._read_unreported:
                self._schedule.restart()
                due = now
            if self._pending_scope is not Scope.DUE:
                scope = self._pending_scope
            self._changed, self._pending_scope = trio.Event(), Scope.DUE
            self._server_is_busy = self._read_unreported = False
            if now >= due:
                self._last_round_at = now
                self._update_unattended_zones(now)
                self._announcements.limits.expire()
            self._send_report(scope)

    async def _coalesce_changes(self):
        """Wait for further changes unless one has to be reported immediately."""
        due = trio.current_time() + _COALESCE_SECONDS
        soon = trio.current_time() + _BUSY_COALESCE_SECONDS
        while self._pending_scope is Scope.DUE and not self._read_unreported:
            until = soon if self._server_is_busy else due
            if trio.current_time() >= until:
                break
            self._changed = trio.Event()
            with trio.move_on_at(until):
                await self._changed.wait()

    def _send_report(self, scope):
        """Send a report to the peers in scope and to those whose report is due."""
        now = trio.current_time()
        lost = self.peers.expire(now)
        for peer in lost:
            self._remote_loads.drop(peer.record.name)
            self._silent_since[peer.record.name] = now
        if lost and self.peers.is_leader():
            scope = Scope.ALL
        changes, encoded = self._own_loads.pop_changes(), {}
        announced = self._announcements.pop_changes()
        for peer, interval, is_due in self._schedule.list_recipients(now, scope):
            variant = interval, is_due
            if variant not in encoded:
                loads, announcements = changes, announced
                if is_due:
                    loads = self._own_loads.list_recent()
                    announcements = self._announcements.list_first_hand()
                report = self.make_report(
                    loads, announcements, interval=interval, partial=not is_due
                )
                encoded[variant] = encode_report(report)
            self.send(encoded[variant], peer.record.control)

    def _list_recently_silent(self):
        """Return the recently silent peers if this instance is the zone leader."""
        if not self._silent_since or not self.peers.is_leader():
            return ()
        start = trio.current_time() - _SILENCE_REPORTED_SECONDS
        self._silent_since = {
            name: time for name, time in self._silent_since.items() if time > start
        }
        return tuple(self._silent_since)

    def _update_unattended_zones(self, now):
        """Find which zones have no live instance, and which have any instance."""
        zones = {server.record.zone for server in self._dispatcher.list_servers()}
        zones.discard(self.peers.own.zone)
        unattended = self._summaries.find_unattended(zones, now)
        self._dispatcher.set_unattended(unattended)
        # Zones with instances but without a server have a share of the limits.
        with_instances = set(self.peers.group_other_zones())
        zones |= with_instances
        self._attended_zones = zones - self._summaries.find_unattended(zones, now)
        self._known_zones = {
            zone
            for zone in with_instances
            if zone in self._attended_zones or not self._summaries.has_left(zone)
        }

    def send(self, data, address):
        """Send a datagram to the control address of an instance."""
        # A trio socket would pass through the scheduler for each datagram.
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError as error:
            # The buffer is full or there is no route; the next report makes up for it.
            self._metrics.count("reports_unsent", error=type(error).__name__)

    def _make_first_report(self, wants_reply=False):
        """Return a report for an instance that knows nothing of this one yet."""
        return self.make_report(
            self._own_loads.list_all_used(),
            self._announcements.list_all(),
            wants_reply=wants_reply,
        )

    def make_report(
        self,
        loads,
        announcements=NO_ANNOUNCEMENTS,
        wants_reply=False,
        summary=False,
        partial=False,
        interval=MAX_INTERVAL_SECONDS,
    ):
        """Return a `Report` of this instance; see there for the parameters."""
        self._sequence += 1
        zone_view, zone_records = None, ()
        if self.quotas is not None and summary and not partial:
            zone_view, zone_records = self.quotas.describe_zone()
        return Report(
            sender=self.peers.own,
            incarnation=self._incarnation,
            sequence=self._sequence,
            serving=self._node.is_serving(),
            leaving=self._node.is_leaving(),
            routes_version=self._node.routes_version(),
            servers_version=self._node.servers_version(),
            read_age=self._node.get_read_age(),
            loads=tuple(loads),
            wants_reply=wants_reply,
            summary=summary,
            partial=partial,
            capacity=self._node.capacity,
            interval=interval,
            silent=self._list_recently_silent(),
            limits=announcements.limits,
            departures=announcements.departures,
            ends=announcements.ends,
            holds_quotas=self.quotas is not None,
            recently_started=(
                self.quotas is not None and self.quotas.is_recently_started()
            ),
            zone_view=zone_view,
            zone_records=zone_records,
            store_epoch=self._node.store_epoch(),
            routes_revision=self._node.routes_revision(),
        )

    async def _receive(self):
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            try:
                data, source = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError as error:
                # An earlier datagram reached a closed port.
                self._metrics.count("reports_undelivered", error=type(error).__name__)
                continue
            try:
                self._handle_datagram(data, source)
            except MessageError as error:
                self._metrics.count("messages_rejected", reason=str(error)[:32])

    def _handle_datagram(self, data, source):
        """Handle a datagram; raise `MessageError` if it is invalid."""
        if self.quotas is not None and data.startswith(QUOTA_PREFIX):
            self.quotas.handle(data, Address(*source))
        else:
            self._handle_report(decode_report(data), data, source[0])

    def _handle_report(self, report, data, host):
        now = trio.current_time()
        if report.summary:
            if self._summaries.handle(report, data, host, now):
                self._node.record_peer_answer(report)
                if self.quotas is not None:
                    self.quotas.hear_zone(report)
            return
        peer = self.peers.accept_report(report, now)
        if peer is None:
            return
        if self.quotas is not None:
            self.quotas.hear_peer(report)
        for silent in self.peers.mark_silent(report.silent, now):
            self._remote_loads.drop(silent.record.name)
        is_first = peer.counts is None
        if self._announcements.apply(report):
            # The other zones hear of it from the leader.
            self._summaries.send_soon()
        # Before anything else: the sender may be lost before its next report.
        self._node.fetch_if_newer(peer)
        if is_first and report.partial:
            # The totals of the other servers are not known yet; a full report follows.
            return
        if is_first or report.wants_reply:
            self.send(encode_report(self._make_first_report()), report.sender.control)
        if is_first:
            # The first totals are the baseline; older observations are no evidence of
            # the current state.
            peer.counts = {load.server: load.counts for load in report.loads}
        for server, observation, number in self._remote_loads.apply(
            peer.record.name, peer.counts, report, now
        ):
            self._summaries.add_observations(server, observation, number)

    async def _serve_fetch(self, stream):
        """Serve a fetch; silent connections give way to newer ones."""
        slot = self._slots.open("control", trio.current_time(), min_age=0.0)
        if slot is None:
            self._metrics.count("peer_links_refused", reason=LinkRefusal.TOO_MANY.value)
            await trio.aclose_forcefully(stream)
            return
        scope = trio.CancelScope()
        slot.close = scope.cancel
        try:
            with scope:
                await serve_fetch(
                    stream,
                    self._node.make_update,
                    self._metrics,
                    self._long_updates,
                    lambda: self._slots.mark_busy(slot),
                )
            if scope.cancelled_caught:
                reason = LinkRefusal.DISPLACED.value
                self._metrics.count("peer_links_refused", reason=reason)
        finally:
            self._slots.close(slot)


def make_zone_exchange(peers, dispatcher, node, metrics, slots=None):
    """Return the exchange of one instance; see `ZoneExchange`."""
    return ZoneExchange(peers, dispatcher, node, metrics, slots)
