"""Fixtures that the tests of all packages share.

Import from here in ``environment.py`` and in step modules; nothing in the product
imports this package.
"""

from kumquatsaddle.testing.hooks import before_all, use_derandomized_profile

__all__ = ["before_all", "use_derandomized_profile"]
