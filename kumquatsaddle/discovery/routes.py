"""The published routes in force at one instance, and the newest ones that it refused.

Routes are newer if their own version is higher, which the operator sets. The version of
their row only tells, within one epoch of the store, whether the row was seen before: a
store that came back from a copy gives its versions out again and may show older routes.

A version is taken over or refused as a whole. An instance that has refused the newest
version keeps the one before, and one that has none serves nothing; either has to be
visible at once, since nothing else shows that a change of the operator had no effect.
"""

import gc
from contextlib import contextmanager
from dataclasses import dataclass, replace

from kumquatsaddle.discovery.positions import StorePosition
from kumquatsaddle.exceptions import ConfigurationError
from kumquatsaddle.logs import log_event

__all__ = ["RouteDirectory", "RouteRefusal", "RoutesStatus"]

# Bounds the text on pages; it names the field and the problem.
_MAX_ERROR_CHARACTERS = 500


@dataclass(frozen=True, slots=True)
class RouteRefusal:
    """A version of the routes that was refused.

    Parameters
    ----------
    position : StorePosition
        Of its row in the store.
    error : str
        Why it was refused.
    """

    position: StorePosition
    error: str

    @property
    def row(self):
        """Version of the row."""
        return self.position.version


@dataclass(frozen=True, slots=True)
class RoutesStatus:
    """What an instance tells of its routes.

    Parameters
    ----------
    version : int
        Of the routes in force, as their operator has set it; 0 without any.
    row : int
        Version of their row in the store; 0 without any.
    refused_row : int
        Version of the newest row, if it was refused; else 0.
    problem : str
        Why there are no routes, or why the newest ones were refused; else empty.
    """

    version: int
    row: int
    refused_row: int
    problem: str


class RouteDirectory:
    """The routes of one instance.

    Parameters
    ----------
    store : DiscoveryStore
        Decodes them.

    Attributes
    ----------
    table : RouteTable or None
        The routes in force.
    row : RouteRow or None
        The row of the store from which they were read.
    refusal : RouteRefusal or None
        The newest version that was refused, if none newer is in force.
    on_change : callable
        Called without arguments when one of these has changed.
    """

    def __init__(self, store):
        self.table = None
        self.row = None
        self.refusal = None
        self.on_change = lambda: None
        self._store = store
        self._is_absent = False
        # Of the newest row with older routes that a restored store has shown.
        self._outdated_position = None

    @property
    def known_version(self):
        """Version of the row in force in the store; 0 without any."""
        return self.row.version if self.row is not None else 0

    @property
    def revision(self):
        """Version of the routes in force, as their operator has set it; 0 without."""
        return self.table.version if self.table is not None else 0

    def get_version(self, epoch):
        """Return the version of the row in force in an epoch; 0 if it has none there.

        Parameters
        ----------
        epoch : StoreEpoch
            Of the store.
        """
        if self.row is None or self.row.epoch != epoch:
            return 0
        return self.row.version

    def record_absence(self):
        """Record that the store has answered and has no routes."""
        if self.row is None and self.refusal is None and not self._is_absent:
            self._is_absent = True
            log_event("routes_missing", level="WARNING", problem=self._find_problem())

    def apply(self, row, from_peer=False):
        """Take over the routes of a row, or refuse them; return whether they are new.

        Parameters
        ----------
        row : RouteRow
        from_peer : bool, default=False
            Whether another instance sent it, which has hidden the API keys.
        """
        if self._is_seen(row):
            return False
        try:
            table, text = self._decode(row, from_peer)
            if self.table is not None and table.version <= self.revision:
                self._compare_older(row, table, text, from_peer)
                return False
        except ConfigurationError as error:
            self._refuse(row, str(error))
            return False
        self.table, self.row = table, replace(row, text=text)
        self._drop_refusal()
        log_event("routes_in_force", version=table.version, row=row.version)
        self.on_change()
        return True

    def confirm(self, position):
        """Record where the store has the routes in force, as a peer has read it.

        Parameters
        ----------
        position : StorePosition
            Of their row.
        """
        if self.row is not None:
            self._move_row(position)

    def describe(self):
        """Return the `RoutesStatus`."""
        return RoutesStatus(
            self.revision,
            self.known_version,
            self.refusal.row if self.refusal is not None else 0,
            self._find_problem(),
        )

    def _is_seen(self, row):
        """Return whether a row of this epoch, or a newer one, was judged before."""
        if row.version <= self.get_version(row.epoch) and row.version:
            return True
        if self.refusal is not None and row.position == self.refusal.position:
            return True
        return row.position == self._outdated_position

    def _decode(self, row, from_peer):
        """Return the `RouteTable` of a row and its text without API keys."""
        if row.error:
            raise ConfigurationError(row.error)
        with _without_collections():
            if from_peer:
                return self._store.parse_routes(row.text), row.text
            return self._store.parse_published_routes(row.text)

    def _compare_older(self, row, table, text, from_peer):
        """Handle routes that are not newer than those in force.

        Raises
        ------
        ConfigurationError
            If the operator published them after those in force.
        """
        if from_peer:
            # A peer that has not heard of the newer routes yet.
            return
        if table.version == self.revision and text == self.row.text:
            self._move_row(row.position)
            return
        if row.epoch == self.row.epoch:
            raise ConfigurationError(
                f"{table.version} is not a newer version than {self.revision}"
            )
        self._outdated_position = row.position
        log_event(
            "routes_outdated",
            level="WARNING",
            version=table.version,
            row=row.version,
            known_version=self.revision,
        )

    def _move_row(self, position):
        """Record that the store has the routes in force at another position."""
        self.row = replace(self.row, version=position.version, epoch=position.epoch)
        self._drop_refusal()
        log_event("routes_confirmed", version=self.revision, row=position.version)
        self.on_change()

    def _drop_refusal(self):
        """Forget the refusal of a row of another epoch or before that in force."""
        if self.refusal is None:
            return
        refused, in_force = self.refusal.position, self.row.position
        if refused.epoch != in_force.epoch or refused < in_force:
            self.refusal = None

    def _refuse(self, row, error):
        log_event("routes_refused", level="ERROR", version=row.version, error=error)
        known = self.refusal.position if self.refusal is not None else None
        if known is None or known.epoch != row.epoch or known < row.position:
            self.refusal = RouteRefusal(row.position, error[:_MAX_ERROR_CHARACTERS])
            self.on_change()

    def _find_problem(self):
        if self.refusal is not None:
            return f"row {self.refusal.row} of the store: {self.refusal.error}"
        if self.table is not None:
            return ""
        if self._is_absent:
            return "the store has no routes"
        return "the store has not answered yet"


@contextmanager
def _without_collections():
    """Run no garbage collection, which takes a fifth of the time of a long version.

    Decoding makes many objects that stay, and no cycles.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
