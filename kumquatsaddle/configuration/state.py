"""The configuration in force at one instance.

The owner applies changes strictly in the order of their versions, so the version
never goes down.
"""

from dataclasses import dataclass

from kumquatsaddle.configuration.entities import Limit, parse_entity
from kumquatsaddle.exceptions import ConfigurationError, RefusedError
from kumquatsaddle.types import ConfigVersion, Rank, RefusalReason, ServiceName

__all__ = ["Configuration", "ResolvedRoute", "make_configuration"]


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
    """Services, templates and accounts at one version."""

    def __init__(self):
        self.version = ConfigVersion(0)
        self.services = {}
        self.templates = {}
        self.accounts = {}

    def apply_change(self, change):
        """Apply the change that follows the version in force.

        Parameters
        ----------
        change : Change

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
        entities = self._entities(change.kind)
        if change.value is None:
            entities.pop(change.name, None)
        else:
            entities[change.name] = parse_entity(change.kind, change.name, change.value)
        self.version = ConfigVersion(change.version)
        return True

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
        for route in template.routes:
            if path.startswith(route.prefix) and route.method in ("*", method):
                break
        else:
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

    def _entities(self, kind):
        try:
            return {
                "service": self.services,
                "template": self.templates,
                "account": self.accounts,
            }[kind]
        except KeyError:
            raise ConfigurationError(f"unknown kind {kind!r}", "kind") from None


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
