"""YAML with the line and column of every key and value.

Only the JSON-like part of YAML is read: maps with text keys, lists and scalars.
Aliases, merge keys and other tags are findings, since a reader of the document
should see each value where it stands.
"""

import re

from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError
from ruamel.yaml.nodes import MappingNode, ScalarNode

from hemlockspoke.findings import Finding, Findings
from hemlockspoke.registry import Registry

# A finding quotes at most this much of the text, so that it stays one line.
MAX_QUOTED_CHARACTERS = 60
# Python refuses to convert whole numbers of more than 4,300 digits.
MAX_NUMBER_CHARACTERS = 40
TAG_PREFIX = "tag:yaml.org,2002:"
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
    """A value at a place; ``path`` is its place in the document."""

    __slots__ = ("column", "line", "path")
    kind = "value"

    def __init__(self, path, line, column):
        self.path = path
        self.line = line
        self.column = column

    def describe(self):
        """Return how a finding names this value."""
        return f"a {self.kind}"


class YamlScalar(YamlNode):
    """A number, text, truth value or null."""

    __slots__ = ("text", "value")
    kind = "scalar"

    def __init__(self, path, line, column, text, value):
        super().__init__(path, line, column)
        self.text = text
        self.value = value

    def describe(self):
        """Return the value as it stands in the text."""
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
    """A key with its own place, and its value."""

    __slots__ = ("key", "value")

    def __init__(self, key, value):
        self.key = key
        self.value = value


class YamlMap(YamlNode):
    """Entries by the text of their key, in the order of the document."""

    __slots__ = ("entries",)
    kind = "map"

    def __init__(self, path, line, column):
        super().__init__(path, line, column)
        self.entries = {}


class Reading:
    """A read text: its root node, None without one, and the findings so far."""

    __slots__ = ("file", "findings", "root")

    def __init__(self, file):
        self.file = file
        self.root = None
        self.findings = Findings()

    def add(self, node, found, allowed):
        """Add a finding at a node."""
        self.add_at(node.path, node.line, node.column, found, allowed)

    def add_at(self, path, line, column, found, allowed):
        """Add a finding at a line and column."""
        finding = Finding(
            path, found, allowed, file=self.file, line=line, column=column
        )
        self.findings.add(finding)

    def at(self, *steps):
        """Return the node at a path of keys and positions, which must exist."""
        node = self.root
        for step in steps:
            if isinstance(node, YamlMap):
                node = node.entries[step].value
            else:
                node = node.items[step]
        return node


def read_yaml(text, file=""):
    """Return the ``Reading`` of a text; never raises for any text.

    >>> read_yaml("slots: 2").at("slots").value
    2
    """
    reading = Reading(file)
    try:
        root = YAML(typ="safe", pure=True).compose(text)
        if root is not None:
            reading.root = _Converter(reading).convert(root, "")
    except RecursionError:
        reading.add_at("", 1, 1, "deeply nested values", "fewer levels of nesting")
    except YAMLError as error:
        _add_syntax_error(reading, text, error)
    if reading.root is None and not reading.findings:
        reading.add_at("", 1, 1, "an empty document", "a map")
    return reading


def _add_syntax_error(reading, text, error):
    mark = getattr(error, "problem_mark", None)
    line, column = (mark.line, mark.column) if mark else _place(text, error)
    problem = getattr(error, "problem", None) or str(error).splitlines()[0]
    reading.add_at("", line + 1, column + 1, problem, "well-formed YAML")


def _place(text, error):
    """Return line and column of an error that only knows its position."""
    before = text[: getattr(error, "position", None) or 0]
    return before.count("\n"), len(before) - (before.rfind("\n") + 1)


class _Converter:
    """Turns the nodes of the library into nodes with a path."""

    __slots__ = ("_reading", "_seen")

    def __init__(self, reading):
        self._reading = reading
        self._seen = set()

    def convert(self, node, path):
        place = (path, node.start_mark.line + 1, node.start_mark.column + 1)
        if id(node) in self._seen:
            self._reading.add_at(*place, "an alias", "the value itself")
            return YamlNode(*place)
        self._seen.add(id(node))
        if isinstance(node, ScalarNode):
            return self._scalar(node, place)
        if isinstance(node, MappingNode):
            return self._map(node, place)
        return self._list(node, place)

    def _scalar(self, node, place):
        tag = (node.tag or "").removeprefix(TAG_PREFIX)
        convert = scalar_types.get(tag) if tag in scalar_types else _no_value
        return YamlScalar(*place, node.value, convert(node.value))

    def _list(self, node, place):
        result = YamlList(*place)
        for position, item in enumerate(node.value):
            result.items.append(self.convert(item, f"{place[0]}[{position}]"))
        return result

    def _map(self, node, place):
        result = YamlMap(*place)
        for key_node, value_node in node.value:
            self._entry(result, key_node, value_node)
        return result

    def _entry(self, result, key_node, value_node):
        key = self.convert(key_node, result.path)
        if not isinstance(key, YamlScalar) or not isinstance(key.value, str):
            self._reading.add(key, f"the key {key.describe()}", "a key that is text")
            return
        key.path = f"{result.path}.{key.value}" if result.path else key.value
        if key.value in result.entries:
            first = result.entries[key.value].key
            found = f"the key {key.describe()} again"
            self._reading.add(key, found, f"each key once; it is on line {first.line}")
            return
        value = self.convert(value_node, key.path)
        result.entries[key.value] = YamlEntry(key, value)


class NoValue:
    """A scalar whose text has no meaning here, such as a date."""

    __slots__ = ()


NO_VALUE = NoValue()


def _no_value(_text):
    return NO_VALUE


@scalar_types.register("str")
def _text(text):
    return text


@scalar_types.register("null")
def _null(_text):
    return None


@scalar_types.register("bool")
def _truth(text):
    return {"true": True, "false": False}.get(text.lower(), NO_VALUE)


@scalar_types.register("int")
def _whole(text):
    if len(text) > MAX_NUMBER_CHARACTERS or not WHOLE_NUMBER.fullmatch(text):
        return NO_VALUE
    return int(text)


@scalar_types.register("float")
def _number(text):
    try:
        return float(text)
    except ValueError:
        return NO_VALUE
