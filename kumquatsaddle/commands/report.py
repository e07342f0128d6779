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

Exit codes: 0, or 2 if a file cannot be read or written or is not a saved run.
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

_PICTURE_SUFFIXES = (".png", ".svg")
# Percentiles that the picture shows, dense towards the tail.
_CURVE_PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9)


def compare_runs(first, second):
    """Return the comparison of two runs.

    Parameters
    ----------
    first, second : Run

    Returns
    -------
    dict
        Maps the name of a rank to a dict that maps the name of a measure to the first
        value, the second value and their ratio. A value that a run lacks is None.
        Latencies are in ms.
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
    """Return a comparison as text with one line for each measure."""
    lines = [f"{'rank':<10}{'measure':<32}{'first':>12}{'second':>12}{'ratio':>9}"]
    for rank, measures in comparison.items():
        for name, entry in measures.items():
            cells = [_format_value(entry[key]) for key in ("first", "second", "ratio")]
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
    _check_picture_suffix(file)
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
                values = [tally.get_percentile(p) for p in _CURVE_PERCENTILES]
                axis.plot(
                    [100 / (100 - p) for p in _CURVE_PERCENTILES], values, label=label
                )
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
        measures[f"{name} share"] = (
            _compute_share(first, name),
            _compute_share(second, name),
        )
    for percentile in PERCENTILES:
        measures[f"p{percentile:g} ms"] = (
            first.get_percentile(percentile),
            second.get_percentile(percentile),
        )
    for reason in sorted(set(first.refusals) | set(second.refusals)):
        measures[reason] = (first.refusals[reason], second.refusals[reason])
    return {
        name: {"first": pair[0], "second": pair[1], "ratio": _compute_ratio(*pair)}
        for name, pair in measures.items()
    }


def _compute_share(tally, outcome):
    return tally.outcomes[outcome] / tally.sent if tally.sent else None


def _compute_ratio(first, second):
    if first is None or second is None or not first:
        return None
    return second / first


def _format_value(value):
    if value is None:
        return "-"
    return str(value) if isinstance(value, int) else f"{value:.3f}"


def _check_picture_suffix(file):
    if Path(file).suffix.lower() not in _PICTURE_SUFFIXES:
        problem = f"{file!r} does not end in {' or '.join(_PICTURE_SUFFIXES)}"
        raise SettingsError(problem, "--picture")


def _run_command(options):
    picture = options["--picture"]
    if picture:
        _check_picture_suffix(picture)
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
        return _run_command(options)
    except KumquatsaddleError as error:
        print(f"kumquatsaddle-report: {error}", file=sys.stderr)
        return error.exit_code


if __name__ == "__main__":
    sys.exit(main())
