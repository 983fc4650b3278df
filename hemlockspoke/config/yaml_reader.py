"""YAML with the line and column of every key and value.

Only the JSON-like part of YAML is read: maps with text keys, lists and scalars.
Aliases, merge keys and other tags are findings, since a reader of the document
should see each value where it stands.
"""

from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError
from ruamel.yaml.nodes import MappingNode, ScalarNode

from hemlockspoke.config.yaml_nodes import (
    NO_VALUE,
    YamlEntry,
    YamlList,
    YamlMap,
    YamlNode,
    YamlScalar,
    scalar_types,
)
from hemlockspoke.findings import Finding, Findings

TAG_PREFIX = "tag:yaml.org,2002:"


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
        value = NO_VALUE
        if tag in scalar_types:
            value = scalar_types.get(tag)(node.value)
        return YamlScalar(*place, node.value, value)

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
