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

_PLAIN = re.compile(r"[^\s\"'=\\\x00-\x1f\x7f-\x9f\u2028\u2029]+\Z")
_SECRET_KEYS = ("secret", "token", "password", "authorization", "key_bytes")


def format_fields(fields):
    """Format a mapping as one line of key=value pairs.

    Parameters
    ----------
    fields : dict
        Field names to values. Fields whose name contains ``secret``, ``token``,
        ``password`` or ``authorization`` are written as ``***``.

    Returns
    -------
    str

    Examples
    --------
    >>> format_fields({"instance": "a", "reason": "two words"})
    'instance=a reason="two words"'
    """
    return " ".join(f"{key}={_quote(key, value)}" for key, value in fields.items())


def _quote(key, value):
    if any(word in key.lower() for word in _SECRET_KEYS):
        return "***"
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    return text if _PLAIN.match(text) else json.dumps(text)


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
    logger.opt(raw=False).bind(line=format_fields({"event": event, **fields})).log(
        level, ""
    )


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
