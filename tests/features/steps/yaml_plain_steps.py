"""Steps of the plain YAML reader."""

from pathlib import Path
from unittest import mock

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from hemlockspoke import yaml_reader
from hemlockspoke.yaml_plain import read_plain

EXAMPLES = 600
SEED_TEXTS = (
    "a:\n  b: [c, d-1, 7]\n  e: {f: 1, g: h}\nlist:\n  - x\n  - y z\n",
    "shards:\n- replicas: [a, b]\n  more: 1.5\n- replicas: []\nlast: {}\n",
    "servers:\n  s-0:\n    address: 10.0.0.1:80\n    slots: 2 # note\n# end\nt: u\n",
    'q: "quoted text"\nn: 7\ndeep:\n    more:\n     most: z\n',
    "k: {a: 1}\nd: 2.5\nm: 0\n\no: a b-c\nx: a.b/c\n",
)
PIECES = (
    *" \n-:#[]{},\"'a1.&*!|>%@~?_/",
    "\n  ",
    "- ",
    ": ",
    " #",
    "<<: ",
    "true",
    "\t",
    "\u00e9",
    "--- ",
    "...",
    "1:30",
    "a b: c",
    "yes",
    "007",
    "1_000",
    "0o7",
    "2020-01-01",
    "1e5",
    ".5",
    "~",
)


@st.composite
def texts(draw):
    """Return a seed text with a few random changes."""
    text = draw(st.sampled_from(SEED_TEXTS))
    for _ in range(draw(st.integers(0, 3))):
        start = draw(st.integers(0, len(text)))
        end = min(len(text), start + draw(st.integers(0, 3)))
        piece = draw(st.sampled_from(("", *PIECES)))
        text = text[:start] + piece + text[end:]
    return text


def dump(node):
    """Return everything that a check may see of a node."""
    seen = [node.kind, node.path, node.line, node.column]
    for item in getattr(node, "items", ()):
        seen.append(dump(item))
    for name, entry in getattr(node, "entries", {}).items():
        seen.append((name, dump(entry.key), dump(entry.value)))
    return [*seen, getattr(node, "text", ""), repr(getattr(node, "value", ""))]


def read_by_library(text):
    """Return the reading without the plain reader."""
    with mock.patch.object(yaml_reader, "read_plain", return_value=None):
        return yaml_reader.read_yaml(text)


@when("texts near plain YAML are read by the plain reader and by the library")
def compare_readers(context):
    context.read = 0
    context.given_up = 0

    @settings(max_examples=EXAMPLES)
    @given(texts())
    def compare(text):
        root = read_plain(text)
        if root is None:
            context.given_up += 1
            return
        context.read += 1
        # Guards against a value that changes its meaning or place with the reader.
        reading = read_by_library(text)
        assert not list(reading.findings), (text, str(reading.findings))
        assert dump(root) == dump(reading.root), text

    compare()


@then("the plain reader has read many of them, each as the library has")
def many_read(context):
    # Guards against a comparison that no text reaches.
    assert context.read > EXAMPLES / 20, (context.read, context.given_up)


@when("the plain reader reads the example documents")
def read_examples(context):
    paths = sorted(Path("examples").glob("*.yaml"))
    assert paths
    context.roots = [read_plain(path.read_text(encoding="utf-8")) for path in paths]


@then("it gives up on none of them")
def examples_read(context):
    # Guards against documents in the usual form that take the slow reader.
    assert None not in context.roots
