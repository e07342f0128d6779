"""Commits edits of operators: compare-and-set on the entity and on the log.

An edit names the version of the entity that the operator read. It conflicts only if
that entity has changed since. If another change took the next version of the log, the
edit is written again under the version after it. Every change names the previous
change of its entity, so the change of a repeated edit is found by its change id even
after later edits.

An edit is written at version n + 1 only after the change of version n has been read
and is not the edit itself. Therefore, it is never accepted twice, even if a write
takes effect late.
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
from kumquatsaddle.configuration.snapshots import SNAPSHOT_INTERVAL_CHANGES
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

# Attempts of an edit while other changes take the next version of the log; in each
# lost attempt another change was accepted.
_MAX_ATTEMPTS = 50
# Changes of an entity that are searched, latest first, for that of a repeated edit.
_MAX_HISTORY_STEPS = 50


@dataclass(frozen=True, slots=True)
class Edit:
    """A change of one entity that an operator requests.

    Parameters
    ----------
    kind, name : str
    value : dict or None
        JSON value; None removes the entity.
    expected : int or None
        Version of the entity that the operator read; None if it must not exist.
    change_id : str
        Id that is the same in every repetition; empty for a random one.
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
    """Write an edit to the log and apply it at this instance.

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
        If the edit is invalid; nothing was written.
    ConflictError
        If the entity has another version than expected; nothing was written.
    ChangeNotWrittenError
        If the platform was not available or other changes took the version in every
        attempt; nothing was written.
    ChangeUnknownError
        If the edit may be written; the same edit, marked as repeated, shows whether it
        is.
    """
    check_change_id(edit.change_id or None)
    change_id = edit.change_id or make_change_id()
    count_unanswered = partial(
        distribution.count_retry, ConfigurationRetry.WRITE_UNANSWERED
    )
    for _ in range(_MAX_ATTEMPTS):
        earlier = await _find_earlier_attempt(distribution, edit, change_id)
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
            # Another change has this version; the next iteration reads it.
            distribution.count_retry(ConfigurationRetry.VERSION_TAKEN)
            continue
        await _apply_and_announce(distribution, change)
        return change
    raise ChangeNotWrittenError(
        "other changes took the next version in every attempt; try again"
    )


async def withdraw_edit(distribution, kind, name, change_id, operator=""):
    """Prevent an edit with an unknown result from taking effect later.

    Returns
    -------
    Change or None
        The change if the edit was accepted, None if it never will be.

    Raises
    ------
    ChangeUnknownError
        If the platform did not answer or other changes took the version in every
        attempt.
    """
    edit = Edit(kind, name, None, None, change_id, operator, repeated=True)
    for _ in range(_MAX_ATTEMPTS):
        earlier = await _find_earlier_attempt(distribution, edit, change_id)
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
            await _apply_and_announce(distribution, change)
            return None
    raise ChangeUnknownError(
        "other changes took the next version in every attempt; repeat the withdrawal"
    )


def check_edit(configuration, edit):
    """Check an edit against a configuration.

    Raises
    ------
    ConfigurationError
        If the edit is invalid, refers to unknown entities or removes an entity in use.
    ConflictError
        If the entity has another version than expected.
    """
    present = edit.name in configuration.entities(edit.kind)
    version = configuration.version_of(edit.kind, edit.name)
    field_path = f"{edit.kind}s/{edit.name}"
    if edit.expected is None and present:
        raise ConflictError(f"{field_path} exists, at version {version}")
    if edit.expected is not None and edit.expected != version:
        raise ConflictError(
            f"{field_path} is at version {version}, not {edit.expected}"
        )
    if edit.value is not None:
        entity = parse_entity(edit.kind, edit.name, edit.value)
        check_references(configuration, entity)
        return
    if not present:
        raise ConfigurationError("does not exist", field_path)
    check_unused(configuration, edit.kind, edit.name)


async def read_history(distribution, kind, name, limit=20):
    """Return the changes of an entity, latest first.

    Raises
    ------
    ConfigurationError
        If a row of the table is not a valid change.
    PlatformUnavailableError
        If an older change cannot be read from the table.
    """
    changes = []
    version = distribution.configuration.version_of(kind, name)
    while version > 0 and len(changes) < limit:
        change = distribution.recent_changes.find_by_version(version)
        if change is None:
            change = await read_change(distribution.platform, version)
        if change is None:
            break
        changes.append(change)
        if change.previous >= version:
            break
        version = change.previous
    return changes


async def _find_earlier_attempt(distribution, edit, change_id):
    """Read the log and return the change that an earlier attempt wrote, or None."""
    try:
        await _read_verified_log(distribution)
        version = distribution.configuration.version_of(edit.kind, edit.name)
        # The version that a repeated edit expects may be that of its own change.
        if not edit.repeated and version <= (edit.expected or 0):
            return None
        changes = await read_history(
            distribution, edit.kind, edit.name, _MAX_HISTORY_STEPS
        )
    except PlatformUnavailableError as error:
        known = distribution.recent_changes.find_by_change_id(change_id)
        if known is not None:
            return known
        error_type = ChangeUnknownError if edit.repeated else ChangeNotWrittenError
        raise error_type(f"the platform is not available: {error}") from None
    return next((change for change in changes if change.change_id == change_id), None)


async def _read_verified_log(distribution):
    """Read the log and check that it has the change of the version in force.

    The log of a table that was restored from a backup may end below that version. A
    change written after the gap would never reach an instance that starts from the
    table.
    """
    await distribution.read_change_log()
    while (version := distribution.version) > 0:
        last = await read_change(distribution.platform, version)
        known = distribution.recent_changes.find_by_version(version)
        if version != distribution.version:
            continue
        if last is None or (known and known.change_id != last.change_id):
            raise PlatformUnavailableError(
                f"the log lacks the change of version {version}, which is in force"
            )
        return


async def _apply_and_announce(distribution, change):
    if change.version == distribution.version + 1:
        distribution.apply_changes([change])
        if change.version % SNAPSHOT_INTERVAL_CHANGES == 0:
            distribution.schedule_snapshot()
    await distribution.announce()
