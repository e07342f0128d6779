"""UDP sockets for gossip.

A socket must provide ``await recvfrom(size)``, which returns data and source,
``await sendto(data, target)`` and ``close()``.
"""

import trio

__all__ = ["open_datagrams"]


async def open_datagrams(address):
    """Return a UDP socket bound to an address.

    Parameters
    ----------
    address : Address

    Returns
    -------
    trio.socket.SocketType

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    family = trio.socket.AF_INET6 if ":" in address.host else trio.socket.AF_INET
    datagrams = trio.socket.socket(family, trio.socket.SOCK_DGRAM)
    try:
        await datagrams.bind((address.host, address.port))
    except BaseException:
        datagrams.close()
        raise
    return datagrams
