"""Applies a changed settings file to a running instance."""

from kumquatsaddle.exceptions import SettingsError
from kumquatsaddle.settings.fields import known_fields
from kumquatsaddle.settings.files import load_settings

__all__ = ["reload_settings"]


def reload_settings(settings):
    """Read the file of `settings` again and apply the changes of live fields.

    Parameters
    ----------
    settings : Settings
        Changed in place: either all changes are applied or none.

    Returns
    -------
    dict
        ``(section, key)`` of each changed field to its new value.

    Raises
    ------
    SettingsError
        If the file is invalid or changes a field that is not ``live``. No change is
        applied then.
    """
    new_settings = load_settings(settings.file)
    changed = {}
    for field in known_fields():
        section_key = (field.section, field.key)
        if new_settings.values[section_key] == settings.values[section_key]:
            continue
        if not field.live:
            raise SettingsError(
                "this setting cannot change without a restart; no change was applied",
                settings.file,
                *section_key,
            )
        changed[section_key] = new_settings.values[section_key]
    if new_settings.initial_sections != settings.initial_sections:
        kind, name = _find_first_difference(
            new_settings.initial_sections, settings.initial_sections
        )
        raise SettingsError(
            "this section cannot change without a restart; no change was applied",
            settings.file,
            f"{kind}:{name}",
        )
    settings.values.update(changed)
    return changed


def _find_first_difference(new, old):
    seed_keys = sorted(set(new) | set(old))
    return next(
        seed_key for seed_key in seed_keys if new.get(seed_key) != old.get(seed_key)
    )
