"""Rows of the list of backend servers."""

from dataclasses import dataclass

from kumquatsaddle.discovery.records import ServerRecord

__all__ = ["ListedRow"]


@dataclass(frozen=True, slots=True)
class ListedRow:
    """One row of the list of backend servers in the store.

    Parameters
    ----------
    key : str
    version : int
        Within the epoch of the list; 0 if the entry was not read in this epoch.
    record : ServerRecord or None
        None if the entry is invalid or was removed, unless its server is kept in use.
        In a removal from a peer: the last state before it.
    removed : bool
    text : bytes
        The entry in the encoding of the platform, for other instances. Of a removed
        one, the last state before the removal.
    keep_seconds : float, default=0.0
        In a removal from a peer: how long its server is kept in use from now on.
    """

    key: str
    version: int
    record: ServerRecord | None
    removed: bool = False
    text: bytes = b""
    keep_seconds: float = 0.0
