"""Client accounts of the published configuration: API keys, ranks and quotas."""

from kumquatsaddle.accounts.table import (
    AccountTable,
    ClientAccount,
    Quota,
    compute_key_digest,
    make_account_table,
)

__all__ = [
    "AccountTable",
    "ClientAccount",
    "Quota",
    "compute_key_digest",
    "make_account_table",
]
