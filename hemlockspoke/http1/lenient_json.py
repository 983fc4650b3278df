"""Decodes JSON in which single values may be unreadable.

A list of the store may hold values of other writers with bytes that are no UTF-8,
nesting that exceeds the parser's limit, or numbers that are too long. Such a value must
cost neither the others of the list nor much time: the decoder runs in the event loop,
where each change of the value delays all requests of the daemon.

Long numbers are replaced while the C parser runs. Otherwise the members of a container
are parsed in one piece up to the first fault, and only the member with the fault is
looked into, so that each part of the text is parsed a few times at most.
"""

import gc
import json
import re
from contextlib import contextmanager
from itertools import accumulate

# Containers around a value that are looked into for readable parts: those from a page
# of changes to the fields of one item of a list in an object, such as a client account.
MAX_SPLIT_LEVELS = 7
# Containers around a value from which on it is unreadable, once a value is.
MAX_DEPTH = 250
# Limit on the faults of one text. Beyond it a container with a fault is unreadable as a
# whole, apart from the page itself and its list.
MAX_FAULTS = 4000
PAGE_LEVELS = 2
# Attempts to parse the members before a fault. Quotation marks in unreadable values can
# hide where members end, so that each attempt meets a fault further ahead.
MAX_ATTEMPTS = 3
# Length of the piece that is parsed first after a fault; each further one is twice as
# long, so that many faults do not cost a copy of the whole text each.
MIN_PIECE_LENGTH = 4096
# Its group makes ``split`` return the strings as well, at the odd places.
_STRING = re.compile(r'("[^"\\]*(?:\\.[^"\\]*)*")', re.DOTALL)
_CLOSING = {"[": "]", "{": "}"}
# By how much a byte changes the depth.
_DEPTH_CHANGES = tuple(
    1 if byte in b"[{" else -1 if byte in b"]}" else 0 for byte in range(256)
)


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
    text = content.decode("utf-8", "surrogateescape")
    with _no_collections():
        try:
            value = _DECODER.decode(text)
        except json.JSONDecodeError as error:
            return _Splitter(text).decode(error.pos)
        except RecursionError:
            return _Splitter(text).decode(None)
    if value is UNREADABLE:
        raise ValueError("a number that is too long")
    return value


@contextmanager
def _no_collections():
    """Put off garbage collections, as decoding makes many objects and no garbage.

    With a value of hundreds of thousands of lists they take most of the time.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _read_integer(digits):
    """Return an integer; Python refuses those with thousands of digits."""
    try:
        return int(digits)
    except ValueError:
        return UNREADABLE


_DECODER = json.JSONDecoder(parse_int=_read_integer)


class _Splitter:
    """Decodes the containers around a fault member by member.

    ``_outline`` is the text without the contents of strings, ``_depths`` the number of
    containers around each character, at most ``MAX_DEPTH``. A closing bracket counts as
    outside of its container, and all positions are those in the text.
    """

    __slots__ = ("_depths", "_faults_left", "_outline", "_text")

    def __init__(self, text):
        self._text = text
        self._outline = _blank_strings(text)
        limited = bytes(range(MAX_DEPTH)) + bytes([MAX_DEPTH]) * (len(text) + 1)
        changes = map(_DEPTH_CHANGES.__getitem__, self._outline)
        self._depths = bytes(map(limited.__getitem__, accumulate(changes)))
        self._faults_left = MAX_FAULTS

    def decode(self, fault):
        """Decode the text, which has a fault at a position or is too deep if None."""
        end = len(self._text.rstrip())
        start = len(self._text) - len(self._text.lstrip())
        return self._read_container(start, end, 0, MAX_SPLIT_LEVELS, fault)

    def _read_container(self, start, end, depth, levels, fault):
        """Decode the object or list between two positions, which has a known fault.

        ``depth`` is the number of containers around it, ``levels`` how many levels are
        looked into from here on. Raises ``ValueError``.
        """
        closing = _CLOSING.get(self._text[start : start + 1])
        close = self._depths.find(depth, start + 1, end)
        if levels == 0 or closing is None or close != end - 1:
            raise ValueError("neither an object nor a list")
        if self._text[close] != closing:
            raise ValueError("the end is missing")
        is_object = closing == "}"
        result = {} if is_object else []
        add_all = result.update if is_object else result.extend
        depth += 1
        position, piece_length = start + 1, MIN_PIECE_LENGTH
        while position <= close:
            limit = close
            if fault is None:
                next_end = min(position + piece_length, close)
                limit = self._member_end(next_end, close, depth)
            members, fault = self._read_members(
                position, limit, depth, fault, is_object
            )
            add_all(members)
            if fault is None:
                position, piece_length = limit + 1, 2 * piece_length
                continue
            self._count_fault(levels)
            member_start = self._member_start(position, fault, depth)
            member_end = self._member_end(fault, close, depth)
            if is_object:
                key, member_start = self._read_key(member_start, member_end)
            value = self._read_part(member_start, member_end, depth, levels, fault)
            add_all([(key, value)] if is_object else [value])
            position, fault, piece_length = member_end + 1, None, MIN_PIECE_LENGTH
        return result

    def _count_fault(self, levels):
        """Count a fault; raises ``ValueError`` beyond the limit, but for a page."""
        self._faults_left -= 1
        if self._faults_left < 0 and levels <= MAX_SPLIT_LEVELS - PAGE_LEVELS:
            raise ValueError("too many faults")

    def _read_members(self, position, limit, depth, fault, is_object):
        """Return the members of a container from a position to the first fault.

        Also return the position of the fault, or None if there is none up to ``limit``,
        where a member ends. A known ``fault`` may not be the first one. If it is
        not found, the first member counts as faulty.
        """
        first_end = limit if fault is None else fault
        too_deep = self._depths.find(MAX_DEPTH, position, first_end)
        if too_deep >= 0:
            fault = too_deep
        for _ in range(MAX_ATTEMPTS):
            end = limit
            if fault is not None:
                # Without the comma before the member with the fault.
                member_start = self._member_start(position, fault, depth)
                end = max(position, member_start - 1)
            members = self._text[position:end]
            text = f"{{{members}}}" if is_object else f"[{members}]"
            try:
                return _DECODER.decode(text), fault
            except json.JSONDecodeError as error:
                # The parsed text begins with the opening bracket.
                fault = min(max(position, position - 1 + error.pos), limit)
        return ({} if is_object else []), position

    def _member_start(self, lower, fault, depth):
        """Return where the member with a fault starts, at ``lower`` or behind it."""
        position = fault
        while True:
            position = self._depths.rfind(depth, lower, position)
            comma = self._outline.rfind(b",", lower, position + 1)
            if position < 0 or comma < 0:
                return lower
            if self._depths[comma] == depth:
                return comma + 1
            position = comma

    def _member_end(self, fault, close, depth):
        """Return where the member with a fault ends: at a comma or at ``close``."""
        position = fault
        while True:
            position = self._depths.find(depth, position, close)
            comma = self._outline.find(b",", position, close)
            if position < 0 or comma < 0:
                return close
            if self._depths[comma] == depth:
                return comma
            position = comma

    def _read_key(self, start, end):
        """Return the key of a member of an object, and where its value starts."""
        colon = self._outline.find(b":", start, end)
        key = self._text[start:colon].strip() if colon >= 0 else ""
        if key[:1] != '"':
            raise ValueError("a key that is no string")
        return _DECODER.decode(key), colon + 1

    def _read_part(self, start, end, depth, levels, fault):
        """Return the value of a member with a fault, as far as it can be read."""
        part = self._text[start:end]
        start, end = end - len(part.lstrip()), start + len(part.rstrip())
        try:
            return self._read_container(start, end, depth, levels - 1, fault)
        except ValueError:
            return UNREADABLE


def _blank_strings(text):
    """Return a byte for each character, with ``_`` for those in strings.

    >>> _blank_strings('{"a[": "\\\\"]"}')
    b'{____: _____}'
    """
    pieces = _STRING.split(text)
    pieces[1::2] = ["_" * len(piece) for piece in pieces[1::2]]
    return "".join(pieces).encode("latin-1", "replace")
