"""YAML with the line and column of every key and value.

Only the JSON-like subset of YAML is accepted: maps with text keys, lists and
scalars. Aliases, merge keys and other tags are findings, so that each value of a
document is written where it applies.
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


class ParsedYaml:
    """The result of parsing: the root node, or None, and the findings so far."""

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

    def at(self, *keys):
        """Return the node at a path of keys and indices, which must exist."""
        node = self.root
        for key in keys:
            if isinstance(node, YamlMap):
                node = node.entries[key].value
            else:
                node = node.items[key]
        return node


def read_yaml(text, file=""):
    """Return the ``ParsedYaml`` of a text; never raises for any text.

    >>> read_yaml("slots: 2").at("slots").value
    2
    """
    parsed = ParsedYaml(file)
    try:
        root = YAML(typ="safe", pure=True).compose(text)
        if root is not None:
            parsed.root = _Converter(parsed).convert(root, "")
    except RecursionError:
        parsed.add_at("", 1, 1, "deeply nested values", "fewer levels of nesting")
    except YAMLError as error:
        _add_syntax_error(parsed, text, error)
    if parsed.root is None and not parsed.findings:
        parsed.add_at("", 1, 1, "an empty document", "a map")
    return parsed


def _add_syntax_error(parsed, text, error):
    mark = getattr(error, "problem_mark", None)
    line, column = (mark.line, mark.column) if mark else _line_and_column(text, error)
    problem = getattr(error, "problem", None) or str(error).splitlines()[0]
    parsed.add_at("", line + 1, column + 1, problem, "well-formed YAML")


def _line_and_column(text, error):
    """Return the line and column, from 0, of an error that has only an offset."""
    before = text[: getattr(error, "position", None) or 0]
    return before.count("\n"), len(before) - (before.rfind("\n") + 1)


class _Converter:
    """Converts the nodes of ruamel.yaml into nodes with a path."""

    __slots__ = ("_converted_ids", "_parsed")

    def __init__(self, parsed):
        self._parsed = parsed
        self._converted_ids = set()

    def convert(self, node, path):
        location = (path, node.start_mark.line + 1, node.start_mark.column + 1)
        if id(node) in self._converted_ids:
            self._parsed.add_at(*location, "an alias", "the value itself")
            return YamlNode(*location)
        self._converted_ids.add(id(node))
        if isinstance(node, ScalarNode):
            return self._scalar(node, location)
        if isinstance(node, MappingNode):
            return self._map(node, location)
        return self._list(node, location)

    def _scalar(self, node, location):
        tag = (node.tag or "").removeprefix(TAG_PREFIX)
        value = NO_VALUE
        if tag in scalar_types:
            value = scalar_types.get(tag)(node.value)
        return YamlScalar(*location, node.value, value)

    def _list(self, node, location):
        result = YamlList(*location)
        for index, item in enumerate(node.value):
            result.items.append(self.convert(item, f"{location[0]}[{index}]"))
        return result

    def _map(self, node, location):
        result = YamlMap(*location)
        for key_node, value_node in node.value:
            self._add_entry(result, key_node, value_node)
        return result

    def _add_entry(self, result, key_node, value_node):
        key = self.convert(key_node, result.path)
        if not isinstance(key, YamlScalar) or not isinstance(key.value, str):
            self._parsed.add(key, f"the key {key.describe()}", "a key that is text")
            return
        key.path = f"{result.path}.{key.value}" if result.path else key.value
        if key.value in result.entries:
            first = result.entries[key.value].key
            found = f"the key {key.describe()} again"
            self._parsed.add(key, found, f"each key once; it is on line {first.line}")
            return
        value = self.convert(value_node, key.path)
        result.entries[key.value] = YamlEntry(key, value)
