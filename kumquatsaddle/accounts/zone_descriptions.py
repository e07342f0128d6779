"""When the summaries of a zone describe the instances that may own quotas.

Load: one summary a second for each other zone. The records of the instances are long,
so most summaries have only the hashes of their names.
"""

__all__ = ["ZoneDescriptions"]

# The active instances are described in each summary for this time after a change, and
# in one of some summaries afterwards, for instances that started since.
_DESCRIBED_AFTER_CHANGE_SECONDS = 3.0
_SUMMARIES_PER_DESCRIPTION = 8


class ZoneDescriptions:
    """The view of the own zone and when its instances are described.

    Parameters
    ----------
    now : float
        In seconds.

    Attributes
    ----------
    view : ZoneView or None
        None until the first update.
    """

    def __init__(self, now):
        self.view = None
        self._active_changed_at = now
        self._summaries = 0

    def update(self, view, now):
        """Set the `ZoneView`; return whether it has changed."""
        if view == self.view:
            return False
        if self.view is None or view.active != self.view.active:
            self._active_changed_at = now
        self.view = view
        return True

    def add_summary(self, now):
        """Count a summary; return whether it describes the instances."""
        self._summaries += 1
        if now - self._active_changed_at < _DESCRIBED_AFTER_CHANGE_SECONDS:
            return True
        return self._summaries % _SUMMARIES_PER_DESCRIPTION == 0
