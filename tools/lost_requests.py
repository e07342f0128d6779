"""Says by cause how many requests the log lines of instances show as lost.

Usage:
  tools.lost_requests [FILE ...]

Reads the ``request`` lines of docs/OPERATIONS.md from files or from standard input;
anything before ``event=`` in a line is passed over. Each request counts once, by its
last attempt. Good outcomes are logged only up to a rate, so that shares are upper
bounds when lines were dropped.
"""

import json
import re
import sys
from collections import Counter
from enum import Enum

from docopt import docopt

__all__ = ["Cause", "classify_request", "count_causes", "main", "parse_line"]

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ATTEMPT = re.compile(r"([^:;]+):(\w+):(\d+)ms:sick=([\d.]+):load=(\d+)")
# A server counts as known to be gray from this probability of a fault (``sick=``).
_KNOWN_GRAY_PROBABILITY = 0.3
# A failure within this time is attributed to a gray server; a longer one counts as an
# error of the server itself.
_FAST_FAILURE_MS = 60
_MIN_SERVER_ERROR_STATUS = 500


class Cause(Enum):
    """Why a request was not served."""

    SERVED = "served"
    REFUSED = "refused, not run"
    KNOWN_GRAY = "failed by a server that was known to be gray"
    FIRST_FAILURE = "failed at once by a server that was not known to be gray"
    OWN_ERROR = "failed after a while by a server that was not known to be gray"
    ANSWER_LOST = "answer lost or late"


def parse_line(line):
    """Return the fields of a ``request`` line, or None for any other line.

    Parameters
    ----------
    line : str

    Returns
    -------
    dict of str to str, or None

    Examples
    --------
    >>> parse_line('event=request id=a outcome=done status=200 attempts=""')["status"]
    '200'
    """
    start = line.find("event=request ")
    if start < 0:
        return None
    return {
        key: json.loads(value) if value.startswith('"') else value
        for key, value in _FIELD.findall(line[start:])
    }


def classify_request(fields):
    """Return the `Cause` of one request from its parsed fields.

    Raises
    ------
    KeyError
        If a field is missing.
    """
    if fields["outcome"] == "not-run":
        return Cause.REFUSED
    if fields["outcome"] != "done":
        return Cause.ANSWER_LOST
    if int(fields["status"]) < _MIN_SERVER_ERROR_STATUS:
        return Cause.SERVED
    attempts = _ATTEMPT.findall(fields["attempts"])
    if not attempts:
        return Cause.ANSWER_LOST
    _, _, duration_ms, fault_probability, _ = attempts[-1]
    if float(fault_probability) >= _KNOWN_GRAY_PROBABILITY:
        return Cause.KNOWN_GRAY
    if int(duration_ms) <= _FAST_FAILURE_MS:
        return Cause.FIRST_FAILURE
    return Cause.OWN_ERROR


def count_causes(lines):
    """Return the number of requests by service and `Cause`.

    Parameters
    ----------
    lines : iterable of str

    Returns
    -------
    dict of str to Counter of Cause
    """
    counts = {}
    for line in lines:
        fields = parse_line(line)
        if fields is not None:
            service_counts = counts.setdefault(fields["service"], Counter())
            service_counts[classify_request(fields)] += 1
    return counts


def main(arguments=None):
    """Print the causes by service; return 1 if no request line was found."""
    options = docopt(__doc__, argv=arguments)
    lines = _read_lines(options["FILE"])
    counts = count_causes(lines)
    if not counts:
        print("no request lines", file=sys.stderr)
        return 1
    for service, causes in sorted(counts.items()):
        total = causes.total()
        print(f"{service}: {total} requests")
        for cause in Cause:
            print(f"  {causes[cause]:6} {causes[cause] / total:7.4f}  {cause.value}")
    return 0


def _read_lines(files):
    if not files:
        yield from sys.stdin
    for file in files:
        with open(file, encoding="utf-8", errors="replace") as stream:
            yield from stream


if __name__ == "__main__":
    sys.exit(main())
