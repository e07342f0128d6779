"""The configuration in force at one instance.

The owner applies changes strictly in the order of their versions, so the version
never goes down.
"""

from dataclasses import dataclass

from kumquatsaddle.configuration.entities import Limit, parse_entity
from kumquatsaddle.exceptions import ConfigurationError, RefusedError
from kumquatsaddle.types import ConfigVersion, Rank, RefusalReason, ServiceName

__all__ = ["Configuration", "NO_CHANGE", "ResolvedRoute", "make_configuration"]

# Kind of a change that only occupies its version.
NO_CHANGE = "none"
_COLLECTIONS = {
    "service": "services",
    "template": "templates",
    "account": "accounts",
    "drain": "drains",
}
# Removed entities whose version is remembered, the latest ones.
_MAX_REMOVED = 2000


@dataclass(frozen=True, slots=True)
class ResolvedRoute:
    """How a request of an account is handled.

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
        Requests a second that the account is served before others.
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
        Kind and name of removed entities to the version that removed them, so that a
        repeated attempt is recognised and an old version of an entity conflicts.
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
            One of kind ``none`` only occupies its version.

        Returns
        -------
        bool
            False if the change is in force already.

        Raises
        ------
        ConfigurationError
            If changes between the two are missing, or the change is invalid. The
            configuration stays as it was.
        """
        if change.version <= self.version:
            return False
        if change.version != self.version + 1:
            raise ConfigurationError(
                f"version {change.version} does not follow {self.version}", "version"
            )
        if change.kind != NO_CHANGE:
            self._apply(change.kind, change.name, change.value, change.version)
        self.version = ConfigVersion(change.version)
        return True

    def load(self, other):
        """Take over another configuration if its version is higher.

        Parameters
        ----------
        other : Configuration

        Returns
        -------
        bool
            Whether it was taken over.
        """
        if other.version <= self.version:
            return False
        for name in ("services", "templates", "accounts", "drains", "removed"):
            setattr(self, name, dict(getattr(other, name)))
        self.version = other.version
        return True

    def copy(self):
        """Return a configuration of the same entities, which are immutable."""
        other = Configuration()
        other.load(self)
        return other

    def entities(self, kind):
        """Return the entities of a kind, name to entity.

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

    def put(self, kind, name, value, version):
        """Add an entity of a snapshot."""
        self._apply(kind, name, value, version)

    def resolve_route(self, account, method, path):
        """Return how a request is handled.

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
            If the account or a route is not known, or the account may not use the
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
            rank=_pick(entry.ranks, None, service.name, route.rank),
            idempotent=route.idempotent,
            deadline=service.deadline,
            limit=_pick(entry.limits, template.limits, service.name, None),
            floor=_pick(entry.floors, template.floors, service.name, 0.0),
        )

    def _apply(self, kind, name, value, version):
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


def _pick(own, shared, service, default):
    if own and service in own:
        return own[service]
    if shared and service in shared:
        return shared[service]
    return default
