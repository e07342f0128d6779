"""One version of the published routes, and how requests are matched to them.

A route is selected by the host and the longest prefix of the path. Its requests go to
one service, or to several in the proportions of their weights.
"""

from dataclasses import dataclass
from random import Random

from kumquatsaddle.exceptions import ConfigurationError, raise_error
from kumquatsaddle.types import ConfigVersion, Rank, ServiceName

__all__ = [
    "CallerLimits",
    "PublishedRoute",
    "PublishedService",
    "RouteShare",
    "RouteTable",
    "make_route_table",
]


@dataclass(frozen=True, slots=True)
class RouteShare:
    """A service that gets a share of the requests of a route.

    Parameters
    ----------
    service : ServiceName
    weight : float
        Relative to the weights of the other shares.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class PublishedRoute:
    """How the requests for one host and path prefix are handled.

    Parameters
    ----------
    name : str
    host : str
        In lower case, without a port.
    prefix : str
        Begins and ends with a slash.
    idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Longest time until the answer to the caller, in seconds.
    objective : float
        Time in seconds within which an answer has its full value.
    rank : Rank
    max_attempts : int
        Most backend servers to which one request may be sent.
    shares : tuple of RouteShare
    public : bool
        Whether a request needs no API key where there are client accounts.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    objective: float
    rank: Rank
    max_attempts: int
    shares: tuple[RouteShare, ...]
    public: bool = False


@dataclass(frozen=True, slots=True)
class PublishedService:
    """A service that routes may name.

    Parameters
    ----------
    name : ServiceName
    max_connections : int
        Connections that one backend server accepts from all callers together.
    """

    name: ServiceName
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what a caller may send and how long it may take.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Longest header and body of a request.
    head_timeout : float
        For the head of a request to arrive, in seconds.
    idle_timeout : float
        Of a keep-alive connection, in seconds.
    """

    header_bytes: int
    body_bytes: int
    head_timeout: float
    idle_timeout: float


class RouteTable:
    """One version of the published routes.

    Parameters
    ----------
    version : ConfigVersion
    routes : iterable of PublishedRoute
        Each with another host or prefix.
    services : dict of ServiceName to PublishedService
    limits : CallerLimits or None
        None keeps the limits of the settings.
    accounts : AccountTable or None
        None serves callers without API keys.
    """

    def __init__(self, version, routes, services, limits=None, accounts=None):
        self.version = version
        self.services = services
        self.limits = limits
        self.accounts = accounts
        self._by_host = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def match_route(self, host, path):
        """Return the route of a request, or None.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header; a port is ignored.
        path : str
            Without the query.

        Notes
        -----
        Takes one dictionary look-up for each slash of the path, whatever the number of
        routes.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def list_routes(self):
        """Yield all routes."""
        for prefixes in self._by_host.values():
            yield from prefixes.values()


class WeightedRoundRobin:
    """Distributes the requests of routes over their services by weight.

    Smooth weighted round robin: each request goes to the service that is furthest
    behind its weight, so that after any number of requests each service is within two
    requests of its weight. A service of weight 0 gets none, whatever it had before.

    Parameters
    ----------
    random : random.Random, optional
        Source of the initial credits of a new route, so that the instances of a fleet
        do not all send their first request to the same service.
    """

    def __init__(self, random=None):
        self._random = random or Random()
        self._credits = {}

    def retain_routes(self, names):
        """Remove the credits of routes that are not among `names`."""
        for name in set(self._credits) - set(names):
            del self._credits[name]

    def choose_service(self, route):
        """Return the service of the next request of a route."""
        shares = [share for share in route.shares if share.weight > 0]
        if len(shares) == 1:
            return shares[0].service
        credits = self._credits.get(route.name)
        if credits is None or set(credits) != {share.service for share in shares}:
            credits = {share.service: self._random.random() for share in shares}
            self._credits[route.name] = credits
        total = sum(share.weight for share in shares)
        for share in shares:
            credits[share.service] += share.weight / total
        chosen = max(shares, key=lambda share: credits[share.service]).service
        credits[chosen] -= 1.0
        return chosen


def make_route_table(
    version, routes, services, limits=None, accounts=None, report=raise_error
):
    """Return a validated table; see `RouteTable`.

    Parameters
    ----------
    version, routes, services, limits, accounts
        See `RouteTable`.
    report : callable, optional
        Gets each `ConfigurationError`. One that returns leaves invalid routes out of
        the table. The default raises the first error.

    Raises
    ------
    ConfigurationError
        If a route names an unknown service, has a negative weight or no positive one, a
        prefix without a slash at either end, no attempt, or a timeout or objective that
        is not positive, or if two routes have the same host and prefix.

    Examples
    --------
    >>> from kumquatsaddle.types import Rank
    >>> route = PublishedRoute(
    ...     "r", "shop.example", "/a/", True, 5.0, 2.0, Rank.BULK, 2,
    ...     (RouteShare("catalogue", 1.0),),
    ... )
    >>> services = {"catalogue": PublishedService("catalogue", 330)}
    >>> table = make_route_table(1, [route], services)
    >>> table.match_route("shop.example:80", "/a/b").name
    'r'
    """
    valid_routes, taken = [], set()
    for route in routes:
        problems = list(_list_problems(route, services))
        if (route.host, route.prefix) in taken:
            problems.append(f"{route.host}{route.prefix} has two routes")
        taken.add((route.host, route.prefix))
        for problem in problems:
            report(ConfigurationError(problem, route.name))
        if not problems:
            valid_routes.append(route)
    return RouteTable(ConfigVersion(version), valid_routes, services, limits, accounts)


def _list_problems(route, services):
    """Yield what is wrong with a route by itself."""
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        yield f"prefix {route.prefix!r} does not begin and end with a slash"
    if not route.shares or any(share.weight < 0 for share in route.shares):
        yield "the route has no service or a negative weight"
    elif sum(share.weight for share in route.shares) <= 0:
        yield "the weights of the services are all zero"
    for share in route.shares:
        if share.service not in services:
            yield f"the route names the unknown service {share.service!r}"
    if route.timeout <= 0 or route.objective <= 0:
        yield "the timeout or the objective is not positive"
    if route.max_attempts < 1:
        yield "max_attempts is less than 1"
