"""Callers of a test fleet that follow the protocol and record the answers.

An order has a unique body. After NOT_RUN the caller retries with a new operation id;
after any other failure it repeats the same id, at any instance, and gives up after
`_MAX_ATTEMPTS` attempts. In every case a body must run at most once.
"""

import json

import trio

from kumquatsaddle.dispatch.connections import ExchangeError

__all__ = [
    "CallerRecord",
    "check_caller_record",
    "record_done_order",
    "send_lookup",
    "send_order",
]

_MAX_ATTEMPTS = 4
_TIMEOUT_SECONDS = 4.0


class CallerRecord:
    """What the instances answered to the callers of a test.

    Attributes
    ----------
    done_bodies : set of str
        Bodies of the orders that were answered as done.
    not_run_operations, not_run_bodies : set of str
        Operation ids that were answered as not run, and bodies of the orders whose
        last attempt was.
    unresolved_bodies : set of str
        Bodies of the orders whose outcome is not known.
    mismatched : list of str
        Lookup targets and order bodies whose answer belongs to another request.
    lookups : int
        Number of lookups that were answered.
    outcomes : dict of str to int
        Number of attempts by kind of request and outcome.
    """

    def __init__(self):
        self.done_bodies = set()
        self.not_run_operations = set()
        self.unresolved_bodies = set()
        self.not_run_bodies = set()
        self.mismatched = []
        self.lookups = 0
        self.outcomes = {}

    def count_outcome(self, outcome):
        """Add one to the count of an outcome."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def _read_header(raw, name):
    value = raw.get_header(name)
    return value.decode() if value else ""


async def _send_attempt(fleet, entry, method, target, body, headers):
    """Return the answer of one attempt, or None if there was none."""
    try:
        return await fleet.call(
            entry.callers, method, target, body, headers, timeout=_TIMEOUT_SECONDS
        )
    except (ExchangeError, trio.TooSlowError):
        return None


async def send_lookup(fleet, record, rng, number):
    """Send a lookup to a random instance; check that the answer belongs to it."""
    target = f"/lookup/{number}"
    raw = await _send_attempt(
        fleet, rng.choice(fleet.list_running()), "GET", target, b"", ()
    )
    if raw is None:
        return record.count_outcome("lookup-none")
    outcome = _read_header(raw, b"kumquatsaddle-outcome")
    record.count_outcome(f"lookup-{outcome}")
    record.lookups += 1
    if outcome == "done" and raw.status == 200:
        if json.loads(raw.body)["target"] != target:
            record.mismatched.append(target)


async def send_order(fleet, record, rng, number):
    """Send an order until it is done or `_MAX_ATTEMPTS` attempts were made."""
    body = f"order-{number}"
    keyed = rng.random() < 0.3
    entry = rng.choice(fleet.list_running())
    headers = await _make_operation_headers(fleet, record, entry, keyed, body)
    record.unresolved_bodies.add(body)
    for _ in range(_MAX_ATTEMPTS):
        raw = await _send_attempt(
            fleet, entry, "POST", "/order", body.encode(), headers
        )
        outcome = _read_header(raw, b"kumquatsaddle-outcome") if raw else "none"
        record.count_outcome(f"order-{outcome}")
        entry = rng.choice(fleet.list_running())
        if outcome == "done":
            record.unresolved_bodies.discard(body)
            return record_done_order(record, raw, body)
        if outcome == "not-run":
            record.not_run_operations.add(_read_header(raw, b"kumquatsaddle-operation"))
            if not keyed:
                headers = await _make_operation_headers(
                    fleet, record, entry, keyed, body
                )
    if outcome == "not-run":
        record.unresolved_bodies.discard(body)
        record.not_run_bodies.add(body)


def record_done_order(record, raw, body):
    """Record an order answered as done; check that the answer belongs to it.

    An answer of another status than 200 or without a body is not recorded.
    """
    if raw.status != 200 or not raw.body:
        return
    record.done_bodies.add(body)
    if _read_header(raw, b"kumquatsaddle-reason") == "answer_forgotten":
        # The ledger no longer stores the answer; the body describes the outcome only.
        return
    if json.loads(raw.body).get("echo") != body:
        record.mismatched.append(body)


async def _make_operation_headers(fleet, record, entry, keyed, body):
    if keyed:
        return [("Idempotency-Key", body)]
    try:
        issued = await fleet.issue_operations(entry)
    except (ExchangeError, trio.TooSlowError):
        # An order without an id or key cannot be repeated; use a key instead.
        return [("Idempotency-Key", body)]
    return [("Kumquatsaddle-Operation", issued[0])]


def check_caller_record(record, executions, bodies):
    """Compare the answers to the callers with what the backend servers ran.

    Parameters
    ----------
    record : CallerRecord
    executions, bodies : dict of str to int
        How often a request with each operation id, and with each body, was executed.

    Raises
    ------
    AssertionError
        If an operation or an order ran twice, one ran that was answered as not run, one
        never ran that was answered as done, or an answer belongs to another request.
    """
    assert not record.mismatched, record.mismatched
    twice = {name: n for name, n in (executions | bodies).items() if n > 1}
    assert not twice, f"operations or orders ran twice: {twice}"
    contradicted = record.not_run_operations & set(executions)
    assert not contradicted, f"operations answered as not run, but ran: {contradicted}"
    contradicted = record.not_run_bodies & set(bodies)
    assert not contradicted, f"orders answered as not run, but ran: {contradicted}"
    lost = record.done_bodies - set(bodies)
    assert not lost, f"orders answered as done, but never ran: {lost}"
