"""Measured runs of the load tool: counts by rank and their file."""

import json
import math
from collections import Counter
from pathlib import Path

from hdrh.histogram import HdrHistogram

from kumquatsaddle.exceptions import SettingsError
from kumquatsaddle.types import Outcome, Rank

__all__ = ["PERCENTILES", "RankTally", "Run", "format_table", "read_run", "write_run"]

FORMAT = "kumquatsaddle-load/1"
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# Latencies are kept in microseconds, up to 10 minutes, to 3 significant digits.
_LONGEST_US = 600_000_000
_DIGITS = 3
_LARGEST_FILE = 64 << 20


class RankTally:
    """Counts and latencies of one rank.

    Parameters
    ----------
    rank : Rank
    """

    def __init__(self, rank):
        self.rank = rank
        self.sent = 0
        self.skipped = 0
        self.outcomes = Counter()
        self.statuses = Counter()
        self.refusals = Counter()
        self.repeated = 0
        self.histogram = HdrHistogram(1, _LONGEST_US, _DIGITS)

    def add(self, result, latency):
        """Add the result of a request.

        Parameters
        ----------
        result : CallResult
        latency : float
            In seconds from the time at which the request was due.
        """
        self.sent += 1
        self.outcomes[result.outcome.value] += 1
        self.repeated += result.attempts > 1
        if result.outcome is Outcome.DONE:
            self.statuses[str(result.status)] += 1
            latency_us = min(max(1, int(latency * 1e6)), _LONGEST_US)
            self.histogram.record_value(latency_us)
        if result.reason:
            self.refusals[result.reason] += 1

    def get_percentile(self, percentile):
        """Return a percentile of the latency of whole answers, in milliseconds."""
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
        """Return the tally that `to_json` has written."""
        tally = cls(rank)
        tally.sent, tally.skipped = int(value["sent"]), int(value["skipped"])
        tally.repeated = int(value["repeated"])
        for name in ("outcomes", "statuses", "refusals"):
            counts = {str(key): int(count) for key, count in value[name].items()}
            setattr(tally, name, Counter(counts))
        tally.histogram = HdrHistogram.decode(value["histogram"].encode("ascii"))
        return tally


class Run:
    """A measured run.

    Parameters
    ----------
    options : dict
        JSON value; what the run was started with.
    seconds : float
        How long requests were sent.
    tallies : dict of Rank to RankTally
    """

    def __init__(self, options, seconds, tallies):
        self.options = options
        self.seconds = seconds
        self.tallies = tallies

    def to_json(self):
        """Return the run as a JSON value."""
        return {
            "format": FORMAT,
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
    """Read a run that `write_run` has saved.

    Raises
    ------
    SettingsError
        If the file cannot be read or is no saved run.
    """
    try:
        with open(file, "rb") as stream:
            data = stream.read(_LARGEST_FILE + 1)
    except OSError as error:
        raise SettingsError(error.strerror, file) from None
    if len(data) > _LARGEST_FILE:
        raise SettingsError(f"is larger than {_LARGEST_FILE} bytes", file)
    try:
        value = json.loads(data)
        if value["format"] != FORMAT:
            raise ValueError(f"format is {value['format']!r}, not {FORMAT!r}")
        tallies = {}
        for name, entry in value["ranks"].items():
            rank = Rank[name.upper()]
            tallies[rank] = RankTally.from_json(rank, entry)
        seconds = float(value["seconds"])
        if not 0 < seconds < math.inf:
            raise ValueError(f"seconds is {seconds}")
        return Run(dict(value["options"]), seconds, tallies)
    except Exception as error:
        # The decoder of histograms has errors of its own.
        raise SettingsError(f"is no saved run: {error!r}", file) from None


def format_table(run):
    """Return a run as lines of text, one rank a line and its refusals below."""
    heads = "".join(f"{f'p{p:g} ms':>10}" for p in PERCENTILES)
    lines = [f"{'rank':<10}{'sent':>8}{'done':>8}{'not-run':>9}{'unknown':>9}{heads}"]
    for rank, tally in sorted(run.tallies.items()):
        counts = [tally.outcomes[outcome.value] for outcome in Outcome]
        cells = f"{counts[0]:>8}{counts[1]:>9}{counts[2]:>9}"
        times = "".join(_format_time(tally.get_percentile(p)) for p in PERCENTILES)
        lines.append(f"{rank.name.lower():<10}{tally.sent:>8}{cells}{times}")
        lines += [f"  {name}: {n}" for name, n in sorted(tally.refusals.items())]
        if tally.skipped:
            lines.append(f"  not sent, too many in flight: {tally.skipped}")
    return "\n".join(lines)


def _format_time(value):
    return f"{'-':>10}" if value is None else f"{value:>10.2f}"
