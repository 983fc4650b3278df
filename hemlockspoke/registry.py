"""Registries of named behaviour, filled by decorators."""

from hemlockspoke.errors import HumanReadableError


class Registry:
    """Named entries of one kind of behaviour.

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
        """Return a decorator that adds its object under ``name``."""

        def decorate(entry):
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name):
        """Return the entry, or raise an error that lists the known names."""
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(self.names())
            raise HumanReadableError(
                f"unknown {self.kind} {name!r}; known are {known}"
            ) from None

    def __contains__(self, name):
        return name in self._entries

    def names(self):
        """Return all names in order."""
        return sorted(self._entries)
