"""Differences between two tables of published routes.

Of API keys only the numbers of added and removed ones are given.
"""

from collections import Counter
from dataclasses import fields
from enum import Enum

from kumquatsaddle.accounts import Quota
from kumquatsaddle.routes.findings import (
    Finding,
    Problem,
    Severity,
    comparisons,
    format_number,
)

__all__ = ["compare_tables"]


def compare_tables(in_force, proposed):
    """Return what a proposed table changes, and whether the fleet would take it.

    Parameters
    ----------
    in_force, proposed : RouteTable

    Returns
    -------
    list of Finding
        Empty if the tables are equal.
    """
    differences = [
        Finding(Severity.DIFFERENCE, name, problem.subject, problem.text)
        for name in comparisons.names()
        for problem in comparisons.get(name)(in_force, proposed)
    ]
    return [*_find_risks(in_force, proposed, differences), *differences]


def _find_risks(in_force, proposed, differences):
    """Yield warnings on the step from one version to the other."""
    is_repeated = proposed.version == in_force.version and not differences
    if proposed.version <= in_force.version and not is_repeated:
        text = f"{proposed.version:x} is not above {in_force.version:x} in force"
        yield Finding(Severity.WARNING, "version_not_newer", "version", text)
    if in_force.accounts is not None and proposed.accounts is None:
        text = "there is none any more, so requests need no API key"
        yield Finding(Severity.WARNING, "no_accounts_left", "accounts", text)


@comparisons.register("routes")
def _compare_routes(in_force, proposed):
    before, after = _index_routes(in_force), _index_routes(proposed)
    return _compare_entries("routes/", before, after)


@comparisons.register("services")
def _compare_services(in_force, proposed):
    return _compare_entries("services/", in_force.services, proposed.services)


@comparisons.register("accounts")
def _compare_accounts(in_force, proposed):
    before, after = (
        table.accounts.accounts if table.accounts is not None else {}
        for table in (in_force, proposed)
    )
    return _compare_entries("accounts/", before, after)


@comparisons.register("keys")
def _compare_keys(in_force, proposed):
    before, after = (
        table.accounts.group_key_digests() if table.accounts is not None else {}
        for table in (in_force, proposed)
    )
    for name in _merge_names(before, after):
        old, new = before.get(name, set()), after.get(name, set())
        if old != new:
            text = f"API keys: {len(new - old)} added, {len(old - new)} removed"
            yield Problem(f"accounts/{name}", f"{text}, {len(new)} now")


@comparisons.register("limits")
def _compare_limits(in_force, proposed):
    before, after = (
        {} if table.limits is None else {"limits": table.limits}
        for table in (in_force, proposed)
    )
    return _compare_entries("", before, after)


def _index_routes(table):
    """Return the routes by name; those of a repeated name have host and prefix too."""
    counts = Counter(route.name for route in table.list_routes())
    return {
        route.name
        if counts[route.name] == 1
        else f"{route.name} {route.host}{route.prefix}": route
        for route in table.list_routes()
    }


def _compare_entries(place, before, after):
    """Yield a `Problem` for each entry of two dicts that differs."""
    for name in _merge_names(before, after):
        subject = f"{place}{name}"
        if name not in before:
            yield Problem(subject, "is added")
        elif name not in after:
            yield Problem(subject, "is removed")
        elif before[name] != after[name]:
            yield Problem(subject, _describe_change(before[name], after[name]))


def _merge_names(before, after):
    """Return the names of two dicts in the order of the first one."""
    return list(dict.fromkeys([*before, *after]))


def _describe_change(before, after):
    """Return the fields of two instances of a data class that differ."""
    changes = []
    for field in fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            changes.append(f"{field.name} {_format(old)} -> {_format(new)}")
    return ", ".join(changes)


def _format(value):
    if isinstance(value, Enum):
        return value.name.lower()
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Quota):
        return f"{format_number(value.rate)}/s burst {format_number(value.burst)}"
    if isinstance(value, tuple):
        shares = (f"{share.service}:{format_number(share.weight)}" for share in value)
        return "+".join(shares)
    if isinstance(value, int | float):
        return format_number(value)
    return "none" if value is None else str(value)
