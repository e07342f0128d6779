"""Hooks of behave; makes the adapter importable as run.py does."""

import sys
from pathlib import Path

from kumquatsaddle.testing import before_all

__all__ = ["before_all"]

_TESTS = Path(__file__).resolve().parent
sys.path[:0] = [str(_TESTS.parent.parent / "platform"), str(_TESTS)]
