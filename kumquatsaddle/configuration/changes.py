"""The change log in the platform's table.

Row ``config/changes/<version>`` is written put-if-absent; that write is the commit
point. Of two operators that write the same version one gets a conflict. When the
reply is lost, the row is read and its change id tells whether the write succeeded.

A write without a reply may still take effect after the row was read as absent. So the
same change is written again under the same version: whichever of the two writes
arrives first, the change has that version and no other, and the second one finds the
row taken. `withdraw_change` occupies the version with an empty change instead, after
which the late write can no longer take effect.
"""

import json
import re
import secrets
from dataclasses import asdict, dataclass, fields

import trio

from kumquatsaddle.configuration.entities import parse_entity
from kumquatsaddle.configuration.state import NO_CHANGE
from kumquatsaddle.exceptions import (
    ChangeUnknownError,
    ConfigurationError,
    ConflictError,
    PlatformUnavailableError,
)
from kumquatsaddle.types import ConfigVersion

__all__ = [
    "Change",
    "PAGE_ROWS",
    "change_key",
    "commit_change",
    "make_change_id",
    "parse_change",
    "read_change",
    "read_changes",
    "read_page",
    "seed_changes",
    "withdraw_change",
]

_PREFIX = "config/changes/"
# Digits of a version in its key; keys sort in the order of versions.
_VERSION_DIGITS = 10
# Pauses in seconds before the second and later attempts of a write without a reply.
_PAUSES = (0.05, 0.3, 1.0)
# Rows of the log in one read of the table.
PAGE_ROWS = 500
# Text of a settings file that stands for itself without quotes.
_WORD = re.compile(r"[A-Za-z_][A-Za-z0-9_.-]*\Z")
_LONGEST_CHANGE_ID = 64
_MOST_VERSIONS = 10**_VERSION_DIGITS


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the configuration.

    Parameters
    ----------
    version : ConfigVersion
        Version that is in force once the change is applied.
    change_id : str
        Random id of the attempt to write it.
    kind : {"service", "template", "account", "drain", "none"}
        ``none`` only occupies the version.
    name : str
    value : dict or None
        JSON value of the entity; None deletes it.
    operator : str
        Who made the change.
    time : float
        Seconds since the epoch.
    previous : int
        Version of the change of the same entity before this one; 0 if none is known.
    """

    version: ConfigVersion
    change_id: str
    kind: str
    name: str
    value: dict | None
    operator: str = ""
    time: float = 0.0
    previous: int = 0


def make_change_id():
    """Return a random change id."""
    return secrets.token_hex(8)


def change_key(version):
    """Return the key of the row of a change."""
    return f"{_PREFIX}{version:0{_VERSION_DIGITS}d}"


async def commit_change(
    platform,
    base_version,
    kind,
    name,
    value,
    *,
    operator="",
    time=0.0,
    change_id=None,
    previous=0,
    on_retry=lambda: None,
):
    """Write the change that follows `base_version`.

    Parameters
    ----------
    platform : Platform
    base_version : ConfigVersion
        The version that the operator saw.
    kind, name : str
    value : dict or None
    operator : str
    time : float
        Seconds since the epoch.
    change_id : str, optional
        Id of the attempt; a repeated attempt has the same one. Default: random.
    previous : int, default=0
        Version of the change of the same entity before this one.
    on_retry : callable, optional
        Called before each repetition of a write without a reply.

    Returns
    -------
    Change

    Raises
    ------
    ConfigurationError
        If the value is invalid; nothing was written.
    ConflictError
        If another change took the version; nothing was written.
    ChangeUnknownError
        If the platform did not answer; the change may be written, and asking again
        with the same version and id tells.
    """
    check_change_id(change_id)
    if value is not None:
        parse_entity(kind, name, value)
    else:
        parse_entity(kind, name, {"template": "-"} if kind == "account" else {})
    change = Change(
        ConfigVersion(base_version + 1),
        change_id or make_change_id(),
        kind,
        name,
        value,
        operator,
        time,
        previous,
    )
    return await _write_change(platform, change, on_retry)


async def withdraw_change(platform, base_version, change_id, *, operator="", time=0.0):
    """Make sure that an attempt without an answer never takes effect later.

    Parameters
    ----------
    platform : Platform
    base_version : ConfigVersion
        Version that the attempt was based on.
    change_id : str
        Id of the attempt.
    operator : str
    time : float
        Seconds since the epoch.

    Returns
    -------
    Change
        The change that has the version; it is the attempt itself if that was
        written.

    Raises
    ------
    ChangeUnknownError
        If the platform did not answer.
    """
    check_change_id(change_id)
    version = ConfigVersion(base_version + 1)
    empty = Change(version, f"not-{change_id}", NO_CHANGE, "", None, operator, time)
    try:
        return await _write_change(platform, empty)
    except ConflictError:
        pass
    try:
        return await read_change(platform, version)
    except PlatformUnavailableError as error:
        raise ChangeUnknownError(str(error)) from None


async def _write_change(platform, change, on_retry=lambda: None):
    """Write a change put-if-absent until it is known who has the version."""
    for pause in (*_PAUSES, None):
        try:
            await platform.put_row(change_key(change.version), asdict(change), None)
            return change
        except (ConflictError, PlatformUnavailableError):
            pass
        try:
            written = await read_change(platform, change.version)
        except PlatformUnavailableError:
            written = None
        if written is not None:
            if written.change_id == change.change_id:
                return written
            raise ConflictError(f"version {change.version} has another change")
        if pause is not None:
            on_retry()
            await trio.sleep(pause)
    raise ChangeUnknownError(
        f"no answer about version {change.version}; ask again with change id "
        f"{change.change_id}"
    )


async def read_change(platform, version):
    """Return the change of a version, or None.

    Raises
    ------
    ConfigurationError
        If the row is no change.
    PlatformUnavailableError
    """
    row = await platform.read_row(change_key(version))
    return None if row is None else parse_change(row.value)


async def read_changes(platform, after):
    """Return all changes above version `after`, in order and without a gap."""
    changes = []
    while True:
        page = await read_page(platform, after + len(changes))
        changes += page
        if len(page) < PAGE_ROWS:
            return changes


async def read_page(platform, after):
    """Return the first `PAGE_ROWS` changes above version `after`.

    Raises
    ------
    ConfigurationError
        If the first row is no change. Another such row ends the page.
    PlatformUnavailableError
    """
    changes = []
    for row in await platform.list_rows(_PREFIX, change_key(after), PAGE_ROWS):
        try:
            change = parse_change(row.value)
        except ConfigurationError:
            if changes:
                break
            raise
        if change.version != after + len(changes) + 1:
            break
        changes.append(change)
    return changes


def parse_change(value):
    """Return the change of a row's value.

    Raises
    ------
    ConfigurationError
        If a field is missing, unknown or of the wrong type.
    """
    if not isinstance(value, dict):
        raise ConfigurationError("is not an object", "change")
    try:
        change = Change(**value)
    except TypeError as error:
        raise ConfigurationError(str(error), "change") from None
    for field in fields(Change):
        if not _is_valid(field.name, getattr(change, field.name)):
            raise ConfigurationError("has the wrong type", f"change.{field.name}")
    return change


def check_change_id(change_id):
    """Check the change id that a caller gives.

    Raises
    ------
    ConfigurationError
        If it is not None and no short printable text.
    """
    if change_id is None:
        return
    if not isinstance(change_id, str) or not 0 < len(change_id) <= _LONGEST_CHANGE_ID:
        problem = f"is not a text of 1 to {_LONGEST_CHANGE_ID} characters"
        raise ConfigurationError(problem, "change_id")
    if not change_id.isprintable():
        raise ConfigurationError("is not printable", "change_id")


def _is_valid(name, value):
    if name in ("version", "previous"):
        whole = isinstance(value, int) and not isinstance(value, bool)
        return whole and 0 <= value < _MOST_VERSIONS
    if name == "value":
        return value is None or isinstance(value, dict)
    if name == "time":
        return isinstance(value, int | float)
    return isinstance(value, str)


def seed_changes(seeds):
    """Yield the changes that the sections of a settings file describe.

    Parameters
    ----------
    seeds : dict
        ``(kind, name)`` to dict; each text value is JSON.

    Yields
    ------
    Change

    Raises
    ------
    ConfigurationError
        If a value is not JSON.
    """
    version = 0
    for kind in ("service", "template", "account"):
        for (section, name), values in seeds.items():
            if section != kind:
                continue
            version += 1
            value = {
                key: _parse_json(f"{kind}s/{name}.{key}", text)
                for key, text in values.items()
            }
            yield Change(ConfigVersion(version), "seed", kind, name, value)


def _parse_json(place, text):
    try:
        return json.loads(text)
    except ValueError:
        if _WORD.match(text):
            return text
        raise ConfigurationError(f"{text!r} is not JSON", place) from None
