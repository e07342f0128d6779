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
from kumquatsaddle.exceptions import KumquatsaddleError
from kumquatsaddle.lifecycle.node import make_node
from kumquatsaddle.logs import set_log_level
from kumquatsaddle.settings.files import load_settings

__all__ = ["main"]


def main(arguments=None):
    """Run the command; return its exit code."""
    options = docopt(__doc__, argv=arguments, version=__version__)
    try:
        settings = load_settings(options["--settings"])
        set_log_level(options["--log-level"] or settings.get("log", "level"))
        _, application = make_node(settings)
        trio.run(lambda: application.run(handle_signals=True))
    except KumquatsaddleError as error:
        print(f"kumquatsaddle-node: {error}", file=sys.stderr)
        return error.exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main())
