"""Registries of named functions and classes, filled by decorators."""

from hemlockspoke.errors import HumanReadableError


class Registry:
    """Functions or classes of one kind, by name.

    >>> policies = Registry("hedge policy")
    >>> @policies.register("none")
    ... class NoHedging:
    ...     pass
    >>> policies.names()
    ['none']
    """

    __slots__ = ("_entries", "kind")

    def __init__(self, kind):
        self.kind = kind
        self._entries = {}

    def register(self, name):
        """Return a decorator that registers a function or class as ``name``."""

        def decorate(entry):
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name):
        """Return an entry, or raise ``HumanReadableError`` with the known names."""
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(self.names())
            raise HumanReadableError(
                f"unknown {self.kind} {name!r}; known are {known}"
            ) from None

    def __contains__(self, name):
        return name in self._entries

    def items(self):
        """Return pairs of name and entry in the order of their registration."""
        return list(self._entries.items())

    def names(self):
        """Return all names, sorted."""
        return sorted(self._entries)
