"""Log lines on changes of the list of backend servers."""

from kumquatsaddle.logs import log_event

__all__ = ["log_first_list", "log_ignored_row", "log_late_state", "log_row"]


def log_first_list(rows, version):
    """Log the first list grouped by service and state, not per server.

    Parameters
    ----------
    rows : iterable of ListedRow
    version : int
        Of the list.
    """
    groups = {}
    for row in rows:
        service = row.record.service if row.record else ""
        groups.setdefault((service, _get_state(row)), []).append(row.key)
    for (service, state), keys in sorted(groups.items()):
        log_event(
            "backends_listed",
            service=service,
            state=state,
            backends=",".join(sorted(keys)),
            version=version,
        )


def log_row(row, before):
    """Log a changed row.

    Parameters
    ----------
    row : ListedRow
    before : ServerRecord or None
        The state that it replaced.
    """
    shown = row.record or before
    log_event(
        "backend_listed",
        backend=row.key,
        service=shown.service if shown else "",
        zone=shown.zone if shown else "",
        state=_get_state(row),
        version=row.version,
        started_at_ms=shown.started_at_ms if shown else "",
        sequence=shown.sequence if shown else "",
    )


def log_ignored_row(row, known):
    """Log a row that an answer brought after a newer one."""
    if 0 < row.version < known.version:
        log_event(
            "backend_ignored",
            backend=row.key,
            state=_get_state(row),
            version=row.version,
            known_version=known.version,
        )


def log_late_state(row, known, known_order, judgement):
    """Log a state that is older than the known one by the order of its server.

    Parameters
    ----------
    row, known : ListedRow
    known_order : StateOrder
    judgement : Judgement
        What became of it.
    """
    log_event(
        "backend_state_late",
        backend=row.key,
        judgement=judgement.value,
        state=_get_state(row),
        version=row.version,
        started_at_ms=row.record.started_at_ms,
        sequence=row.record.sequence,
        known_state=_get_state(known),
        known_started_at_ms=known_order.started_at_ms,
        known_sequence=known_order.sequence,
    )


def _get_state(row):
    """Return the state of a row as it appears in the log."""
    if row.record is None:
        return "removed" if row.removed else "invalid"
    return "draining" if row.record.draining else "ready"
