"""Leaving backend servers in the reports between instances.

An instance reports the servers whose answers to its own requests said that they leave,
for as long as the list of servers does not say so. What others reported it passes on
only to an instance that has just started and, as zone leader, to other zones.
"""

from kumquatsaddle.sharing.messages import Departure

__all__ = ["SharedDepartures"]

# Departures in one datagram, so that they fit into it beside the loads of a zone.
_MAX_DEPARTURES = 300


class SharedDepartures:
    """The departures that one instance reports.

    Parameters
    ----------
    dispatcher : BalancedDispatcher
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher
        self._changed = set()
        self._first_hand = set()
        self._known = set()

    def track(self, server, is_first_hand):
        """Note that a server has said that it leaves.

        Parameters
        ----------
        server : BalancedServer
        is_first_hand : bool
            Whether it said so to this instance.
        """
        departure = Departure(server.name, server.record.started_at_ms)
        self._known.add(departure)
        if is_first_hand:
            self._changed.add(departure)
            self._first_hand.add(departure)

    def pop_changes(self):
        """Return the departures that were noted here since the last call."""
        changed, self._changed = self._changed, set()
        return tuple(changed)[:_MAX_DEPARTURES]

    def list_first_hand(self):
        """Return those noted here that the list of servers does not show yet."""
        self._first_hand = set(filter(self._is_listed_as_ready, self._first_hand))
        return tuple(self._first_hand)[:_MAX_DEPARTURES]

    def list_all(self):
        """Return all that the list of servers does not show yet."""
        self._known = set(filter(self._is_listed_as_ready, self._known))
        return tuple(self._known)[:_MAX_DEPARTURES]

    def apply(self, departures):
        """Apply the departures of a report.

        Parameters
        ----------
        departures : iterable of Departure
        """
        for departure in departures:
            self._dispatcher.record_departure(
                departure.server, departure.started_at_ms, is_first_hand=False
            )

    def _is_listed_as_ready(self, departure):
        """Return whether the list has the server as one that does not leave."""
        server = self._dispatcher.find_server(departure.server)
        if server is None or server.record.draining:
            return False
        return server.record.started_at_ms == departure.started_at_ms
