"""The own member record of an instance and its keys for internal messages."""

import secrets
import time

from kumquatsaddle.membership.members import Member
from kumquatsaddle.settings.files import read_secret
from kumquatsaddle.types import InstanceState

__all__ = ["load_message_keys", "make_own_member"]

_RANDOM_KEY_BYTES = 32


def make_own_member(settings, incarnation):
    """Return the member table entry of an instance that is starting.

    Parameters
    ----------
    settings : Settings
    incarnation : IncarnationId

    Returns
    -------
    Member
    """
    return Member(
        name=settings.get("instance", "id"),
        incarnation=incarnation,
        started_at=time.time(),
        revision=1,
        state=InstanceState.JOINING,
        zone=settings.get("instance", "zone"),
        region=settings.get("instance", "region"),
        control=str(settings.get("listen", "control")),
        callers=str(settings.get("listen", "callers")),
    )


def load_message_keys(settings):
    """Return the keys of internal messages.

    Messages are signed with the first key. Without key files in the settings, a random
    key is returned.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    list of bytes

    Raises
    ------
    SettingsError
        If a key file cannot be read or is too short.
    """
    files = settings.get("secrets", "control_key_files")
    if not files:
        # No other instance has the random key, so none can exchange messages with this
        # one.
        return [secrets.token_bytes(_RANDOM_KEY_BYTES)]
    return [
        read_secret(settings, "secrets", "control_key_files", file) for file in files
    ]
