"""The order of the newest state of each server in the list, also of removed ones."""

from kumquatsaddle.discovery.server_log import log_late_state
from kumquatsaddle.discovery.server_states import (
    Judgement,
    get_state_order,
    judge_state,
)

__all__ = ["ServerOrders"]


class ServerOrders:
    """The `StateOrder` of the newest state of each server, by key.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._orders = {}

    def note(self, row):
        """Remember the order of a row unless it has none or a newer one is known."""
        if row.record is None:
            return
        if row.key not in self._orders or self.is_before(row):
            self.set(row)

    def set(self, row):
        """Remember the order of a row in place of the known one."""
        self._orders[row.key] = get_state_order(row.record)

    def drop(self, key):
        """Forget the order of a server."""
        self._orders.pop(key, None)

    def is_before(self, row):
        """Return whether the known order is before that of a row with a record."""
        known = self._orders.get(row.key)
        return known is not None and known.is_before(get_state_order(row.record))

    def is_after(self, row):
        """Return whether the known order is after that of a row with a record."""
        known = self._orders.get(row.key)
        return known is not None and known.is_after(get_state_order(row.record))

    def is_superseded_by(self, row):
        """Return whether the known order is that of a row or before it."""
        return row.key in self._orders and not self.is_after(row)

    def judge(self, row, known):
        """Return the `Judgement` of a row; count and log a late one.

        Parameters
        ----------
        row, known : ListedRow
            The known row has no version if it was not read since the store came back
            from a copy.
        """
        if row.record is None or row.removed:
            return Judgement.APPLY
        known_order = self._orders.get(row.key)
        is_first = known.version == 0
        judgement = judge_state(row.record, known.record, known_order, is_first)
        if judgement is not Judgement.APPLY:
            self._metrics.count("backend_states_late", judgement=judgement.value)
            log_late_state(row, known, known_order, judgement)
        return judgement
