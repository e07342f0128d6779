"""Review of a configuration before it is sent: errors, warnings and differences.

Works on decoded tables and does no I/O. An error is what the fleet refuses; a warning
is what it accepts although a part of it cannot work as it says.
"""

import re
from collections import Counter
from dataclasses import dataclass

from kumquatsaddle.exceptions import ConfigurationError
from kumquatsaddle.routes.capacity import Capacity
from kumquatsaddle.routes.differences import compare_tables
from kumquatsaddle.routes.findings import (
    Finding,
    Problem,
    Severity,
    checks,
    format_number,
    whole_checks,
)
from kumquatsaddle.routes.table import RouteTable

__all__ = ["DecodedConfiguration", "review_configuration", "review_table"]

# Requests with another host or path are refused or lose it before they are matched: a
# port is ignored, and `entry.heads` accepts only these characters of a path.
_HOST = re.compile(r"[!-9;-~]+")
_PREFIX = re.compile(r"/(?!/)[!\"$->@-\[\]-~]*")
_DOT_SEGMENT = re.compile(
    r"(?:/|%2f|%5c)(?:\.|%2e){1,2}(?=[/;]|%2f|%5c)", re.IGNORECASE
)
# Characters of a host or a prefix.
_MAX_SHOWN = 80


@dataclass(frozen=True, slots=True)
class DecodedConfiguration:
    """A configuration as a format has decoded it.

    Parameters
    ----------
    table : RouteTable or None
        Without invalid entries; None if nothing could be decoded.
    errors : tuple of ConfigurationError
    ignored : tuple of ConfigurationError
        Valid entries that have no effect.
    """

    table: RouteTable | None
    errors: tuple[ConfigurationError, ...] = ()
    ignored: tuple[ConfigurationError, ...] = ()


def review_configuration(proposed, in_force=None, capacity=None):
    """Return the findings on a configuration.

    Parameters
    ----------
    proposed : DecodedConfiguration
    in_force : RouteTable, optional
        What the fleet uses now. Differences are listed only if `proposed` has no
        errors, since entries would seem to be removed.
    capacity : Capacity, optional
        Enables the checks of work and quotas.

    Returns
    -------
    list of Finding
        Errors, warnings, differences.
    """
    findings = [
        Finding(Severity.ERROR, "invalid", error.field or "", error.problem)
        for error in proposed.errors
    ]
    findings += [
        Finding(Severity.WARNING, "no_effect", entry.field or "", entry.problem)
        for entry in proposed.ignored
    ]
    if proposed.table is not None:
        is_whole = not proposed.errors
        findings += review_table(proposed.table, capacity, is_whole)
        if in_force is not None and is_whole:
            findings += compare_tables(in_force, proposed.table)
    return findings


def review_table(table, capacity=None, is_whole=True):
    """Return the warnings on one table.

    Parameters
    ----------
    table : RouteTable
    capacity : Capacity, optional
    is_whole : bool, default=True
        False if entries were left out because of errors.

    Returns
    -------
    list of Finding
    """
    capacity = capacity or Capacity()
    registries = (checks, whole_checks) if is_whole else (checks,)
    return [
        Finding(Severity.WARNING, name, problem.subject, problem.text)
        for registry in registries
        for name in registry.names()
        for problem in registry.get(name)(table, capacity)
    ]


@checks.register("unreachable_route")
def _find_unreachable_routes(table, capacity):
    for route in table.list_routes():
        subject = f"routes/{route.name}"
        if not _HOST.fullmatch(route.host):
            text = f"no request is matched to the host {route.host[:_MAX_SHOWN]!r}"
            yield Problem(subject, f"{text}; it has a port or is no host name")
        if not _PREFIX.fullmatch(route.prefix) or _DOT_SEGMENT.search(route.prefix):
            prefix = route.prefix[:_MAX_SHOWN]
            yield Problem(subject, f"no path of a request begins with {prefix!r}")


@checks.register("repeated_route_name")
def _find_repeated_names(table, capacity):
    counts = Counter(route.name for route in table.list_routes())
    for name, count in counts.items():
        if count > 1:
            text = f"{count} routes have this name; logs do not tell them apart"
            yield Problem(f"routes/{name}", text)


@checks.register("zero_weight")
def _find_zero_weights(table, capacity):
    for route in table.list_routes():
        for share in route.shares:
            if share.weight == 0:
                text = f"service {share.service!r} has weight 0 and gets no request"
                yield Problem(f"routes/{route.name}", text)


@checks.register("objective_above_timeout")
def _find_late_objectives(table, capacity):
    for route in table.list_routes():
        if route.objective > route.timeout:
            objective, timeout = map(format_number, (route.objective, route.timeout))
            text = f"the objective of {objective} s is above the timeout of {timeout} s"
            yield Problem(f"routes/{route.name}", text)


@checks.register("timeout_below_work")
def _find_short_timeouts(table, capacity):
    for route in table.list_routes():
        work = capacity.work.get(route.name, 0.0)
        if route.timeout < work:
            timeout, usual = map(format_number, (route.timeout, work))
            text = f"the timeout of {timeout} s is below the usual work of {usual} s"
            yield Problem(f"routes/{route.name}", text)


@checks.register("account_without_keys")
def _find_accounts_without_keys(table, capacity):
    if table.accounts is None:
        return
    digests_by_name = table.accounts.group_key_digests()
    for name in table.accounts.accounts:
        if name not in digests_by_name:
            yield Problem(f"accounts/{name}", "has no API key, so no request is its")


@checks.register("burst_below_one")
def _find_small_bursts(table, capacity):
    for account in _list_limited_accounts(table):
        if account.quota.burst < 1:
            burst = format_number(account.quota.burst)
            text = f"the burst of {burst} is below one request"
            yield Problem(f"accounts/{account.name}", text)


@checks.register("idle_timeout_below_head_timeout")
def _find_short_idle_timeout(table, capacity):
    limits = table.limits
    if limits is not None and limits.idle_timeout < limits.head_timeout:
        idle, head = map(format_number, (limits.idle_timeout, limits.head_timeout))
        text = f"the idle timeout of {idle} s is below the head timeout of {head} s"
        yield Problem("limits", text)


@whole_checks.register("no_routes")
def _find_missing_routes(table, capacity):
    if not any(table.list_routes()):
        yield Problem("routes", "there is no route, so every request is refused")


@whole_checks.register("unused_service")
def _find_unused_services(table, capacity):
    used = {share.service for route in table.list_routes() for share in route.shares}
    for name in table.services:
        if name not in used:
            yield Problem(f"services/{name}", "no route names this service")


@whole_checks.register("quota_above_capacity")
def _find_large_quotas(table, capacity):
    routes = list(table.list_routes())
    rates = [capacity.compute_rate(service, routes) for service in table.services]
    if not rates or None in rates:
        return
    total = sum(rates)
    for account in _list_limited_accounts(table):
        if account.quota.rate > total:
            rate, capacity_rate = map(format_number, (account.quota.rate, total))
            text = (
                f"the quota of {rate}/s is above the {capacity_rate}/s of all services"
            )
            yield Problem(f"accounts/{account.name}", text)


def _list_limited_accounts(table):
    accounts = table.accounts.accounts.values() if table.accounts is not None else ()
    return [account for account in accounts if account.quota is not None]
