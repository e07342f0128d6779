"""What one instance knows of the store, in the latest epoch that it has heard of.

It alone moves on to the next epoch, when an answer of the store or a message of a peer
names it. All versions here are of that epoch; versions of others are never compared
with them.
"""

from kumquatsaddle.discovery.positions import NO_EPOCH, StorePosition
from kumquatsaddle.discovery.routes import RouteDirectory
from kumquatsaddle.discovery.servers import ServerDirectory
from kumquatsaddle.discovery.store import RouteRow
from kumquatsaddle.discovery.updates import make_update, parse_rows
from kumquatsaddle.exceptions import PlatformUnavailableError
from kumquatsaddle.logs import log_event
from kumquatsaddle.sharing.update_messages import Fetch

__all__ = ["StoreKnowledge"]


class StoreKnowledge:
    """The routes and the list of servers of one instance, and their epoch.

    Parameters
    ----------
    store : DiscoveryStore
        Decodes what peers send.
    metrics : Metrics
    clock : callable
        Returns seconds.

    Attributes
    ----------
    epoch : StoreEpoch
    routes : RouteDirectory
    servers : ServerDirectory
    on_store_restored : callable
        Called without arguments when the store has come back from a copy.
    """

    def __init__(self, store, metrics, clock):
        self.epoch = NO_EPOCH
        self.routes = RouteDirectory(store)
        self.servers = ServerDirectory(metrics)
        self.on_store_restored = lambda: None
        self._store = store
        self._metrics = metrics
        self._clock = clock

    def check_epoch(self, position):
        """Move on to the epoch of an answer of the store.

        Parameters
        ----------
        position : StorePosition

        Raises
        ------
        PlatformUnavailableError
            If the answer is of an earlier epoch than the latest one.
        """
        if position.epoch < self.epoch:
            raise PlatformUnavailableError(
                f"an answer of epoch {position.epoch} came after epoch {self.epoch}"
            )
        self.hear_epoch(position.epoch, "store")

    def hear_epoch(self, epoch, source):
        """Leave all versions behind if the store came back from a copy.

        Parameters
        ----------
        epoch : StoreEpoch
        source : str
            Who named it.
        """
        if epoch <= self.epoch:
            return
        before, self.epoch = self.epoch, epoch
        self.servers.enter_epoch(epoch, self._clock())
        if before == NO_EPOCH:
            # The first that is heard of it is no return.
            return
        self._metrics.count("store_returns")
        log_event(
            "store_restored",
            level="WARNING",
            before=before,
            epoch=epoch,
            source=source,
            routes_version=self.routes.revision,
            backends=len(self.servers.list_records()),
        )
        self.on_store_restored()

    def hear_report(self, report):
        """Take over from the report of a peer of the zone where the store stands.

        Parameters
        ----------
        report : Report
        """
        self.hear_epoch(report.store_epoch, report.sender.name)
        if report.store_epoch != self.epoch:
            return
        if report.routes_revision != self.routes.revision:
            return
        if report.routes_version > self.routes.get_version(self.epoch):
            self.routes.confirm(StorePosition(self.epoch, report.routes_version))

    def is_unknown(self, report):
        """Return whether a peer may have read what is not known here, by its report."""
        return report.store_epoch != self.epoch or self.has_newer_versions(report)

    def has_newer_versions(self, report):
        """Return whether the sender of a report has newer routes or servers."""
        if report.store_epoch == self.epoch:
            if report.servers_version > self.servers.content_version:
                return True
        return self.has_newer_routes(report)

    def has_newer_routes(self, report):
        """Return whether the sender of a report has newer routes."""
        if report.routes_revision:
            return report.routes_revision > self.routes.revision
        # Builds that do not tell it do not tell the epoch either.
        known = self.routes.get_version(self.epoch)
        return report.store_epoch == self.epoch and report.routes_version > known

    def make_fetch(self, sender, wants_instances):
        """Return the `Fetch` of what is not known here.

        Parameters
        ----------
        sender : InstanceId
        wants_instances : bool
        """
        return Fetch(
            sender,
            self.routes.get_version(self.epoch),
            self.servers.content_version,
            wants_instances,
            accepts_compressed=True,
            store_epoch=self.epoch,
            routes_revision=self.routes.revision,
        )

    def make_update(self, fetch):
        """Return the `Update` that answers a `Fetch`, without instances."""
        return make_update(fetch, self.epoch, self.routes, self.servers, self._clock())

    def apply_routes(self, update):
        """Take over the routes of an `Update`; return whether they are new."""
        self.hear_epoch(update.store_epoch, "fetch")
        if not update.routes:
            return False
        row = RouteRow(update.routes_version, update.routes, epoch=update.store_epoch)
        return self.routes.apply(row, from_peer=True)

    def apply_servers(self, update):
        """Apply the rows of an `Update`; return whether the list changed."""
        self.hear_epoch(update.store_epoch, "fetch")
        rows, now = parse_rows(self._store, update.rows), self._clock()
        if update.store_epoch != self.epoch:
            return self.servers.merge_states(rows, now)
        return self.servers.apply_peer_changes(
            rows, update.servers_position, update.complete_version, now
        )
