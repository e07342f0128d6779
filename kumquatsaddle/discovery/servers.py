"""The list of backend servers, kept consistent across late reads and store outages.

A state of a server replaces another one by what the server says of their order, see
`kumquatsaddle.discovery.server_states`. Removals, and states without such an order,
follow the versions of the store, which come from one counter. They mean something only
within one epoch of the store: at its return from a copy all versions are dropped, and
the states stay.

An entry that is removed around an outage of the store, or missing after its return from
a copy, may be so only because its server could not renew it. Such a server is kept
until it had time to write the entry again. The row itself is the removal from the
start, for this instance and for those that fetch from it; only its record stays in use.
"""

from dataclasses import replace

from kumquatsaddle.discovery.late_states import LateStates
from kumquatsaddle.discovery.listed_rows import ListedRow
from kumquatsaddle.discovery.outages import RETURN_GRACE_SECONDS, StoreOutages
from kumquatsaddle.discovery.positions import NO_EPOCH
from kumquatsaddle.discovery.server_log import (
    log_first_list,
    log_ignored_row,
    log_row,
)
from kumquatsaddle.discovery.server_orders import ServerOrders
from kumquatsaddle.discovery.server_states import Judgement
from kumquatsaddle.logs import log_event
from kumquatsaddle.metrics import make_metrics

__all__ = ["ListedRow", "ServerDirectory"]

# Removed rows that are kept for peers that fetch changes.
_MAX_REMOVED_ROWS = 2000


class ServerDirectory:
    """The list of backend servers that one instance knows.

    All its versions are of one epoch of the store. Positions of another epoch raise
    `ValueError`.

    Parameters
    ----------
    metrics : Metrics, optional

    Attributes
    ----------
    outages : StoreOutages
        The owner records there when the store answers an instance.
    epoch : StoreEpoch
    is_known : bool
        Whether the list was known at some time.
    version : int
        Newest version of the store up to which all changes are known; 0 if the list was
        not read in this epoch.
    content_version : int
        Version of the newest row that changed the list, here or at a peer whose changes
        were applied.
    history_start : int
        Version after which all changes are known, so that a peer that knows the list as
        of then needs only the rows that changed since.
    """

    def __init__(self, metrics=None):
        self.outages = StoreOutages()
        self.epoch = NO_EPOCH
        self.is_known = False
        self.version = 0
        self.content_version = 0
        self.history_start = 0
        self._rows = {}
        self._orders = ServerOrders(metrics or make_metrics())
        self._late = LateStates()
        # Until when the servers of removed entries are kept, by key.
        self._kept_until = {}

    def enter_epoch(self, epoch, now):
        """Drop all versions, since the store came back from a copy; keep the states.

        Parameters
        ----------
        epoch : StoreEpoch
        now : float
            In seconds.
        """
        self.epoch = epoch
        self.version = self.content_version = self.history_start = 0
        self._late.clear()
        self._rows = {key: replace(row, version=0) for key, row in self._rows.items()}
        for key, until in self._kept_until.items():
            self._kept_until[key] = max(until, now + RETURN_GRACE_SECONDS)

    def apply_changes(self, rows, position, now):
        """Apply changed rows up to a position; return whether the list changed.

        Parameters
        ----------
        rows : iterable of ListedRow
        position : StorePosition
        now : float
            In seconds.
        """
        self._check_epoch(position)
        return self._apply_rows(rows, position.version, now)

    def apply_peer_changes(self, rows, position, complete_version, now):
        """Apply what a peer answered to a fetch; return whether the list changed.

        Parameters
        ----------
        rows : iterable of ListedRow
        position : StorePosition
            Of the newest change that the peer knows.
        complete_version : int
            Version as of which the rows are the whole list; 0 if they are only those
            that changed.
        now : float
            In seconds.

        Notes
        -----
        A removal is final unless the peer keeps the server. An entry that is only
        missing may have expired before the peer started.
        """
        if complete_version:
            complete = replace(position, version=complete_version)
            changed = self.apply_snapshot(rows, complete, now, from_peer=True)
        else:
            self._check_epoch(position)
            changed = self._apply_rows(rows, position.version, now, from_peer=True)
        self.content_version = max(self.content_version, position.version)
        return changed

    def apply_snapshot(self, rows, position, now, from_peer=False):
        """Replace the list by the complete one as of a position.

        Parameters
        ----------
        rows : iterable of ListedRow
        position : StorePosition
        now : float
            In seconds.
        from_peer : bool, default=False
            Whether a peer sent the list.

        Returns
        -------
        bool
            Whether the list changed. A version older than the known one is ignored.
        """
        self._check_epoch(position)
        version = position.version
        if version < self.version:
            log_event("backends_ignored", version=version, known_version=self.version)
            return False
        is_first = self.version == 0
        if is_first or not self._rows:
            self.history_start = version
        rows = list(rows)
        listed = {row.key for row in rows}
        missing = [
            ListedRow(
                key,
                version,
                None,
                removed=True,
                keep_seconds=RETURN_GRACE_SECONDS if is_first else 0.0,
            )
            for key, row in self._rows.items()
            if key not in listed and not row.removed
        ]
        if is_first and self._rows:
            # After a return, the peers fetch the list with its new versions.
            self.content_version = version
        changed = self._apply_rows(rows, version, now, from_peer)
        return self._apply_rows(missing, version, now) or changed

    def merge_states(self, rows, now):
        """Learn the states that a peer knows from another epoch of the store.

        Their versions mean nothing here. A state counts if it is newer by the order of
        its server; one that the peer knows to have ended is held until the server had
        time to write again. Return whether the list changed.

        Parameters
        ----------
        rows : iterable of ListedRow
        now : float
            In seconds.
        """
        return self._apply_rows([replace(row, version=0) for row in rows], 0, now, True)

    def expire_kept(self, now):
        """Drop the servers whose time to return is over; return whether there were any.

        None is dropped while the store answers no instance: until it does, no server
        can return.
        """
        if self._may_return(now):
            return False
        due = [key for key, until in self._kept_until.items() if until <= now]
        for key in due:
            del self._kept_until[key]
            row = self._rows[key]
            self._rows[key] = replace(row, record=None)
            log_event("backend_lapsed", backend=key, version=row.version)
        return bool(due)

    def accept_late(self, read_at, now):
        """Apply the rows that were held and still stand; return whether there were any.

        None is applied while the store answers no instance: until it does, no server
        can write its entry again.

        Parameters
        ----------
        read_at : float
            Time of the newest read of the store of which all is known, in seconds. An
            instance that was frozen does not know yet what has followed.
        now : float
            In seconds.
        """
        if self._may_return(now):
            return False
        due = self._late.pop_due(read_at)
        for row in due:
            before = self._rows[row.key].record
            self._orders.set(row)
            self._replace_row(row)
            log_event("backend_late_state_accepted", backend=row.key)
            log_row(row, before)
        return bool(due)

    def list_records(self):
        """Return the records of all usable entries."""
        return [row.record for row in self._rows.values() if row.record is not None]

    def list_keys(self):
        """Return the keys of all entries that were not removed."""
        return [row.key for row in self._rows.values() if not row.removed]

    def list_changes(self, after, now):
        """Return the rows for a peer that knows the list as of a version.

        Parameters
        ----------
        after : int
            The version that the peer knows.
        now : float
            In seconds.

        Returns
        -------
        rows : list of ListedRow
        complete_version : int
            Version as of which they are the whole list; 0 if they are only those that
            changed after `after`.
        """
        if self.version == 0:
            # Not read in this epoch; what is known of the servers holds all the same.
            rows, complete_version = list(self._rows.values()), 0
        elif after < self.history_start:
            rows, complete_version = list(self._rows.values()), self.version
        else:
            rows = [row for row in self._rows.values() if row.version > after]
            complete_version = 0
        # After the state that they did not replace, so that the peer holds them, too.
        rows += self._late.list_newer(0 if complete_version else after)
        return [self._state_keeping(row, now) for row in rows], complete_version

    def _state_keeping(self, row, now):
        """Return a row that tells a peer how long its server is kept."""
        until = self._kept_until.get(row.key)
        if until is None or not row.removed:
            return row
        until = max(until, self.outages.get_return_deadline(now))
        return replace(row, keep_seconds=max(0.0, until - now))

    def _check_epoch(self, position):
        if position.epoch != self.epoch:
            raise ValueError(f"{position} is not of epoch {self.epoch} of the list")

    def _may_return(self, now):
        """Return whether servers may have had no time yet to write their entries."""
        return self.outages.is_out(now) or self.outages.get_return_deadline(now) > now

    def _apply_rows(self, rows, version, now, from_peer=False):
        changed, is_first = False, not self._rows
        for row in rows:
            changed |= self._apply_row(row, now, not is_first, from_peer)
        self.version = max(self.version, version)
        self.is_known = self.is_known or self.version > 0
        if is_first and self._rows:
            log_first_list(self._rows.values(), self.version)
        self._prune_removed()
        return changed

    def _apply_row(self, row, now, is_logged, from_peer):
        known = self._rows.get(row.key)
        if row.version == 0 and (known is not None or self._is_unlisted(row)):
            return known is not None and self._merge_row(row, known, now)
        if known is not None and not self._is_newer(row, known):
            log_ignored_row(row, known)
            return False
        if known is not None and self._orders.judge(row, known) is Judgement.HOLD:
            self._late.hold(row, now)
            self.content_version = max(self.content_version, row.version)
            return False
        supersedes_late = self._late.drop(row.key)
        if row.removed:
            kept = _find_kept_record(row, known)
            until = self._compute_kept_until(row, now, from_peer)
            if kept is not None and until > now:
                self._orders.note(row)
                return self._keep_server(row, kept, until, is_new=known is None)
        self._orders.note(row)
        before = known.record if known is not None else None
        self._replace_row(row)
        record = self._rows[row.key].record
        if known is not None and before == record:
            # Peers may hold the late state, too.
            if supersedes_late or known.removed != row.removed:
                self.content_version = max(self.content_version, row.version)
            return False
        self.content_version = max(self.content_version, row.version)
        if is_logged:
            log_row(self._rows[row.key], before)
        return True

    def _is_unlisted(self, row):
        """Return whether a state without a version names a server not in the list."""
        return self.version > 0 and not row.removed

    def _merge_row(self, row, known, now):
        """Learn a state without a version; return whether the list changed."""
        if row.record is None or row.keep_seconds:
            return False
        if row.removed:
            if known.record is None or not self._orders.is_superseded_by(row):
                return False
            if known.version:
                self._late.hold(known, now)
            self._replace_row(replace(row, version=0))
            log_row(self._rows[row.key], known.record)
            return True
        if known.removed or not self._orders.is_before(row):
            return False
        self._orders.note(row)
        self._replace_row(replace(row, version=known.version))
        log_row(self._rows[row.key], known.record)
        return row.record != known.record

    def _is_newer(self, row, known):
        """Return whether a row comes after those known with the same key."""
        late = self._late.find(row.key)
        newest = known.version if late is None else late.version
        if row.removed and row.key in self._kept_until and not row.keep_seconds:
            # Another instance knows the same removal to be final.
            return row.version >= newest
        return row.version > newest

    def _replace_row(self, row):
        """Put a row in the place of the known one with the same key."""
        self._kept_until.pop(row.key, None)
        known = self._rows.get(row.key)
        record, text = row.record, row.text
        if row.removed:
            record = None
            text = text or (known.text if known is not None else b"")
        elif record is not None and record.draining and known is not None:
            if known.record is not None and self._orders.is_after(row):
                # Said by an earlier state: the incarnation stays the known one.
                record = replace(known.record, draining=True)
        self._rows[row.key] = replace(row, record=record, text=text, keep_seconds=0.0)

    def _compute_kept_until(self, row, now, from_peer):
        """Return until when the server of a removed entry is kept.

        A peer has read the removal and knows whether the entry may have expired in an
        outage; its row has the time that is left.
        """
        until = now + row.keep_seconds
        if from_peer:
            return until
        return max(until, self.outages.get_return_deadline(now))

    def _keep_server(self, row, record, until, is_new):
        """Keep a server whose entry may have expired; return whether it is new."""
        known = self._rows.get(row.key)
        text = known.text if known is not None else row.text
        self._rows[row.key] = ListedRow(
            row.key, row.version, record, removed=True, text=text
        )
        self._kept_until[row.key] = until
        self.content_version = max(self.content_version, row.version)
        log_event("backend_missing", backend=row.key, version=row.version)
        return is_new

    def _prune_removed(self):
        removed = [row for row in self._rows.values() if row.removed]
        for row in sorted(removed, key=lambda row: row.version)[:-_MAX_REMOVED_ROWS]:
            self.history_start = max(self.history_start, row.version)
            self._late.drop(row.key)
            self._orders.drop(row.key)
            self._kept_until.pop(row.key, None)
            del self._rows[row.key]


def _find_kept_record(row, known):
    """Return the record of a removed server that may return, or None."""
    record = known.record if known is not None else row.record
    return record if record is not None and not record.draining else None
