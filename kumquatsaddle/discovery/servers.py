"""The list of backend servers, kept consistent across late reads and store outages.

All rows carry versions from one counter, so a row that arrives late or from an old
replica never replaces a newer one. An entry that is removed around an outage of the
store may have lapsed only because its server could not renew it. Such an entry is kept
for a grace period and dropped if the server does not write it again.
"""

from dataclasses import dataclass

from kumquatsaddle.discovery.records import ServerRecord
from kumquatsaddle.logs import log_event

__all__ = ["ListedRow", "ServerDirectory"]

# How long lapsed entries are kept after the store answers again.
_LAPSE_GRACE_SECONDS = 2.2
# How long after a failed call a removal is treated as a possible lapse.
_OUTAGE_WINDOW_SECONDS = 1.0
# Removed rows that are kept for peers that fetch changes.
_MAX_REMOVED_ROWS = 2000


@dataclass(frozen=True, slots=True)
class ListedRow:
    """One row of the list of backend servers in the store.

    Parameters
    ----------
    key : str
    version : int
    record : ServerRecord or None
        None if the entry was removed or is invalid.
    removed : bool
    text : bytes
        The entry in the encoding of the platform, for other instances.
    """

    key: str
    version: int
    record: ServerRecord | None
    removed: bool = False
    text: bytes = b""


class ServerDirectory:
    """The list of backend servers that one instance knows.

    Attributes
    ----------
    version : int
        Newest version of the store up to which all changes are known.
    content_version : int
        Version of the newest row that changed the list.
    """

    def __init__(self):
        self.version = 0
        self.content_version = 0
        self._rows = {}
        self._lapse_deadlines = {}
        self._outage_until = float("-inf")

    def record_call_failure(self, now):
        """Record a failed call; lapsed entries are kept until the store answers."""
        self._outage_until = now + _OUTAGE_WINDOW_SECONDS
        for key in self._lapse_deadlines:
            self._lapse_deadlines[key] = float("inf")

    def record_call_success(self, now):
        """Record a successful call; it starts the grace period of lapsed entries."""
        for key, due in self._lapse_deadlines.items():
            if due == float("inf"):
                self._lapse_deadlines[key] = now + _LAPSE_GRACE_SECONDS

    def apply_changes(self, rows, version, now):
        """Apply changed rows up to a version; return whether the list changed.

        Parameters
        ----------
        rows : iterable of ListedRow
        version : int
        now : float
            In seconds.
        """
        changed, is_first = False, not self._rows
        for row in rows:
            changed |= self._apply_row(row, now, is_logged=not is_first)
        self.version = max(self.version, version)
        if is_first:
            self._log_first_list()
        self._prune_removed()
        return changed

    def apply_snapshot(self, rows, version, now):
        """Replace the list by the complete one as of a version.

        Returns
        -------
        bool
            Whether the list changed. A version older than the known one is ignored.
        """
        if version < self.version:
            return False
        rows = {row.key: row for row in rows}
        missing = [
            ListedRow(key, version, None, removed=True)
            for key, row in self._rows.items()
            if key not in rows and not row.removed
        ]
        return self.apply_changes([*rows.values(), *missing], version, now)

    def expire_lapsed(self, now):
        """Drop entries whose grace period is over; return whether there were any."""
        due = [key for key, time in self._lapse_deadlines.items() if time <= now]
        for key in due:
            del self._lapse_deadlines[key]
            row = self._rows[key]
            self._rows[key] = ListedRow(key, row.version, None, removed=True)
            self.content_version = max(self.content_version, row.version)
            log_event("backend_lapsed", backend=key, version=row.version)
        return bool(due)

    def list_records(self):
        """Return the records of all usable entries."""
        return [row.record for row in self._rows.values() if row.record is not None]

    def list_keys(self):
        """Return the keys of all entries that were not removed."""
        return [row.key for row in self._rows.values() if not row.removed]

    def list_changes(self, after):
        """Return the rows that changed after a version."""
        return [row for row in self._rows.values() if row.version > after]

    def _apply_row(self, row, now, is_logged):
        known = self._rows.get(row.key)
        if known is not None and row.version <= known.version:
            return False
        if row.removed and known is not None and known.record is not None:
            if now < self._outage_until and not known.record.draining:
                # Keep the old record for a grace period; see `expire_lapsed`.
                kept = ListedRow(row.key, row.version, known.record, text=known.text)
                self._rows[row.key] = kept
                self._lapse_deadlines.setdefault(row.key, now + _LAPSE_GRACE_SECONDS)
                log_event("backend_missing", backend=row.key, version=row.version)
                return False
        if not row.removed:
            self._lapse_deadlines.pop(row.key, None)
        self._rows[row.key] = row
        before = known.record if known is not None else None
        if known is not None and before == row.record:
            return False
        self.content_version = max(self.content_version, row.version)
        if is_logged:
            self._log_row(row, before)
        return True

    def _log_first_list(self):
        """Log the first list grouped by service and state, not per server."""
        groups = {}
        for row in self._rows.values():
            service = row.record.service if row.record else ""
            groups.setdefault((service, _get_row_state(row)), []).append(row.key)
        for (service, state), keys in sorted(groups.items()):
            log_event(
                "backends_listed",
                service=service,
                state=state,
                backends=",".join(sorted(keys)),
                version=self.version,
            )

    def _log_row(self, row, before):
        record = row.record
        shown = record or before
        log_event(
            "backend_listed",
            backend=row.key,
            service=shown.service if shown else "",
            zone=shown.zone if shown else "",
            state=_get_row_state(row),
            version=row.version,
        )

    def _prune_removed(self):
        removed = [row for row in self._rows.values() if row.removed]
        for row in sorted(removed, key=lambda row: row.version)[:-_MAX_REMOVED_ROWS]:
            del self._rows[row.key]


def _get_row_state(row):
    """Return the state of a row as it appears in the log."""
    if row.record is None:
        return "removed" if row.removed else "invalid"
    return "draining" if row.record.draining else "ready"
