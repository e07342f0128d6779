"""The list of backend servers, followed through changes and outages of the store.

Rows carry versions from one counter, so rows that arrive late or from an old replica
never undo newer ones. An entry that vanishes around an outage of the store may have
lapsed only because its server could not renew it; it is kept for a short time and
taken as gone if the server does not write it again.
"""

from dataclasses import dataclass

from kumquatsaddle.discovery.records import ServerRecord
from kumquatsaddle.logs import log_event

__all__ = ["ListedRow", "ServerDirectory"]

# Time in seconds after the store answers again in which lapsed entries come back.
_LAPSE_TIME = 2.2
# Time in seconds after a failed call within which a removal may be a lapse.
_OUTAGE_TIME = 1.0
# Removed entries that are remembered for peers that ask for changes.
_MOST_REMOVED = 2000


@dataclass(frozen=True, slots=True)
class ListedRow:
    """One entry of the list as it stands in the store.

    Parameters
    ----------
    key : str
    version : int
    record : ServerRecord or None
        None if the entry was removed or names no server to use.
    removed : bool
    text : bytes
        The entry as the platform encodes it, for other instances.
    """

    key: str
    version: int
    record: ServerRecord | None
    removed: bool = False
    text: bytes = b""


class ServerDirectory:
    """The list of backend servers at one instance.

    Attributes
    ----------
    version : int
        Newest version of the store whose changes are all known.
    content_version : int
        Version of the newest row that said something new.
    """

    def __init__(self):
        self.version = 0
        self.content_version = 0
        self._rows = {}
        self._lapsed = {}
        self._outage_until = float("-inf")

    def note_outage(self, now):
        """Note that a call to the store failed."""
        self._outage_until = now + _OUTAGE_TIME
        for key in self._lapsed:
            self._lapsed[key] = float("inf")

    def note_return(self, now):
        """Note that the store answers again."""
        for key, due in self._lapsed.items():
            if due == float("inf"):
                self._lapsed[key] = now + _LAPSE_TIME

    def apply_changes(self, rows, version, now):
        """Take over changed rows up to a version; return whether the list changed.

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
        self._forget_removed()
        return changed

    def apply_whole(self, rows, version, now):
        """Take over the whole list as of a version.

        Returns
        -------
        bool
            Whether the list changed. An older version than the known one changes
            nothing.
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
        """Drop entries that did not come back; return whether there were any."""
        due = [key for key, time in self._lapsed.items() if time <= now]
        for key in due:
            del self._lapsed[key]
            row = self._rows[key]
            self._rows[key] = ListedRow(key, row.version, None, removed=True)
            self.content_version = max(self.content_version, row.version)
            log_event("backend_lapsed", backend=key, version=row.version)
        return bool(due)

    def list_records(self):
        """Return the usable entries."""
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
                # Kept as it was; see `expire_lapsed`.
                kept = ListedRow(row.key, row.version, known.record, text=known.text)
                self._rows[row.key] = kept
                self._lapsed.setdefault(row.key, now + _LAPSE_TIME)
                log_event("backend_missing", backend=row.key, version=row.version)
                return False
        if not row.removed:
            self._lapsed.pop(row.key, None)
        self._rows[row.key] = row
        before = known.record if known is not None else None
        if known is not None and before == row.record:
            return False
        self.content_version = max(self.content_version, row.version)
        if is_logged:
            self._log(row, before)
        return True

    def _log_first_list(self):
        """Log the first list by service and state, not server by server."""
        groups = {}
        for row in self._rows.values():
            service = row.record.service if row.record else ""
            groups.setdefault((service, _read_state(row)), []).append(row.key)
        for (service, state), keys in sorted(groups.items()):
            log_event(
                "backends_listed",
                service=service,
                state=state,
                backends=",".join(sorted(keys)),
                version=self.version,
            )

    def _log(self, row, before):
        record = row.record
        shown = record or before
        log_event(
            "backend_listed",
            backend=row.key,
            service=shown.service if shown else "",
            zone=shown.zone if shown else "",
            state=_read_state(row),
            version=row.version,
        )

    def _forget_removed(self):
        removed = [row for row in self._rows.values() if row.removed]
        for row in sorted(removed, key=lambda row: row.version)[:-_MOST_REMOVED]:
            del self._rows[row.key]


def _read_state(row):
    """Return the state of a row as the log names it."""
    if row.record is None:
        return "removed" if row.removed else "invalid"
    return "draining" if row.record.draining else "ready"
