"""Hooks of behave."""

from kumquatsaddle.testing import before_all

__all__ = ["before_all"]
