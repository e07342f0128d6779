"""The change log in the platform's table.

Row ``config/changes/<version>`` is written with put-if-absent, and that write is the
commit point. Of two operators that write the same version, one gets a conflict. If
the reply is lost, the row is read, and its change id shows whether the write succeeded.

A write without a reply may still take effect after the row was read as absent.
Therefore, the same change is written again under the same version: whichever write
arrives first, the change gets that version and no other, and the second write finds
that the row exists. `withdraw_change` writes an empty change under the version instead,
after which the late write can no longer take effect.
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
    "make_change_key",
    "commit_change",
    "make_change_id",
    "parse_change",
    "read_change",
    "read_changes",
    "read_change_page",
    "make_initial_changes",
    "withdraw_change",
]

_KEY_PREFIX = "config/changes/"
# Versions in keys have a fixed width, so that keys sort in the order of versions.
_VERSION_DIGITS = 10
# Delays before the second and later attempts of a write without a reply.
_RETRY_DELAYS_SECONDS = (0.05, 0.3, 1.0)
# Maximum rows of the log in one read of the table.
PAGE_ROWS = 500
# Text of a settings file that is a JSON string even without quotes.
_UNQUOTED_STRING = re.compile(r"[A-Za-z_][A-Za-z0-9_.-]*\Z")
_MAX_CHANGE_ID_LENGTH = 64
_VERSION_LIMIT = 10**_VERSION_DIGITS


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the configuration.

    Parameters
    ----------
    version : ConfigVersion
        Version that is in force once the change is applied.
    change_id : str
        Id of the edit, the same in every attempt to write it.
    kind : {"service", "template", "account", "drain", "none"}
        ``none`` is an empty change that only uses up its version.
    name : str
    value : dict or None
        JSON value of the entity; None deletes the entity.
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


def make_change_key(version):
    """Return the key of the row of a change."""
    return f"{_KEY_PREFIX}{version:0{_VERSION_DIGITS}d}"


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
        Highest version of the log that the caller has applied.
    kind, name : str
    value : dict or None
    operator : str
    time : float
        Seconds since the epoch.
    change_id : str, optional
        Id of the edit; a repeated attempt has the same one. Default: random.
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
        If the platform did not answer. The change may be written; another call with
        the same version and id shows whether it is.
    """
    check_change_id(change_id)
    if value is not None:
        parse_entity(kind, name, value)
    else:
        # A removal has no value. The parser checks only the kind and the name; an
        # account without a template would be invalid.
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
    """Prevent a write without a reply from taking effect later.

    Writes an empty change under the version of the write. Its id is ``not-`` and the id
    of the withdrawn change.

    Parameters
    ----------
    platform : Platform
    base_version : ConfigVersion
        Version that the write was based on.
    change_id : str
        Id of the change to withdraw.
    operator : str
    time : float
        Seconds since the epoch.

    Returns
    -------
    Change
        The change that the log has under the version: the empty one, the withdrawn
        one if its write took effect earlier, or another one.

    Raises
    ------
    ChangeUnknownError
        If the platform did not answer.
    """
    check_change_id(change_id)
    version = ConfigVersion(base_version + 1)
    placeholder = Change(
        version, f"not-{change_id}", NO_CHANGE, "", None, operator, time
    )
    try:
        return await _write_change(platform, placeholder)
    except ConflictError:
        pass
    try:
        return await read_change(platform, version)
    except PlatformUnavailableError as error:
        raise ChangeUnknownError(str(error)) from None


async def _write_change(platform, change, on_retry=lambda: None):
    """Write a change with put-if-absent and return it as it is in the log.

    A write without a reply is repeated after a delay, unless a read of the row shows
    which change has the version.
    """
    for delay in (*_RETRY_DELAYS_SECONDS, None):
        try:
            await platform.put_row(
                make_change_key(change.version), asdict(change), None
            )
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
            raise ConflictError(f"version {change.version} already has another change")
        if delay is not None:
            on_retry()
            await trio.sleep(delay)
    raise ChangeUnknownError(
        f"the platform did not answer for version {change.version}; repeat the request "
        f"with change id {change.change_id}"
    )


async def read_change(platform, version):
    """Return the change that has the version `version`, or None if the log has none.

    Raises
    ------
    ConfigurationError
        If the row is not a valid change.
    PlatformUnavailableError
    """
    row = await platform.read_row(make_change_key(version))
    return None if row is None else parse_change(row.value)


async def read_changes(platform, after):
    """Return all changes above version `after`, in order and without a gap."""
    changes = []
    while True:
        page = await read_change_page(platform, after + len(changes))
        changes += page
        if len(page) < PAGE_ROWS:
            return changes


async def read_change_page(platform, after):
    """Return the first `PAGE_ROWS` changes above version `after`.

    Raises
    ------
    ConfigurationError
        If the first row is not a valid change. A later row that is invalid or does not
        follow the one before it ends the page.
    PlatformUnavailableError
    """
    changes = []
    for row in await platform.list_rows(_KEY_PREFIX, make_change_key(after), PAGE_ROWS):
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
    """Return the change that the JSON value of a row describes.

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
        if not _is_valid_field(field.name, getattr(change, field.name)):
            raise ConfigurationError("is invalid", f"change.{field.name}")
    return change


def check_change_id(change_id):
    """Check a change id that an operator sent.

    Raises
    ------
    ConfigurationError
        If it is neither None nor a short printable text.
    """
    if change_id is None:
        return
    if (
        not isinstance(change_id, str)
        or not 0 < len(change_id) <= _MAX_CHANGE_ID_LENGTH
    ):
        problem = f"is not a text of 1 to {_MAX_CHANGE_ID_LENGTH} characters"
        raise ConfigurationError(problem, "change_id")
    if not change_id.isprintable():
        raise ConfigurationError("is not printable", "change_id")


def _is_valid_field(name, value):
    if name in ("version", "previous"):
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        return is_integer and 0 <= value < _VERSION_LIMIT
    if name == "value":
        return value is None or isinstance(value, dict)
    if name == "time":
        return isinstance(value, int | float)
    return isinstance(value, str)


def make_initial_changes(sections):
    """Yield the changes that the sections of a settings file describe.

    Parameters
    ----------
    sections : dict
        ``(kind, name)`` to a dict of fields; each value is a text of JSON.

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
        for (section_kind, name), values in sections.items():
            if section_kind != kind:
                continue
            version += 1
            value = {
                key: _parse_json(f"{kind}s/{name}.{key}", text)
                for key, text in values.items()
            }
            yield Change(ConfigVersion(version), "seed", kind, name, value)


def _parse_json(field_path, text):
    try:
        return json.loads(text)
    except ValueError:
        if _UNQUOTED_STRING.match(text):
            return text
        raise ConfigurationError(f"{text!r} is not JSON", field_path) from None
