"""What an instance that serves published routes tells of itself on its pages."""

import math
from dataclasses import dataclass

__all__ = ["InstanceStatus", "make_instance_status"]


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Whether an instance serves callers, and by which routes.

    Parameters
    ----------
    ready : bool
    problem : str
        Why it is not ready or has refused the newest routes; else empty.
    routes_version : int
        Of the routes in force, as their operator has set it; 0 without any.
    routes_row, routes_refused_row : int
        Versions of the rows in the store with the routes in force and with the newest
        ones, if they were refused; else 0.
    servers_known : bool
        Whether the list of backend servers is known.
    accounts, keys : int
        Numbers of client accounts and of API keys in force.
    store_age : float or None
        For how long it has received nothing from the store, directly or through other
        instances, in seconds; None if it never has.
    keys_stale : bool
        Whether requests that need a key are refused for this.
    """

    ready: bool
    problem: str
    routes_version: int
    routes_row: int
    routes_refused_row: int
    servers_known: bool
    accounts: int
    keys: int
    store_age: float | None
    keys_stale: bool


def make_instance_status(follower, access, is_serving, is_leaving):
    """Return the `InstanceStatus`.

    Parameters
    ----------
    follower : Follower
    access : AccountAccess
    is_serving, is_leaving : bool
    """
    routes, age = follower.route_directory.describe(), follower.contact.get_age()
    accounts = follower.routes.accounts if follower.routes is not None else None
    servers_known = follower.servers.is_known
    problem = routes.problem
    if is_leaving:
        problem = "the instance is stopping"
    elif not problem and not servers_known:
        problem = "the list of backend servers is not known yet"
    return InstanceStatus(
        ready=is_serving,
        problem=problem,
        routes_version=routes.version,
        routes_row=routes.row,
        routes_refused_row=routes.refused_row,
        servers_known=servers_known,
        accounts=len(accounts) if accounts is not None else 0,
        keys=accounts.count_keys() if accounts is not None else 0,
        store_age=round(age, 3) if age < math.inf else None,
        keys_stale=access.is_stale(),
    )
