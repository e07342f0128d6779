"""Combines the sources that say whether a backend server is draining.

The sources are the platform's list, the health endpoint and the answers of the server.
Draining starts as soon as one source reports it. When it ends depends on the source:

- the list: when its entry no longer says so;
- the health endpoint: when two probes in a row do not report it;
- answers only: after a fixed time, which doubles on repeats.

If the health endpoint has reported the draining, it decides on the end, also for
answers. One that never reported it may be wrong about the end, so it does not.
"""

__all__ = ["DrainStatus"]

# Hold time of a report that was made only on answers; it doubles on each repeat. The
# list shows a leaving server within 30 s.
_FIRST_HOLD_SECONDS = 30.0
_MAX_HOLD_SECONDS = 300.0
# Consecutive probes that do not report draining after which it has ended.
_CLEAR_PROBES_TO_END = 2


class DrainStatus:
    """Tracks whether one server is draining.

    Attributes
    ----------
    listed : bool
        Whether the platform's list says that the server is leaving.
    """

    def __init__(self):
        self.listed = False
        self._reported_by_probe = False
        self._clear_probes = 0
        self._hold_seconds = 0.0
        self._hold_until = 0.0

    def record_answer(self, now):
        """Record an answer that reports draining at the time `now`, in seconds."""
        if now >= self._hold_until:
            self._hold_seconds = min(
                _MAX_HOLD_SECONDS, max(_FIRST_HOLD_SECONDS, 2 * self._hold_seconds)
            )
            self._hold_until = now + self._hold_seconds

    def record_probe(self, draining):
        """Record whether the health endpoint reports draining."""
        self._clear_probes = 0 if draining else self._clear_probes + 1
        if draining:
            self._reported_by_probe = True

    def is_draining(self, now):
        """Return whether the server is still draining."""
        if self.listed:
            return True
        if self._reported_by_probe:
            return self._clear_probes < _CLEAR_PROBES_TO_END
        return now < self._hold_until

    def end(self):
        """Discard the reports of the server because its draining has ended."""
        self._hold_until = 0.0
        if self._reported_by_probe:
            self._reported_by_probe = False
            self._hold_seconds = 0.0
