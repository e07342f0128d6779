"""JSON values of entities and checks of the references between entities."""

from kumquatsaddle.configuration.entities import Account, Drain, Service, Template
from kumquatsaddle.exceptions import ConfigurationError

__all__ = ["check_references", "check_unused", "dump_entity"]


def dump_entity(entity):
    """Return the JSON value of an entity; `parse_entity` is the inverse.

    Parameters
    ----------
    entity : Service, Template, Account or Drain

    Returns
    -------
    dict
    """
    if isinstance(entity, Service):
        return _dump_service(entity)
    if isinstance(entity, Template):
        return _dump_template(entity)
    if isinstance(entity, Account):
        return _dump_account(entity)
    return {"reason": entity.reason} if entity.reason else {}


def check_references(configuration, entity):
    """Check that all services and templates that an entity refers to exist.

    Parameters
    ----------
    configuration : Configuration
    entity : Service, Template, Account or Drain

    Raises
    ------
    ConfigurationError
        Names the field that refers to an unknown service or template.
    """
    if isinstance(entity, Service | Drain):
        return
    if isinstance(entity, Account):
        field_path = f"accounts/{entity.name}"
        if entity.template not in configuration.templates:
            problem = f"there is no template {entity.template!r}"
            raise ConfigurationError(problem, f"{field_path}.template")
        names = [(f"{field_path}.services", name) for name in entity.services or ()]
        names += [(f"{field_path}.ranks", name) for name in entity.ranks or ()]
    else:
        field_path = f"templates/{entity.name}"
        names = [
            (f"{field_path}.routes {route.method} {route.prefix}", route.service)
            for route in entity.routes
        ]
    names += [(f"{field_path}.limits", name) for name in entity.limits or ()]
    names += [(f"{field_path}.floors", name) for name in entity.floors or ()]
    for field, name in names:
        if name not in configuration.services:
            raise ConfigurationError(f"there is no service {name!r}", field)


def check_unused(configuration, kind, name):
    """Check that no entity refers to a service or template that is to be removed.

    Raises
    ------
    ConfigurationError
        Names an entity that refers to it.
    """
    if kind == "service":
        users = _users_of_service(configuration, name)
    elif kind == "template":
        users = (
            f"accounts/{account.name}"
            for account in configuration.accounts.values()
            if account.template == name
        )
    else:
        return
    user = next(iter(users), None)
    if user is not None:
        raise ConfigurationError(f"is in use by {user}", f"{kind}s/{name}")


def _users_of_service(configuration, name):
    for template in configuration.templates.values():
        if any(route.service == name for route in template.routes):
            yield f"templates/{template.name}"
        elif name in template.limits or name in template.floors:
            yield f"templates/{template.name}"
    for account in configuration.accounts.values():
        parts = (account.services, account.ranks, account.limits, account.floors)
        if any(part and name in part for part in parts):
            yield f"accounts/{account.name}"


def _dump_service(service):
    floors = {rank.name.lower(): part for rank, part in service.rank_floors.items()}
    return {
        "floor": service.floor,
        "slots": service.slots,
        "deadline": service.deadline,
        "rank_floors": floors,
    }


def _dump_template(template):
    routes = [
        {
            "method": route.method,
            "prefix": route.prefix,
            "service": route.service,
            "rank": route.rank.name.lower(),
            "idempotent": route.idempotent,
        }
        for route in template.routes
    ]
    return {"routes": routes, **_dump_limits_and_floors(template)}


def _dump_account(account):
    value = {"template": account.template}
    if account.services is not None:
        value["services"] = list(account.services)
    if account.ranks:
        value["ranks"] = {
            name: rank.name.lower() for name, rank in account.ranks.items()
        }
    return {**value, **_dump_limits_and_floors(account)}


def _dump_limits_and_floors(entity):
    """Return the fields that templates and accounts have in common, if not empty."""
    value = {}
    if entity.limits:
        value["limits"] = {
            name: {"rate": limit.rate, "burst": limit.burst}
            for name, limit in entity.limits.items()
        }
    if entity.floors:
        value["floors"] = dict(entity.floors)
    return value
