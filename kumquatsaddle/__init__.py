"""Proxy fleet for backend servers with gray failures.

One package a duty; see ``docs/design.md`` for how they act together and
``docs/embedding.md`` for their use as a library.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
