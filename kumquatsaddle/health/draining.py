"""What a backend server and the list say about its draining.

A negative statement of a server about itself is believed at once. Its end is
believed from the source that made it: the list, or a health endpoint that has
reported the draining before. A health endpoint that never reported it may mislead, so
that a statement made only on answers holds for a fixed time, which doubles on repeats.
"""

__all__ = ["DrainEvidence"]

# Time in seconds that a statement made only on answers holds: the list shows a
# leaving server within 30 s.
_FIRST_HOLD = 30.0
_LONGEST_HOLD = 300.0
# Probes in a row without the statement after which a reported draining has ended.
_CLEAR_PROBES = 2


class DrainEvidence:
    """Statements about the draining of one server."""

    def __init__(self):
        self.listed = False
        self._reported = False
        self._clear = 0
        self._hold = 0.0
        self._held_until = 0.0

    def note_answer(self, now):
        """Note the statement on an answer; `now` is in seconds."""
        if now >= self._held_until:
            self._hold = min(_LONGEST_HOLD, max(_FIRST_HOLD, 2 * self._hold))
            self._held_until = now + self._hold

    def note_probe(self, draining):
        """Note what the health endpoint says."""
        self._clear = 0 if draining else self._clear + 1
        if draining:
            self._reported = True

    def holds(self, now):
        """Return whether the server is still draining."""
        if self.listed:
            return True
        if self._reported:
            return self._clear < _CLEAR_PROBES
        return now < self._held_until

    def end(self):
        """Forget what the server said, because it is back."""
        self._held_until = 0.0
        if self._reported:
            self._reported = False
            self._hold = 0.0
