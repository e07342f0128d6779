"""Compare two saved runs of kumquatsaddle-load.

Usage:
  kumquatsaddle-report FIRST SECOND [--picture=FILE] [--json]
  kumquatsaddle-report (-h | --help)
  kumquatsaddle-report --version

Options:
  --picture=FILE  Draws the latencies by rank into a .png or .svg file.
  --json          Prints the comparison as JSON.
  -h --help       Show this text.
  --version       Show the version.

Exit codes: 0, or 2 if a file cannot be read or written or is no saved run.
"""

import json
import sys
from pathlib import Path

from docopt import docopt

from kumquatsaddle import __version__
from kumquatsaddle.commands.load_runs import PERCENTILES, RankTally, read_run
from kumquatsaddle.exceptions import KumquatsaddleError, SettingsError
from kumquatsaddle.types import Outcome

__all__ = ["compare_runs", "draw_picture", "format_comparison", "main"]

_PICTURES = (".png", ".svg")
# Percentiles of the curve, dense towards the tail.
_CURVE = (1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9)


def compare_runs(first, second):
    """Return the comparison of two runs.

    Parameters
    ----------
    first, second : Run

    Returns
    -------
    dict
        Name of the rank to a dict of the measure's name to first value, second value
        and their ratio; values are None where a run has none. Latencies are in ms.
    """
    ranks = sorted(set(first.tallies) | set(second.tallies))
    return {
        rank.name.lower(): _compare_rank(
            first.tallies.get(rank, RankTally(rank)),
            second.tallies.get(rank, RankTally(rank)),
            first.seconds,
            second.seconds,
        )
        for rank in ranks
    }


def format_comparison(comparison):
    """Return a comparison as text, one measure a line."""
    lines = [f"{'rank':<10}{'measure':<32}{'first':>12}{'second':>12}{'ratio':>9}"]
    for rank, measures in comparison.items():
        for name, entry in measures.items():
            cells = [_format(entry[key]) for key in ("first", "second", "ratio")]
            lines.append(
                f"{rank:<10}{name:<32}{cells[0]:>12}{cells[1]:>12}{cells[2]:>9}"
            )
    return "\n".join(lines)


def draw_picture(first, second, file):
    """Draw the latency percentiles of two runs by rank.

    Parameters
    ----------
    first, second : Run
    file : str
        Ends in ``.png`` or ``.svg``.

    Raises
    ------
    SettingsError
        If the file has another ending or cannot be written, or matplotlib is not
        installed.
    """
    _check_picture(file)
    try:
        from matplotlib.figure import Figure
    except ImportError:
        problem = "needs matplotlib: pip install kumquatsaddle[plot]"
        raise SettingsError(problem, "--picture") from None
    ranks = sorted(set(first.tallies) | set(second.tallies))
    figure = Figure(figsize=(4 * max(1, len(ranks)), 4), layout="constrained")
    axes = figure.subplots(1, max(1, len(ranks)), squeeze=False)[0]
    for axis, rank in zip(axes, ranks, strict=False):
        for label, run in (("first", first), ("second", second)):
            tally = run.tallies.get(rank)
            if tally is not None and tally.histogram.get_total_count():
                values = [tally.get_percentile(p) for p in _CURVE]
                axis.plot([100 / (100 - p) for p in _CURVE], values, label=label)
        axis.set(title=rank.name.lower(), xlabel="1 request in", ylabel="latency (ms)")
        axis.set(xscale="log", yscale="log")
        if axis.lines:
            axis.legend()
    try:
        figure.savefig(file)
    except OSError as error:
        raise SettingsError(error.strerror, file) from None


def _compare_rank(first, second, first_seconds, second_seconds):
    measures = {"sent/s": (first.sent / first_seconds, second.sent / second_seconds)}
    for outcome in Outcome:
        name = outcome.value
        measures[f"{name} share"] = (_share(first, name), _share(second, name))
    for percentile in PERCENTILES:
        measures[f"p{percentile:g} ms"] = (
            first.get_percentile(percentile),
            second.get_percentile(percentile),
        )
    for reason in sorted(set(first.refusals) | set(second.refusals)):
        measures[reason] = (first.refusals[reason], second.refusals[reason])
    return {
        name: {"first": pair[0], "second": pair[1], "ratio": _ratio(*pair)}
        for name, pair in measures.items()
    }


def _share(tally, outcome):
    return tally.outcomes[outcome] / tally.sent if tally.sent else None


def _ratio(first, second):
    if first is None or second is None or not first:
        return None
    return second / first


def _format(value):
    if value is None:
        return "-"
    return str(value) if isinstance(value, int) else f"{value:.3f}"


def _check_picture(file):
    if Path(file).suffix.lower() not in _PICTURES:
        problem = f"{file!r} does not end in {' or '.join(_PICTURES)}"
        raise SettingsError(problem, "--picture")


def _run(options):
    picture = options["--picture"]
    if picture:
        _check_picture(picture)
    first, second = read_run(options["FIRST"]), read_run(options["SECOND"])
    comparison = compare_runs(first, second)
    if picture:
        draw_picture(first, second, picture)
    if options["--json"]:
        print(json.dumps(comparison))
    else:
        print(format_comparison(comparison))
    return 0


def main(arguments=None):
    """Run the command; return its exit code."""
    options = docopt(__doc__, argv=arguments, version=__version__)
    try:
        return _run(options)
    except KumquatsaddleError as error:
        print(f"kumquatsaddle-report: {error}", file=sys.stderr)
        return error.exit_code


if __name__ == "__main__":
    sys.exit(main())
