"""The answer to a caller that asks which addresses to use.

It is the fleet's only load balancer: the homes of the service, ordered by a weighted
rendezvous score over service and account, so that the callers of one account meet at
one instance and the accounts spread over the homes by capacity.
"""

from dataclasses import dataclass

from kumquatsaddle.addresses.scores import combine_scores, hash_name, weigh_score
from kumquatsaddle.types import InstanceId

__all__ = ["AddressEntry", "answer_addresses", "order_homes"]

# Addresses in an answer: the primary, the second and one for the case that both go.
_ANSWER_SIZE = 3


@dataclass(frozen=True, slots=True)
class AddressEntry:
    """An address in an answer.

    Parameters
    ----------
    instance : InstanceId
    address : str
        ``host:port`` for callers.
    """

    instance: InstanceId
    address: str


def order_homes(weights, service, account):
    """Return the homes of a service in the order in which an account uses them.

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
    digest = combine_scores(hash_name(service), hash_name(account))

    def order(name):
        return -weigh_score(combine_scores(digest, hash_name(name)), weights[name])

    return sorted(weights, key=order)


def answer_addresses(weights, service, account, addresses, size=_ANSWER_SIZE):
    """Return the addresses for the callers of an account.

    Parameters
    ----------
    weights : dict of InstanceId to float
        Weight of each home of the service.
    service : ServiceName
    account : AccountId
    addresses : dict of InstanceId to str
        Address for callers of every instance that may be answered.
    size : int, default=3
        Most addresses in the answer.

    Returns
    -------
    list of AddressEntry
        Homes first; other instances follow where there are fewer homes than `size`.
    """
    usable = {name: weight for name, weight in weights.items() if name in addresses}
    others = {name: 1 for name in addresses if name not in usable}
    names = order_homes(usable, service, account)[:size]
    if len(names) < size:
        names += order_homes(others, service, account)[: size - len(names)]
    return [AddressEntry(name, addresses[name]) for name in names]
