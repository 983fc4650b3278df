"""Samples with labels in the Prometheus text format, written and read.

Daemons write them and the command line reads them, possibly from something else than a
daemon: each malformed line raises ``ValueError``.
"""

import re

# A line without labels or with those that follow; a timestamp may end it.
_NAME = re.compile(r"[a-zA-Z_:][a-zA-Z0-9_:]*")
_LABEL = re.compile(r'([a-zA-Z_][a-zA-Z0-9_]*)="((?:[^"\\]|\\[\\"n])*)",?')
_VALUE = re.compile(
    r"[ \t]+(NaN|[+-]?Inf|[+-]?(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]+)?)"
    r"(?:[ \t]+-?[0-9]+)?[ \t]*"
)
_ESCAPE = re.compile(r"\\(.)")
_ESCAPED = {"\\": r"\\", '"': r"\"", "\n": r"\n"}
_UNESCAPED = {"n": "\n"}
# Limit on the samples of one text: 200 accounts, and 50 orders with 128 rows of either
# side and two sums, have less than 28,000.
MAX_SAMPLES = 50_000
# Greater values of counters are no counts, and their sums would not be exact.
MAX_COUNT = 2**53


class Sample:
    """One value of a metric; ``labels`` is a dict."""

    __slots__ = ("labels", "name", "value")

    def __init__(self, name, labels, value):
        self.name = name
        self.labels = labels
        self.value = value

    def label(self, name):
        """Return the value of a label; raises ``ValueError`` if it is missing."""
        if name not in self.labels:
            raise ValueError(f"{self.name} has no label {name}")
        return self.labels[name]

    def count(self):
        """Return the value as a number that can be summed, else raise ``ValueError``.

        >>> Sample("a", {}, 2.0).count()
        2.0
        """
        # This is true for a value that is no number as well.
        if not 0 <= self.value <= MAX_COUNT:
            raise ValueError(f"{self.name} has no usable value")
        return self.value


def format_sample(name, labels, value):
    r"""Return the line of a sample; ``labels`` are pairs of a name and a text.

    Lone surrogates, which UTF-8 cannot represent, are written as escapes.

    >>> print(format_sample("a_total", [("route", 'x"y')], 3))
    a_total{route="x\"y"} 3
    """
    texts = [f'{label}="{_escape(text)}"' for label, text in labels]
    return f"{name}{{{','.join(texts)}}} {value}"


def _escape(text):
    text = text.encode(errors="backslashreplace").decode()
    return "".join(_ESCAPED.get(character, character) for character in text)


def parse_samples(text):
    r"""Return the ``Sample`` objects of a text; raises ``ValueError``.

    A text that does not end with a line's end was cut.

    >>> [(item.name, item.labels, item.value) for item in parse_samples('a{b="c"} 2\n')]
    [('a', {'b': 'c'}, 2.0)]
    """
    if text and not text.endswith("\n"):
        raise ValueError("the text ends within a line")
    samples = []
    # Label values may contain other line separators.
    for number, line in enumerate(text.split("\n"), start=1):
        if line.strip(" \t") and not line.startswith("#"):
            sample = _parse_line(line)
            if sample is None:
                raise ValueError(f"line {number} is no metric")
            if len(samples) >= MAX_SAMPLES:
                raise ValueError(f"there are more than {MAX_SAMPLES} metrics")
            samples.append(sample)
    return samples


def _parse_line(line):
    name = _NAME.match(line)
    if name is None:
        return None
    position, labels = name.end(), {}
    if line.startswith("{", position):
        position += 1
        while label := _LABEL.match(line, position):
            labels[label[1]] = _ESCAPE.sub(_unescape, label[2])
            position = label.end()
        if not line.startswith("}", position):
            return None
        position += 1
    value = _VALUE.fullmatch(line, position)
    return None if value is None else Sample(name[0], labels, float(value[1]))


def _unescape(match):
    return _UNESCAPED.get(match[1], match[1])
