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
        If the server cannot listen at the address; trio may wrap the error in an
        exception group.
    """
    address = settings.get("listen", key)
    try:
        await nursery.start(run, address)
    except* OSError as group:
        # The server of the operators' pages wraps the error in further groups.
        error = next(_flatten_errors(group))
        problem = f"{address} cannot be bound: {error.strerror or error}"
        raise SettingsError(problem, settings.file, "listen", key) from None


def _flatten_errors(error):
    """Yield the errors of an exception group and of the groups nested in it."""
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for part in error.exceptions:
        yield from _flatten_errors(part)
