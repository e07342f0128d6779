"""Checks of JSON values and the sharing of equal ones.

Every check raises `ConfigurationError` with the name of the offending field.
"""

from functools import lru_cache

from kumquatsaddle.exceptions import ConfigurationError
from kumquatsaddle.types import Rank

__all__ = [
    "check_keys",
    "check_name",
    "check_number",
    "cut_text",
    "get_object",
    "parse_rank",
    "share_tuple",
    "share_values",
    "show_value",
]

_LONGEST_NAME = 128
# Characters of an offending value that an error message repeats.
_SHOWN_CHARACTERS = 80
# Distinct sets of differences that accounts share; most accounts use few of them.
_SHARED_VALUES = 4096


def parse_rank(word, place):
    """Return the `Rank` of a word."""
    try:
        return Rank[word.upper()]
    except (KeyError, AttributeError):
        known = ", ".join(rank.name.lower() for rank in Rank)
        problem = f"{show_value(word)} is not one of {known}"
        raise ConfigurationError(problem, place) from None


def check_name(name, place):
    """Check the name of an entity."""
    if not isinstance(name, str) or not 0 < len(name) <= _LONGEST_NAME:
        raise ConfigurationError(f"{show_value(name)} is not a name", place)
    if not name.isprintable() or "/" in name:
        raise ConfigurationError(f"{show_value(name)} is not a name", place)


def share_values(field, values):
    """Return one dictionary for all equal ones of a field; nobody may change it."""
    return _share_items(field, tuple(values.items()))


@lru_cache(_SHARED_VALUES)
def _share_items(field, items):
    # The field is part of the key because a rank equals a number.
    return dict(items)


@lru_cache(_SHARED_VALUES)
def share_tuple(items):
    """Return one tuple for all equal ones."""
    return items


def show_value(value):
    """Return the start of a value's text, for an error message."""
    try:
        return cut_text(repr(value))
    except ValueError:
        # Python refuses to print integers of more than 4,300 digits.
        return "the number"


def cut_text(text):
    """Return the start of a text, for an error message."""
    if len(text) <= _SHOWN_CHARACTERS:
        return text
    return text[:_SHOWN_CHARACTERS] + "..."


def get_object(value, key, place):
    """Return the JSON object at a key, empty where the key is absent."""
    entry = value.get(key)
    if entry is None:
        return {}
    if not isinstance(entry, dict):
        raise ConfigurationError("is not an object", f"{place}.{key}")
    return entry


def check_keys(value, known, place):
    """Check that a JSON object has known fields only."""
    for key in value:
        if key not in known:
            listed = ", ".join(sorted(known))
            problem = f"unknown field; known: {listed}"
            raise ConfigurationError(problem, f"{place}.{cut_text(key)}")


def check_number(value, low, high, place):
    """Return a number after a check of its inclusive range."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ConfigurationError(f"{show_value(value)} is not a number", place)
    if not low <= value <= high:
        raise ConfigurationError(
            f"{show_value(value)} is outside {low} to {high}", place
        )
    return value
