"""Passive health checks of backend servers: detection, ejection and return."""

from kumquatsaddle.health.baseline import LatencyBaseline, make_baseline
from kumquatsaddle.health.sequential import Cusum, make_error_test, make_slow_test
from kumquatsaddle.health.server_health import ServerHealth

__all__ = [
    "Cusum",
    "LatencyBaseline",
    "ServerHealth",
    "make_baseline",
    "make_error_test",
    "make_slow_test",
]
