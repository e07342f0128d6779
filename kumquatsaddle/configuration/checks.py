"""Checks of JSON values and interning of equal values.

Every check raises `ConfigurationError` with the name of the offending field.
"""

from functools import lru_cache

from kumquatsaddle.exceptions import ConfigurationError
from kumquatsaddle.types import Rank

__all__ = [
    "check_keys",
    "check_name",
    "check_number",
    "truncate_text",
    "get_object",
    "parse_rank",
    "intern_tuple",
    "intern_dict",
    "format_value",
]

_MAX_NAME_LENGTH = 128
# Characters of an invalid value or name that an error message shows.
_MAX_SHOWN_CHARACTERS = 80
# Most accounts use few distinct sets of values.
_MAX_INTERNED_VALUES = 4096


def parse_rank(rank_name, field_path):
    """Return the `Rank` named `rank_name`, in upper or lower case."""
    try:
        return Rank[rank_name.upper()]
    except (KeyError, AttributeError):
        known = ", ".join(rank.name.lower() for rank in Rank)
        problem = f"{format_value(rank_name)} is not one of {known}"
        raise ConfigurationError(problem, field_path) from None


def check_name(name, field_path):
    """Check the name of an entity."""
    if not isinstance(name, str) or not 0 < len(name) <= _MAX_NAME_LENGTH:
        raise ConfigurationError(f"{format_value(name)} is not a name", field_path)
    if not name.isprintable() or "/" in name:
        raise ConfigurationError(f"{format_value(name)} is not a name", field_path)


def intern_dict(field, values):
    """Return one dictionary for all equal values of a field; it must not be changed."""
    return _intern_items(field, tuple(values.items()))


@lru_cache(_MAX_INTERNED_VALUES)
def _intern_items(field, items):
    # The field is part of the cache key because a rank equals a number.
    return dict(items)


@lru_cache(_MAX_INTERNED_VALUES)
def intern_tuple(items):
    """Return the shared tuple of equal tuples."""
    return items


def format_value(value):
    """Return the text of a value, truncated for an error message."""
    try:
        return truncate_text(repr(value))
    except ValueError:
        # Python does not convert integers of more than 4,300 digits to text.
        return "a value with a number of more than 4,300 digits"


def truncate_text(text):
    """Return a text, truncated for an error message."""
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return text[:_MAX_SHOWN_CHARACTERS] + "..."


def get_object(value, key, field_path):
    """Return the JSON object at a key, or an empty one if the key is absent or null."""
    entry = value.get(key)
    if entry is None:
        return {}
    if not isinstance(entry, dict):
        raise ConfigurationError("is not an object", f"{field_path}.{key}")
    return entry


def check_keys(value, known, field_path):
    """Check that a JSON object has no unknown fields."""
    for key in value:
        if key not in known:
            listed = ", ".join(sorted(known))
            problem = f"unknown field; known: {listed}"
            raise ConfigurationError(problem, f"{field_path}.{truncate_text(key)}")


def check_number(value, low, high, field_path):
    """Check that a value is a number in an inclusive range, and return it."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ConfigurationError(f"{format_value(value)} is not a number", field_path)
    if not low <= value <= high:
        raise ConfigurationError(
            f"{format_value(value)} is outside {low} to {high}", field_path
        )
    return value
