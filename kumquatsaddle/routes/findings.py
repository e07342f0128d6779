"""Findings of a review of published routes, and the registries of what finds them."""

from dataclasses import dataclass
from enum import Enum

from kumquatsaddle.registries import Registry

__all__ = [
    "Finding",
    "Problem",
    "Severity",
    "checks",
    "comparisons",
    "format_number",
    "whole_checks",
]


class Severity(Enum):
    """What a finding means for a version that is about to be sent."""

    # The fleet refuses the version as a whole.
    ERROR = "error"
    # The fleet accepts the version, but a part of it cannot work as it says.
    WARNING = "warning"
    # The version differs from the one in force.
    DIFFERENCE = "difference"


@dataclass(frozen=True, slots=True)
class Problem:
    """What a check has found.

    Parameters
    ----------
    subject : str
        Path of what it is about, for example ``routes/r-1``.
    text : str
        Never contains an API key or its digest.
    """

    subject: str
    text: str


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding of a review.

    Parameters
    ----------
    severity : Severity
    check : str
        Name of the check.
    subject, problem : str
        See `Problem`.
    """

    severity: Severity
    check: str
    subject: str
    problem: str


# Functions that take a `RouteTable` and a `Capacity` and yield `Problem`.
checks = Registry("check")
# The same for checks that need all entries: with entries left out because of errors,
# they would find problems that are not there.
whole_checks = Registry("check of a whole table")
# Functions that take the table in force and the proposed one and yield `Problem`.
comparisons = Registry("comparison")


def format_number(value):
    """Return a number with all digits in which two values may differ."""
    return f"{value:.15g}"
