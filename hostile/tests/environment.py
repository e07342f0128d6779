"""Hooks of behave; makes the platform's adapter and its stand-ins importable."""

import sys
from pathlib import Path

from kumquatsaddle.testing import before_all

__all__ = ["before_all"]

_TESTS = Path(__file__).resolve().parent
_ROOT = _TESTS.parent.parent
sys.path[:0] = [str(_TESTS), str(_ROOT / "deploy" / "tests"), str(_ROOT)]
