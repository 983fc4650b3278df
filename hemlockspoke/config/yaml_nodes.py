"""Nodes of a parsed YAML text with their locations, and the scalar types."""

import re

from hemlockspoke.registry import Registry

# Findings quote at most this much of the text, so that each stays on one line.
MAX_QUOTED_CHARACTERS = 60
# Python refuses to convert integers of more than 4,300 digits.
MAX_NUMBER_CHARACTERS = 40
WHOLE_NUMBER = re.compile(r"[-+]?[0-9]+")

scalar_types = Registry("scalar type")


def quote(text):
    """Return text in quotes, on one line and of bounded length.

    >>> quote("ten")
    '"ten"'
    """
    shown = text[:MAX_QUOTED_CHARACTERS]
    shown = "".join(map(_printable, shown))
    return f'"{shown}…"' if len(text) > MAX_QUOTED_CHARACTERS else f'"{shown}"'


def _printable(character):
    if character.isprintable():
        return character
    return character.encode("unicode_escape").decode("ascii")


class YamlNode:
    """A value with its line and column; ``path`` is its path in the document."""

    __slots__ = ("column", "line", "path")
    kind = "value"

    def __init__(self, path, line, column):
        self.path = path
        self.line = line
        self.column = column

    def describe(self):
        """Return a description of this value for findings."""
        return f"a {self.kind}"


class YamlScalar(YamlNode):
    """A number, string, boolean or null."""

    __slots__ = ("text", "value")
    kind = "scalar"

    def __init__(self, path, line, column, text, value):
        super().__init__(path, line, column)
        self.text = text
        self.value = value

    def describe(self):
        """Return the value as written in the text."""
        if isinstance(self.value, str):
            return quote(self.value)
        return self.text[:MAX_QUOTED_CHARACTERS] or "nothing"


class YamlList(YamlNode):
    """A list of nodes."""

    __slots__ = ("items",)
    kind = "list"

    def __init__(self, path, line, column):
        super().__init__(path, line, column)
        self.items = []


class YamlEntry:
    """The node of a key, and the node of its value."""

    __slots__ = ("key", "value")

    def __init__(self, key, value):
        self.key = key
        self.value = value


class YamlMap(YamlNode):
    """Entries by key, in document order."""

    __slots__ = ("entries",)
    kind = "map"

    def __init__(self, path, line, column):
        super().__init__(path, line, column)
        self.entries = {}


class NoValue:
    """Marks a scalar of an unsupported type, such as a date."""

    __slots__ = ()


NO_VALUE = NoValue()


@scalar_types.register("str")
def _text(text):
    return text


@scalar_types.register("null")
def _null(_text):
    return None


@scalar_types.register("bool")
def _boolean(text):
    return {"true": True, "false": False}.get(text.lower(), NO_VALUE)


@scalar_types.register("int")
def _integer(text):
    if len(text) > MAX_NUMBER_CHARACTERS or not WHOLE_NUMBER.fullmatch(text):
        return NO_VALUE
    return int(text)


@scalar_types.register("float")
def _float(text):
    try:
        return float(text)
    except ValueError:
        return NO_VALUE
