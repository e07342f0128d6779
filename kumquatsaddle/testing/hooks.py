"""Behave hooks that every ``environment.py`` re-exports."""

import sys

from hypothesis import HealthCheck, settings

from kumquatsaddle.logs import set_log_level

__all__ = ["before_all", "use_derandomized_profile"]


def use_derandomized_profile(max_examples=100):
    """Make Hypothesis draw the same examples in every run, without a deadline."""
    settings.register_profile(
        "ci",
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=max_examples,
        suppress_health_check=list(HealthCheck),
    )
    settings.load_profile("ci")


def before_all(context):
    """Set the Hypothesis profile and log critical errors only."""
    use_derandomized_profile()
    set_log_level("CRITICAL", sys.stderr)
