"""Starts the servers of an instance at the addresses of its settings."""

from kumquatsaddle.exceptions import SettingsError

__all__ = ["start_server"]


async def start_server(nursery, run, settings, key):
    """Start a server at the address of a key of ``[listen]``.

    Parameters
    ----------
    nursery : trio.Nursery
    run : callable
        Async function that takes the address and the task status.
    settings : Settings
    key : str

    Raises
    ------
    SettingsError
        If the address cannot be used; trio may wrap it in a group.
    """
    address = settings.get("listen", key)
    try:
        await nursery.start(run, address)
    except* OSError as group:
        # The server of operators' pages wraps the error in groups of its own.
        error = next(_list_errors(group))
        problem = f"{address}: {error.strerror or error}"
        raise SettingsError(problem, settings.file, "listen", key) from None


def _list_errors(error):
    """Yield the errors of a group and of the groups in it."""
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for part in error.exceptions:
        yield from _list_errors(part)
