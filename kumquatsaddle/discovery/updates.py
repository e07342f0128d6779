"""What an instance answers to the fetch of another one, and what it takes from answers.

All versions in a fetch and its answer are of the epoch of the store that they name. An
instance that asks in another epoch gets the whole list of servers.
"""

from kumquatsaddle.discovery.listed_rows import ListedRow
from kumquatsaddle.discovery.positions import NO_EPOCH
from kumquatsaddle.exceptions import ConfigurationError
from kumquatsaddle.logs import log_event
from kumquatsaddle.sharing.update_messages import (
    EncodedRow,
    Update,
)

__all__ = ["make_update", "parse_rows"]


def make_update(fetch, epoch, route_directory, servers, now):
    """Return the `Update` that answers a fetch, without instances.

    Parameters
    ----------
    fetch : Fetch
    epoch : StoreEpoch
        Of the versions here.
    route_directory : RouteDirectory
    servers : ServerDirectory
    now : float
        In seconds.
    """
    row, version = route_directory.row, route_directory.get_version(epoch)
    # Builds that do not tell the epoch do not know it either.
    knows_epoch = fetch.store_epoch in (epoch, NO_EPOCH)
    if fetch.routes_revision or not fetch.routes_after:
        has_newer = route_directory.revision > fetch.routes_revision
    else:
        has_newer = version > fetch.routes_after
    after = fetch.servers_after if knows_epoch else 0
    changes, complete_version = servers.list_changes(after, now)
    return Update(
        routes_version=version,
        routes=row.text if row is not None and has_newer else b"",
        servers_version=servers.content_version,
        rows=tuple(
            EncodedRow(row.key, row.version, row.removed, row.text, row.keep_seconds)
            for row in changes
        ),
        instances=(),
        complete_version=complete_version,
        store_epoch=epoch,
    )


def parse_rows(store, rows):
    """Return the `ListedRow` of each row of an update.

    Parameters
    ----------
    store : DiscoveryStore
    rows : iterable of EncodedRow
    """
    return [_parse_row(store, row) for row in rows]


def _parse_row(store, row):
    record = None
    # A removed entry has a text only if its last state is known.
    if row.text or not row.removed:
        try:
            record = store.parse_server(row.key, row.text)
        except ConfigurationError as error:
            log_event("backend_entry_invalid", backend=row.key, error=error)
    return ListedRow(
        row.key, row.version, record, row.removed, row.text, row.keep_seconds
    )
