"""Requests of callers to the fleet itself, below ``/.kumquatsaddle/``."""

import json
from urllib.parse import parse_qs, urlsplit

from kumquatsaddle.addresses.answers import answer_addresses
from kumquatsaddle.exchange import Answer
from kumquatsaddle.registries import Registry
from kumquatsaddle.types import AccountId, Outcome, RefusalReason, ServiceName

__all__ = ["RESERVED_PREFIX", "answer_reserved", "reserved_pages"]

RESERVED_PREFIX = "/.kumquatsaddle/"
reserved_pages = Registry("reserved page")

# Time in seconds that a caller may keep an address answer.
_ADDRESS_TTL = 10
_MAX_BATCH = 256
# Longest number in a query; keeps int() cheap.
_MAX_DIGITS = 9


def answer_reserved(node, method, target):
    """Return the answer to a request below the reserved prefix.

    Parameters
    ----------
    node : Node
    method, target : str

    Returns
    -------
    Answer
    """
    parts = urlsplit(target)
    page = f"{method} {parts.path.removeprefix(RESERVED_PREFIX)}"
    if page not in reserved_pages.names():
        return Answer.refuse(RefusalReason.UNKNOWN_ROUTE)
    query = {key: values[0] for key, values in parse_qs(parts.query).items()}
    return reserved_pages.get(page)(node, query)


@reserved_pages.register("GET addresses")
def _answer_addresses(node, query):
    """Return the addresses that the callers of an account should use."""
    service = ServiceName(query.get("service", ""))
    entries = answer_addresses(
        node.placement.homes_of(service),
        service,
        AccountId(query.get("account", "")),
        {member.name: member.callers for member in node.serving_members()},
    )
    addresses = [
        {"address": entry.address, "instance": entry.instance} for entry in entries
    ]
    return _make_answer({"addresses": addresses, "ttl": _ADDRESS_TTL})


@reserved_pages.register("POST operations")
def _issue_operations(node, query):
    """Return operation ids that only this instance may dispatch."""
    count = query.get("count", "1")
    if not (count.isascii() and count.isdigit() and len(count) <= _MAX_DIGITS):
        return Answer.refuse(RefusalReason.BAD_REQUEST)
    if not 0 < int(count) <= _MAX_BATCH:
        return Answer.refuse(RefusalReason.BAD_REQUEST)
    now = node.clock()
    issued = [node.issuer.issue(now) for _ in range(int(count))]
    return _make_answer({"operations": issued})


def _make_answer(value):
    headers = ((b"Content-Type", b"application/json"),)
    return Answer(Outcome.DONE, 200, headers, json.dumps(value).encode())
