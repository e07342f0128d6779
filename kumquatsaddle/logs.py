"""Log lines of key=value pairs, written by loguru.

Each event is one line: time, level, event name and fields. Values that contain
white space, quotes, equals signs or control characters are quoted as JSON strings,
so that a value can neither break a line nor forge a field.
"""

import json
import re
import sys

from loguru import logger

__all__ = ["log_event", "set_log_level", "format_fields"]

# Everything else is quoted, letters beyond ASCII included: some of them end a line
# or change the direction of the text around them.
_PLAIN = re.compile(r"[!#-&(-<>-\[\]-~]+\Z")
_BAD_IN_KEY = re.compile(r"[^A-Za-z0-9_.-]")
_SECRET_WORDS = ("secret", "token", "password", "authorization", "cookie", "key_bytes")
# Longest value in characters; a line stays below the limits of log collectors.
_LONGEST_VALUE = 2000


def format_fields(fields):
    """Format a mapping as one line of key=value pairs.

    Parameters
    ----------
    fields : dict
        Field names to values. Other characters than letters, digits, ``_``, ``.``
        and ``-`` in a name are written as ``_``. Fields whose name contains
        ``secret``, ``token``, ``password``, ``authorization`` or ``cookie`` and
        values of type bytes are written as ``***``. Values are cut at 2,000
        characters.

    Returns
    -------
    str

    Examples
    --------
    >>> format_fields({"instance": "a", "reason": "two words"})
    'instance=a reason="two words"'
    """
    return " ".join(
        f"{_BAD_IN_KEY.sub('_', str(key)) or '_'}={_quote(str(key), value)}"
        for key, value in fields.items()
    )


def _quote(key, value):
    # Keys and bodies are bytes; neither belongs in a log.
    if isinstance(value, bytes | bytearray | memoryview):
        return "***"
    if any(word in key.lower() for word in _SECRET_WORDS):
        return "***"
    text = _describe(value)
    if len(text) > _LONGEST_VALUE:
        text = text[:_LONGEST_VALUE] + "..."
    return text if _PLAIN.match(text) else json.dumps(text)


def _describe(value):
    if isinstance(value, float):
        return f"{value:.6g}"
    try:
        return str(value)
    except Exception as error:
        # A log line must not fail because of the value that it reports.
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
        Further pairs.
    """
    logger.bind(line=format_fields({"event": event, **fields})).log(level, "")


def set_log_level(level, sink=None):
    """Send events of at least `level` to `sink` (default: standard error)."""
    logger.remove()
    logger.add(
        sink or sys.stderr,
        level=level,
        format="time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {extra[line]}",
        backtrace=False,
        diagnose=False,
    )
