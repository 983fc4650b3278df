"""The parsed form of a document, stored with its text.

Parsing YAML with line and column numbers takes about 1 ms of CPU time per server of a
document. The command line, which parses the text anyway, stores the result as well. A
daemon checks this data and parses the text only if the digest of the text does not
match or if the data has a mistake, whose line is to be reported.
"""

import xxhash

from hemlockspoke.config.yaml_nodes import (
    NO_VALUE,
    YamlEntry,
    YamlList,
    YamlMap,
    YamlScalar,
)


def text_digest(text):
    """Return a digest of a document's text."""
    return xxhash.xxh3_128_hexdigest(text.encode())


def stored_data(text, root):
    """Return the data to store with a text whose root node is ``root``."""
    return {"text_digest": text_digest(text), "value": plain_value(root)}


def data_root(text, stored):
    """Return the root node of stored data, or None if its text digest differs."""
    if not isinstance(stored, dict) or "value" not in stored:
        return None
    if stored.get("text_digest") != text_digest(text):
        return None
    return node_from_value(stored["value"], "")


def plain_value(node):
    """Return the value of a node as maps, lists and scalars that JSON can represent.

    >>> from hemlockspoke.config.yaml_reader import read_yaml
    >>> plain_value(read_yaml("slots: [1, 2]").root)
    {'slots': [1, 2]}
    """
    if isinstance(node, YamlMap):
        entries = node.entries.items()
        return {key: plain_value(entry.value) for key, entry in entries}
    if isinstance(node, YamlList):
        return [plain_value(item) for item in node.items]
    return None if node.value is NO_VALUE else node.value


def node_from_value(value, path):
    """Build the node of a plain value; its line and column are unknown (0)."""
    location = (path, 0, 0)
    if isinstance(value, dict):
        node = YamlMap(*location)
        for key, item in value.items():
            key_path = f"{path}.{key}" if path else key
            entry = YamlEntry(
                YamlScalar(key_path, 0, 0, key, key), node_from_value(item, key_path)
            )
            node.entries[key] = entry
        return node
    if isinstance(value, list):
        node = YamlList(*location)
        for index, item in enumerate(value):
            node.items.append(node_from_value(item, f"{path}[{index}]"))
        return node
    return YamlScalar(*location, str(value), value)
