"""Selects the addresses that a caller should use.

This is the only load balancing between instances: the homes of a service are ordered by
weighted rendezvous hashing of service and account. All callers of one account use the
same instance first, and the accounts spread over the homes by capacity.
"""

from dataclasses import dataclass

from kumquatsaddle.addresses.scores import combine_hashes, hash_name, weight_score
from kumquatsaddle.types import InstanceId

__all__ = ["AddressEntry", "answer_addresses", "order_homes"]

# The primary, the secondary and one more in case both become unavailable.
_MAX_ADDRESSES = 3


@dataclass(frozen=True, slots=True)
class AddressEntry:
    """An instance and its address for callers.

    Parameters
    ----------
    instance : InstanceId
    address : str
        ``host:port``.
    """

    instance: InstanceId
    address: str


def order_homes(weights, service, account):
    """Return the homes of a service in the order in which an account should use them.

    Parameters
    ----------
    weights : dict of InstanceId to float
        Weight of each home.
    service : ServiceName
    account : AccountId

    Returns
    -------
    list of InstanceId
        The first one is the account's primary.
    """
    digest = combine_hashes(hash_name(service), hash_name(account))

    def sort_key(name):
        return -weight_score(combine_hashes(digest, hash_name(name)), weights[name])

    return sorted(weights, key=sort_key)


def answer_addresses(weights, service, account, addresses, size=_MAX_ADDRESSES):
    """Return the addresses for the callers of an account.

    Parameters
    ----------
    weights : dict of InstanceId to float
        Weight of each home of the service.
    service : ServiceName
    account : AccountId
    addresses : dict of InstanceId to str
        Address for callers of every instance that callers may use.
    size : int, default=3
        Maximum number of addresses.

    Returns
    -------
    list of AddressEntry
        Homes first; if there are fewer than `size`, other instances follow.
    """
    usable = {name: weight for name, weight in weights.items() if name in addresses}
    others = {name: 1 for name in addresses if name not in usable}
    names = order_homes(usable, service, account)[:size]
    if len(names) < size:
        names += order_homes(others, service, account)[: size - len(names)]
    return [AddressEntry(name, addresses[name]) for name in names]
