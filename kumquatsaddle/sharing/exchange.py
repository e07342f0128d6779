"""Sends and receives the reports of the instances of a zone, and serves fetches.

Reports are datagrams: each holds everything that is in flight and running totals of
answers, so that a lost one is made good by the next.
"""

from secrets import randbits

import trio

from kumquatsaddle.exceptions import MessageError
from kumquatsaddle.logs import log_event
from kumquatsaddle.messages.frames import FrameReader, write_frame
from kumquatsaddle.sharing.messages import (
    Fetch,
    Report,
    ServerLoad,
    decode_fetch,
    decode_report,
    decode_update,
    encode_fetch,
    encode_report,
    encode_update,
)

__all__ = ["ZoneExchange", "make_zone_exchange"]

# Time in seconds between reports when nothing happens.
_HEARTBEAT = 0.4
# Time in seconds in which changes of load are gathered into one report. A failed
# answer is told at once.
_GATHER_TIME = 0.012
# Time in seconds for which a server is reported after its last change.
_REPORTED_TIME = 2.0
# Heartbeats between two reports to a peer that is silent.
_SILENT_ROUNDS = 5
_DATAGRAM_BYTES = 65536
# Loads in one datagram; the busiest servers go first.
_MOST_LOADS = 200
# Time in seconds for one frame to arrive.
_FRAME_TIMEOUT = 1.0
_FETCH_BYTES = 4096
# Successes of one report that count as evidence on a server.
_MOST_COUNTED = 5
_BACKLOG = 256


class ZoneExchange:
    """Reports to the peers and applies theirs.

    Parameters
    ----------
    peers : PeerTable
    dispatcher : BalancedDispatcher
    view : NodeView
        What the instance says of itself, and answers to fetches.
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
        self._urgent = False
        self._touched = {}
        self._rounds = 0
        dispatcher.on_load = self._note_load
        dispatcher.on_answer = self._note_answer

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Exchange reports until cancelled."""
        address = self.peers.own.control
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        with self._socket:
            await self._socket.bind((address.host, address.port))
            listeners = await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=_BACKLOG
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(trio.serve_listeners, self._serve_fetch, listeners)
                task_status.started()
                await self._send_all()

    def report_now(self):
        """Send a report as soon as possible."""
        self._urgent = True
        self._changed.set()

    async def introduce(self, addresses):
        """Send a report to addresses that are not known as peers."""
        data = encode_report(self._make_report(wants_reply=True))
        for address in addresses:
            await self._send(data, address)

    async def fetch(self, address, routes_after, servers_after, timeout):
        """Return the `Update` of another instance.

        Raises
        ------
        MessageError
            If it does not answer in time or with something else.
        """
        fetch = Fetch(self.peers.own.name, routes_after, servers_after)
        try:
            with trio.fail_after(timeout):
                stream = await trio.open_tcp_stream(address.host, address.port)
                async with stream:
                    await write_frame(stream, encode_fetch(fetch))
                    data = await FrameReader(stream).read()
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
            raise MessageError(f"{address}: {error!r}") from None
        if data is None:
            raise MessageError(f"{address}: no answer")
        return decode_update(data)

    def forget_peer(self, peer):
        """Drop the loads of a peer that has fallen silent."""
        for server in self._dispatcher.list_servers():
            server.set_peer_load(peer.record.name, 0)
        self._wake_all()

    def _note_load(self, server):
        self._touched[server.name] = trio.current_time()
        self._changed.set()

    def _note_answer(self, server, failed):
        self._touched[server.name] = trio.current_time()
        self._urgent = self._urgent or failed
        self._changed.set()

    async def _send_all(self):
        while True:
            with trio.move_on_after(_HEARTBEAT):
                await self._changed.wait()
            heartbeat = not self._changed.is_set()
            if not heartbeat and not self._urgent:
                await trio.sleep(_GATHER_TIME)
            self._changed, self._urgent = trio.Event(), False
            await self._send_report(heartbeat)

    async def _send_report(self, heartbeat):
        for peer in self.peers.expire(trio.current_time()):
            self.forget_peer(peer)
        self._rounds += heartbeat
        to_silent = heartbeat and self._rounds % _SILENT_ROUNDS == 0
        data = encode_report(self._make_report())
        for peer in list(self.peers.peers.values()):
            if peer.alive or to_silent:
                await self._send(data, peer.record.control)

    async def _send(self, data, address):
        try:
            await self._socket.sendto(data, (address.host, address.port))
        except OSError as error:
            # A full link or an absent route; the next report makes it good.
            self._metrics.count("reports_unsent", error=type(error).__name__)

    def _make_report(self, wants_reply=False):
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
            loads=tuple(self._list_loads()),
            wants_reply=wants_reply,
        )

    def _list_loads(self):
        start = trio.current_time() - _REPORTED_TIME
        self._touched = {
            name: time for name, time in self._touched.items() if time > start
        }
        loads = [
            ServerLoad(server.name, server.own_load, server.served, server.failed)
            for server in self._dispatcher.list_servers()
            if server.own_load or server.name in self._touched
        ]
        if len(loads) > _MOST_LOADS:
            loads.sort(key=lambda load: -load.in_flight)
        return loads[:_MOST_LOADS]

    async def _receive(self):
        while True:
            try:
                data, _ = await self._socket.recvfrom(_DATAGRAM_BYTES)
            except OSError:
                # An earlier datagram met a closed port.
                continue
            try:
                report = decode_report(data)
            except MessageError as error:
                self._metrics.count("messages_rejected", reason=str(error)[:32])
                continue
            await self._take_report(report)

    async def _take_report(self, report):
        now = trio.current_time()
        is_new = report.sender.name not in self.peers.peers
        peer = self.peers.note_report(report, now)
        if peer is None:
            return
        if is_new or report.wants_reply:
            data = encode_report(self._make_report())
            await self._send(data, report.sender.control)
        self._apply_loads(peer, report.loads, now)
        self._view.note_versions(peer)

    def _apply_loads(self, peer, loads, now):
        name, named, woken = peer.record.name, set(), False
        for load in loads:
            named.add(load.server)
            server = self._dispatcher.find_server(load.server)
            if server is None:
                continue
            woken |= server.set_peer_load(name, load.in_flight)
            self._apply_counts(peer, server, load, now)
        for server in self._dispatcher.list_servers():
            if server.name not in named:
                woken |= server.set_peer_load(name, 0)
        if woken:
            self._wake_all()

    def _apply_counts(self, peer, server, load, now):
        """Add the answers that a peer has seen since its last report."""
        known = peer.counts.get(load.server)
        peer.counts[load.server] = (load.served, load.failed)
        served, failed = load.served, load.failed
        if known is None:
            # Totals from before this instance heard of them say little of the present.
            served, failed = min(served, 1), 0
        elif served >= known[0] and failed >= known[1]:
            served, failed = served - known[0], failed - known[1]
        for _ in range(min(served, _MOST_COUNTED)):
            server.belief.note_answer(now, False)
        for _ in range(min(failed, _MOST_COUNTED)):
            server.belief.note_answer(now, True)

    def _wake_all(self):
        for pool in self._dispatcher.pools.values():
            if pool.waiting():
                pool.wake()

    async def _serve_fetch(self, stream):
        try:
            with trio.move_on_after(_FRAME_TIMEOUT):
                data = await FrameReader(stream, _FETCH_BYTES).read()
                if data is not None:
                    update = self._view.make_update(decode_fetch(data))
                    await write_frame(stream, encode_update(update))
        except (MessageError, trio.BrokenResourceError) as error:
            self._metrics.count("messages_rejected", reason=type(error).__name__)
            log_event("fetch_failed", level="WARNING", error=error)
        finally:
            await trio.aclose_forcefully(stream)


def make_zone_exchange(peers, dispatcher, view, metrics):
    """Return the exchange of one instance; see `ZoneExchange`."""
    return ZoneExchange(peers, dispatcher, view, metrics)
