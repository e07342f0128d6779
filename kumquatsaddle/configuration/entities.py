"""Entities of the configuration and their checks.

Entities are immutable. `parse_entity` turns the JSON value of a change into an
entity or raises `ConfigurationError` with the name of the offending field.
"""

import re
from dataclasses import dataclass, field
from sys import intern

from kumquatsaddle.configuration.checks import (
    check_keys,
    check_name,
    check_number,
    cut_text,
    get_object,
    parse_rank,
    share_tuple,
    share_values,
    show_value,
)
from kumquatsaddle.exceptions import ConfigurationError
from kumquatsaddle.registries import Registry
from kumquatsaddle.types import (
    AccountId,
    BackendId,
    Rank,
    ServiceName,
    TemplateName,
)

__all__ = [
    "Account",
    "Drain",
    "Limit",
    "Route",
    "Service",
    "Template",
    "entity_kinds",
    "parse_entity",
]

entity_kinds = Registry("kind of entity")

_DEFAULT_RANK_FLOORS = {Rank.URGENT: 0.2, Rank.STANDARD: 0.1, Rank.BULK: 0.05}
_DEFAULT_FLOOR = 0.6
_DEFAULT_SLOTS = 6
_DEFAULT_DEADLINE = 5.0
# Longest deadline in seconds; the ledger of operations relies on it.
_LONGEST_DEADLINE = 60.0
_MOST_SLOTS = 1000
_HIGHEST_RATE = 1e6
_LONGEST_PREFIX = 1024
_LONGEST_REASON = 256
# RFC 9110, section 5.6.2.
_METHOD = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]{1,32}\Z")


@dataclass(frozen=True, slots=True)
class Service:
    """A service that a set of backend servers answers.

    Parameters
    ----------
    name : ServiceName
    floor : float
        Fraction of the backend servers that ejections leave in use.
    slots : int
        Requests that one backend server runs at a time.
    deadline : float
        Default time for an answer, in seconds.
    rank_floors : dict of Rank to float
        Share of the slots that each rank keeps in a flood of the others.
    version : int
        Version of the configuration that last changed the entity.
    """

    name: ServiceName
    floor: float
    slots: int
    deadline: float
    rank_floors: dict[Rank, float]
    version: int = 0


@dataclass(frozen=True, slots=True)
class Limit:
    """A limit of an account on one service.

    Parameters
    ----------
    rate : float
        Requests a second.
    burst : float
        Requests at once.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests by method and path prefix to a service.

    Parameters
    ----------
    method : str
        An HTTP method, or ``*``.
    prefix : str
        Prefix of the path.
    service : ServiceName
    rank : Rank
    idempotent : bool
        Whether a request may run more than once.
    """

    method: str
    prefix: str
    service: ServiceName
    rank: Rank
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Template:
    """What the accounts of one kind share.

    Parameters
    ----------
    name : TemplateName
    routes : tuple of Route
        Longest prefix first.
    limits : dict of ServiceName to Limit
    floors : dict of ServiceName to float
        Requests a second that each account is served before others.
    version : int
        Version of the configuration that last changed the entity.
    """

    name: TemplateName
    routes: tuple[Route, ...]
    limits: dict[ServiceName, Limit]
    floors: dict[ServiceName, float]
    version: int = 0
    # Length of a prefix and the routes by prefix of that length, longest first; a
    # look-up costs one step a length instead of one a route.
    _index: tuple = field(init=False, repr=False, compare=False, default=())

    def __post_init__(self):
        by_length = {}
        for route in self.routes:
            routes = by_length.setdefault(len(route.prefix), {})
            routes[route.prefix] = (*routes.get(route.prefix, ()), route)
        index = tuple(sorted(by_length.items(), reverse=True))
        object.__setattr__(self, "_index", index)

    def find_route(self, method, path):
        """Return the route with the longest prefix that matches, or None."""
        for length, routes in self._index:
            for route in routes.get(path[:length], ()):
                if route.method in ("*", method):
                    return route
        return None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account; only what differs from its template is kept.

    Parameters
    ----------
    name : AccountId
    template : TemplateName
    services : tuple of ServiceName or None
        The services it may use; None for all of its template.
    ranks : dict of ServiceName to Rank, or None
    limits : dict of ServiceName to Limit, or None
    floors : dict of ServiceName to float, or None
    version : int
        Version of the configuration that last changed the entity.
    """

    name: AccountId
    template: TemplateName
    services: tuple[ServiceName, ...] | None = None
    ranks: dict[ServiceName, Rank] | None = None
    limits: dict[ServiceName, Limit] | None = None
    floors: dict[ServiceName, float] | None = None
    version: int = 0


@dataclass(frozen=True, slots=True)
class Drain:
    """An operator's wish that a backend server gets no new work.

    Parameters
    ----------
    name : BackendId
    reason : str
    version : int
        Version of the configuration that last changed the entity.
    """

    name: BackendId
    reason: str = ""
    version: int = 0


def parse_entity(kind, name, value, version=0):
    """Return the entity that a change describes.

    Parameters
    ----------
    kind : {"service", "template", "account", "drain"}
    name : str
    value : dict
        JSON value.
    version : int, default=0
        Version of the change.

    Raises
    ------
    ConfigurationError
        If a field is missing, unknown or out of range.
    """
    if not isinstance(kind, str) or kind not in entity_kinds.names():
        raise ConfigurationError(f"unknown kind {show_value(kind)}", "kind")
    check_name(name, f"{kind}s")
    if not isinstance(value, dict):
        raise ConfigurationError("is not an object", f"{kind}s/{name}")
    return entity_kinds.get(kind)(name, value, f"{kind}s/{name}", version)


@entity_kinds.register("service")
def _parse_service(name, value, place, version):
    check_keys(value, {"floor", "slots", "deadline", "rank_floors"}, place)
    floors = dict(_DEFAULT_RANK_FLOORS)
    for word, share in get_object(value, "rank_floors", place).items():
        where = f"{place}.rank_floors.{cut_text(word)}"
        floors[parse_rank(word, where)] = check_number(share, 0, 1, where)
    if sum(floors.values()) > 1:
        raise ConfigurationError("add up to more than 1", f"{place}.rank_floors")
    slots = value.get("slots", _DEFAULT_SLOTS)
    if not isinstance(slots, int):
        problem = f"{show_value(slots)} is not a whole number"
        raise ConfigurationError(problem, f"{place}.slots")
    return Service(
        name=ServiceName(name),
        floor=check_number(value.get("floor", _DEFAULT_FLOOR), 0, 1, f"{place}.floor"),
        slots=check_number(slots, 1, _MOST_SLOTS, f"{place}.slots"),
        deadline=check_number(
            value.get("deadline", _DEFAULT_DEADLINE),
            0.01,
            _LONGEST_DEADLINE,
            f"{place}.deadline",
        ),
        rank_floors=share_values("rank_floors", floors),
        version=version,
    )


@entity_kinds.register("template")
def _parse_template(name, value, place, version):
    check_keys(value, {"routes", "limits", "floors"}, place)
    entries = value.get("routes", [])
    if not isinstance(entries, list):
        raise ConfigurationError("is not a list", f"{place}.routes")
    routes = [
        _parse_route(entry, f"{place}.routes[{index}]")
        for index, entry in enumerate(entries)
    ]
    return Template(
        name=TemplateName(name),
        routes=tuple(sorted(routes, key=lambda route: -len(route.prefix))),
        limits=_parse_limits(value, place),
        floors=_parse_floors(value, place),
        version=version,
    )


@entity_kinds.register("account")
def _parse_account(name, value, place, version):
    check_keys(value, {"template", "services", "ranks", "limits", "floors"}, place)
    template = value.get("template")
    if template is None:
        raise ConfigurationError("is missing", f"{place}.template")
    check_name(template, f"{place}.template")
    services = value.get("services")
    if services is not None:
        services = _parse_services(services, f"{place}.services")
    ranks = {}
    for service, word in get_object(value, "ranks", place).items():
        where = f"{place}.ranks.{cut_text(service)}"
        check_name(service, where)
        ranks[ServiceName(intern(service))] = parse_rank(word, where)
    return Account(
        name=AccountId(name),
        template=TemplateName(intern(template)),
        services=services,
        ranks=share_values("ranks", ranks) or None,
        limits=_parse_limits(value, place) or None,
        floors=_parse_floors(value, place) or None,
        version=version,
    )


@entity_kinds.register("drain")
def _parse_drain(name, value, place, version):
    check_keys(value, {"reason"}, place)
    reason = value.get("reason", "")
    if not isinstance(reason, str) or len(reason) > _LONGEST_REASON:
        problem = f"is not a text of at most {_LONGEST_REASON} characters"
        raise ConfigurationError(problem, f"{place}.reason")
    return Drain(BackendId(name), reason, version)


def _parse_services(entries, place):
    if not isinstance(entries, list):
        raise ConfigurationError("is not a list", place)
    for index, service in enumerate(entries):
        check_name(service, f"{place}[{index}]")
    return share_tuple(tuple(ServiceName(intern(service)) for service in entries))


def _parse_route(entry, place):
    if not isinstance(entry, dict):
        raise ConfigurationError("is not an object", place)
    check_keys(entry, {"method", "prefix", "service", "rank", "idempotent"}, place)
    prefix, service = entry.get("prefix"), entry.get("service")
    if not _is_path(prefix):
        raise ConfigurationError(
            f"{show_value(prefix)} is not a path", f"{place}.prefix"
        )
    if service is None:
        raise ConfigurationError("is missing", f"{place}.service")
    check_name(service, f"{place}.service")
    idempotent = entry.get("idempotent", False)
    if not isinstance(idempotent, bool):
        raise ConfigurationError("is not true or false", f"{place}.idempotent")
    method = entry.get("method", "*")
    if not isinstance(method, str) or not _METHOD.match(method):
        raise ConfigurationError(
            f"{show_value(method)} is not a method", f"{place}.method"
        )
    return Route(
        method=intern(method.upper()),
        prefix=intern(prefix),
        service=ServiceName(intern(service)),
        rank=parse_rank(entry.get("rank", "standard"), f"{place}.rank"),
        idempotent=idempotent,
    )


def _is_path(prefix):
    if not isinstance(prefix, str) or not prefix.startswith("/"):
        return False
    return len(prefix) <= _LONGEST_PREFIX and prefix.isprintable()


def _parse_limits(value, place):
    limits = {}
    for service, entry in get_object(value, "limits", place).items():
        where = f"{place}.limits.{cut_text(service)}"
        check_name(service, where)
        if not isinstance(entry, dict):
            raise ConfigurationError("is not an object", where)
        check_keys(entry, {"rate", "burst"}, where)
        rate = check_number(entry.get("rate"), 0, _HIGHEST_RATE, f"{where}.rate")
        burst = entry.get("burst", max(1, rate))
        burst = check_number(burst, 1, _HIGHEST_RATE, f"{where}.burst")
        limits[ServiceName(intern(service))] = Limit(rate, burst)
    return share_values("limits", limits)


def _parse_floors(value, place):
    floors = {}
    for service, rate in get_object(value, "floors", place).items():
        where = f"{place}.floors.{cut_text(service)}"
        check_name(service, where)
        rate = check_number(rate, 0, _HIGHEST_RATE, where)
        floors[ServiceName(intern(service))] = rate
    return share_values("floors", floors)
