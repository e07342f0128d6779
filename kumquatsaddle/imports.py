"""Lazy re-exports: modules of a package that are imported on first use."""

from importlib import import_module

__all__ = ["make_lazy_getattr"]


def make_lazy_getattr(package, modules):
    """Return a ``__getattr__`` for a package that imports its modules on first use.

    Suits packages whose users need only some of the modules.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : dict of str to str
        Name that the package re-exports to the module that defines it.

    References
    ----------
    PEP 562, Module __getattr__ and __dir__.
    """

    def load_attribute(name):
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{modules[name]}"), name)

    return load_attribute
