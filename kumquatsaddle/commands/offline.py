"""Parts of the commands for configurations that need no instance."""

import json
import sys
from pathlib import Path

from kumquatsaddle.configuration.commits import Edit, check_edit
from kumquatsaddle.configuration.state import make_configuration
from kumquatsaddle.exceptions import ConfigurationError, ConflictError

__all__ = ["apply_fields", "load_json", "prune_claims", "read_file", "validate_file"]

_CLAIMS_PREFIX = "claims/"
# Claims are kept for a day, so that a late repeat still gets the first result.
_CLAIM_RETENTION_SECONDS = 24 * 3600.0
# A kind refers only to kinds before it.
_KINDS = ("service", "template", "account", "drain")


def read_file(file):
    """Return the bytes of a file, or of standard input for ``-``.

    Raises
    ------
    ConfigurationError
        If the file cannot be read; names the file.
    """
    try:
        return sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as error:
        raise ConfigurationError(error.strerror, file) from None


def load_json(file):
    """Return the JSON value of a file, or of standard input for ``-``.

    Raises
    ------
    ConfigurationError
        If the file cannot be read or is not JSON; names the file and the line.
    """
    data = read_file(file)
    try:
        return json.loads(data.decode("utf-8"))
    except UnicodeDecodeError as error:
        raise ConfigurationError(f"not UTF-8 at byte {error.start}", file) from None
    except json.JSONDecodeError as error:
        problem = f"not JSON: {error.msg}, line {error.lineno}"
        raise ConfigurationError(problem, file) from None
    except (ValueError, RecursionError):
        raise ConfigurationError("not JSON", file) from None


def validate_file(file):
    """Check a file of entities, including their references; return their number.

    Raises
    ------
    ConfigurationError
        Names the file and the field of the first problem.
    """
    entries = load_json(file)
    if not isinstance(entries, list):
        problem = "is not a list of entities; for routes use kumquatsaddle-review"
        raise ConfigurationError(problem, file)
    for index, entry in enumerate(entries):
        if not isinstance(entry, dict) or entry.get("kind") not in _KINDS:
            known = ", ".join(_KINDS)
            raise ConfigurationError(
                f"is not one of {known}", f"{file}: [{index}].kind"
            )
    configuration = make_configuration()
    for entry in sorted(entries, key=lambda item: _KINDS.index(item["kind"])):
        _add_entry(configuration, entry, file)
    return len(entries)


def apply_fields(value, assignments):
    """Return a copy of a JSON object with ``FIELD=VALUE`` assignments applied.

    Raises
    ------
    ConfigurationError
        If `value` is not an object, or an assignment has no field, no ``=`` or a value
        that begins like JSON and is not JSON.
    """
    if not isinstance(value, dict):
        raise ConfigurationError("is not an object", "value")
    changed = dict(value)
    for assignment in assignments:
        name, separator, text = assignment.partition("=")
        if not separator or not name:
            raise ConfigurationError("does not have the form FIELD=VALUE", assignment)
        if not text:
            changed.pop(name, None)
            continue
        try:
            changed[name] = json.loads(text)
        except (ValueError, RecursionError):
            if text[0] in '[{"':
                raise ConfigurationError("is not JSON", name) from None
            changed[name] = text
    return changed


async def prune_claims(platform, now):
    """Delete the claims that are older than a day.

    Parameters
    ----------
    platform : Platform
    now : float
        Seconds since the epoch.

    Returns
    -------
    int
        Number of claims deleted.

    Raises
    ------
    PlatformUnavailableError
    """
    removed, after = 0, ""
    while rows := await platform.list_rows(_CLAIMS_PREFIX, after):
        for row in rows:
            issued_at = _parse_claim_time(row.value)
            if issued_at is None or now - issued_at <= _CLAIM_RETENTION_SECONDS:
                continue
            try:
                await platform.delete_row(row.key, row.version)
                removed += 1
            except ConflictError:
                # Another operator deleted the claim, or it was written again.
                pass
        after = rows[-1].key
    return removed


def _parse_claim_time(value):
    """Return the issue time of a claim in seconds since the epoch, or None.

    The time is part of the operation id, ``<incarnation>.<time>.<number>.<mac>``.
    """
    parts = str(value.get("operation", "")).split(".")
    if len(parts) != 4 or not (parts[1].isascii() and parts[1].isdigit()):
        return None
    return int(parts[1][:12])


def _add_entry(configuration, entry, file):
    kind, name, value = entry["kind"], entry.get("name"), entry.get("value")
    if not isinstance(name, str):
        raise ConfigurationError(
            "name of an entity is not a string", f"{file}: {kind}s"
        )
    if not isinstance(value, dict):
        raise ConfigurationError("is not an object", f"{file}: {kind}s/{name}")
    try:
        check_edit(configuration, Edit(kind, name, value, None))
    except ConflictError:
        problem = "is defined twice"
        raise ConfigurationError(problem, f"{file}: {kind}s/{name}") from None
    except ConfigurationError as error:
        raise ConfigurationError(error.problem, f"{file}: {error.field}") from None
    configuration.set_entity(kind, name, value, 1)
