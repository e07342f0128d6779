"""Entities of the configuration and the validation of their JSON values.

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
    format_value,
    get_object,
    intern_dict,
    intern_tuple,
    parse_rank,
    truncate_text,
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
_DEFAULT_DEADLINE_SECONDS = 5.0
# The ledger of operations derives its retention from a limit of the same value.
_MAX_DEADLINE_SECONDS = 60.0
_MAX_SLOTS = 1000
_MAX_RATE_PER_SECOND = 1e6
_MAX_PREFIX_LENGTH = 1024
_MAX_REASON_LENGTH = 256
# RFC 9110, section 5.6.2.
_METHOD_PATTERN = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]{1,32}\Z")


@dataclass(frozen=True, slots=True)
class Service:
    """A service that a set of backend servers provides.

    Parameters
    ----------
    name : ServiceName
    floor : float
        Minimum fraction of the backend servers that ejections leave in use.
    slots : int
        Maximum number of concurrent requests at one backend server.
    deadline : float
        Default time for an answer, in seconds.
    rank_floors : dict of Rank to float
        Share of the slots that each rank keeps when the others are overloaded.
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
    """Rate limit of an account on one service.

    Parameters
    ----------
    rate : float
        Requests per second.
    burst : float
        Maximum number of requests that are admitted in immediate succession.
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
    """Routes, limits and floors that accounts share.

    Parameters
    ----------
    name : TemplateName
    routes : tuple of Route
        Longest prefix first.
    limits : dict of ServiceName to Limit
    floors : dict of ServiceName to float
        Rate in requests per second up to which each account is served before others.
    version : int
        Version of the configuration that last changed the entity.
    """

    name: TemplateName
    routes: tuple[Route, ...]
    limits: dict[ServiceName, Limit]
    floors: dict[ServiceName, float]
    version: int = 0
    # Pairs of a prefix length and the routes by prefix of that length, longest first.
    # A look-up costs one step per length instead of one per route.
    _routes_by_length: tuple = field(init=False, repr=False, compare=False, default=())

    def __post_init__(self):
        by_length = {}
        for route in self.routes:
            routes = by_length.setdefault(len(route.prefix), {})
            routes[route.prefix] = (*routes.get(route.prefix, ()), route)
        index = tuple(sorted(by_length.items(), reverse=True))
        object.__setattr__(self, "_routes_by_length", index)

    def find_route(self, method, path):
        """Return the route with the longest prefix that matches, or None."""
        for length, routes in self._routes_by_length:
            for route in routes.get(path[:length], ()):
                if route.method in ("*", method):
                    return route
        return None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account, with the values that differ from its template.

    Parameters
    ----------
    name : AccountId
    template : TemplateName
    services : tuple of ServiceName or None
        Services that the account may use; None for all services of its template.
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
    """An order of an operator that a backend server gets no new requests.

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
    """Return the entity that a JSON value describes.

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
        raise ConfigurationError(f"unknown kind {format_value(kind)}", "kind")
    check_name(name, f"{kind}s")
    if not isinstance(value, dict):
        raise ConfigurationError("is not an object", f"{kind}s/{name}")
    return entity_kinds.get(kind)(name, value, f"{kind}s/{name}", version)


@entity_kinds.register("service")
def _parse_service(name, value, field_path, version):
    check_keys(value, {"floor", "slots", "deadline", "rank_floors"}, field_path)
    floors = dict(_DEFAULT_RANK_FLOORS)
    for rank_name, share in get_object(value, "rank_floors", field_path).items():
        entry_path = f"{field_path}.rank_floors.{truncate_text(rank_name)}"
        floors[parse_rank(rank_name, entry_path)] = check_number(
            share, 0, 1, entry_path
        )
    if sum(floors.values()) > 1:
        raise ConfigurationError(
            "the shares add up to more than 1", f"{field_path}.rank_floors"
        )
    slots = value.get("slots", _DEFAULT_SLOTS)
    if not isinstance(slots, int):
        problem = f"{format_value(slots)} is not a whole number"
        raise ConfigurationError(problem, f"{field_path}.slots")
    return Service(
        name=ServiceName(name),
        floor=check_number(
            value.get("floor", _DEFAULT_FLOOR), 0, 1, f"{field_path}.floor"
        ),
        slots=check_number(slots, 1, _MAX_SLOTS, f"{field_path}.slots"),
        deadline=check_number(
            value.get("deadline", _DEFAULT_DEADLINE_SECONDS),
            0.01,
            _MAX_DEADLINE_SECONDS,
            f"{field_path}.deadline",
        ),
        rank_floors=intern_dict("rank_floors", floors),
        version=version,
    )


@entity_kinds.register("template")
def _parse_template(name, value, field_path, version):
    check_keys(value, {"routes", "limits", "floors"}, field_path)
    entries = value.get("routes", [])
    if not isinstance(entries, list):
        raise ConfigurationError("is not a list", f"{field_path}.routes")
    routes = [
        _parse_route(entry, f"{field_path}.routes[{index}]")
        for index, entry in enumerate(entries)
    ]
    return Template(
        name=TemplateName(name),
        routes=tuple(sorted(routes, key=lambda route: -len(route.prefix))),
        limits=_parse_limits(value, field_path),
        floors=_parse_floors(value, field_path),
        version=version,
    )


@entity_kinds.register("account")
def _parse_account(name, value, field_path, version):
    check_keys(value, {"template", "services", "ranks", "limits", "floors"}, field_path)
    template = value.get("template")
    if template is None:
        raise ConfigurationError("is missing", f"{field_path}.template")
    check_name(template, f"{field_path}.template")
    services = value.get("services")
    if services is not None:
        services = _parse_services(services, f"{field_path}.services")
    ranks = {}
    for service, rank_name in get_object(value, "ranks", field_path).items():
        entry_path = f"{field_path}.ranks.{truncate_text(service)}"
        check_name(service, entry_path)
        ranks[ServiceName(intern(service))] = parse_rank(rank_name, entry_path)
    return Account(
        name=AccountId(name),
        template=TemplateName(intern(template)),
        services=services,
        ranks=intern_dict("ranks", ranks) or None,
        limits=_parse_limits(value, field_path) or None,
        floors=_parse_floors(value, field_path) or None,
        version=version,
    )


@entity_kinds.register("drain")
def _parse_drain(name, value, field_path, version):
    check_keys(value, {"reason"}, field_path)
    reason = value.get("reason", "")
    if not isinstance(reason, str) or len(reason) > _MAX_REASON_LENGTH:
        problem = f"is not a text of at most {_MAX_REASON_LENGTH} characters"
        raise ConfigurationError(problem, f"{field_path}.reason")
    return Drain(BackendId(name), reason, version)


def _parse_services(entries, field_path):
    if not isinstance(entries, list):
        raise ConfigurationError("is not a list", field_path)
    for index, service in enumerate(entries):
        check_name(service, f"{field_path}[{index}]")
    return intern_tuple(tuple(ServiceName(intern(service)) for service in entries))


def _parse_route(entry, field_path):
    if not isinstance(entry, dict):
        raise ConfigurationError("is not an object", field_path)
    check_keys(entry, {"method", "prefix", "service", "rank", "idempotent"}, field_path)
    prefix, service = entry.get("prefix"), entry.get("service")
    if not _is_path(prefix):
        raise ConfigurationError(
            f"{format_value(prefix)} is not a valid path", f"{field_path}.prefix"
        )
    if service is None:
        raise ConfigurationError("is missing", f"{field_path}.service")
    check_name(service, f"{field_path}.service")
    idempotent = entry.get("idempotent", False)
    if not isinstance(idempotent, bool):
        raise ConfigurationError("is not true or false", f"{field_path}.idempotent")
    method = entry.get("method", "*")
    if not isinstance(method, str) or not _METHOD_PATTERN.match(method):
        raise ConfigurationError(
            f"{format_value(method)} is not an HTTP method", f"{field_path}.method"
        )
    return Route(
        method=intern(method.upper()),
        prefix=intern(prefix),
        service=ServiceName(intern(service)),
        rank=parse_rank(entry.get("rank", "standard"), f"{field_path}.rank"),
        idempotent=idempotent,
    )


def _is_path(prefix):
    if not isinstance(prefix, str) or not prefix.startswith("/"):
        return False
    return len(prefix) <= _MAX_PREFIX_LENGTH and prefix.isprintable()


def _parse_limits(value, field_path):
    limits = {}
    for service, entry in get_object(value, "limits", field_path).items():
        entry_path = f"{field_path}.limits.{truncate_text(service)}"
        check_name(service, entry_path)
        if not isinstance(entry, dict):
            raise ConfigurationError("is not an object", entry_path)
        check_keys(entry, {"rate", "burst"}, entry_path)
        rate = check_number(
            entry.get("rate"), 0, _MAX_RATE_PER_SECOND, f"{entry_path}.rate"
        )
        burst = entry.get("burst", max(1, rate))
        burst = check_number(burst, 1, _MAX_RATE_PER_SECOND, f"{entry_path}.burst")
        limits[ServiceName(intern(service))] = Limit(rate, burst)
    return intern_dict("limits", limits)


def _parse_floors(value, field_path):
    floors = {}
    for service, rate in get_object(value, "floors", field_path).items():
        entry_path = f"{field_path}.floors.{truncate_text(service)}"
        check_name(service, entry_path)
        rate = check_number(rate, 0, _MAX_RATE_PER_SECOND, entry_path)
        floors[ServiceName(intern(service))] = rate
    return intern_dict("floors", floors)
