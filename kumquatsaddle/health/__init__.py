"""Passive health checks of backend servers: detection, ejection and return."""

from kumquatsaddle.health.baseline import LatencyBaseline, make_baseline
from kumquatsaddle.health.judge import ServerHealth
from kumquatsaddle.health.sequential import Cusum, make_error_test, make_slow_test

__all__ = [
    "Cusum",
    "LatencyBaseline",
    "ServerHealth",
    "make_baseline",
    "make_error_test",
    "make_slow_test",
]
