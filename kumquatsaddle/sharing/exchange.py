"""Sends and receives the reports of the instances of a zone, and serves fetches.

Reports are datagrams: each holds everything that is in flight and running totals of
answers, so that a lost one is made good by the next.
"""

import math
import socket
from secrets import randbits

import trio

from kumquatsaddle.balance.beliefs import Observation
from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.sharing.fetches import fetch_update, serve_fetch
from kumquatsaddle.sharing.loads import OwnLoads, ToldLoads
from kumquatsaddle.sharing.messages import (
    Fetch,
    Report,
    decode_report,
    encode_report,
)
from kumquatsaddle.sharing.schedule import LONGEST_INTERVAL, ReportSchedule, Scope
from kumquatsaddle.sharing.summaries import ZoneTotals, ZoneViews, choose_recipients

__all__ = ["ZoneExchange", "make_zone_exchange"]

# Time in seconds in which changes of load are gathered into one report: while all
# servers have room, and when one is short of it. A failure is told at once.
_GATHER_TIME, _SHORT_GATHER_TIME = 0.15, 0.015
# Share of the slots of a server in use at which it is short of room.
_SHORT_SHARE = 0.6
# Time in seconds between the summaries of a zone, and the shortest between urgent ones.
_SUMMARY_INTERVAL, _URGENT_INTERVAL = 1.0, 0.03
# Time in seconds for which the speaker tells of a peer that has fallen silent.
_SILENCE_TOLD_TIME = 2.0
_DATAGRAM_BYTES = 65536
_BACKLOG = 256
# Chance of a failure from which the start of a request at a server is news, and the
# time in seconds after which it is told: it has not failed at once then.
_DOUBTFUL = 0.04
_PROOF_TIME = 0.075


class ZoneExchange:
    """Reports to the peers and applies theirs.

    Parameters
    ----------
    peers : PeerTable
    dispatcher : BalancedDispatcher
    view : RoutedNode
        Says what the instance tells of itself, and answers fetches.
    metrics : Metrics
    """

    def __init__(self, peers, dispatcher, view, metrics):
        self.peers = peers
        self._dispatcher = dispatcher
        self._view = view
        self._metrics = metrics
        self._incarnation = randbits(64)
        self._sequence = 0
        self._socket = None
        self._changed = trio.Event()
        self._scope = Scope.DUE
        self._short = False
        # When the start of a request at a doubtful server is told, by server.
        self._proofs = {}
        self._totals = ZoneTotals()
        self._views = ZoneViews()
        self._summary_due = trio.Event()
        self._told_at = -math.inf
        self._schedule = ReportSchedule(peers)
        # When peers fell silent, by name.
        self._silent = {}
        self._told = ToldLoads(dispatcher)
        self._own = OwnLoads(dispatcher)
        dispatcher.on_load = self._note_load
        dispatcher.on_answer = self._note_answer

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Exchange reports until cancelled."""
        address = self.peers.own.control
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with self._socket:
            self._socket.setblocking(False)
            self._socket.bind((address.host, address.port))
            listeners = await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=_BACKLOG
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(trio.serve_listeners, self._serve_fetch, listeners)
                nursery.start_soon(self._send_summaries)
                task_status.started()
                await self._send_all()

    def report_now(self):
        """Send a report to all peers as soon as possible."""
        self._scope = Scope.ALL
        self._changed.set()

    def introduce(self, addresses):
        """Send a report to addresses that are not known as peers."""
        loads = self._own.list_whole()
        data = encode_report(self._make_report(loads, wants_reply=True))
        for address in addresses:
            self._send(data, address)

    async def fetch(
        self, address, routes_after, servers_after, timeout, wants_instances=False
    ):
        """Return the `Update` of another instance.

        Raises
        ------
        MessageError
            If it does not answer in time or with something else.
        """
        fetch = Fetch(self.peers.own.name, routes_after, servers_after, wants_instances)
        return await fetch_update(address, fetch, timeout)

    def _note_load(self, server):
        now = trio.current_time()
        self._own.note_change(server, now)
        if server.own_load and server.belief.measure_failure(now) > _DOUBTFUL:
            self._proofs.setdefault(server.name, now + _PROOF_TIME)
        if server.load >= _SHORT_SHARE * server.record.slots:
            self._short = True
        self._changed.set()

    def _note_answer(self, server, observation):
        self._own.note_change(server, trio.current_time())
        if observation is not None:
            self._add_total(server, observation)
        if observation is Observation.FAILED_FAST and self._scope is Scope.DUE:
            self._scope = Scope.CLOSE
        self._changed.set()

    def _add_total(self, server, observation, number=1):
        self._totals.add(server, observation, number)
        if self._totals.failed:
            self._summary_due.set()

    async def _send_all(self):
        while True:
            self._schedule.update(
                self._view.list_serving(), self._view.measure_read_age()
            )
            due = self._told_at + self._schedule.measure_round()
            with trio.move_on_at(min([due, *self._proofs.values()])):
                await self._changed.wait()
            now = trio.current_time()
            scope = Scope.DUE
            if self._take_proofs(now):
                scope = Scope.ACTIVE
            elif self._changed.is_set():
                if now < due:
                    await self._gather()
                scope = Scope.ACTIVE
            if self._scope is not Scope.DUE:
                scope = self._scope
            self._changed, self._scope = trio.Event(), Scope.DUE
            self._short = False
            if now >= due:
                self._told_at = now
                self._note_quiet_zones(now)
            self._send_report(scope)

    def _take_proofs(self, now):
        """Return whether the start of a request at a doubtful server is to be told."""
        due = {name for name, time in self._proofs.items() if time <= now}
        for name in due:
            del self._proofs[name]
        self._own.changed |= due
        return bool(due)

    async def _gather(self):
        """Wait for further changes, as long as none of them matters at once."""
        due = trio.current_time() + _GATHER_TIME
        soon = trio.current_time() + _SHORT_GATHER_TIME
        while self._scope is Scope.DUE:
            until = soon if self._short else due
            if trio.current_time() >= until:
                break
            self._changed = trio.Event()
            with trio.move_on_at(until):
                await self._changed.wait()

    async def _send_summaries(self):
        """Report for the zone to the other zones while this instance speaks for it."""
        due = trio.current_time() + _SUMMARY_INTERVAL
        while True:
            with trio.move_on_at(due):
                await self._summary_due.wait()
            self._summary_due = trio.Event()
            now = trio.current_time()
            for zone in self._views.expire(now):
                self._told.drop(_zone_key(zone))
            failed, self._totals.failed = self._totals.failed, set()
            if now >= due:
                # A whole summary, also while failures come all the time.
                due, failed = now + _SUMMARY_INTERVAL, set()
            if self.peers.is_speaker():
                self._send_summary(failed)
            await trio.sleep(_URGENT_INTERVAL)

    def _send_summary(self, failed):
        loads = self._totals.make_loads(
            self._dispatcher.list_servers(), self._measure_zone_load
        )
        if failed:
            loads = [load for load in loads if load.server in failed]
        report = self._make_report(loads, summary=True, partial=bool(failed))
        data = encode_report(report)
        for record in choose_recipients(self.peers, self._views, bool(failed)):
            self._send(data, record.control)

    def _measure_zone_load(self, server):
        """Return what the instances of this zone have in flight at a server."""
        return server.own_load + sum(
            server.read_peer_load(name) for name in self.peers.peers
        )

    def _send_report(self, scope):
        """Report to the peers in scope, and to those whose time has come."""
        now = trio.current_time()
        lost = self.peers.expire(now)
        for peer in lost:
            self._told.drop(peer.record.name)
            self._silent[peer.record.name] = now
        if lost and self.peers.is_speaker():
            scope = Scope.ALL
        changes, encoded = self._own.take_changes(), {}
        for peer, interval, is_due in self._schedule.list_recipients(now, scope):
            kind = interval, is_due
            if kind not in encoded:
                loads = self._own.list_recent() if is_due else changes
                report = self._make_report(loads, interval=interval, partial=not is_due)
                encoded[kind] = encode_report(report)
            self._send(encoded[kind], peer.record.control)

    def _list_silent(self):
        """Return the peers that fell silent lately, if this instance is the speaker."""
        if not self._silent or not self.peers.is_speaker():
            return ()
        start = trio.current_time() - _SILENCE_TOLD_TIME
        self._silent = {
            name: time for name, time in self._silent.items() if time > start
        }
        return tuple(self._silent)

    def _note_quiet_zones(self, now):
        """Tell the dispatcher which zones of servers have no instance."""
        zones = {server.record.zone for server in self._dispatcher.list_servers()}
        zones.discard(self.peers.own.zone)
        self._dispatcher.set_unattended(self._views.list_quiet(zones, now))

    def _send(self, data, address):
        # Not through trio, which would pass through its scheduler for each datagram.
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError as error:
            # A full buffer or an absent route; the next report makes it good.
            self._metrics.count("reports_unsent", error=type(error).__name__)

    def _make_report(
        self,
        loads,
        wants_reply=False,
        summary=False,
        partial=False,
        interval=LONGEST_INTERVAL,
    ):
        self._sequence += 1
        return Report(
            sender=self.peers.own,
            incarnation=self._incarnation,
            sequence=self._sequence,
            serving=self._view.is_serving(),
            leaving=self._view.is_leaving(),
            routes_version=self._view.routes_version(),
            servers_version=self._view.servers_version(),
            read_age=self._view.measure_read_age(),
            loads=tuple(loads),
            wants_reply=wants_reply,
            summary=summary,
            partial=partial,
            capacity=self._view.capacity,
            interval=interval,
            silent=self._list_silent(),
        )

    async def _receive(self):
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            try:
                data, source = self._socket.recvfrom(_DATAGRAM_BYTES)
            except OSError as error:
                # An earlier datagram met a closed port.
                self._metrics.count("reports_undelivered", error=type(error).__name__)
                continue
            try:
                report = decode_report(data)
            except MessageError as error:
                self._metrics.count("messages_rejected", reason=str(error)[:32])
                continue
            self._take_report(report, data, source[0])

    def _take_report(self, report, data, host):
        now = trio.current_time()
        if report.summary:
            self._take_summary(report, data, host, now)
            return
        peer = self.peers.note_report(report, now)
        if peer is None:
            return
        for silent in self.peers.note_silent(report.silent, now):
            self._told.drop(silent.record.name)
        is_first = peer.counts is None
        if is_first and report.partial:
            # The totals of the other servers are not known yet; a whole report follows.
            return
        if is_first or report.wants_reply:
            reply = encode_report(self._make_report(self._own.list_whole()))
            self._send(reply, report.sender.control)
        if is_first:
            # Totals from before this instance heard of them say little of the present.
            peer.counts = {load.server: load.counts for load in report.loads}
        for server, kind, number in self._told.apply(
            peer.record.name, peer.counts, report, now
        ):
            self._add_total(server, kind, number)
        self._view.note_versions(peer)

    def _take_summary(self, report, data, host, now):
        zone = report.sender.zone
        if zone == self.peers.own.zone or not self._views.accept(report, now):
            return
        self.peers.add_instance(report.sender, now)
        if host == report.sender.control.host:
            # It came from the other zone; peers do not relay it further. Failures that
            # are told at once concern those that callers are sent to.
            scope = Scope.CLOSE if report.partial else Scope.ALL
            for peer in self._schedule.list_within(scope):
                self._send(data, peer.record.control)
        self._told.apply(_zone_key(zone), self._views.find_counts(zone), report, now)

    async def _serve_fetch(self, stream):
        await serve_fetch(stream, self._view.make_update, self._metrics)


def make_zone_exchange(peers, dispatcher, view, metrics):
    """Return the exchange of one instance; see `ZoneExchange`."""
    return ZoneExchange(peers, dispatcher, view, metrics)


def _zone_key(zone):
    """Return the key of the loads of another zone; no instance has such a name."""
    return f"zone:{zone}"
