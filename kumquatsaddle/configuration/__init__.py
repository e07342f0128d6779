"""Services, templates and client accounts, and the change log that carries them."""

from kumquatsaddle.configuration.changes import (
    Change,
    commit_change,
    read_changes,
    seed_changes,
)
from kumquatsaddle.configuration.entities import (
    Account,
    Limit,
    Route,
    Service,
    Template,
    parse_entity,
)
from kumquatsaddle.configuration.state import (
    Configuration,
    ResolvedRoute,
    make_configuration,
)

__all__ = [
    "Account",
    "Change",
    "Configuration",
    "Limit",
    "ResolvedRoute",
    "Route",
    "Service",
    "Template",
    "commit_change",
    "make_configuration",
    "parse_entity",
    "read_changes",
    "seed_changes",
]
