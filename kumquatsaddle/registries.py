"""Registries of named implementations, filled by decorators.

A registry maps a name, for example one from the settings, to the factory or function
that implements it, so that a new implementation needs no change in the callers.

Examples
--------
>>> from kumquatsaddle.registries import Registry
>>> greetings = Registry("greeting")
>>> @greetings.register("plain")
... def greet():
...     return "hello"
>>> greetings.get("plain")()
'hello'
"""

from kumquatsaddle.exceptions import SettingsError

__all__ = ["Registry"]


class Registry:
    """Named implementations of one interface.

    Parameters
    ----------
    kind : str
        What the entries are, for error messages.
    """

    def __init__(self, kind):
        self.kind = kind
        self._entries = {}

    def register(self, name):
        """Return a decorator that registers its argument as `name`.

        Raises
        ------
        ValueError
            If `name` is registered already.
        """
        if name in self._entries:
            raise ValueError(f"{self.kind} {name!r} is registered already")

        def decorate(entry):
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name):
        """Return the entry registered as `name`.

        Raises
        ------
        SettingsError
            If there is no such entry; the message lists the known names.
        """
        if name not in self._entries:
            known = ", ".join(sorted(self._entries))
            raise SettingsError(f"unknown {self.kind} {name!r}; known: {known}")
        return self._entries[name]

    def names(self):
        """Return the registered names in alphabetical order."""
        return sorted(self._entries)
