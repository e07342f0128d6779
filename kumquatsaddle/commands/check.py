"""Check a settings file and, optionally, a configuration file.

Usage:
  kumquatsaddle-check --settings=FILE [--configuration=FILE] [--verbose]
  kumquatsaddle-check (-h | --help)
  kumquatsaddle-check --version

Prints the first problem with its file, section and key, and nothing on success.

Options:
  --settings=FILE       Settings file (INI) of an instance.
  --configuration=FILE  JSON list of entities with kind, name and value.
  --verbose             Print the checked values and a summary.
  -h --help             Show this text.
  --version             Show the version.
"""

import sys
from pathlib import Path

from docopt import docopt

from kumquatsaddle import __version__
from kumquatsaddle.commands.offline import validate_file
from kumquatsaddle.configuration.changes import make_initial_changes
from kumquatsaddle.configuration.commits import Edit, check_edit
from kumquatsaddle.configuration.state import make_configuration
from kumquatsaddle.exceptions import (
    ConfigurationError,
    KumquatsaddleError,
    SettingsError,
)
from kumquatsaddle.settings.fields import known_fields
from kumquatsaddle.settings.files import load_settings, read_secret
from kumquatsaddle.settings.parsers import parse_address

__all__ = ["main"]


def main(arguments=None):
    """Run the command; return its exit code."""
    options = docopt(__doc__, argv=arguments, version=__version__)
    try:
        settings = load_settings(options["--settings"])
        _check_files(settings)
        _check_initial_sections(settings)
        count = 0
        if options["--configuration"]:
            count = validate_file(options["--configuration"])
    except KumquatsaddleError as error:
        print(f"kumquatsaddle-check: {error}", file=sys.stderr)
        return error.exit_code
    if options["--verbose"]:
        for field in known_fields():
            value = settings.get(field.section, field.key)
            print(f"[{field.section}] {field.key} = {value} {field.unit}".rstrip())
        print(f"{options['--settings']}: no problem, {count} entities")
    return 0


def _check_files(settings):
    """Check that the secret and TLS files named in the settings can be read."""
    for file in settings.get("secrets", "control_key_files"):
        read_secret(settings, "secrets", "control_key_files", file)
    token_file = settings.get("secrets", "operator_token_file")
    if token_file:
        read_secret(settings, "secrets", "operator_token_file", token_file)
    for key in ("certificate_file", "key_file"):
        file = settings.get("tls", key)
        try:
            if file:
                Path(file).read_bytes()
        except OSError as error:
            raise SettingsError(error.strerror, settings.file, "tls", key) from None


def _check_initial_sections(settings):
    """Check the sections that define initial entities and backend servers."""
    configuration = make_configuration()
    for change in _read_initial_changes(settings):
        section = f"{change.kind}:{change.name}"
        edit = Edit(change.kind, change.name, change.value, None)
        try:
            check_edit(configuration, edit)
        except ConfigurationError as error:
            entity_path = f"{change.kind}s/{change.name}"
            key = (error.field or "").removeprefix(entity_path).removeprefix(".")
            raise SettingsError(
                error.problem, settings.file, section, key or None
            ) from None
        configuration.apply_change(change)
    for (kind, name), values in settings.initial_sections.items():
        if kind == "backend":
            _check_backend(settings, name, values, configuration)


def _read_initial_changes(settings):
    """Yield the changes that create the entities of the settings file."""
    try:
        yield from make_initial_changes(settings.initial_sections)
    except ConfigurationError as error:
        entity_path, _, key = (error.field or "").rpartition(".")
        section = entity_path.replace("s/", ":", 1)
        raise SettingsError(error.problem, settings.file, section, key) from None


def _check_backend(settings, name, values, configuration):
    section = f"backend:{name}"
    known_keys = ("service", "address", "zone", "region")
    for key in values:
        if key not in known_keys:
            problem = f"unknown key; known: {', '.join(known_keys)}"
            raise SettingsError(problem, settings.file, section, key)
    if values.get("service") not in configuration.services:
        problem = f"there is no service {values.get('service')!r}"
        raise SettingsError(problem, settings.file, section, "service")
    try:
        parse_address(values.get("address", ""))
    except ValueError as error:
        raise SettingsError(str(error), settings.file, section, "address") from None


if __name__ == "__main__":
    sys.exit(main())
