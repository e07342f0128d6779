"""The change log in the platform's table.

Row ``config/changes/<version>`` is written put-if-absent; that write is the commit
point. Of two operators that write the same version one gets a conflict. When the
reply is lost, the row is read and its change id tells whether the write succeeded.
"""

import json
import secrets
from dataclasses import asdict, dataclass

from kumquatsaddle.configuration.entities import parse_entity
from kumquatsaddle.exceptions import (
    ConfigurationError,
    ConflictError,
    PlatformUnavailableError,
)
from kumquatsaddle.types import ConfigVersion

__all__ = ["Change", "change_key", "commit_change", "read_changes", "seed_changes"]

_PREFIX = "config/changes/"
# Digits of a version in its key; keys sort in the order of versions.
_VERSION_DIGITS = 10


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the configuration.

    Parameters
    ----------
    version : ConfigVersion
        Version that is in force once the change is applied.
    change_id : str
        Random id of the attempt to write it.
    kind : {"service", "template", "account"}
    name : str
    value : dict or None
        JSON value of the entity; None deletes it.
    operator : str
        Who made the change.
    time : float
        Seconds since the epoch.
    """

    version: ConfigVersion
    change_id: str
    kind: str
    name: str
    value: dict | None
    operator: str = ""
    time: float = 0.0


def change_key(version):
    """Return the key of the row of a change."""
    return f"{_PREFIX}{version:0{_VERSION_DIGITS}d}"


async def commit_change(
    platform, base_version, kind, name, value, *, operator="", time=0.0
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

    Returns
    -------
    Change

    Raises
    ------
    ConfigurationError
        If the value is invalid; nothing was written.
    ConflictError
        If another change took the version; nothing was written.
    PlatformUnavailableError
        If neither the write nor the read that would settle it was answered.
    """
    if value is None:
        parse_entity(kind, name, {"template": "-"} if kind == "account" else {})
    else:
        parse_entity(kind, name, value)
    change = Change(
        ConfigVersion(base_version + 1),
        secrets.token_hex(8),
        kind,
        name,
        value,
        operator,
        time,
    )
    key = change_key(change.version)
    try:
        await platform.put_row(key, asdict(change), None)
    except (ConflictError, PlatformUnavailableError) as error:
        await _settle(platform, key, change, error)
    return change


async def _settle(platform, key, change, error):
    """Return if the row at `key` is `change`, else raise `error`."""
    row = await platform.read_row(key)
    if row is None:
        raise error
    if row.value.get("change_id") != change.change_id:
        raise ConflictError(f"version {change.version} was taken by another change")


async def read_changes(platform, after):
    """Return the changes above version `after`, in order and without a gap."""
    changes = []
    for row in await platform.list_rows(_PREFIX, change_key(after)):
        change = parse_change(row.value)
        if change.version != after + len(changes) + 1:
            break
        changes.append(change)
    return changes


def parse_change(value):
    """Return the change of a row's value.

    Raises
    ------
    ConfigurationError
        If a field is missing or unknown.
    """
    try:
        return Change(**value)
    except TypeError as error:
        raise ConfigurationError(str(error), "change") from None


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
        if text.isidentifier():
            return text
        raise ConfigurationError(f"{text!r} is not JSON", place) from None
