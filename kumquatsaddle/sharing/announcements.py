"""All that reports say of backend servers beyond their loads."""

from dataclasses import dataclass

from kumquatsaddle.sharing.departures import SharedDepartures
from kumquatsaddle.sharing.ends import SharedEnds
from kumquatsaddle.sharing.limits import SharedLimits

__all__ = ["NO_ANNOUNCEMENTS", "Announcements", "SharedAnnouncements"]


@dataclass(frozen=True, slots=True)
class Announcements:
    """What one report says; see the fields of `Report` with the same names."""

    limits: tuple = ()
    departures: tuple = ()
    ends: tuple = ()


NO_ANNOUNCEMENTS = Announcements()


class SharedAnnouncements:
    """What one instance reports of backend servers.

    Parameters
    ----------
    dispatcher : BalancedDispatcher

    Attributes
    ----------
    limits : SharedLimits
    departures : SharedDepartures
    ends : SharedEnds
    """

    def __init__(self, dispatcher):
        self.limits = SharedLimits(dispatcher)
        self.departures = SharedDepartures(dispatcher)
        self.ends = SharedEnds(dispatcher.end_records)

    def pop_changes(self):
        """Return what this instance learnt itself since the last call."""
        return Announcements(
            self.limits.pop_changes(),
            self.departures.pop_changes(),
            self.ends.pop_changes(),
        )

    def list_first_hand(self):
        """Return what this instance learnt itself and still repeats."""
        return Announcements(
            self.limits.list_first_hand(),
            self.departures.list_first_hand(),
            self.ends.list_first_hand(),
        )

    def list_all(self):
        """Return all that is known, for an instance that has just started."""
        return Announcements(
            self.limits.list_all(), self.departures.list_all(), self.ends.list_all()
        )

    def list_for_zones(self, is_responsible):
        """Return what a zone leader tells the other zones.

        Parameters
        ----------
        is_responsible : callable or None
            Returns whether this zone reports the limit of a server; None leaves out
            the limits.
        """
        limits = self.limits.list_all(is_responsible) if is_responsible else ()
        return Announcements(
            limits, self.departures.list_all(), self.ends.list_recent()
        )

    def apply(self, report):
        """Apply what a report says; return whether it has a new end of a server."""
        self.limits.apply(report.limits)
        self.departures.apply(report.departures)
        return self.ends.apply(report.ends)
