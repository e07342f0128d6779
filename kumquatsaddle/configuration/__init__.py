"""Configuration entities, the change log that stores them and its distribution."""

from kumquatsaddle.configuration.changes import (
    Change,
    commit_change,
    make_initial_changes,
    read_changes,
)
from kumquatsaddle.configuration.commits import (
    Edit,
    commit_edit,
    read_history,
    withdraw_edit,
)
from kumquatsaddle.configuration.entities import (
    Account,
    Drain,
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
from kumquatsaddle.configuration.values import dump_entity

__all__ = [
    "Account",
    "Change",
    "Configuration",
    "Drain",
    "Edit",
    "Limit",
    "ResolvedRoute",
    "Route",
    "Service",
    "Template",
    "commit_change",
    "commit_edit",
    "dump_entity",
    "make_configuration",
    "parse_entity",
    "read_changes",
    "read_history",
    "make_initial_changes",
    "withdraw_edit",
]
