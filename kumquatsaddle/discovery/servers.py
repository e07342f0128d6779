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
        Version of the newest row that changed the list, here or at a peer whose changes
        were applied.
    history_start : int
        Version after which all changes are known, so that a peer that knows the list as
        of then needs only the rows that changed since.
    """

    def __init__(self):
        self.version = 0
        self.content_version = 0
        self.history_start = 0
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
        return self._apply_rows(rows, version, now)

    def apply_peer_changes(self, rows, version, complete_version, now):
        """Apply what a peer answered to a fetch; return whether the list changed.

        Parameters
        ----------
        rows : iterable of ListedRow
        version : int
            Of the newest change that the peer knows.
        complete_version : int
            Version as of which the rows are the whole list; 0 if they are only those
            that changed.
        now : float
            In seconds.

        Notes
        -----
        A removal is final: the peer has kept an entry that may have lapsed for its
        grace period. An entry that is only missing may have lapsed before the peer
        started.
        """
        if complete_version:
            changed = self.apply_snapshot(rows, complete_version, now, from_peer=True)
        else:
            changed = self._apply_rows(rows, version, now, from_peer=True)
        self.content_version = max(self.content_version, version)
        return changed

    def apply_snapshot(self, rows, version, now, from_peer=False):
        """Replace the list by the complete one as of a version.

        Parameters
        ----------
        rows : iterable of ListedRow
        version : int
        now : float
            In seconds.
        from_peer : bool, default=False
            Whether a peer sent the list.

        Returns
        -------
        bool
            Whether the list changed. A version older than the known one is ignored.
        """
        if version < self.version:
            return False
        if not self._rows:
            self.history_start = version
        rows = {row.key: row for row in rows}
        missing = [
            ListedRow(key, version, None, removed=True)
            for key, row in self._rows.items()
            if key not in rows and not row.removed
        ]
        changed = self._apply_rows(rows.values(), version, now, from_peer)
        return self._apply_rows(missing, version, now) or changed

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
        """Return the rows for a peer that knows the list as of a version.

        Returns
        -------
        rows : list of ListedRow
        complete_version : int
            Version as of which they are the whole list; 0 if they are only those that
            changed after `after`.
        """
        if after < self.history_start:
            return list(self._rows.values()), self.version
        return [row for row in self._rows.values() if row.version > after], 0

    def _apply_rows(self, rows, version, now, from_peer=False):
        changed, is_first = False, not self._rows
        for row in rows:
            changed |= self._apply_row(row, now, not is_first, from_peer)
        self.version = max(self.version, version)
        if is_first and self._rows:
            self._log_first_list()
        self._prune_removed()
        return changed

    def _apply_row(self, row, now, is_logged, is_final):
        known = self._rows.get(row.key)
        if known is not None and not self._is_newer(row, known, is_final):
            return False
        if row.removed and known is not None and known.record is not None:
            in_outage = now < self._outage_until and not is_final
            if in_outage and not known.record.draining:
                # Keep the old record for a grace period; see `expire_lapsed`.
                kept = ListedRow(row.key, row.version, known.record, text=known.text)
                self._rows[row.key] = kept
                self._lapse_deadlines.setdefault(row.key, now + _LAPSE_GRACE_SECONDS)
                log_event("backend_missing", backend=row.key, version=row.version)
                return False
        if is_final or not row.removed:
            self._lapse_deadlines.pop(row.key, None)
        self._rows[row.key] = row
        before = known.record if known is not None else None
        if known is not None and before == row.record:
            return False
        self.content_version = max(self.content_version, row.version)
        if is_logged:
            self._log_row(row, before)
        return True

    def _is_newer(self, row, known, is_final):
        """Return whether a row replaces the known one with the same key."""
        if is_final and row.removed and row.key in self._lapse_deadlines:
            # The peer's grace period for the same removal is over.
            return row.version >= known.version
        return row.version > known.version

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
            self.history_start = max(self.history_start, row.version)
            del self._rows[row.key]


def _get_row_state(row):
    """Return the state of a row as it appears in the log."""
    if row.record is None:
        return "removed" if row.removed else "invalid"
    return "draining" if row.record.draining else "ready"
