"""Reads the plain part of YAML, in which nearly all documents are written.

The YAML library takes about 1 ms for each server of a document, during which a
daemon does nothing else. This reader takes block maps, block lists, flow lists and
flow maps of short scalars, with comments, and gives the same nodes as the library.
It gives up on everything else, also on every mistake, so that the library alone
decides what is well-formed and words the findings.
"""

import re

from hemlockspoke.yaml_nodes import (
    YamlEntry,
    YamlList,
    YamlMap,
    YamlScalar,
    scalar_types,
)

UNUSUAL_CHARACTERS = re.compile(r"[^\n\x20-\x7e]")
COMMENT = re.compile(r"(?:^| +)#.*$")
KEY = r"[A-Za-z][A-Za-z0-9_.-]{0,120}"
LINE = re.compile(rf"( *)(- )?(?:({KEY}):(?: +(.+))?|([^:]+))")
WORDS = re.compile(r"[A-Za-z][A-Za-z0-9_./-]{0,120}(?: [A-Za-z0-9_./-]{1,120}){0,20}")
ADDRESS = re.compile(r"[0-9]{1,3}(?:\.[0-9]{1,3}){3}:[0-9]{1,5}")
WHOLE = re.compile(r"0|[1-9][0-9]{0,14}")
DECIMAL = re.compile(r"(?:0|[1-9][0-9]{0,14})\.[0-9]{1,15}")
QUOTED = re.compile(r'"[^"\\#]*"')
FLOW_ITEM = r'[A-Za-z][A-Za-z0-9_.-]{0,120}|0|[1-9][0-9]{0,14}|"[^"\\#]*"'
FLOW_LIST = re.compile(rf"\[(?:{FLOW_ITEM})(?:, *(?:{FLOW_ITEM}))*\]")
FLOW_PAIR = rf"{KEY}: +(?:{FLOW_ITEM})"
FLOW_MAP = re.compile(rf"\{{{FLOW_PAIR}(?:, *{FLOW_PAIR})*\}}")
FLOW_ITEMS = re.compile(FLOW_ITEM)
FLOW_PAIRS = re.compile(rf"({KEY}): +({FLOW_ITEM})")
# Words that YAML gives a meaning, in one of its versions, other than their text.
RESERVED = frozenset({"true", "false", "yes", "no", "on", "off", "null", "y", "n"})
MAX_DEPTH = 20


class NotPlain(Exception):
    """The text has something that only the library reads."""


class Line:
    """A line with a value; ``word`` is a list item without a key."""

    __slots__ = ("indent", "is_item", "key", "number", "value", "value_column", "word")

    def __init__(self, number, match):
        spaces, dash, self.key, self.value, self.word = match.groups()
        self.number = number
        self.indent = len(spaces)
        self.is_item = dash is not None
        self.value_column = match.start(4) + 1


def read_plain(text):
    """Return the root node of a text, or None if the text is not plain.

    >>> read_plain("slots: 2").entries["slots"].value.value
    2
    >>> read_plain("slots: *two") is None
    True
    """
    if UNUSUAL_CHARACTERS.search(text):
        return None
    try:
        return _PlainReader(text).root()
    except NotPlain:
        return None


def _plain_lines(text):
    lines = []
    for number, content in enumerate(text.split("\n"), start=1):
        if "#" in content:
            content = COMMENT.sub("", content)
        content = content.rstrip(" ")
        if not content:
            continue
        match = LINE.fullmatch(content)
        if match is None:
            raise NotPlain
        lines.append(Line(number, match))
    return lines


class _PlainReader:
    """Position in the lines of a text."""

    __slots__ = ("_depth", "_lines", "_position")

    def __init__(self, text):
        self._lines = _plain_lines(text)
        self._position = 0
        self._depth = 0

    def root(self):
        """Return the root map; all lines must belong to it."""
        line = self._next()
        if line is None or line.indent or line.is_item:
            raise NotPlain
        result = self._map("", 0)
        if self._next() is not None:
            raise NotPlain
        return result

    def _next(self):
        if self._position < len(self._lines):
            return self._lines[self._position]
        return None

    def _map(self, path, indent):
        line = self._next()
        result = YamlMap(path, line.number, indent + 1)
        while line is not None and line.indent == indent and not line.is_item:
            if line.key is None:
                raise NotPlain
            self._position += 1
            place = (line.number, indent + 1)
            key = self._add_key(result, line.key, place)
            if line.value is None:
                value = self._block(key.path, indent)
            else:
                value = _value(line.value, key.path, line.number, line.value_column)
            result.entries[line.key] = YamlEntry(key, value)
            line = self._next()
        return result

    @staticmethod
    def _add_key(result, key, place):
        if key in result.entries:
            raise NotPlain
        return _key_node(key, result.path, place)

    def _block(self, path, parent_indent):
        line = self._next()
        self._depth += 1
        if line is None or self._depth > MAX_DEPTH:
            raise NotPlain
        if line.is_item and line.indent >= parent_indent:
            result = self._list(path, line.indent)
        elif line.indent > parent_indent:
            result = self._map(path, line.indent)
        else:
            # The value is null.
            raise NotPlain
        self._depth -= 1
        return result

    def _list(self, path, indent):
        line = self._next()
        result = YamlList(path, line.number, indent + 1)
        while line is not None and line.indent == indent and line.is_item:
            item_path = f"{path}[{len(result.items)}]"
            column = indent + len("- ")
            if line.key is not None:
                line.is_item = False
                line.indent = column
                result.items.append(self._map(item_path, column))
            else:
                self._position += 1
                item = _scalar(line.word, item_path, line.number, column + 1)
                result.items.append(item)
            line = self._next()
        return result


def _key_node(key, parent_path, place):
    if key.lower() in RESERVED:
        raise NotPlain
    path = f"{parent_path}.{key}" if parent_path else key
    return YamlScalar(path, *place, key, key)


def _value(text, path, number, column):
    if text == "{}":
        return YamlMap(path, number, column)
    if text == "[]":
        return YamlList(path, number, column)
    if text[0] == "[":
        return _flow_list(text, path, number, column)
    if text[0] == "{":
        return _flow_map(text, path, number, column)
    return _scalar(text, path, number, column)


def _flow_list(text, path, number, column):
    if not FLOW_LIST.fullmatch(text):
        raise NotPlain
    result = YamlList(path, number, column)
    for match in FLOW_ITEMS.finditer(text):
        item_path = f"{path}[{len(result.items)}]"
        item = _scalar(match.group(), item_path, number, column + match.start())
        result.items.append(item)
    return result


def _flow_map(text, path, number, column):
    if not FLOW_MAP.fullmatch(text):
        raise NotPlain
    result = YamlMap(path, number, column)
    for match in FLOW_PAIRS.finditer(text):
        name, content = match.groups()
        if name in result.entries:
            raise NotPlain
        key = _key_node(name, path, (number, column + match.start()))
        value = _scalar(content, key.path, number, column + match.start(2))
        result.entries[name] = YamlEntry(key, value)
    return result


def _scalar(text, path, number, column):
    if WORDS.fullmatch(text):
        if text.lower() in RESERVED:
            raise NotPlain
        return YamlScalar(path, number, column, text, text)
    if WHOLE.fullmatch(text):
        return YamlScalar(path, number, column, text, scalar_types.get("int")(text))
    if ADDRESS.fullmatch(text):
        return YamlScalar(path, number, column, text, text)
    if DECIMAL.fullmatch(text):
        return YamlScalar(path, number, column, text, scalar_types.get("float")(text))
    if QUOTED.fullmatch(text):
        return YamlScalar(path, number, column, text[1:-1], text[1:-1])
    raise NotPlain
