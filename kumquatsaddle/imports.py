"""Re-exports of a package that are imported when they are first used."""

from importlib import import_module

__all__ = ["make_lazy_getattr"]


def make_lazy_getattr(package, modules):
    """Return a ``__getattr__`` for a package whose users need only some of its parts.

    Parameters
    ----------
    package : str
        Its name.
    modules : dict of str to str
        Names that the package re-exports, and the module of each.

    References
    ----------
    PEP 562, Module __getattr__ and __dir__.
    """

    def find(name):
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{modules[name]}"), name)

    return find
