"""Decodes JSON in which single values may be unreadable.

A list of the store may hold values of other writers with bytes that are no UTF-8,
nesting that exceeds the parser's limit, or numbers that are too long. Such a value must
not cost the others of the list.
"""

import json
import re

# Levels of a value that are looked into for readable parts: those from a page of
# changes to the fields of one object.
MAX_SPLIT_LEVELS = 4
# A string, a run of brackets of one direction, or a separator.
_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|[,:]', re.DOTALL)


class Unreadable:
    """Stands for a value that cannot be read."""

    __slots__ = ()

    def __repr__(self):
        return "UNREADABLE"


UNREADABLE = Unreadable()


def decode(content):
    """Return the value of some bytes, with ``UNREADABLE`` for parts that are not.

    Bytes that are no UTF-8 become lone surrogates, as their JSON escapes do. Raises
    ``ValueError`` if the bytes as a whole are not JSON.

    >>> decode(b'{"a": [1, ' + b"9" * 9999 + b', 3]}')
    {'a': [1, UNREADABLE, 3]}
    """
    return _decode(content.decode("utf-8", "surrogateescape"), MAX_SPLIT_LEVELS)


def _decode(text, levels):
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        if levels == 0:
            raise ValueError("the value is too deep") from None
    parts = _split(text.strip())
    if text.lstrip().startswith("["):
        return [_decode_part(part, levels - 1) for _, part in parts]
    return {json.loads(key): _decode_part(part, levels - 1) for key, part in parts}


def _decode_part(text, levels):
    try:
        return _decode(text, levels)
    except (ValueError, RecursionError):
        return UNREADABLE


def _split(text):
    """Return pairs of key and value of an object, or of None and value of a list.

    The values are text, and so are the keys. Raises ``ValueError`` if the text is
    neither an object nor a list, or if its end is missing.
    """
    if text[:1] not in ("[", "{"):
        raise ValueError("neither an object nor a list")
    is_object = text[0] == "{"
    parts, key, start, depth = [], None, 1, 0
    for token in _TOKEN.finditer(text, 1):
        mark = token.group()
        if mark[0] in "[{":
            depth += len(mark)
        elif mark[0] in "]}":
            depth -= len(mark)
            if depth < 0:
                if depth != -1 or token.end() != len(text):
                    break
                parts.append((key, text[start:-1]))
                return _checked(parts, is_object)
        elif depth == 0 and mark == ",":
            parts.append((key, text[start : token.start()]))
            key, start = None, token.end()
        elif depth == 0 and mark == ":" and is_object:
            key, start = text[start : token.start()], token.end()
    raise ValueError("the end is missing")


def _checked(parts, is_object):
    if len(parts) == 1 and parts[0][0] is None and not parts[0][1].strip():
        return []
    if is_object and any(key is None for key, _ in parts):
        raise ValueError("a value without a key")
    return parts
