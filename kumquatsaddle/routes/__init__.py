"""The published routes: which service answers a request and on what terms."""

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
