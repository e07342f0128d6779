"""Results of runs of the load tool, and their file format."""

import json
import math
from collections import Counter
from pathlib import Path

from hdrh.histogram import HdrHistogram

from kumquatsaddle.exceptions import SettingsError
from kumquatsaddle.types import Outcome, Rank

__all__ = [
    "PERCENTILES",
    "LoadRun",
    "RankTally",
    "format_table",
    "read_run",
    "write_run",
]

FILE_FORMAT = "kumquatsaddle-load/1"
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# Range and precision of the histograms: up to 10 minutes, 3 significant digits.
_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_MAX_FILE_BYTES = 64 << 20


class RankTally:
    """Request counts and latencies of one rank.

    Parameters
    ----------
    rank : Rank

    Attributes
    ----------
    skipped : int
        Requests that were not sent because too many were in flight.
    refusals : Counter
        Results by reason, including results of unknown outcome.
    repeated : int
        Requests with more than one attempt.
    """

    def __init__(self, rank):
        self.rank = rank
        self.sent = 0
        self.skipped = 0
        self.outcomes = Counter()
        self.statuses = Counter()
        self.refusals = Counter()
        self.repeated = 0
        self.histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)

    def add(self, result, latency):
        """Add the result of a request.

        Parameters
        ----------
        result : CallResult
        latency : float
            Time in seconds from when the request was due to its result.
        """
        self.sent += 1
        self.outcomes[result.outcome.value] += 1
        self.repeated += result.attempts > 1
        if result.outcome is Outcome.DONE:
            self.statuses[str(result.status)] += 1
            latency_us = min(max(1, int(latency * 1e6)), _MAX_LATENCY_US)
            self.histogram.record_value(latency_us)
        if result.reason:
            self.refusals[result.reason] += 1

    def get_percentile(self, percentile):
        """Return a latency percentile of the complete answers in ms, or None."""
        if not self.histogram.get_total_count():
            return None
        return self.histogram.get_value_at_percentile(percentile) / 1000

    def to_json(self):
        """Return the tally as a JSON value."""
        return {
            "sent": self.sent,
            "skipped": self.skipped,
            "repeated": self.repeated,
            "outcomes": {o.value: self.outcomes[o.value] for o in Outcome},
            "statuses": dict(sorted(self.statuses.items())),
            "refusals": dict(sorted(self.refusals.items())),
            "latency_ms": {f"p{p:g}": self.get_percentile(p) for p in PERCENTILES},
            "histogram": self.histogram.encode().decode("ascii"),
        }

    @classmethod
    def from_json(cls, rank, value):
        """Return the tally of a JSON value that `to_json` made."""
        tally = cls(rank)
        tally.sent, tally.skipped = int(value["sent"]), int(value["skipped"])
        tally.repeated = int(value["repeated"])
        for name in ("outcomes", "statuses", "refusals"):
            counts = {str(key): int(count) for key, count in value[name].items()}
            setattr(tally, name, Counter(counts))
        tally.histogram = HdrHistogram.decode(value["histogram"].encode("ascii"))
        return tally


class LoadRun:
    """Results of one run of the load tool.

    Parameters
    ----------
    options : dict
        Options of the run, as a JSON value.
    seconds : float
        Time for which requests were sent.
    tallies : dict of Rank to RankTally
    """

    def __init__(self, options, seconds, tallies):
        self.options = options
        self.seconds = seconds
        self.tallies = tallies

    def to_json(self):
        """Return the run as a JSON value."""
        return {
            "format": FILE_FORMAT,
            "options": self.options,
            "seconds": self.seconds,
            "ranks": {
                rank.name.lower(): tally.to_json()
                for rank, tally in sorted(self.tallies.items())
            },
        }


def write_run(run, file):
    """Save a run as a JSON file.

    Raises
    ------
    SettingsError
        If the file cannot be written.
    """
    try:
        Path(file).write_text(json.dumps(run.to_json(), indent=1) + "\n")
    except OSError as error:
        raise SettingsError(error.strerror, file) from None


def read_run(file):
    """Read a run that was saved by `write_run`.

    Raises
    ------
    SettingsError
        If the file cannot be read or is not a saved run.
    """
    try:
        with open(file, "rb") as stream:
            data = stream.read(_MAX_FILE_BYTES + 1)
    except OSError as error:
        raise SettingsError(error.strerror, file) from None
    if len(data) > _MAX_FILE_BYTES:
        raise SettingsError(f"is larger than {_MAX_FILE_BYTES} bytes", file)
    try:
        value = json.loads(data)
        if value["format"] != FILE_FORMAT:
            raise ValueError(f"format is {value['format']!r}, not {FILE_FORMAT!r}")
        tallies = {}
        for name, entry in value["ranks"].items():
            rank = Rank[name.upper()]
            tallies[rank] = RankTally.from_json(rank, entry)
        seconds = float(value["seconds"])
        if not 0 < seconds < math.inf:
            raise ValueError(f"seconds is {seconds}")
        return LoadRun(dict(value["options"]), seconds, tallies)
    except Exception as error:
        # The histogram decoder raises exceptions of many types.
        raise SettingsError(f"is not a saved run: {error!r}", file) from None


def format_table(run):
    """Return a run as lines of text, one line for each rank and its refusals below."""
    headings = "".join(f"{f'p{p:g} ms':>10}" for p in PERCENTILES)
    lines = [
        f"{'rank':<10}{'sent':>8}{'done':>8}{'not-run':>9}{'unknown':>9}{headings}"
    ]
    for rank, tally in sorted(run.tallies.items()):
        counts = [tally.outcomes[outcome.value] for outcome in Outcome]
        cells = f"{counts[0]:>8}{counts[1]:>9}{counts[2]:>9}"
        latencies = "".join(
            _format_latency(tally.get_percentile(p)) for p in PERCENTILES
        )
        lines.append(f"{rank.name.lower():<10}{tally.sent:>8}{cells}{latencies}")
        lines += [f"  {name}: {n}" for name, n in sorted(tally.refusals.items())]
        if tally.skipped:
            lines.append(f"  not sent, too many in flight: {tally.skipped}")
    return "\n".join(lines)


def _format_latency(value):
    return f"{'-':>10}" if value is None else f"{value:>10.2f}"
