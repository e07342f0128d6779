"""Settings of the programs, read from INI files and checked before the start."""

from kumquatsaddle.settings.fields import Field, known_fields
from kumquatsaddle.settings.files import Address, Settings, load_settings
from kumquatsaddle.settings.reload import reload_settings

__all__ = [
    "Address",
    "Field",
    "Settings",
    "known_fields",
    "load_settings",
    "reload_settings",
]
