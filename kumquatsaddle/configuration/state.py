"""The configuration in force at one instance.

Changes are applied strictly in the order of their versions, so the version never goes
down.
"""

from dataclasses import dataclass

from kumquatsaddle.configuration.entities import Limit, parse_entity
from kumquatsaddle.exceptions import ConfigurationError, RefusedError
from kumquatsaddle.types import ConfigVersion, Rank, RefusalReason, ServiceName

__all__ = ["Configuration", "NO_CHANGE", "ResolvedRoute", "make_configuration"]

# Kind of an empty change, which only uses up its version.
NO_CHANGE = "none"
_COLLECTIONS = {
    "service": "services",
    "template": "templates",
    "account": "accounts",
    "drain": "drains",
}
# Latest removed entities whose version of removal is kept.
_MAX_REMOVED = 2000


@dataclass(frozen=True, slots=True)
class ResolvedRoute:
    """Route, deadline and limits that apply to a request of an account.

    Parameters
    ----------
    service : ServiceName
    rank : Rank
    idempotent : bool
    deadline : float
        Default time for an answer, in seconds.
    limit : Limit or None
        Limit of the account on the service.
    floor : float
        Requests per second that the account is served before others.
    """

    service: ServiceName
    rank: Rank
    idempotent: bool
    deadline: float
    limit: Limit | None
    floor: float


class Configuration:
    """Services, templates, accounts and drains at one version.

    Attributes
    ----------
    removed : dict of (str, str) to int
        Kind and name of removed entities to the version that removed them. It lets a
        repeated removal be recognised and an edit of an older version conflict.
    """

    def __init__(self):
        self.version = ConfigVersion(0)
        self.services = {}
        self.templates = {}
        self.accounts = {}
        self.drains = {}
        self.removed = {}

    def apply_change(self, change):
        """Apply the change that follows the version in force.

        Parameters
        ----------
        change : Change
            A change of kind ``none`` only raises the version.

        Returns
        -------
        bool
            False if the version of the change has already been applied.

        Raises
        ------
        ConfigurationError
            If the change does not follow the version in force or is invalid. The
            configuration stays as it was.
        """
        if change.version <= self.version:
            return False
        if change.version != self.version + 1:
            raise ConfigurationError(
                f"version {change.version} does not follow {self.version}", "version"
            )
        if change.kind != NO_CHANGE:
            self._replace_entity(change.kind, change.name, change.value, change.version)
        self.version = ConfigVersion(change.version)
        return True

    def replace_if_newer(self, other):
        """Replace the content by that of another configuration with a higher version.

        Parameters
        ----------
        other : Configuration

        Returns
        -------
        bool
            False if the version of the other one is not higher.
        """
        if other.version <= self.version:
            return False
        for name in ("services", "templates", "accounts", "drains", "removed"):
            setattr(self, name, dict(getattr(other, name)))
        self.version = other.version
        return True

    def copy(self):
        """Return a shallow copy; the entities are immutable."""
        other = Configuration()
        other.replace_if_newer(self)
        return other

    def entities(self, kind):
        """Return a dict of name to entity of a kind.

        Raises
        ------
        ConfigurationError
            If the kind is unknown.
        """
        if not isinstance(kind, str) or kind not in _COLLECTIONS:
            raise ConfigurationError(f"unknown kind {kind!r}", "kind")
        return getattr(self, _COLLECTIONS[kind])

    def version_of(self, kind, name):
        """Return the version that last changed an entity; 0 if none is known."""
        entity = self.entities(kind).get(name)
        return entity.version if entity else self.removed.get((kind, name), 0)

    def set_entity(self, kind, name, value, version):
        """Set an entity, or remove it if `value` is None, at any version.

        The version of the configuration stays as it is.
        """
        self._replace_entity(kind, name, value, version)

    def resolve_route(self, account, method, path):
        """Return the route and the limits that apply to a request.

        Parameters
        ----------
        account : AccountId
        method, path : str

        Returns
        -------
        ResolvedRoute

        Raises
        ------
        RefusedError
            If the account is unknown, no route matches, or the account may not use the
            service.
        """
        entry = self.accounts.get(account)
        template = self.templates.get(entry.template) if entry else None
        if template is None:
            raise RefusedError(RefusalReason.UNKNOWN_ACCOUNT, account)
        route = template.find_route(method, path)
        if route is None:
            raise RefusedError(RefusalReason.UNKNOWN_ROUTE, path)
        service = self.services.get(route.service)
        if service is None or not _may_use(entry, route.service):
            raise RefusedError(RefusalReason.UNKNOWN_ROUTE, route.service)
        return ResolvedRoute(
            service=service.name,
            rank=_select_override(entry.ranks, None, service.name, route.rank),
            idempotent=route.idempotent,
            deadline=service.deadline,
            limit=_select_override(entry.limits, template.limits, service.name, None),
            floor=_select_override(entry.floors, template.floors, service.name, 0.0),
        )

    def _replace_entity(self, kind, name, value, version):
        entities = self.entities(kind)
        if value is not None:
            entity = parse_entity(kind, name, value, version)
            entities[entity.name] = entity
            self.removed.pop((kind, name), None)
            return
        entities.pop(name, None)
        self.removed.pop((kind, name), None)
        self.removed[kind, name] = version
        while len(self.removed) > _MAX_REMOVED:
            del self.removed[next(iter(self.removed))]


def make_configuration():
    """Return an empty configuration at version 0."""
    return Configuration()


def _may_use(account, service):
    return account.services is None or service in account.services


def _select_override(own, shared, service, default):
    if own and service in own:
        return own[service]
    if shared and service in shared:
        return shared[service]
    return default
