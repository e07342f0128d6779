"""Balances requests over backend servers by their failure probability and load.

This package serves published routes (`kumquatsaddle.lifecycle.routed_node`);
in `kumquatsaddle.dispatch`, only the home instance of a server sends to it. Here, every
instance may send to every server. Instances of a zone exchange their requests in flight
and the outcomes of answered ones (`kumquatsaddle.sharing`).
"""

from kumquatsaddle.balance.dispatcher import (
    BalancedDispatcher,
    make_balanced_dispatcher,
)
from kumquatsaddle.balance.requests import RoutedRequest

__all__ = ["BalancedDispatcher", "RoutedRequest", "make_balanced_dispatcher"]
