"""Settings for tests, without a file."""

from kumquatsaddle.settings.fields import known_fields
from kumquatsaddle.settings.files import Settings
from kumquatsaddle.settings.parsers import parse_value

__all__ = ["make_settings"]


def make_settings(**texts):
    """Return settings with the declared defaults and the given values.

    Parameters
    ----------
    **texts : dict of str to str
        Section to keys and values as text, as in a settings file.

    Returns
    -------
    Settings
    """
    values = {}
    for field in known_fields():
        text = texts.get(field.section, {}).get(field.key)
        if text is not None:
            values[field.section, field.key] = parse_value(field, text)
        elif not field.required:
            values[field.section, field.key] = field.default
    return Settings(values, {}, "test")
