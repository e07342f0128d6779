"""Reads a settings file and checks every key before the program starts."""

import configparser
import difflib
from pathlib import Path

from kumquatsaddle.exceptions import SettingsError
from kumquatsaddle.settings.fields import known_fields
from kumquatsaddle.settings.parsers import Address, parse_value

__all__ = ["Address", "Settings", "load_settings", "read_secret"]

# Kinds of the sections [service:NAME] and so on, which define the initial content of
# the in-memory platform.
_INITIAL_SECTION_KINDS = ("service", "template", "account", "backend")
_MIN_SECRET_BYTES = 16
# Groups of keys of [tls]: all or none of a group must be given.
_JOINT_TLS_KEYS = (
    ("certificate_file", "key_file"),
    ("control_certificate_file", "control_key_file", "control_ca_file"),
)


class Settings:
    """Checked settings.

    Parameters
    ----------
    values : dict
        ``(section, key)`` to parsed value, defaults included.
    initial_sections : dict
        ``(kind, name)`` to a dict of text values, for the in-memory platform.
    file : str
        Path of the file, for error messages.
    """

    def __init__(self, values, initial_sections, file):
        self.values = values
        self.initial_sections = initial_sections
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
        For the first problem, with its file, section and key.
    """
    parser = _read_file(file)
    fields = {(field.section, field.key): field for field in known_fields()}
    values, initial_sections = {}, {}
    for section in parser.sections():
        kind, separator, name = section.partition(":")
        if separator:
            _check_initial_section(file, section, kind, name)
            initial_sections[kind, name] = dict(parser.items(section))
            continue
        for key, text in parser.items(section):
            field = _get_field(fields, file, section, key)
            values[section, key] = _parse_field(field, text, file)
    for (section, key), field in fields.items():
        if (section, key) in values:
            continue
        if field.required:
            raise SettingsError("the key is missing", file, section, key)
        values[section, key] = field.default
    _check_dependent_keys(values, file)
    return Settings(values, initial_sections, str(file))


def read_secret(settings, section, key, path):
    """Return the bytes of a secret file without leading and trailing white space.

    Raises
    ------
    SettingsError
        If the file cannot be read or holds fewer than 16 bytes. The message never
        contains the secret.
    """
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as error:
        raise SettingsError(error.strerror, settings.file, section, key) from None
    if len(secret) < _MIN_SECRET_BYTES:
        raise SettingsError(
            f"{path} contains a secret of fewer than {_MIN_SECRET_BYTES} bytes",
            settings.file,
            section,
            key,
        )
    return secret


def _read_file(file):
    # ConfigParser would copy the values of a default section into every other section.
    parser = configparser.ConfigParser(interpolation=None, default_section=None)
    parser.optionxform = str
    try:
        with open(file, encoding="utf-8-sig") as stream:
            parser.read_file(stream)
    except OSError as error:
        raise SettingsError(error.strerror, file) from None
    except UnicodeDecodeError as error:
        raise SettingsError(
            f"the file is not valid UTF-8 at byte {error.start}", file
        ) from None
    except configparser.DuplicateOptionError as error:
        raise SettingsError(
            "the key is given twice", file, error.section, error.option
        ) from None
    except configparser.DuplicateSectionError as error:
        problem = "the section is given twice"
        raise SettingsError(problem, file, error.section) from None
    except configparser.MissingSectionHeaderError as error:
        problem = f"line {error.lineno} precedes the first section header"
        raise SettingsError(problem, file) from None
    except configparser.ParsingError as error:
        # The line is not quoted, because it may contain a secret.
        problem = f"line {error.errors[0][0]} is neither [section] nor key = value"
        raise SettingsError(problem, file) from None
    return parser


def _check_initial_section(file, section, kind, name):
    if kind not in _INITIAL_SECTION_KINDS or not name:
        known = ", ".join(f"{word}:NAME" for word in _INITIAL_SECTION_KINDS)
        raise SettingsError(f"unknown section; known: {known}", file, section)


def _get_field(fields, file, section, key):
    field = fields.get((section, key))
    if field is not None:
        return field
    names = list(dict.fromkeys(section_key[0] for section_key in fields))
    if section not in names:
        raise SettingsError(f"unknown section{_suggest(section, names)}", file, section)
    keys = [section_key[1] for section_key in fields if section_key[0] == section]
    keys_by_label = {
        f"[{section_key[0]}] {section_key[1]}": section_key[1] for section_key in fields
    }
    hint = _suggest(key, keys, keys_by_label)
    raise SettingsError(f"unknown key{hint}", file, section, key)


def _suggest(word, known, keys_by_label=None):
    """Return a hint: the closest known word, else the closest of `keys_by_label`."""
    close_known = difflib.get_close_matches(word, known, n=1)
    if close_known:
        return f"; did you mean {close_known[0]!r}?"
    close_elsewhere = difflib.get_close_matches(
        word, (keys_by_label or {}).values(), n=1
    )
    for label, other in (keys_by_label or {}).items():
        if close_elsewhere and other == close_elsewhere[0]:
            return f"; did you mean {label}?"
    return f"; known: {', '.join(known)}"


def _parse_field(field, text, file):
    try:
        return parse_value(field, text)
    except ValueError as error:
        raise SettingsError(str(error), file, field.section, field.key) from None


def _check_dependent_keys(values, file):
    if values["platform", "kind"] == "http" and not values["platform", "url"]:
        raise SettingsError(
            "kind = http requires a URL such as http://127.0.0.1:9000",
            file,
            "platform",
            "url",
        )
    for group in _JOINT_TLS_KEYS:
        given = [key for key in group if values["tls", key]]
        missing = [key for key in group if not values["tls", key]]
        if given and missing:
            problem = f"{', '.join(group)} go together"
            raise SettingsError(problem, file, "tls", missing[0])
