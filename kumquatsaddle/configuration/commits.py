"""Commits the edits of operators: compare-and-set per entity and on the log.

An edit names the version of the entity that the operator saw. It conflicts only if
that entity has changed since; when other changes took the next version of the log the
edit is written again behind them. Every change names the previous change of its
entity, so a repeated edit finds itself by its change id even after later edits.

An edit is written at version n + 1 only after the change of version n has been read
and is not the edit itself. So it is never accepted twice, also when a write takes
effect late.
"""

import time
from dataclasses import dataclass
from functools import partial

from kumquatsaddle.configuration.changes import (
    check_change_id,
    commit_change,
    make_change_id,
    read_change,
    withdraw_change,
)
from kumquatsaddle.configuration.entities import parse_entity
from kumquatsaddle.configuration.snapshots import SNAPSHOT_INTERVAL
from kumquatsaddle.configuration.values import check_references, check_unused
from kumquatsaddle.exceptions import (
    ChangeNotWrittenError,
    ChangeUnknownError,
    ConfigurationError,
    ConflictError,
    PlatformUnavailableError,
)
from kumquatsaddle.types import ConfigurationRetry

__all__ = ["Edit", "check_edit", "commit_edit", "read_history", "withdraw_edit"]

# Attempts behind changes of other entities; each lost one means that one was accepted.
_MOST_ATTEMPTS = 50
# Changes of one entity that are followed back to find a repeated edit.
_MOST_STEPS = 50


@dataclass(frozen=True, slots=True)
class Edit:
    """What an operator wants.

    Parameters
    ----------
    kind, name : str
    value : dict or None
        JSON value; None removes the entity.
    expected : int or None
        Version of the entity that the operator saw; None if it must not exist.
    change_id : str
        The same in every repetition.
    operator : str
    repeated : bool
        Whether the edit may have been sent before.
    """

    kind: str
    name: str
    value: dict | None
    expected: int | None
    change_id: str = ""
    operator: str = ""
    repeated: bool = False


async def commit_edit(distribution, edit, clock=time.time):
    """Write an edit to the log and put it in force here.

    Parameters
    ----------
    distribution : Distribution
    edit : Edit
    clock : callable, optional
        Returns seconds since the epoch.

    Returns
    -------
    Change

    Raises
    ------
    ConfigurationError
        If it is invalid; nothing was written.
    ConflictError
        If the entity has changed since; nothing was written.
    ChangeNotWrittenError
        If the platform was not available; nothing was written.
    ChangeUnknownError
        If it may be written; the same edit again, marked as repeated, tells.
    """
    check_change_id(edit.change_id or None)
    change_id = edit.change_id or make_change_id()
    count_unanswered = partial(
        distribution.count_retry, ConfigurationRetry.WRITE_UNANSWERED
    )
    for _ in range(_MOST_ATTEMPTS):
        earlier = await _read_and_find(distribution, edit, change_id)
        if earlier is not None:
            return earlier
        configuration = distribution.configuration
        base = configuration.version
        check_edit(configuration, edit)
        try:
            change = await commit_change(
                distribution.platform,
                base,
                edit.kind,
                edit.name,
                edit.value,
                operator=edit.operator,
                time=clock(),
                change_id=change_id,
                previous=configuration.version_of(edit.kind, edit.name),
                on_retry=count_unanswered,
            )
        except ConflictError:
            # Another change has this version; the next loop reads it.
            distribution.count_retry(ConfigurationRetry.VERSION_TAKEN)
            continue
        await _put_in_force(distribution, change)
        return change
    raise ChangeNotWrittenError("other changes took every version; try again")


async def withdraw_edit(distribution, kind, name, change_id, operator=""):
    """Make sure that an edit with an unknown result never takes effect later.

    Returns
    -------
    Change or None
        The change if the edit was accepted, None if it never will be.

    Raises
    ------
    ChangeUnknownError
        If the platform did not answer.
    """
    edit = Edit(kind, name, None, None, change_id, operator, repeated=True)
    for _ in range(_MOST_ATTEMPTS):
        earlier = await _read_and_find(distribution, edit, change_id)
        if earlier is not None:
            return earlier
        change = await withdraw_change(
            distribution.platform,
            distribution.version,
            change_id,
            operator=operator,
            time=time.time(),
        )
        if change.change_id == f"not-{change_id}":
            await _put_in_force(distribution, change)
            return None
    raise ChangeUnknownError("other changes took every version; ask again")


def check_edit(configuration, edit):
    """Check an edit against a configuration.

    Raises
    ------
    ConfigurationError
        If it is invalid, refers to unknown entities or removes one in use.
    ConflictError
        If the entity has another version.
    """
    present = edit.name in configuration.entities(edit.kind)
    version = configuration.version_of(edit.kind, edit.name)
    place = f"{edit.kind}s/{edit.name}"
    if edit.expected is None and present:
        raise ConflictError(f"{place} exists, at version {version}")
    if edit.expected is not None and edit.expected != version:
        raise ConflictError(f"{place} is at version {version}, not {edit.expected}")
    if edit.value is not None:
        entity = parse_entity(edit.kind, edit.name, edit.value)
        check_references(configuration, entity)
        return
    if not present:
        raise ConfigurationError("does not exist", place)
    check_unused(configuration, edit.kind, edit.name)


async def read_history(distribution, kind, name, limit=20):
    """Return the changes of an entity, latest first.

    Raises
    ------
    PlatformUnavailableError
        If an older change has to be read from the table and cannot.
    """
    changes = []
    version = distribution.configuration.version_of(kind, name)
    while version > 0 and len(changes) < limit:
        change = distribution.history.find(version)
        if change is None:
            change = await read_change(distribution.platform, version)
        if change is None:
            break
        changes.append(change)
        if change.previous >= version:
            break
        version = change.previous
    return changes


async def _read_and_find(distribution, edit, change_id):
    """Read the table and return the change of an earlier attempt, or None."""
    try:
        await _read_log(distribution)
        version = distribution.configuration.version_of(edit.kind, edit.name)
        # A repeated edit may name a version that it has itself made.
        if not edit.repeated and version <= (edit.expected or 0):
            return None
        changes = await read_history(distribution, edit.kind, edit.name, _MOST_STEPS)
    except PlatformUnavailableError as error:
        found = distribution.history.find_id(change_id)
        if found is not None:
            return found
        kind = ChangeUnknownError if edit.repeated else ChangeNotWrittenError
        raise kind(f"the platform is not available: {error}") from None
    return next((one for one in changes if one.change_id == change_id), None)


async def _read_log(distribution):
    """Read the table and check that its log ends with the version in force.

    A table that was restored from a backup may end below it. A change written behind
    the gap would never reach an instance that starts from the table.
    """
    await distribution.read_table()
    while (version := distribution.version) > 0:
        last = await read_change(distribution.platform, version)
        known = distribution.history.find(version)
        if version != distribution.version:
            continue
        if last is None or (known and known.change_id != last.change_id):
            raise PlatformUnavailableError(
                f"its log does not have the change of version {version} in force"
            )
        return


async def _put_in_force(distribution, change):
    if change.version == distribution.version + 1:
        distribution.apply_changes([change])
        if change.version % SNAPSHOT_INTERVAL == 0:
            distribution.note_snapshot_due()
    await distribution.announce()
