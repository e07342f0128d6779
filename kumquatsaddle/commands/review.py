"""Review a configuration of published routes before it is sent.

Usage:
  kumquatsaddle-review FILE [--in-force=FILE] [--capacity=FILE] [--format=FORMAT]
  kumquatsaddle-review (-h | --help)
  kumquatsaddle-review --version

Prints errors, for which the fleet would refuse the version, warnings on what cannot
work as it says, and what differs from the version in force; nothing if there is none
of these. - reads from standard input. API keys are never printed.

Options:
  --in-force=FILE    Configuration in force, in the same format.
  --capacity=FILE    JSON with the slots of services and the usual work of the requests
                     of routes; enables the checks that need them.
  --format=FORMAT    text or json [default: text].
  -h --help          Show this text.
  --version          Show the version.

Exit codes: 0 nothing found or only differences, 1 warnings, 2 errors or bad input.
"""

import importlib.util
import json
import sys
from collections import Counter
from pathlib import Path

from docopt import DocoptExit, docopt

from kumquatsaddle import __version__
from kumquatsaddle.commands.capacity import read_capacity
from kumquatsaddle.commands.offline import read_file
from kumquatsaddle.exceptions import (
    ConfigurationError,
    KumquatsaddleError,
    SettingsError,
)
from kumquatsaddle.registries import Registry
from kumquatsaddle.routes.findings import Severity
from kumquatsaddle.routes.review import review_configuration

__all__ = ["main"]

# Functions that print the findings on a file, by the name of the format.
formats = Registry("format")
# The format of the configuration belongs to the platform; its module has the function
# `read_configuration`.
_READER_FILE = Path(__file__).resolve().parents[2] / "platform" / "review.py"
_EXIT_WARNINGS = 1
_EXIT_ERRORS = 2


def main(arguments=None):
    """Run the command; return its exit code."""
    try:
        options = docopt(__doc__, argv=arguments, version=__version__)
        print_findings = formats.get(options["--format"])
        findings = _review_files(options)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return _EXIT_ERRORS
    except KumquatsaddleError as error:
        _print_line(f"kumquatsaddle-review: {error}", sys.stderr)
        return _EXIT_ERRORS
    counts = Counter(finding.severity for finding in findings)
    print_findings(options["FILE"], findings, counts)
    if counts[Severity.ERROR]:
        return _EXIT_ERRORS
    return _EXIT_WARNINGS if counts[Severity.WARNING] else 0


@formats.register("text")
def _print_text(file, findings, counts):
    for finding in findings:
        place = f"{finding.subject}: " if finding.subject else ""
        text = f"{place}{finding.problem} [{finding.check}]"
        _print_line(f"{file}: {finding.severity.value}: {text}", sys.stdout)
    if findings:
        totals = [f"{counts[severity]} {severity.value}s" for severity in Severity]
        _print_line(f"{file}: {', '.join(totals)}", sys.stdout)


@formats.register("json")
def _print_json(file, findings, counts):
    result = {f"{severity.value}s": counts[severity] for severity in Severity}
    result["findings"] = [
        {
            "severity": finding.severity.value,
            "check": finding.check,
            "subject": finding.subject,
            "problem": finding.problem,
        }
        for finding in findings
    ]
    print(json.dumps({"file": file, **result}, indent=2))


def _print_line(text, stream):
    """Print a line; characters that the stream cannot show are escaped."""
    encoding = stream.encoding or "utf-8"
    print(text.encode(encoding, "backslashreplace").decode(encoding), file=stream)


def _review_files(options):
    """Return the findings on the files that the options name."""
    read_configuration = _load_reader()
    capacity = None
    if options["--capacity"]:
        capacity = read_capacity(options["--capacity"])
    in_force = None
    if options["--in-force"]:
        in_force = _read_in_force(options["--in-force"], read_configuration)
    proposed = read_configuration(read_file(options["FILE"]))
    return review_configuration(proposed, in_force, capacity)


def _load_reader():
    """Return the function that reads a configuration of the platform."""
    if not _READER_FILE.is_file():
        raise SettingsError("is missing; use a checkout", str(_READER_FILE))
    spec = importlib.util.spec_from_file_location("platform_review", _READER_FILE)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.read_configuration


def _read_in_force(file, read_configuration):
    configuration = read_configuration(read_file(file))
    if configuration.errors:
        error = configuration.errors[0]
        place = f"{file}: {error.field}" if error.field else file
        raise ConfigurationError(error.problem, place)
    return configuration.table


if __name__ == "__main__":
    sys.exit(main())
