"""Least-squares lines through measured values, with their residual."""

import statistics
from dataclasses import dataclass

__all__ = ["Line", "fit_line", "print_lines"]


@dataclass(frozen=True, slots=True)
class Line:
    """A fitted line.

    Parameters
    ----------
    name, unit : str
        What was measured and its unit.
    per : str
        What the sizes count, such as servers.
    sizes, values : tuple of float
    slope, intercept : float
    residual : float
        Largest distance of a value from the line, relative to the largest value.
    """

    name: str
    unit: str
    per: str
    sizes: tuple
    values: tuple
    slope: float
    intercept: float
    residual: float

    def at(self, size):
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(name, unit, per, sizes, values):
    """Return the least-squares line through values at four or more sizes.

    Raises
    ------
    ValueError
        If there are fewer than four sizes.
    """
    if len(sizes) < 4:
        raise ValueError(f"{len(sizes)} sizes are too few for a fit")
    slope, intercept = statistics.linear_regression(sizes, values)
    distances = [
        abs(value - intercept - slope * size)
        for size, value in zip(sizes, values, strict=True)
    ]
    residual = max(distances) / (max(map(abs, values)) or 1.0)
    return Line(
        name, unit, per, tuple(sizes), tuple(values), slope, intercept, residual
    )


def print_lines(lines):
    """Print a table of lines in Markdown."""
    print("| measure | sizes | values | slope | at size 0 | residual |")
    print("|---|---|---|---|---|---|")
    for line in lines:
        sizes = ", ".join(f"{size:g}" for size in line.sizes)
        values = ", ".join(f"{value:.4g}" for value in line.values)
        print(
            f"| {line.name} | {sizes} {line.per} | {values} {line.unit}"
            f" | {line.slope:.4g} {line.unit} | {line.intercept:.4g}"
            f" | {line.residual:.1%} |"
        )
