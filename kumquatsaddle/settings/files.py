"""Reads a settings file and checks every key before anything starts."""

import configparser
import difflib
from pathlib import Path

from kumquatsaddle.exceptions import SettingsError
from kumquatsaddle.settings.fields import known_fields
from kumquatsaddle.settings.parsers import Address, parse_value

__all__ = ["Address", "Settings", "load_settings", "read_secret"]

# Sections of this form seed the embedded platform: [service:NAME] and so on.
_SEED_KINDS = ("service", "template", "account", "backend")
_SHORTEST_SECRET_BYTES = 16
# Keys of [tls] of which all or none are given.
_TOGETHER = (
    ("certificate_file", "key_file"),
    ("control_certificate_file", "control_key_file", "control_ca_file"),
)


class Settings:
    """Checked settings.

    Parameters
    ----------
    values : dict
        ``(section, key)`` to parsed value.
    seeds : dict
        ``(kind, name)`` to a dict of text values, for the embedded platform.
    file : str
        Path of the file, for error messages.
    """

    def __init__(self, values, seeds, file):
        self.values = values
        self.seeds = seeds
        self.file = file

    def get(self, section, key):
        """Return the value of one declared key."""
        return self.values[section, key]


def load_settings(file):
    """Read and check a settings file.

    Parameters
    ----------
    file : str or Path

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        Names the file, section and key of the first problem.
    """
    parser = _read_file(file)
    fields = {(field.section, field.key): field for field in known_fields()}
    values, seeds = {}, {}
    for section in parser.sections():
        kind, separator, name = section.partition(":")
        if separator:
            _check_seed(file, section, kind, name)
            seeds[kind, name] = dict(parser.items(section))
            continue
        for key, text in parser.items(section):
            field = _find_field(fields, file, section, key)
            values[section, key] = _parse(field, text, file)
    for (section, key), field in fields.items():
        if (section, key) in values:
            continue
        if field.required:
            raise SettingsError("the key is missing", file, section, key)
        values[section, key] = field.default
    _check_together(values, file)
    return Settings(values, seeds, str(file))


def read_secret(settings, section, key, path):
    """Return the bytes of a secret file, stripped of white space at the ends.

    Raises
    ------
    SettingsError
        If it cannot be read or is shorter than 16 bytes. The content is never part
        of the message.
    """
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as error:
        raise SettingsError(error.strerror, settings.file, section, key) from None
    if len(secret) < _SHORTEST_SECRET_BYTES:
        raise SettingsError(
            f"{path} holds fewer than {_SHORTEST_SECRET_BYTES} bytes",
            settings.file,
            section,
            key,
        )
    return secret


def _read_file(file):
    # Values of a default section would leak into every other section.
    parser = configparser.ConfigParser(interpolation=None, default_section=None)
    parser.optionxform = str
    try:
        with open(file, encoding="utf-8-sig") as stream:
            parser.read_file(stream)
    except OSError as error:
        raise SettingsError(error.strerror, file) from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"not UTF-8 at byte {error.start}", file) from None
    except configparser.DuplicateOptionError as error:
        raise SettingsError(
            "the key is given twice", file, error.section, error.option
        ) from None
    except configparser.DuplicateSectionError as error:
        problem = "the section is given twice"
        raise SettingsError(problem, file, error.section) from None
    except configparser.MissingSectionHeaderError as error:
        problem = f"line {error.lineno} stands before the first section"
        raise SettingsError(problem, file) from None
    except configparser.ParsingError as error:
        # The text of the line may be a secret.
        problem = f"line {error.errors[0][0]} is neither [section] nor key = value"
        raise SettingsError(problem, file) from None
    return parser


def _check_seed(file, section, kind, name):
    if kind not in _SEED_KINDS or not name:
        known = ", ".join(f"{word}:NAME" for word in _SEED_KINDS)
        raise SettingsError(f"unknown section; known: {known}", file, section)


def _find_field(fields, file, section, key):
    field = fields.get((section, key))
    if field is not None:
        return field
    names = list(dict.fromkeys(place[0] for place in fields))
    if section not in names:
        raise SettingsError(f"unknown section{_suggest(section, names)}", file, section)
    keys = [place[1] for place in fields if place[0] == section]
    others = {f"[{place[0]}] {place[1]}": place[1] for place in fields}
    hint = _suggest(key, keys, others)
    raise SettingsError(f"unknown key{hint}", file, section, key)


def _suggest(word, known, elsewhere=None):
    """Return a hint: the nearest known word, else one of another section."""
    close = difflib.get_close_matches(word, known, n=1)
    if close:
        return f"; did you mean {close[0]!r}?"
    words = difflib.get_close_matches(word, (elsewhere or {}).values(), n=1)
    for label, other in (elsewhere or {}).items():
        if words and other == words[0]:
            return f"; did you mean {label}?"
    return f"; known: {', '.join(known)}"


def _parse(field, text, file):
    try:
        return parse_value(field, text)
    except ValueError as error:
        raise SettingsError(str(error), file, field.section, field.key) from None


def _check_together(values, file):
    if values["platform", "kind"] == "http" and not values["platform", "url"]:
        raise SettingsError(
            "kind = http needs a URL such as http://127.0.0.1:9000",
            file,
            "platform",
            "url",
        )
    for group in _TOGETHER:
        given = [key for key in group if values["tls", key]]
        missing = [key for key in group if not values["tls", key]]
        if given and missing:
            problem = f"{', '.join(group)} go together"
            raise SettingsError(problem, file, "tls", missing[0])
