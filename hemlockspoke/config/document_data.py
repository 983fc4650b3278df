"""The data of a document, stored beside its text.

Reading YAML with places takes about 1 ms of processor time for each server of a
document. The command line, which has read the text anyway, stores its data as well;
a daemon checks the data and reads the text only where the two do not belong together
or where it needs the place of a mistake.
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
    """Return what is stored beside a text whose root node is ``root``."""
    return {"text_digest": text_digest(text), "value": plain_value(root)}


def data_root(text, stored):
    """Return the root node of stored data, or None if it is not of this text."""
    if not isinstance(stored, dict) or "value" not in stored:
        return None
    if stored.get("text_digest") != text_digest(text):
        return None
    return node_of(stored["value"], "")


def plain_value(node):
    """Return the value of a node as JSON has it.

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


def node_of(value, path):
    """Return the node of a plain value; its place in the text is not known."""
    place = (path, 0, 0)
    if isinstance(value, dict):
        node = YamlMap(*place)
        for key, item in value.items():
            key_path = f"{path}.{key}" if path else key
            entry = YamlEntry(
                YamlScalar(key_path, 0, 0, key, key), node_of(item, key_path)
            )
            node.entries[key] = entry
        return node
    if isinstance(value, list):
        node = YamlList(*place)
        for position, item in enumerate(value):
            node.items.append(node_of(item, f"{path}[{position}]"))
        return node
    return YamlScalar(*place, str(value), value)
