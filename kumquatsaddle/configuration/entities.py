"""Entities of the configuration and their checks.

Entities are immutable. `parse_entity` turns the JSON value of a change into an
entity or raises `ConfigurationError` with the name of the offending field.
"""

import math
from dataclasses import dataclass

from kumquatsaddle.exceptions import ConfigurationError
from kumquatsaddle.registries import Registry
from kumquatsaddle.types import AccountId, Rank, ServiceName, TemplateName

__all__ = [
    "Account",
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
_LONGEST_NAME = 128


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
    """

    name: ServiceName
    floor: float
    slots: int
    deadline: float
    rank_floors: dict[Rank, float]


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
    """

    name: TemplateName
    routes: tuple[Route, ...]
    limits: dict[ServiceName, Limit]
    floors: dict[ServiceName, float]


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
    """

    name: AccountId
    template: TemplateName
    services: tuple[ServiceName, ...] | None = None
    ranks: dict[ServiceName, Rank] | None = None
    limits: dict[ServiceName, Limit] | None = None
    floors: dict[ServiceName, float] | None = None


def parse_entity(kind, name, value):
    """Return the entity that a change describes.

    Parameters
    ----------
    kind : {"service", "template", "account"}
    name : str
    value : dict
        JSON value.

    Raises
    ------
    ConfigurationError
        If a field is missing, unknown or out of range.
    """
    if kind not in entity_kinds.names():
        raise ConfigurationError(f"unknown kind {kind!r}", "kind")
    if not isinstance(name, str) or not 0 < len(name) <= _LONGEST_NAME:
        raise ConfigurationError(f"{name!r} is not a name", f"{kind}s")
    if not name.isprintable() or "/" in name:
        raise ConfigurationError(f"{name!r} is not a name", f"{kind}s")
    if not isinstance(value, dict):
        raise ConfigurationError("is not an object", f"{kind}s/{name}")
    return entity_kinds.get(kind)(name, value, f"{kind}s/{name}")


@entity_kinds.register("service")
def _parse_service(name, value, place):
    _check_keys(value, {"floor", "slots", "deadline", "rank_floors"}, place)
    floors = dict(_DEFAULT_RANK_FLOORS)
    for word, share in _get_dict(value, "rank_floors", place).items():
        rank = _parse_rank(word, f"{place}.rank_floors")
        floors[rank] = _number(share, 0, 1, f"{place}.rank_floors.{word}")
    if sum(floors.values()) > 1:
        raise ConfigurationError("add up to more than 1", f"{place}.rank_floors")
    slots = value.get("slots", _DEFAULT_SLOTS)
    if not isinstance(slots, int):
        raise ConfigurationError(f"{slots!r} is not a whole number", f"{place}.slots")
    return Service(
        name=ServiceName(name),
        floor=_number(value.get("floor", _DEFAULT_FLOOR), 0, 1, f"{place}.floor"),
        slots=_number(slots, 1, _MOST_SLOTS, f"{place}.slots"),
        deadline=_number(
            value.get("deadline", _DEFAULT_DEADLINE),
            0.01,
            _LONGEST_DEADLINE,
            f"{place}.deadline",
        ),
        rank_floors=floors,
    )


@entity_kinds.register("template")
def _parse_template(name, value, place):
    _check_keys(value, {"routes", "limits", "floors"}, place)
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
    )


@entity_kinds.register("account")
def _parse_account(name, value, place):
    _check_keys(value, {"template", "services", "ranks", "limits", "floors"}, place)
    template = value.get("template")
    if not isinstance(template, str) or not template:
        raise ConfigurationError("is missing", f"{place}.template")
    services = value.get("services")
    if services is not None:
        if not isinstance(services, list):
            raise ConfigurationError("is not a list", f"{place}.services")
        services = tuple(ServiceName(str(service)) for service in services)
    ranks = {
        ServiceName(service): _parse_rank(word, f"{place}.ranks.{service}")
        for service, word in _get_dict(value, "ranks", place).items()
    }
    return Account(
        name=AccountId(name),
        template=TemplateName(template),
        services=services,
        ranks=ranks or None,
        limits=_parse_limits(value, place) or None,
        floors=_parse_floors(value, place) or None,
    )


def _parse_route(entry, place):
    if not isinstance(entry, dict):
        raise ConfigurationError("is not an object", place)
    _check_keys(entry, {"method", "prefix", "service", "rank", "idempotent"}, place)
    prefix, service = entry.get("prefix"), entry.get("service")
    if not isinstance(prefix, str) or not prefix.startswith("/"):
        raise ConfigurationError(f"{prefix!r} is not a path", f"{place}.prefix")
    if not isinstance(service, str) or not service:
        raise ConfigurationError("is missing", f"{place}.service")
    idempotent = entry.get("idempotent", False)
    if not isinstance(idempotent, bool):
        raise ConfigurationError("is not true or false", f"{place}.idempotent")
    method = entry.get("method", "*")
    if not isinstance(method, str) or not method:
        raise ConfigurationError(f"{method!r} is not a method", f"{place}.method")
    return Route(
        method=method.upper(),
        prefix=prefix,
        service=ServiceName(service),
        rank=_parse_rank(entry.get("rank", "standard"), f"{place}.rank"),
        idempotent=idempotent,
    )


def _parse_limits(value, place):
    limits = {}
    for service, entry in _get_dict(value, "limits", place).items():
        where = f"{place}.limits.{service}"
        if not isinstance(entry, dict):
            raise ConfigurationError("is not an object", where)
        _check_keys(entry, {"rate", "burst"}, where)
        rate = _number(entry.get("rate"), 0, _HIGHEST_RATE, f"{where}.rate")
        burst = entry.get("burst", max(1, rate))
        burst = _number(burst, 1, _HIGHEST_RATE, f"{where}.burst")
        limits[ServiceName(service)] = Limit(rate, burst)
    return limits


def _parse_floors(value, place):
    return {
        ServiceName(service): _number(
            rate, 0, _HIGHEST_RATE, f"{place}.floors.{service}"
        )
        for service, rate in _get_dict(value, "floors", place).items()
    }


def _parse_rank(word, place):
    try:
        return Rank[str(word).upper()]
    except KeyError:
        known = ", ".join(rank.name.lower() for rank in Rank)
        raise ConfigurationError(f"{word!r} is not one of {known}", place) from None


def _get_dict(value, key, place):
    entry = value.get(key)
    if entry is None:
        return {}
    if not isinstance(entry, dict):
        raise ConfigurationError("is not an object", f"{place}.{key}")
    return entry


def _check_keys(value, known, place):
    for key in value:
        if key not in known:
            listed = ", ".join(sorted(known))
            raise ConfigurationError(
                f"unknown field; known: {listed}", f"{place}.{key}"
            )


def _number(value, low, high, place):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ConfigurationError(f"{value!r} is not a number", place)
    if not math.isfinite(value) or not low <= value <= high:
        raise ConfigurationError(f"{value!r} is outside {low} to {high}", place)
    return value
