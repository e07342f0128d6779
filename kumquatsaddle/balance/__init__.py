"""Chooses a backend server for each request from shared evidence and load.

Every instance may send to every server. Instances of a zone tell each other what they
have in flight and how servers answered (`kumquatsaddle.sharing`).
"""

from kumquatsaddle.balance.dispatcher import (
    BalancedDispatcher,
    make_balanced_dispatcher,
)
from kumquatsaddle.balance.requests import RoutedRequest

__all__ = ["BalancedDispatcher", "RoutedRequest", "make_balanced_dispatcher"]
