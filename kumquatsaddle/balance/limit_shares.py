"""Which instances use a backend server that states a rate limit, and for which share.

The limit holds for all instances together. A few instances divide it in equal shares,
so that no message is needed before a request, and their number grows with the rate:
each has a burst of one request, and the sum of the bursts must stay small beside the
limit. The others leave the server to them. They belong to the zone of the server and to
zones in which the service has no server, which would get nothing otherwise. They are
chosen by rendezvous hashing [1]_, so that all instances choose the same ones and only
the share of an instance that is lost moves.

A zone that is not heard may have lost its instances, or may only be out of contact and
still use the server. Therefore the zones that hear each other together use no more of a
rate than their part of all known zones: in a fleet that has fallen apart, the parts of
all sides add up to the rate. A zone that left on purpose does not count.

References
----------
.. [1] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
   rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from hashlib import blake2b

from kumquatsaddle.dispatch.rate_limits import RateShare

__all__ = ["LimitShares"]

# Instances that use a server, in addition to one for each request a second.
_BASE_USERS = 4
# Zones without a server of the service whose instances use a server of another zone.
_MAX_FURTHER_ZONES = 3
_NO_SHARE = RateShare(0.0)


class LimitShares:
    """Computes the share of one instance.

    Parameters
    ----------
    own : InstanceRecord
    """

    def __init__(self, own):
        self._own = own
        self._active = ()
        self._attended = frozenset({own.zone})
        self._known = self._attended

    def update(self, active, attended, known=()):
        """Set the instances and zones to choose from; return whether they changed.

        Parameters
        ----------
        active : iterable of InstanceId
            Instances of this zone that callers are sent to.
        attended : iterable of ZoneId
            Other zones whose instances are heard.
        known : iterable of ZoneId, optional
            Other zones that have instances, heard or not.
        """
        active = tuple(sorted(active))
        attended = frozenset(attended) | {self._own.zone}
        known = frozenset(known) | {self._own.zone}
        if (active, attended, known) == (self._active, self._attended, self._known):
            return False
        self._active, self._attended, self._known = active, attended, known
        return True

    def compute_share(self, server, supplied_zones):
        """Return the share of the rate limit of a server for this instance.

        Parameters
        ----------
        server : BalancedServer
            Its limit must have a rate.
        supplied_zones : collection of ZoneId
            Zones in which the service of the server has servers.

        Returns
        -------
        RateShare
            Its fraction is 0 if the server is left to other instances.
        """
        zones = self._choose_zones(server, supplied_zones)
        if self._own.zone not in zones:
            return _NO_SHARE
        number = _BASE_USERS // len(zones) + int(server.rate_limit.rate / len(zones))
        users = _sort_by_score(server, self._active)[:number]
        if self._own.name not in users:
            return _NO_SHARE
        turn = zones.index(self._own.zone) / len(zones) + users.index(self._own.name)
        fraction = self._compute_contact_share() / (len(zones) * len(users))
        return RateShare(fraction, turn / len(users))

    def is_responsible(self, server):
        """Return whether this zone reports the limit of a server to the others.

        It is the zone of the server, or another one while that has no instance.
        """
        return self._choose_responsible_zone(server) == self._own.zone

    def _compute_contact_share(self):
        """Return the part of the known zones that are heard, with this one."""
        return len(self._known & self._attended) / len(self._known)

    def _choose_responsible_zone(self, server):
        zone = server.record.zone
        return zone if zone in self._attended else self._sort_zones(server)[0]

    def _choose_zones(self, server, supplied_zones):
        """Return the zones whose instances use a server, the responsible one first."""
        first = self._choose_responsible_zone(server)
        without = [
            zone
            for zone in self._sort_zones(server)
            if zone not in supplied_zones and zone != first
        ]
        return [first, *without[:_MAX_FURTHER_ZONES]]

    def _sort_zones(self, server):
        return _sort_by_score(server, self._attended)


def _sort_by_score(server, names):
    """Return names in the order of their score for a server."""
    return sorted(
        names,
        key=lambda name: blake2b(
            f"{server.name}/{name}".encode(), digest_size=8
        ).digest(),
    )
