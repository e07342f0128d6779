"""The published routes: which service gets a request, and how it is handled."""

from kumquatsaddle.routes.table import (
    CallerLimits,
    PublishedRoute,
    PublishedService,
    RouteShare,
    RouteTable,
    make_route_table,
)

__all__ = [
    "CallerLimits",
    "PublishedRoute",
    "PublishedService",
    "RouteShare",
    "RouteTable",
    "make_route_table",
]
