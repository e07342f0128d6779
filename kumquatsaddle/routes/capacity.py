"""What operators know of the load that a review cannot see in the routes."""

from dataclasses import dataclass, field

from kumquatsaddle.types import ServiceName

__all__ = ["Capacity"]


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of services and the work of requests, as far as they are known.

    Parameters
    ----------
    slots : dict of ServiceName to int
        Requests that all backend servers of a service work on at the same time.
    work : dict of str to float
        Usual work of a request in seconds, by the name of its route.
    """

    slots: dict[ServiceName, int] = field(default_factory=dict)
    work: dict[str, float] = field(default_factory=dict)

    def compute_rate(self, service, routes):
        """Return the most requests a second that a service can take, or None.

        Parameters
        ----------
        service : ServiceName
        routes : iterable of PublishedRoute

        Notes
        -----
        Assumes that all requests are of the route with the least work, so that the rate
        is never too low. None if the slots or the work of a route are not known.
        """
        works = [
            self.work.get(route.name)
            for route in routes
            if any(share.service == service for share in route.shares)
        ]
        if service not in self.slots or None in works:
            return None
        return self.slots[service] / min(works) if works else 0.0
