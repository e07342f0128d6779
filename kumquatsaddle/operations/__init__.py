"""At-most-once execution of operations: operation ids, the ledger and claims."""

from kumquatsaddle.operations.issuer import (
    OperationIssuer,
    make_incarnation,
    make_issuer,
    parse_incarnation,
)
from kumquatsaddle.operations.ledger import Ledger, make_ledger

__all__ = [
    "Ledger",
    "OperationIssuer",
    "make_incarnation",
    "make_issuer",
    "make_ledger",
    "parse_incarnation",
]
