"""Endpoints of the fleet itself for callers, below ``/.kumquatsaddle/``."""

import json
from urllib.parse import parse_qs, urlsplit

from kumquatsaddle.addresses.answers import answer_addresses
from kumquatsaddle.exchange import Answer
from kumquatsaddle.registries import Registry
from kumquatsaddle.types import AccountId, Outcome, RefusalReason, ServiceName

__all__ = ["RESERVED_PREFIX", "answer_reserved", "reserved_endpoints"]

RESERVED_PREFIX = "/.kumquatsaddle/"
reserved_endpoints = Registry("reserved endpoint")

# Time for which a caller may cache the list of addresses.
_ADDRESS_TTL_SECONDS = 10
_MAX_OPERATIONS_PER_REQUEST = 256
# Bounds the cost of int() on a query value.
_MAX_COUNT_DIGITS = 9


def answer_reserved(node, method, target):
    """Return the answer to a request whose path has the reserved prefix.

    Parameters
    ----------
    node : Node
    method, target : str

    Returns
    -------
    Answer
    """
    parts = urlsplit(target)
    endpoint = f"{method} {parts.path.removeprefix(RESERVED_PREFIX)}"
    if endpoint not in reserved_endpoints.names():
        return Answer.from_reason(RefusalReason.UNKNOWN_ROUTE)
    query = {key: values[0] for key, values in parse_qs(parts.query).items()}
    return reserved_endpoints.get(endpoint)(node, query)


@reserved_endpoints.register("GET addresses")
def _answer_addresses(node, query):
    """Return the addresses that the callers of an account should use."""
    service = ServiceName(query.get("service", ""))
    entries = answer_addresses(
        node.placement.homes_of(service),
        service,
        AccountId(query.get("account", "")),
        {member.name: member.callers for member in node.list_serving_members()},
    )
    addresses = [
        {"address": entry.address, "instance": entry.instance} for entry in entries
    ]
    return _make_json_answer({"addresses": addresses, "ttl": _ADDRESS_TTL_SECONDS})


@reserved_endpoints.register("POST operations")
def _issue_operations(node, query):
    """Return new operation ids; only this instance may dispatch requests with them."""
    count = query.get("count", "1")
    if not (count.isascii() and count.isdigit() and len(count) <= _MAX_COUNT_DIGITS):
        return Answer.from_reason(RefusalReason.BAD_REQUEST)
    if not 0 < int(count) <= _MAX_OPERATIONS_PER_REQUEST:
        return Answer.from_reason(RefusalReason.BAD_REQUEST)
    now = node.clock()
    operations = [node.issuer.issue(now) for _ in range(int(count))]
    return _make_json_answer({"operations": operations})


def _make_json_answer(value):
    headers = ((b"Content-Type", b"application/json"),)
    return Answer(Outcome.DONE, 200, headers, json.dumps(value).encode())
