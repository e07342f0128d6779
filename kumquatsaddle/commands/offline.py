"""Parts of ``kumquatsaddle-ctl`` and ``-check`` that need no instance."""

import json
import sys
from pathlib import Path

from kumquatsaddle.configuration.commits import Edit, check_edit
from kumquatsaddle.configuration.state import make_configuration
from kumquatsaddle.exceptions import ConfigurationError, ConflictError

__all__ = ["apply_fields", "load_json", "prune_claims", "validate_file"]

_CLAIMS_PREFIX = "claims/"
# Claims are kept for a day, so that a late repeat still finds its result.
_CLAIM_SECONDS = 24 * 3600.0
# Kinds in the order in which they refer to each other.
_KINDS = ("service", "template", "account", "drain")


def load_json(file):
    """Return the JSON value of a file, or of standard input for ``-``.

    Raises
    ------
    ConfigurationError
        Names the file and, where it is not JSON, the line.
    """
    try:
        text = sys.stdin.read() if file == "-" else Path(file).read_text("utf-8")
        return json.loads(text)
    except OSError as error:
        raise ConfigurationError(error.strerror, file) from None
    except UnicodeDecodeError as error:
        raise ConfigurationError(f"not UTF-8 at byte {error.start}", file) from None
    except json.JSONDecodeError as error:
        problem = f"not JSON: {error.msg}, line {error.lineno}"
        raise ConfigurationError(problem, file) from None
    except (ValueError, RecursionError):
        raise ConfigurationError("not JSON", file) from None


def validate_file(file):
    """Check the entities of a file against each other; return their number.

    Raises
    ------
    ConfigurationError
        Names the file and the field of the first problem.
    """
    entries = load_json(file)
    if not isinstance(entries, list):
        raise ConfigurationError("is not a list", file)
    for index, entry in enumerate(entries):
        if not isinstance(entry, dict) or entry.get("kind") not in _KINDS:
            known = ", ".join(_KINDS)
            raise ConfigurationError(
                f"is not one of {known}", f"{file}: [{index}].kind"
            )
    configuration = make_configuration()
    for entry in sorted(entries, key=lambda one: _KINDS.index(one["kind"])):
        _add_entry(configuration, entry, file)
    return len(entries)


def apply_fields(value, assignments):
    """Return a JSON object with the fields of ``FIELD=VALUE`` words set.

    Raises
    ------
    ConfigurationError
        If a word has no ``=``.
    """
    if not isinstance(value, dict):
        raise ConfigurationError("is not an object", "value")
    changed = dict(value)
    for word in assignments:
        name, separator, text = word.partition("=")
        if not separator or not name:
            raise ConfigurationError("is not FIELD=VALUE", word)
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
    """Remove the claims that are older than a day.

    Parameters
    ----------
    platform : Platform
    now : float
        Seconds since the epoch.

    Returns
    -------
    int
        Number of rows removed.

    Raises
    ------
    PlatformUnavailableError
    """
    removed, after = 0, ""
    while rows := await platform.list_rows(_CLAIMS_PREFIX, after):
        for row in rows:
            written_at = _read_claim_time(row.value)
            if written_at is None or now - written_at <= _CLAIM_SECONDS:
                continue
            try:
                await platform.delete_row(row.key, row.version)
                removed += 1
            except ConflictError:
                # Another operator removed it, or it is in use again.
                pass
        after = rows[-1].key
    return removed


def _read_claim_time(value):
    """Return when a claim was made, in seconds since the epoch, or None.

    It is the issue time in the operation id, ``<incarnation>.<time>.<number>.<mac>``.
    """
    parts = str(value.get("operation", "")).split(".")
    if len(parts) != 4 or not (parts[1].isascii() and parts[1].isdigit()):
        return None
    return int(parts[1][:12])


def _add_entry(configuration, entry, file):
    kind, name, value = entry["kind"], entry.get("name"), entry.get("value")
    if not isinstance(name, str):
        raise ConfigurationError("is not a name", f"{file}: {kind}s")
    if not isinstance(value, dict):
        raise ConfigurationError("is not an object", f"{file}: {kind}s/{name}")
    try:
        check_edit(configuration, Edit(kind, name, value, None))
    except ConflictError:
        problem = "is given twice"
        raise ConfigurationError(problem, f"{file}: {kind}s/{name}") from None
    except ConfigurationError as error:
        raise ConfigurationError(error.problem, f"{file}: {error.field}") from None
    configuration.put(kind, name, value, 1)
