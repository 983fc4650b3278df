"""Steps on the checks of service documents and settings."""

import re
from pathlib import Path

from behave import given, then, when  # noqa: F401
from hypothesis import given as for_all
from hypothesis import strategies as st
from ruamel.yaml import YAML
from ruamel.yaml.compat import StringIO

from hemlockspoke.config.document_check import (
    DOCUMENT,
    QUERY_POLICY,
    SERVER,
    UPSTREAM_CLASS,
    check_document,
)
from hemlockspoke.config.settings import SETTINGS, TIMING_CHECKS, Settings, Timings
from tests.documents import VALID_DOCUMENT

EXAMPLES = Path("examples")
VOCABULARY = (
    "service owner queries indexes orders servers upstream_classes shards replicas "
    "class address slots connections timings vm seed_peers deadline_ms 10.0.0.1:80 "
    "failure_domains stock << ~ * & !!int 2020-01-01 0x1F [ ] { } - :"
)
WORDS = st.sampled_from(VOCABULARY.split())
SCALARS = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=8), WORDS
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(SCALARS, inner, max_size=5)
    ),
    max_leaves=25,
)


def as_yaml(value):
    """Return a value as YAML text, or its repr if it cannot be written as YAML."""
    stream = StringIO()
    try:
        YAML(typ="safe", pure=True).dump(value, stream)
    except Exception:  # The YAML writer is not under test.
        return repr(value)
    return stream.getvalue()


def check_never_raises(text):
    """Check a text as document and as settings; each gives a value or findings."""
    for result in (check_document(text, "any"), Settings.from_text(text, "any")):
        if result.is_error():
            assert len(result.error) > 0
            str(result.error).encode("utf-8")


@when("the example document {file} is checked")
def step_check_example(context, file):
    text = (EXAMPLES / file).read_text(encoding="utf-8")
    context.result = check_document(text, file)


@when('this document is checked as "{file}"')
@when('this document is checked as "{file}":')
def step_check_text(context, file):
    context.result = check_document(context.text, file)


@when('"{old}" in the valid document is replaced by "{new}"')
def step_replace(context, old, new):
    assert check_document(VALID_DOCUMENT).is_ok()
    assert old in VALID_DOCUMENT
    text = VALID_DOCUMENT.replace(old, new.replace("\\n", "\n"), 1)
    context.result = check_document(text)


@when("these settings are checked")
@when("these settings are checked:")
def step_check_settings(context):
    context.result = Settings.from_text(context.text, "settings.yaml")


@then("the document is accepted with {servers:d} servers")
def step_accepted(context, servers):
    assert context.result.is_ok(), context.result.error
    assert len(context.result.ok.servers) == servers


@then('its index layout is "{indexes}" and its order layout is "{orders}"')
def step_layout(context, indexes, orders):
    document = context.result.ok
    seen = [f"{i.name} {layout(i)}" for i in document.indexes.values()]
    assert ", ".join(seen) == indexes, seen
    seen = [f"{o.name} {len(o.servers)}" for o in document.orders.values()]
    assert ", ".join(seen) == orders, seen


def layout(index):
    """Return the shard and replica counts of an index with uniform shards."""
    (replicas,) = {len(shard.replicas) for shard in index.shards}
    return f"{len(index.shards)}x{replicas}"


@then("the replicas of each of its shards are in different failure domains")
def step_domains(context):
    document = context.result.ok
    for index in document.indexes.values():
        for shard in index.shards:
            domains = {document.servers[n].failure_domain for n in shard.replicas}
            assert len(domains) == len(shard.replicas), shard.replicas


@then("the document is refused with exactly these findings")
@then("the document is refused with exactly these findings:")
def step_findings(context):
    seen = [
        (f"{f.file}:{f.line}:{f.column}", f.path, f.found) for f in context.result.error
    ]
    assert seen == [tuple(row.cells) for row in context.table], seen


@then('the document is refused at "{path}" with "{found}"')
def step_one_finding(context, path, found):
    seen = [(f.path, f.found) for f in context.result.error]
    assert seen == [(path, found)], seen


@then('the document is refused at "" with "{found}"')
def step_syntax_finding(context, found):
    step_one_finding(context, "", found)


@then("checking any text or any YAML-like value gives a document or findings")
def step_any_text(context):
    for_all(st.text())(check_never_raises)()
    for_all(st.lists(WORDS, max_size=12).map(" ".join))(check_never_raises)()
    for_all(VALUES.map(as_yaml))(check_never_raises)()
    for text in ("[" * 5000, "&a [*a]", "9" * 5000, "a: !!int x", "\ud800", "\x00"):
        check_never_raises(text)


@then("checking any damaged example gives a document or findings")
def step_damaged(context):
    settings = (EXAMPLES / "settings.yaml").read_text(encoding="utf-8")
    texts = st.sampled_from([VALID_DOCUMENT, settings])
    starts = st.integers(0, len(VALID_DOCUMENT))

    @for_all(texts, starts, st.integers(0, 9), st.text(max_size=4) | WORDS)
    def damage(source, start, length, text):
        check_never_raises(source[:start] + text + source[start + length :])

    damage()


@then("an accepted document survives a second check")
def step_second_check(context):
    small = st.integers(1, 8)

    @for_all(small, small, st.lists(small, min_size=1, max_size=4))
    def check_twice(slots, spare_connections, replicas):
        value = generated_document(slots, spare_connections, replicas)
        first = check_document(as_yaml(value))
        assert first.is_ok(), first.error
        again = check_document(repr(value))
        assert again.is_ok(), again.error
        assert fields(again.ok) == fields(first.ok)

    check_twice()


def generated_document(slots, spare_connections, replicas):
    """Return a document value with one shard per entry of ``replicas``."""
    names = [f"s-{i}" for i in range(max(replicas))]
    return {
        "service": "s",
        "owner": "o",
        "failure_domains": ["d"],
        "indexes": {"i": {"shards": [{"replicas": names[:n]} for n in replicas]}},
        "upstream_classes": {
            "c": {"slots": slots, "connections": slots + spare_connections}
        },
        "servers": {
            name: {
                "class": "c",
                "address": f"10.0.0.{i}:80",
                "failure_domain": "d",
                "region": "r",
            }
            for i, name in enumerate(names)
        },
    }


def fields(item):
    """Return an object as maps, lists and scalars."""
    if isinstance(item, list):
        return [fields(value) for value in item]
    if isinstance(item, dict):
        return {key: fields(value) for key, value in item.items()}
    if hasattr(item, "__slots__"):
        return {name: fields(getattr(item, name)) for name in item.__slots__}
    return item


@then("the reference names each field with its default and its range")
def step_reference(context):
    text = Path("docs/reference.md").read_text(encoding="utf-8")
    rows = dict(re.findall(r"^\| `([^`]+)` (\|.*)$", text, re.MULTILINE))
    defaults = Timings.defaults()
    for name, check in TIMING_CHECKS.items():
        default = getattr(defaults, name)
        expected = f"| {default:,} | {check.minimum:,} to {check.maximum:,} |"
        assert rows[name].endswith(expected), rows[name]
    for record in (SETTINGS, DOCUMENT, QUERY_POLICY, UPSTREAM_CLASS, SERVER):
        assert record.fields.keys() <= rows.keys(), record.fields.keys() - rows.keys()


@then(
    "the settings are accepted with heartbeat_ms {heartbeat:d} and stall_ms {stall:d}"
)
def step_settings(context, heartbeat, stall):
    assert context.result.is_ok(), context.result.error
    timings = context.result.ok.timings
    assert (timings.heartbeat_ms, timings.stall_ms) == (heartbeat, stall)


@then('the operator address of the settings is host "{host}" and port {port:d}')
def step_operator_address(context, host, port):
    address = context.result.ok.operator_address
    assert (address.host, address.port) == (host, port)


@then("the example settings are accepted")
def step_example_settings(context):
    result = Settings.from_file(EXAMPLES / "settings.yaml")
    assert result.is_ok(), result.error


@then("the settings are refused at lines {lines}")
def step_settings_refused(context, lines):
    seen = ", ".join(str(finding.line) for finding in context.result.error)
    assert seen == lines, context.result.error
