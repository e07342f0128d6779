"""Run an entry instance.

Usage:
  kumquatsaddle-node --settings=FILE [--log-level=LEVEL]
  kumquatsaddle-node (-h | --help)
  kumquatsaddle-node --version

Options:
  --settings=FILE    Settings file (INI) of the instance.
  --log-level=LEVEL  Overrides the log level of the settings.
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
        _apply_log_level(options["--log-level"] or settings.get("log", "level"))
        _, application = make_node(settings)
        trio.run(lambda: application.run(handle_signals=True))
    except KumquatsaddleError as error:
        return _print_error(error)
    except BaseExceptionGroup as group:
        # Trio raises the errors of its tasks as a group. An error that is not a
        # KumquatsaddleError is a bug of the program and is shown with its traceback.
        known, others = group.split(KumquatsaddleError)
        if known is None or others is not None:
            raise
        return _print_error(_get_first_exception(known))
    return 0


def _apply_log_level(level):
    try:
        set_log_level(level)
    except ValueError:
        raise SettingsError(f"--log-level: unknown log level {level!r}") from None


def _get_first_exception(error):
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _print_error(error):
    print(f"kumquatsaddle-node: {error}", file=sys.stderr)
    return error.exit_code


if __name__ == "__main__":
    sys.exit(main())
