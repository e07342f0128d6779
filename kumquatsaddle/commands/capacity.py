"""The file of ``kumquatsaddle-review`` with the capacity of the services."""

from kumquatsaddle.commands.offline import load_json
from kumquatsaddle.configuration.checks import (
    check_keys,
    check_number,
    get_object,
    truncate_text,
)
from kumquatsaddle.exceptions import ConfigurationError
from kumquatsaddle.routes.capacity import Capacity
from kumquatsaddle.types import ServiceName

__all__ = ["parse_capacity", "read_capacity"]

_MAX_SLOTS = 1 << 20
# A day; excludes infinity and NaN.
_MAX_WORK_MS = 86_400_000


def read_capacity(file):
    """Return the `Capacity` of a file, or of standard input for ``-``.

    Raises
    ------
    ConfigurationError
        Names the file and the field of the first problem.
    """
    value = load_json(file)
    try:
        return parse_capacity(value)
    except ConfigurationError as error:
        raise ConfigurationError(error.problem, f"{file}: {error.field}") from None


def parse_capacity(value):
    """Return the `Capacity` that a JSON value describes.

    Raises
    ------
    ConfigurationError
        If a field is missing, unknown or out of range.

    Examples
    --------
    >>> parse_capacity(
    ...     {"services": {"s": {"slots": 6}}, "routes": {"r": {"work_ms": 50}}}
    ... )
    Capacity(slots={'s': 6}, work={'r': 0.05})
    """
    if not isinstance(value, dict):
        raise ConfigurationError("is not an object", "capacity")
    check_keys(value, {"services", "routes"}, "capacity")
    slots = _read_numbers(value, "services", "slots", 1, _MAX_SLOTS)
    work = _read_numbers(value, "routes", "work_ms", 0.001, _MAX_WORK_MS)
    return Capacity(
        {ServiceName(name): number for name, number in slots.items()},
        {name: number / 1000 for name, number in work.items()},
    )


def _read_numbers(value, kind, key, low, high):
    """Return the number at `key` of each entry of an object, by name."""
    numbers = {}
    for name, entry in get_object(value, kind, "capacity").items():
        place = f"{kind}/{truncate_text(name)}"
        if not isinstance(entry, dict):
            raise ConfigurationError("is not an object", place)
        check_keys(entry, {key}, place)
        numbers[name] = check_number(entry.get(key), low, high, f"{place}.{key}")
    return numbers
