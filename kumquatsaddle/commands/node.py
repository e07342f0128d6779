"""Run an entry instance.

Usage:
  kumquatsaddle-node --settings=FILE [--log-level=LEVEL]
  kumquatsaddle-node (-h | --help)
  kumquatsaddle-node --version

Options:
  --settings=FILE    INI file of the instance.
  --log-level=LEVEL  Overrides the level of the settings.
  -h --help          Show this text.
  --version          Show the version.
"""

import sys

import trio
from docopt import docopt

from kumquatsaddle import __version__
from kumquatsaddle.exceptions import KumquatsaddleError, SettingsError
from kumquatsaddle.lifecycle.node import make_node
from kumquatsaddle.logs import set_log_level
from kumquatsaddle.settings.files import load_settings

__all__ = ["main"]


def main(arguments=None):
    """Run the command; return its exit code."""
    options = docopt(__doc__, argv=arguments, version=__version__)
    try:
        settings = load_settings(options["--settings"])
        _set_level(options["--log-level"] or settings.get("log", "level"))
        _, application = make_node(settings)
        trio.run(lambda: application.run(handle_signals=True))
    except KumquatsaddleError as error:
        return _report(error)
    except BaseExceptionGroup as group:
        # Trio groups the errors of tasks; one of another class is a fault of the
        # program and keeps its traceback.
        known, others = group.split(KumquatsaddleError)
        if known is None or others is not None:
            raise
        return _report(_find_first(known))
    return 0


def _set_level(level):
    try:
        set_log_level(level)
    except ValueError:
        raise SettingsError(f"--log-level: unknown level {level!r}") from None


def _find_first(error):
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _report(error):
    print(f"kumquatsaddle-node: {error}", file=sys.stderr)
    return error.exit_code


if __name__ == "__main__":
    sys.exit(main())
