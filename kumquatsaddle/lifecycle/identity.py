"""What an instance says of itself and the keys that it signs with."""

import secrets
import time

from kumquatsaddle.membership.members import Member
from kumquatsaddle.settings.files import read_secret
from kumquatsaddle.types import InstanceState

__all__ = ["describe_self", "read_keys"]

_RANDOM_KEY_BYTES = 32


def describe_self(settings, incarnation):
    """Return the entry of an instance that starts in the member table.

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


def read_keys(settings):
    """Return the keys of internal messages; the first signs.

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
        # Without a key no other instance can talk to this one.
        return [secrets.token_bytes(_RANDOM_KEY_BYTES)]
    return [
        read_secret(settings, "secrets", "control_key_files", file) for file in files
    ]
