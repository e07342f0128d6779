"""Log lines of key=value pairs, written by loguru.

Each event is one line: time, level, event name and fields. Values that contain
white space, quotes, equals signs or control characters are quoted as JSON strings,
so that a value can neither split a line nor inject a field.
"""

import json
import re
import sys

from loguru import logger

__all__ = ["log_event", "set_log_level", "format_fields"]

# A value with any other character is quoted, non-ASCII letters included: some of them
# end a line or change the direction of the surrounding text.
_UNQUOTED_VALUE = re.compile(r"[!#-&(-<>-\[\]-~]+\Z")
_INVALID_IN_KEY = re.compile(r"[^A-Za-z0-9_.-]")
_SECRET_WORDS = ("secret", "token", "password", "authorization", "cookie", "key_bytes")
# Keeps a line below the length limits of log collectors.
_MAX_VALUE_CHARACTERS = 2000


def format_fields(fields):
    """Format a mapping as one line of key=value pairs.

    Parameters
    ----------
    fields : dict
        Field names to values. Characters other than letters, digits, ``_``, ``.``
        and ``-`` in a name are replaced by ``_``. Fields whose name contains
        ``secret``, ``token``, ``password``, ``authorization``, ``cookie`` or
        ``key_bytes`` and values of type bytes are written as ``***``. Values are
        truncated to 2,000 characters.

    Returns
    -------
    str

    Examples
    --------
    >>> format_fields({"instance": "a", "reason": "two words"})
    'instance=a reason="two words"'
    """
    return " ".join(
        f"{_INVALID_IN_KEY.sub('_', str(key)) or '_'}={_format_value(str(key), value)}"
        for key, value in fields.items()
    )


def _format_value(key, value):
    # Cryptographic keys and bodies are bytes; neither may be logged.
    if isinstance(value, bytes | bytearray | memoryview):
        return "***"
    if any(word in key.lower() for word in _SECRET_WORDS):
        return "***"
    text = _to_text(value)
    if len(text) > _MAX_VALUE_CHARACTERS:
        text = text[:_MAX_VALUE_CHARACTERS] + "..."
    return text if _UNQUOTED_VALUE.match(text) else json.dumps(text)


def _to_text(value):
    if isinstance(value, float):
        return f"{value:.6g}"
    try:
        return str(value)
    except Exception as error:
        # A failing __str__ must not make the log call fail.
        return f"<{type(error).__name__} in str>"


def log_event(event, level="INFO", **fields):
    """Write one event as a line of key=value pairs.

    Parameters
    ----------
    event : str
        Name of the event, for example ``backend_ejected``.
    level : str, default="INFO"
        A loguru level.
    **fields
        Further fields of the line.
    """
    logger.bind(line=format_fields({"event": event, **fields})).log(level, "")


def set_log_level(level, sink=None):
    """Write events of `level` and above to `sink` (default: standard error)."""
    logger.remove()
    logger.add(
        sink or sys.stderr,
        level=level,
        format="time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {extra[line]}",
        backtrace=False,
        diagnose=False,
    )
