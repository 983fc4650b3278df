"""Checks of single values and of the fields of a map.

Each check gets a node of ``yaml_nodes`` and returns its value, or ``INVALID`` after
adding a finding. Checks of containers keep the valid parts, so that the checks across
fields still run and all mistakes are reported together.
"""

import re
from abc import ABC, abstractmethod

from hemlockspoke.address import ADDRESS_FORM, Address
from hemlockspoke.config.yaml_nodes import YamlList, YamlMap, YamlScalar

# Names are used in store keys and metric names.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_FORM = (
    "a name of 1 to 63 letters, digits, dots, dashes and underscores that starts "
    "with a letter or digit"
)
MAX_TEXT_CHARACTERS = 200


class Invalid:
    """Marks a value that failed its check."""

    __slots__ = ()

    def __repr__(self):
        return "INVALID"


INVALID = Invalid()


class Check(ABC):
    """Checks one value; ``allowed`` describes the accepted values in words."""

    __slots__ = ("allowed",)

    def __init__(self, allowed):
        self.allowed = allowed

    @abstractmethod
    def check(self, node, parsed):
        """Return the value, or ``INVALID`` after adding a finding."""

    def reject(self, node, parsed):
        """Add a finding that the node is not allowed, and return ``INVALID``."""
        parsed.add(node, node.describe(), self.allowed)
        return INVALID


class ScalarCheck(Check):
    """Checks a scalar by a condition on its value."""

    __slots__ = ()

    def check(self, node, parsed):
        if isinstance(node, YamlScalar) and self.accepts(node.value):
            return node.value
        return self.reject(node, parsed)

    @abstractmethod
    def accepts(self, value):
        """Return whether a scalar is allowed."""


class IntegerRange(ScalarCheck):
    """An integer within a range."""

    __slots__ = ("maximum", "minimum")

    def __init__(self, minimum, maximum, unit=""):
        unit = f" {unit}" if unit else ""
        super().__init__(f"a whole number from {minimum} to {maximum}{unit}")
        self.minimum = minimum
        self.maximum = maximum

    def accepts(self, value):
        # ``bool`` is a subclass of ``int``, but is not accepted here.
        return type(value) is int and self.minimum <= value <= self.maximum


class Ratio(ScalarCheck):
    """A number from 0 to 1."""

    __slots__ = ()

    def __init__(self):
        super().__init__("a number from 0 to 1")

    def accepts(self, value):
        return type(value) in (int, float) and 0 <= value <= 1


class Text(ScalarCheck):
    """Printable text on one line."""

    __slots__ = ()

    def __init__(self):
        super().__init__(f"printable text of 1 to {MAX_TEXT_CHARACTERS} characters")

    def accepts(self, value):
        if not isinstance(value, str) or not value.isprintable():
            return False
        return 1 <= len(value) <= MAX_TEXT_CHARACTERS


class Name(ScalarCheck):
    """A name that may be part of a store key."""

    __slots__ = ()

    def __init__(self):
        super().__init__(NAME_FORM)

    def accepts(self, value):
        return isinstance(value, str) and bool(NAME.fullmatch(value))


class Choice(ScalarCheck):
    """One of a few names."""

    __slots__ = ("names",)

    def __init__(self, names):
        self.names = tuple(names)
        super().__init__("one of " + ", ".join(self.names))

    def accepts(self, value):
        return isinstance(value, str) and value in self.names


class AddressCheck(Check):
    """A numeric address; ``any_host`` permits 0.0.0.0 and [::]."""

    __slots__ = ("any_host",)

    def __init__(self, any_host=False):
        allowed = f"{ADDRESS_FORM}, as in 10.0.1.1:8000"
        super().__init__(allowed if any_host else f"{allowed}, not 0.0.0.0 or [::]")
        self.any_host = any_host

    def check(self, node, parsed):
        if not isinstance(node, YamlScalar) or not isinstance(node.value, str):
            return self.reject(node, parsed)
        try:
            address = Address.parse(node.value)
        except ValueError:
            return self.reject(node, parsed)
        if address.is_unspecified() and not self.any_host:
            return self.reject(node, parsed)
        return address


class ListOf(Check):
    """A list of items of one kind; invalid items become ``INVALID``."""

    __slots__ = ("item", "minimum")

    def __init__(self, item, minimum=0):
        super().__init__(f"a list of at least {minimum} items")
        self.item = item
        self.minimum = minimum

    def check(self, node, parsed):
        if not isinstance(node, YamlList) or len(node.items) < self.minimum:
            if isinstance(node, YamlList):
                parsed.add(node, f"{len(node.items)} items", self.allowed)
                return INVALID
            return self.reject(node, parsed)
        return [self.item.check(item, parsed) for item in node.items]


class MapOf(Check):
    """A map from names to values of one kind; invalid ones become ``INVALID``."""

    __slots__ = ("minimum", "value")

    def __init__(self, value, minimum=0):
        super().__init__(f"a map of at least {minimum} names")
        self.value = value
        self.minimum = minimum

    def check(self, node, parsed):
        if not isinstance(node, YamlMap):
            return self.reject(node, parsed)
        if len(node.entries) < self.minimum:
            parsed.add(node, f"{len(node.entries)} names", self.allowed)
        return {
            name: self._check_entry(entry, parsed)
            for name, entry in node.entries.items()
        }

    def _check_entry(self, entry, parsed):
        if not NAME.fullmatch(entry.key.value):
            parsed.add(entry.key, f"the name {entry.key.describe()}", NAME_FORM)
        return self.value.check(entry.value, parsed)


class Record(Check):
    """A map with known fields; the result contains the valid ones."""

    __slots__ = ("fields", "required")

    def __init__(self, required, optional=None):
        self.fields = {**required, **(optional or {})}
        self.required = tuple(required)
        super().__init__("a map with the fields " + ", ".join(self.fields))

    def check(self, node, parsed):
        if not isinstance(node, YamlMap):
            return self.reject(node, parsed)
        self._check_required(node, parsed)
        values = {}
        for name, entry in node.entries.items():
            self._check_field(name, entry, parsed, values)
        return values

    def _check_required(self, node, parsed):
        for name in self.required:
            if name not in node.entries:
                path = f"{node.path}.{name}" if node.path else name
                allowed = self.fields[name].allowed
                parsed.add_at(path, node.line, node.column, "no such field", allowed)

    def _check_field(self, name, entry, parsed, values):
        if name not in self.fields:
            known = "one of the fields " + ", ".join(self.fields)
            parsed.add(entry.key, f"the field {entry.key.describe()}", known)
            return
        value = self.fields[name].check(entry.value, parsed)
        if value is not INVALID:
            values[name] = value
