"""Status of an instance and explanations of routing decisions for operators."""

from urllib.parse import urlsplit

from kumquatsaddle.admission.limits import get_limit_share
from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.types import RefusalReason

__all__ = ["describe_status", "explain_request"]


def describe_status(node):
    """Return the status of an instance as a JSON object.

    Parameters
    ----------
    node : Node

    Returns
    -------
    dict
    """
    pools = node.dispatcher.pools.values()
    return {
        "instance": node.name,
        "state": node.table.own.state.value,
        "version": node.configuration.version,
        "behind_s": round(node.distribution.get_seconds_behind(), 3),
        "members": _describe_members(node),
        "groups": [
            {
                "group": group.name,
                "service": group.service,
                "tokens": group.tokens,
                "members": [member.name for member in group.members],
            }
            for group in node.placement.list_groups(node.name)
        ],
        "servers": [
            _describe_server(pool, server)
            for pool in pools
            for server in _sort_servers(pool)
        ],
        "queues": [
            {"service": pool.service.name, "waiting": len(pool.queue)} for pool in pools
        ],
        "counters": _describe_counters(node.metrics),
    }


def explain_request(node, query):
    """Return how this instance would handle a request, and why.

    Parameters
    ----------
    node : Node
    query : dict
        Query parameters ``account``, ``method`` and ``path``.

    Returns
    -------
    dict

    Raises
    ------
    RefusedError
        If the request would be refused, with the reason that a caller would get.
    """
    account, method = query.get("account", ""), query.get("method", "GET").upper()
    path = urlsplit(query.get("path", "")).path
    if not account:
        raise RefusedError(RefusalReason.UNKNOWN_ACCOUNT, "account is missing")
    route = node.configuration.resolve_route(account, method, path)
    limit = route.limit
    return {
        "account": account,
        "template": node.configuration.accounts[account].template,
        "service": route.service,
        "rank": route.rank.name.lower(),
        "idempotent": route.idempotent,
        "deadline_s": route.deadline,
        "limit": {"rate": limit.rate, "burst": limit.burst} if limit else None,
        "floor": route.floor,
        "homes": _explain_homes(node, route.service, account),
    }


def _explain_homes(node, service, account):
    weights = node.placement.homes_of(service)
    ordered = node.order_homes(service, account)
    homes = []
    for index, name in enumerate(ordered):
        position = ("primary", "second")[index] if index < 2 else "further home"
        why = f"{position}: weighted rendezvous score over service and account"
        homes.append(
            {
                "instance": name,
                "servers": weights[name],
                "limit_share": get_limit_share(name, ordered),
                "why": why,
            }
        )
    for name in sorted(set(weights) - set(ordered)):
        member = node.table.members.get(name)
        state = member.state.value if member else "unknown"
        why = f"left out: its state is {state}"
        entry = {"instance": name, "servers": weights[name], "limit_share": 0.0}
        homes.append({**entry, "why": why})
    return homes


def _describe_members(node):
    entries = []
    for name in sorted(node.table.members):
        member = node.table.members[name]
        version, _ = node.distribution.peer_versions.get(name, (None, 0.0))
        if name == node.name:
            version = node.configuration.version
        entries.append(
            {
                "instance": name,
                "state": member.state.value,
                "zone": member.zone,
                "region": member.region,
                "control": member.control,
                "callers": member.callers,
                "version": version,
            }
        )
    return entries


def _sort_servers(pool):
    return [pool.servers[name] for name in sorted(pool.servers)]


def _describe_server(pool, server):
    return {
        "server": server.name,
        "service": pool.service.name,
        "address": str(server.address),
        "state": server.health.state.value,
        "limit": round(server.adaptive_limit, 3),
        "in_flight": server.in_flight,
    }


def _describe_counters(metrics):
    entries = [
        {"name": f"refusals {reason.value}", "value": value}
        for reason, value in metrics.refusals.items()
    ]
    entries += [
        {"name": f"retries {reason.value}", "value": value}
        for reason, value in metrics.retries.items()
    ]
    for (name, labels), value in sorted(metrics.counts.items()):
        words = " ".join(f"{key}={label}" for key, label in labels)
        entries.append({"name": f"{name} {words}".strip(), "value": value})
    return [entry for entry in entries if entry["value"]]
