"""Requests and waiters for the tests of the queue."""

from kumquatsaddle.accounts import ClientAccount
from kumquatsaddle.balance.averages import RouteAverages
from kumquatsaddle.balance.requests import RoutedRequest
from kumquatsaddle.balance.waiting import Waiter
from kumquatsaddle.routes import PublishedRoute, RouteShare
from kumquatsaddle.types import Rank

WORK_SECONDS = 0.2


class Event:
    """Stands for the event of a task."""

    def set(self):
        """Do nothing."""


def make_route(rank=Rank.BULK, objective=1.0, timeout=2.0, name="r"):
    """Return a route of a service."""
    shares = (RouteShare("s", 1.0),)
    return PublishedRoute(name, "h", "/", True, timeout, objective, rank, 2, shares)


def make_request(now=0.0, route=None, account=None, timeout=None):
    """Return a request that arrives now with its whole timeout."""
    route = route or make_route()
    if timeout is None:
        timeout = route.timeout
    request = RoutedRequest(
        b"1", "GET", "/", [], b"", route, "s", now, now + timeout, attempts_left=1
    )
    if account is not None:
        request.account = ClientAccount(account)
    return request


def make_waiter(rank, objective_start, until, is_excess=False):
    """Return a waiter with given places in the order."""
    request = make_request(route=make_route(rank))
    request.deadline = until
    return Waiter(request, frozenset(), until, Event(), 0.2, objective_start, is_excess)


def make_averages(*routes):
    """Return averages that know some routes."""
    averages = RouteAverages()
    for route in routes or (make_route(),):
        for _ in range(20):
            averages.add_seconds(route, WORK_SECONDS)
    return averages
