"""Callers of a test fleet that follow the protocol and keep account of the answers.

An order carries a unique body. After NOT_RUN the caller tries again with a new
operation id; after UNKNOWN it repeats the same id, also elsewhere, and gives up after
a few tries. Whatever happens, a body runs at most once.
"""

import json

import trio

from kumquatsaddle.dispatch.connections import ExchangeError

__all__ = ["Account", "check_account", "note_done", "send_lookup", "send_order"]

_MAX_TRIES = 4
_TIMEOUT = 4.0


class Account:
    """What the callers of a test were told."""

    def __init__(self):
        self.done = set()
        self.refused_operations = set()
        self.open_bodies = set()
        self.refused_bodies = set()
        self.wrong = []
        self.lookups = 0
        self.outcomes = {}

    def count(self, outcome):
        """Count an outcome."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def _read(raw, name):
    value = raw.get_header(name)
    return value.decode() if value else ""


async def _try(fleet, entry, method, target, body, headers):
    """Return the answer of one attempt, or None if there was none."""
    try:
        return await fleet.call(
            entry.callers, method, target, body, headers, timeout=_TIMEOUT
        )
    except (ExchangeError, trio.TooSlowError):
        return None


async def send_lookup(fleet, account, rng, number):
    """Send a lookup to any instance and check that the answer is its own."""
    target = f"/lookup/{number}"
    raw = await _try(fleet, rng.choice(fleet.alive()), "GET", target, b"", ())
    if raw is None:
        return account.count("lookup-none")
    outcome = _read(raw, b"kumquatsaddle-outcome")
    account.count(f"lookup-{outcome}")
    account.lookups += 1
    if outcome == "done" and raw.status == 200:
        if json.loads(raw.body)["target"] != target:
            account.wrong.append(target)


async def send_order(fleet, account, rng, number):
    """Send an order until it is done, or given up with an open outcome."""
    body = f"order-{number}"
    keyed = rng.random() < 0.3
    entry = rng.choice(fleet.alive())
    headers = await _name_operation(fleet, account, entry, keyed, body)
    account.open_bodies.add(body)
    for _ in range(_MAX_TRIES):
        raw = await _try(fleet, entry, "POST", "/order", body.encode(), headers)
        outcome = _read(raw, b"kumquatsaddle-outcome") if raw else "none"
        account.count(f"order-{outcome}")
        entry = rng.choice(fleet.alive())
        if outcome == "done":
            account.open_bodies.discard(body)
            return note_done(account, raw, body)
        if outcome == "not-run":
            account.refused_operations.add(_read(raw, b"kumquatsaddle-operation"))
            if not keyed:
                headers = await _name_operation(fleet, account, entry, keyed, body)
    if outcome == "not-run":
        account.open_bodies.discard(body)
        account.refused_bodies.add(body)


def note_done(account, raw, body):
    """Note an order that was answered done, and check that the answer is its own."""
    if raw.status != 200 or not raw.body:
        return
    account.done.add(body)
    if _read(raw, b"kumquatsaddle-reason") == "answer_forgotten":
        # The body describes the outcome; the answer itself is no longer kept.
        return
    if json.loads(raw.body).get("echo") != body:
        account.wrong.append(body)


async def _name_operation(fleet, account, entry, keyed, body):
    if keyed:
        return [("Idempotency-Key", body)]
    try:
        issued = await fleet.issue(entry)
    except (ExchangeError, trio.TooSlowError):
        # Without an id there is no way to repeat; a key serves as well.
        return [("Idempotency-Key", body)]
    return [("Kumquatsaddle-Operation", issued[0])]


def check_account(account, executions, bodies):
    """Check what the callers were told against what the backend servers ran.

    Parameters
    ----------
    account : Account
    executions, bodies : dict of str to int
        How often each operation id and each request body ran.

    Raises
    ------
    AssertionError
        If an operation or a body ran twice, one ran that was refused, or an answer
        was not the caller's own.
    """
    assert not account.wrong, account.wrong
    twice = {name: n for name, n in (executions | bodies).items() if n > 1}
    assert not twice, f"ran twice: {twice}"
    ran = account.refused_operations & set(executions)
    assert not ran, f"ran although refused: {ran}"
    ran = account.refused_bodies & set(bodies)
    assert not ran, f"ran although refused: {ran}"
    lost = account.done - set(bodies)
    assert not lost, f"done but never ran: {lost}"
