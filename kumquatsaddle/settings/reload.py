"""Applies a changed settings file to a running instance."""

from kumquatsaddle.exceptions import SettingsError
from kumquatsaddle.settings.fields import known_fields
from kumquatsaddle.settings.files import load_settings

__all__ = ["reload_settings"]


def reload_settings(settings):
    """Read the file of `settings` again and apply what may change live.

    Parameters
    ----------
    settings : Settings
        Changed in place, all keys at once or none.

    Returns
    -------
    dict
        ``(section, key)`` of each changed key to its new value.

    Raises
    ------
    SettingsError
        If the file is invalid or changes a key that is not ``live``; nothing is
        applied then.
    """
    fresh = load_settings(settings.file)
    changed = {}
    for field in known_fields():
        place = (field.section, field.key)
        if fresh.values[place] == settings.values[place]:
            continue
        if not field.live:
            raise SettingsError(
                "cannot change without a restart; nothing is applied",
                settings.file,
                *place,
            )
        changed[place] = fresh.values[place]
    if fresh.seeds != settings.seeds:
        kind, name = _first_difference(fresh.seeds, settings.seeds)
        raise SettingsError(
            "cannot change without a restart; nothing is applied",
            settings.file,
            f"{kind}:{name}",
        )
    settings.values.update(changed)
    return changed


def _first_difference(new, old):
    places = sorted(set(new) | set(old))
    return next(place for place in places if new.get(place) != old.get(place))
