"""Proxy fleet for backend servers with gray failures.

Each subpackage has one responsibility; see ``docs/design.md`` for how they interact
and ``docs/embedding.md`` for their use as a library.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
